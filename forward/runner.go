package forward

import (
	"context"
	"io"
	"net/http"

	cs "github.com/crocusstile/crocusstile"
)

// Call is a request as it came, to be passed on unchanged.
type Call struct {
	ID     cs.RequestID
	Method string
	Target string // path and query, as they came
	Host   string
	Header http.Header
	Body   []byte
}

// Destination says where and how a call is sent.
type Destination struct {
	Runner  cs.RunnerID
	Address cs.Address
	// Left is the time for which the caller still waits; 0 sets no limit.
	Left cs.Span
	// LastEvent is the event after which a stream goes on; 0 from the start.
	LastEvent cs.EventID
	// Fresh asks for a connection of the call's own.
	Fresh bool
}

// Answer is the head of a runner's answer and its body.
type Answer struct {
	Status int
	Header http.Header
	// Stream means that the body is a stream of events.
	Stream bool
	// Signed means that the answer bears the runner's signature.
	Signed bool
	Body   io.ReadCloser
}

// Runners sends calls to runners. An error is a NotRunError or a BrokenError.
type Runners interface {
	Send(ctx context.Context, c Call, to Destination) (*Answer, error)
}

// NotRunError means that the runner did not run the call, nor will it.
type NotRunError struct {
	Reason string
	// Gone means that another runner has the address.
	Gone bool
	// Unreachable means that no connection could be opened, and Refused that nothing listens at the
	// address.
	Unreachable, Refused bool
}

// Error returns the reason.
func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// BrokenError means that the runner may have run the call and its answer is not whole.
type BrokenError struct {
	Cause error
	// Disconnected means that the connection broke.
	Disconnected bool
}

// Error returns the cause.
func (e *BrokenError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }
