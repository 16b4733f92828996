package cli

import (
	"fmt"

	cs "github.com/crocusstile/crocusstile"
)

// Failure is the reason why a command did not succeed: Misuse, Refused, NotSent, Lost, NotWhole or
// Incomplete.
type Failure interface {
	error
	isFailure()
}

// Misuse means that the arguments or the input are invalid; no request was sent.
type Misuse struct {
	// Field is the flag, operand or JSON field that is invalid, such as "-tenant".
	Field string
	// Message says what is wrong and what is expected.
	Message string
}

// Refused is an error response of the VM.
type Refused struct {
	Name    string
	Message string
	Field   string
	Ran     cs.Ran
}

// NotSent means that no connection to the VM was opened, so that the request did not run.
type NotSent struct{ Err error }

// Lost means that the request was sent but no usable response came, so that it may have run.
type Lost struct{ Err error }

// NotWhole means that a streamed response is incomplete or contains events of another request.
type NotWhole struct{ Message string }

// Incomplete means that a job ended without a result for each item; it counts the others by state.
type Incomplete struct{ Failed, Cancelled, Unknown int32 }

func (Misuse) isFailure()     {}
func (Refused) isFailure()    {}
func (NotSent) isFailure()    {}
func (Lost) isFailure()       {}
func (NotWhole) isFailure()   {}
func (Incomplete) isFailure() {}

// Error returns the field, if there is one, and the message.
func (m Misuse) Error() string {
	if m.Field == "" {
		return m.Message
	}
	return m.Field + ": " + m.Message
}

// Error returns the name, the field, the message and whether the request ran.
func (r Refused) Error() string {
	if r.Field != "" {
		return fmt.Sprintf("%s: %s: %s (%s)", r.Name, r.Field, r.Message, describeRan(r.Ran))
	}
	return fmt.Sprintf("%s: %s (%s)", r.Name, r.Message, describeRan(r.Ran))
}

// Error returns the cause and states that the request did not run.
func (n NotSent) Error() string { return fmt.Sprintf("%v (not run)", n.Err) }

// Error returns the cause and states that the request may have run.
func (l Lost) Error() string { return fmt.Sprintf("%v (the request may have run)", l.Err) }

// Error returns what is wrong with the response.
func (n NotWhole) Error() string {
	return n.Message + " (the request ran, but its response is incomplete)"
}

// Error returns the numbers of items without a result.
func (i Incomplete) Error() string {
	return fmt.Sprintf("the job ended with %d items failed, %d cancelled and %d unknown", i.Failed, i.Cancelled, i.Unknown)
}

// describeRan says whether a request has run, as far as that is known.
func describeRan(r cs.Ran) string {
	switch r {
	case cs.RanNotRun:
		return "not run"
	case cs.RanFailed:
		return "ran and failed"
	}
	return "the request may have run"
}

// misusef returns a Misuse with a formatted message.
func misusef(field, format string, args ...any) Misuse {
	return Misuse{Field: field, Message: fmt.Sprintf(format, args...)}
}
