package cli

import (
	"fmt"

	cs "github.com/crocusstile/crocusstile"
)

// Failure is the reason why a command did not succeed: UsageError, ErrorResponse, ConnectError,
// NoResponse, InvalidStream or JobIncomplete.
type Failure interface {
	error
	isFailure()
}

// UsageError means that the arguments or the input are invalid; no request was sent.
type UsageError struct {
	// Field is the flag, operand or JSON field that is invalid, such as "-tenant".
	Field string
	// Message says what is wrong and what is expected.
	Message string
}

// ErrorResponse is an error response of the VM.
type ErrorResponse struct {
	Name    string
	Message string
	Field   string
	Ran     cs.Ran
}

// ConnectError means that no connection to the VM was opened, so that the request did not run.
type ConnectError struct{ Err error }

// NoResponse means that the request was sent but no usable response came, so that it may have run.
type NoResponse struct{ Err error }

// InvalidStream means that a streamed response is incomplete or contains events of another request.
type InvalidStream struct{ Message string }

// JobIncomplete means that a job ended without a result for each item; it counts the others by state.
type JobIncomplete struct{ Failed, Cancelled, Unknown int32 }

func (UsageError) isFailure()    {}
func (ErrorResponse) isFailure() {}
func (ConnectError) isFailure()  {}
func (NoResponse) isFailure()    {}
func (InvalidStream) isFailure() {}
func (JobIncomplete) isFailure() {}

// Error returns the field, if there is one, and the message.
func (u UsageError) Error() string {
	if u.Field == "" {
		return u.Message
	}
	return u.Field + ": " + u.Message
}

// Error returns the name, the field, the message and whether the request ran.
func (e ErrorResponse) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s (%s)", e.Name, e.Field, e.Message, describeRan(e.Ran))
	}
	return fmt.Sprintf("%s: %s (%s)", e.Name, e.Message, describeRan(e.Ran))
}

// Error returns the cause and states that the request did not run.
func (c ConnectError) Error() string { return fmt.Sprintf("%v (not run)", c.Err) }

// Error returns the cause and states that the request may have run.
func (n NoResponse) Error() string { return fmt.Sprintf("%v (the request may have run)", n.Err) }

// Error returns what is wrong with the response.
func (s InvalidStream) Error() string {
	return s.Message + " (the request ran, but its response is incomplete)"
}

// Error returns the numbers of items without a result.
func (j JobIncomplete) Error() string {
	return fmt.Sprintf("the job ended with %d items failed, %d cancelled and %d unknown", j.Failed, j.Cancelled, j.Unknown)
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

// usageErrorf returns a UsageError with a formatted message.
func usageErrorf(field, format string, args ...any) UsageError {
	return UsageError{Field: field, Message: fmt.Sprintf(format, args...)}
}
