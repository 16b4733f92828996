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
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 3 * cs.Second
	// grace is the time by which the tool waits longer than the deadline it sends, so that the VM
	// can answer what became of the request.
	grace = 2 * cs.Second
	// errorBytes bounds the part of an error's body that is read.
	errorBytes = 64 << 10
)

// exchange sends requests for the goa clients and notes what became of the last one.
type exchange struct {
	client *http.Client
	// sent is set once a byte of the request may have reached the VM.
	sent atomic.Bool
	// status is that of the answer, or 0.
	status int
	// body is that of the answer, unless it is a stream.
	body []byte
}

var _ goahttp.Doer = (*exchange)(nil)

func newExchange() *exchange {
	d := net.Dialer{Timeout: dialTimeout.Std()}
	return &exchange{client: &http.Client{Transport: &http.Transport{DialContext: d.DialContext}}}
}

// Do sends a request and reads the answer, unless that is a stream.
func (x *exchange) Do(r *http.Request) (*http.Response, error) {
	x.sent.Store(false)
	x.status, x.body = 0, nil
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.sent.Store(true) }}
	resp, err := x.client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	x.status = resp.StatusCode
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return resp, nil
	}
	var from io.Reader = resp.Body
	if resp.StatusCode >= http.StatusBadRequest {
		from = io.LimitReader(from, errorBytes)
	}
	body, err := io.ReadAll(from)
	if err := errors.CombineErrors(err, resp.Body.Close()); err != nil {
		return nil, err
	}
	x.body = bytes.TrimSpace(body)
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}

// invoke calls an endpoint of a goa client within the time limit; its error is a Failure.
func invoke[T any](ctx context.Context, s *session, e goa.Endpoint, payload any) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, (s.timeout + grace).Std())
	defer cancel()
	var none T
	v, err := e(ctx, payload)
	if err != nil {
		return none, s.exchange.failure(err)
	}
	result, ok := v.(T)
	if !ok {
		return none, Lost{errors.Newf("the answer has the type %T", v)}
	}
	return result, nil
}

// failure says what an endpoint's error means for the request.
func (x *exchange) failure(err error) Failure {
	if r, ok := refusalOf(err); ok {
		return r
	}
	switch {
	case !x.sent.Load():
		return NotSent{err}
	case x.status == http.StatusBadRequest, x.status == http.StatusRequestEntityTooLarge:
		return Refused{Name: nameInvalid, Message: x.message(), Ran: cs.RanNotRun}
	case x.status >= http.StatusBadRequest && x.status < http.StatusInternalServerError:
		return Refused{Name: http.StatusText(x.status), Message: x.message(), Ran: cs.RanNotRun}
	}
	return Lost{err}
}

// message returns the message of an error in another shape than Refusal.
func (x *exchange) message() string {
	var e struct {
		Message string `json:"message"`
	}
	if err := json.Unmarshal(x.body, &e); err != nil || e.Message == "" {
		return string(x.body)
	}
	return e.Message
}

// refusalOf finds the refusal of any of the goa services in an error's chain.
func refusalOf(err error) (Refused, bool) {
	var (
		i *inference.Refusal
		j *jobs.Refusal
		o *operations.Refusal
		c *services.Refusal
	)
	switch {
	case errors.As(err, &i):
	case errors.As(err, &j):
		i = (*inference.Refusal)(j)
	case errors.As(err, &o):
		i = (*inference.Refusal)(o)
	case errors.As(err, &c):
		i = (*inference.Refusal)(c)
	default:
		return Refused{}, false
	}
	r := Refused{Name: i.Name, Message: i.Message, Ran: ranOf(i.Ran)}
	if i.Field != nil {
		r.Field = *i.Field
	}
	return r, true
}
