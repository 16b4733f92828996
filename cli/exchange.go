package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gen/inference"
	"github.com/crocusstile/crocusstile/gen/jobs"
	"github.com/crocusstile/crocusstile/gen/operations"
	"github.com/crocusstile/crocusstile/gen/services"
)

const (
	// dialTimeout limits the time for opening a connection to the VM.
	dialTimeout = 3 * cs.Second
	// responseGrace is how much longer the tool waits than the deadline that it sends, so that the VM
	// can still report the outcome of a request whose deadline has passed.
	responseGrace = 2 * cs.Second
	// maxErrorBodyBytes limits how much of an error response is read.
	maxErrorBodyBytes = 64 << 10
)

// exchange sends requests for the goa clients and records the status and body of the last response.
type exchange struct {
	client *http.Client
	// maybeSent is set once a connection is open, since from then on the VM may have received the
	// request.
	maybeSent atomic.Bool
	// status is the HTTP status of the response, or 0 if there was none.
	status int
	// body is the body of the response, unless the response is an event stream.
	body []byte
}

var _ goahttp.Doer = (*exchange)(nil)

func newExchange() *exchange {
	d := net.Dialer{Timeout: dialTimeout.Std()}
	return &exchange{client: &http.Client{Transport: &http.Transport{DialContext: d.DialContext}}}
}

// Do sends a request and reads the whole response, unless that is an event stream.
func (x *exchange) Do(r *http.Request) (*http.Response, error) {
	x.maybeSent.Store(false)
	x.status, x.body = 0, nil
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.maybeSent.Store(true) }}
	resp, err := x.client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	x.status = resp.StatusCode
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return resp, nil
	}
	var bodyReader io.Reader = resp.Body
	if resp.StatusCode >= http.StatusBadRequest {
		bodyReader = io.LimitReader(bodyReader, maxErrorBodyBytes)
	}
	body, err := io.ReadAll(bodyReader)
	if err := errors.CombineErrors(err, resp.Body.Close()); err != nil {
		return nil, err
	}
	x.body = bytes.TrimSpace(body)
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}

// invoke calls an endpoint of a goa client within the timeout; its error is a Failure.
func invoke[T any](ctx context.Context, s *session, e goa.Endpoint, payload any) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, (s.timeout + responseGrace).Std())
	defer cancel()
	var zero T
	v, err := e(ctx, payload)
	if err != nil {
		return zero, s.exchange.classifyError(err)
	}
	result, ok := v.(T)
	if !ok {
		return zero, NoResponse{errors.Newf("unexpected response type %T", v)}
	}
	return result, nil
}

// classifyError maps an error of an endpoint to the Failure that says whether the request has run.
func (x *exchange) classifyError(err error) Failure {
	if response, ok := findRefusal(err); ok {
		return response
	}
	switch {
	case !x.maybeSent.Load():
		return ConnectError{err}
	case x.status == http.StatusBadRequest, x.status == http.StatusRequestEntityTooLarge:
		return ErrorResponse{Name: refusalInvalid, Message: x.errorMessage(), Ran: cs.RanNotRun}
	case x.status >= http.StatusBadRequest && x.status < http.StatusInternalServerError:
		return ErrorResponse{Name: http.StatusText(x.status), Message: x.errorMessage(), Ran: cs.RanNotRun}
	}
	return NoResponse{err}
}

// errorMessage returns the message of an error response that is not a Refusal, or else its body.
func (x *exchange) errorMessage() string {
	var e struct {
		Message string `json:"message"`
	}
	if err := json.Unmarshal(x.body, &e); err != nil || e.Message == "" {
		return string(x.body)
	}
	return e.Message
}

// findRefusal finds a refusal of any of the goa services in the chain of an error. The services have
// Refusal types of the same structure, so each converts to that of package inference.
func findRefusal(err error) (ErrorResponse, bool) {
	var (
		refusal           *inference.Refusal
		jobsRefusal       *jobs.Refusal
		operationsRefusal *operations.Refusal
		servicesRefusal   *services.Refusal
	)
	switch {
	case errors.As(err, &refusal):
	case errors.As(err, &jobsRefusal):
		refusal = (*inference.Refusal)(jobsRefusal)
	case errors.As(err, &operationsRefusal):
		refusal = (*inference.Refusal)(operationsRefusal)
	case errors.As(err, &servicesRefusal):
		refusal = (*inference.Refusal)(servicesRefusal)
	default:
		return ErrorResponse{}, false
	}
	response := ErrorResponse{Name: refusal.Name, Message: refusal.Message, Ran: parseRan(refusal.Ran)}
	if refusal.Field != nil {
		response.Field = *refusal.Field
	}
	return response, true
}
