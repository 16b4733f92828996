package cli

import (
	"fmt"

	cs "github.com/crocusstile/crocusstile"
)

// Failure is why a command did not do what it was asked: Misuse, Refused, NotSent, Lost, NotWhole
// or Incomplete.
type Failure interface {
	error
	isFailure()
}

// Misuse means that the arguments or the input are wrong; nothing was sent.
type Misuse struct {
	// Field is what is wrong, such as "-tenant".
	Field string
	// Message says what would be right.
	Message string
}

// Refused is an error that the VM answered.
type Refused struct {
	Name    string
	Message string
	Field   string
	Ran     cs.Ran
}

// NotSent means that no byte of the request reached the VM.
type NotSent struct{ Err error }

// Lost means that the request was sent and that no usable answer came; it may have run.
type Lost struct{ Err error }

// NotWhole means that an answer came that is not the whole answer to this request.
type NotWhole struct{ Message string }

// Incomplete means that a job ended without the results of all its items.
type Incomplete struct{ Failed, Cancelled, Unknown int32 }

func (Misuse) isFailure()     {}
func (Refused) isFailure()    {}
func (NotSent) isFailure()    {}
func (Lost) isFailure()       {}
func (NotWhole) isFailure()   {}
func (Incomplete) isFailure() {}

// Error returns the field and the message.
func (m Misuse) Error() string {
	if m.Field == "" {
		return m.Message
	}
	return m.Field + ": " + m.Message
}

// Error returns the name, the field, the message and whether the request ran.
func (r Refused) Error() string {
	if r.Field != "" {
		return fmt.Sprintf("%s: %s: %s (%s)", r.Name, r.Field, r.Message, effect(r.Ran))
	}
	return fmt.Sprintf("%s: %s (%s)", r.Name, r.Message, effect(r.Ran))
}

// Error returns the cause.
func (n NotSent) Error() string { return fmt.Sprintf("%v (not run)", n.Err) }

// Error returns the cause.
func (l Lost) Error() string { return fmt.Sprintf("%v (it may have run)", l.Err) }

// Error returns what is wrong with the answer.
func (n NotWhole) Error() string { return n.Message + " (it ran, and the answer is not whole)" }

// Error counts the items without a result.
func (i Incomplete) Error() string {
	return fmt.Sprintf("the job ended with %d items failed, %d cancelled and %d unknown", i.Failed, i.Cancelled, i.Unknown)
}

// effect describes what is known about the effect of a request.
func effect(r cs.Ran) string {
	switch r {
	case cs.RanNotRun:
		return "not run"
	case cs.RanFailed:
		return "ran and failed"
	}
	return "it may have run"
}

// misuse returns a Misuse.
func misuse(field, format string, args ...any) Misuse {
	return Misuse{Field: field, Message: fmt.Sprintf(format, args...)}
}
