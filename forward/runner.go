package forward

import (
	"context"
	"io"
	"net/http"

	cs "github.com/crocusstile/crocusstile"
)

// Call is a caller's request, which is forwarded unchanged.
type Call struct {
	ID     cs.RequestID
	Method string
	Target string // path and query, byte for byte as received
	Host   string
	Header http.Header
	Body   []byte
}

// Destination says to which runner a call is sent, and with which options.
type Destination struct {
	Runner  cs.RunnerID
	Address cs.Address
	// Left is the time until the caller's deadline; 0 sets no limit.
	Left cs.Span
	// LastEvent is the ID of the event after which a stream resumes; 0 starts it from the
	// beginning.
	LastEvent cs.EventID
	// NewConnection requests a new connection in place of a pooled one.
	NewConnection bool
}

// Answer is a runner's response: its status, headers and unread body.
type Answer struct {
	Status int
	Header http.Header
	// Stream means that the body is a stream of server-sent events.
	Stream bool
	// Signed means that the response has the runner's signature header.
	Signed bool
	Body   io.ReadCloser
}

// Runners sends calls to runners. Send returns a NotRunError if the call is known not to have run,
// and a BrokenError if it may have run.
type Runners interface {
	Send(ctx context.Context, c Call, to Destination) (*Answer, error)
}

// NotRunError means that the runner has not run the call and will not run it.
type NotRunError struct {
	Reason string
	// Replaced means that a different runner now listens at the address.
	Replaced bool
	// Unreachable means that no connection could be opened, and Refused that the address refused it
	// because nothing listens there.
	Unreachable, Refused bool
}

// Error returns the reason, marked as not run.
func (e *NotRunError) Error() string { return "request not run: " + e.Reason }

// BrokenError means that the runner may have run the call, but its response is missing, incomplete
// or invalid.
type BrokenError struct {
	Cause error
	// Disconnected means that the connection was lost.
	Disconnected bool
}

// Error returns the message of the cause.
func (e *BrokenError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *BrokenError) Unwrap() error { return e.Cause }
