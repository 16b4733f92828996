package forward

import (
	"context"
	"io"
	"net/http"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// RunnerRequest is a request of a caller, which is sent to a runner unchanged.
type RunnerRequest struct {
	ID     cs.RequestID
	Method string
	Target string // path and query, byte for byte as received
	Host   string
	Header http.Header
	Body   []byte
	// Access tells for which workspace the request is sent.
	Access gateway.RunnerAccess
}

// Destination says to which runner a request is sent, and with which options.
type Destination struct {
	Runner      cs.RunnerID
	Incarnation cs.Incarnation
	Address     cs.Address
	// TimeLeft is the time until the caller's deadline; 0 sets no limit.
	TimeLeft cs.Span
	// LastEvent is the ID of the event after which a stream resumes; 0 starts it from the
	// beginning.
	LastEvent cs.EventID
	// NewConnection requests a new connection in place of a pooled one.
	NewConnection bool
}

// RunnerResponse is a runner's response: its status, headers and unread body.
type RunnerResponse struct {
	Status int
	Header http.Header
	// Stream means that the body is a stream of server-sent events.
	Stream bool
	// EndsWithConnection means that the body has neither a length nor chunks: it ends when the runner closes the
	// connection.
	EndsWithConnection bool
	// Signed means that the response has the runner's signature header.
	Signed bool
	Body   io.ReadCloser
}

// Runners sends requests to runners. Dispatch returns a NotRunError if the request is known not to
// have run, and an InterruptedError if it may have run.
type Runners interface {
	Dispatch(ctx context.Context, request RunnerRequest, to Destination) (*RunnerResponse, error)
}

// NotRunError means that the runner has not run the request and will not run it.
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

// InterruptedError means that the runner may have run the request, but its response is missing,
// incomplete or invalid.
type InterruptedError struct {
	Cause error
	// Disconnected means that the connection was lost.
	Disconnected bool
}

// Error returns the message of the cause.
func (e *InterruptedError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *InterruptedError) Unwrap() error { return e.Cause }
