// Package engine is the client of runners: model engines and plain services.
//
// It forwards streamed responses without decoding each token: it checks the request id, the sequence
// number and the end marker of the events and passes their bytes on unchanged.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// maxIdleConnsPerRunner limits the idle connections to one runner.
const maxIdleConnsPerRunner = 64

// maxEventBytes limits the size of one event of a stream, and is the size of the read buffer.
const maxEventBytes = 16 << 10

// maxResponseHeadBytes limits the head of a response, interim responses included. The default of net/http is 10 MB
// for each request.
const maxResponseHeadBytes = 32 << 10

// maxErrorBodyBytes limits how much of an error response is read.
const maxErrorBodyBytes = 4 << 10

// Config contains the clock, timeouts and size limits of a Client.
type Config struct {
	// Clock is used to measure latencies and timeouts.
	Clock *cs.Clock
	// DialTimeout is the timeout for opening a connection.
	DialTimeout cs.Span
	// FirstByteTimeout is the timeout for the first event of a stream and for a service's response.
	FirstByteTimeout cs.Span
	// IdleTimeout is the idle timeout between two events of a stream.
	IdleTimeout cs.Span
	// MaxResponse limits the size of a service's response and the total size of the events of a stream,
	// including those of earlier attempts.
	MaxResponse cs.Bytes
}

// Client sends requests to runners; it is safe for concurrent use.
type Client struct {
	cfg Config
	// pooled reuses connections. unpooled opens a new one for each request; it is used for calls that must
	// not be retried, since an idle connection may be dead without the client knowing, and for requests that a
	// runner may have responded to before.
	pooled, unpooled *http.Client
}

// New returns a client, which has no connections until its first request.
func New(c Config) *Client {
	dialer := &net.Dialer{Timeout: c.DialTimeout.Std()}
	transport := func(unpooled bool) *http.Transport {
		return &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerRunner,
			IdleConnTimeout: (20 * cs.Second).Std(), DisableKeepAlives: unpooled,
			DisableCompression: true, WriteBufferSize: 4 << 10, ReadBufferSize: 16 << 10,
			MaxResponseHeaderBytes: maxResponseHeadBytes,
		}
	}
	return &Client{
		cfg:      c,
		pooled:   &http.Client{Transport: transport(false), CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: transport(true), CheckRedirect: noRedirect},
	}
}

// noRedirect makes the client return a redirect as an error response: the target that a runner names is
// not in the platform's list, and the redirected request would differ from the original one.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// errIdleTimeout cancels a run whose runner has sent no event or response within the timeout.
var errIdleTimeout = errors.New("no progress within the time limit")

// protocolError is the error of a response that violates the protocol, sent by a runner that is alive.
type protocolError string

// Error describes the protocol violation.
func (e protocolError) Error() string { return string(e) }

// attempt is the state of one execution of a request at a runner.
type attempt struct {
	// conn is set once a connection is available, since from then on a byte of the request may have been sent.
	conn      atomic.Pointer[httptrace.GotConnInfo]
	forwarded bool
}

// sent reports whether a byte of the request may have been sent.
func (a *attempt) sent() bool { return a.conn.Load() != nil }

// closeConn closes the connection of a response that violates the protocol. A response without a body has returned it
// to the pool already.
func (a *attempt) closeConn() {
	if conn := a.conn.Load(); conn != nil {
		_ = conn.Conn.Close() // fails only if it is closed already
	}
}

// answers reports whether an error response is the runner's answer to the request with an ID. Without the ID it may be an
// earlier response that a faulty runner wrote once more, unless the connection is a new one.
func (a *attempt) answers(resp *http.Response, id cs.RequestID) bool {
	if got := resp.Header.Get(headerRequestID); got != "" {
		return got == string(id)
	}
	return !a.conn.Load().Reused
}

// headerRequestID carries the ID of a request, and that of the request in the response to it.
const headerRequestID = "X-Request-Id"

// post sends a request and returns the response.
func (c *Client) post(ctx context.Context, client *http.Client, a *attempt, url string, body []byte, header http.Header) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.conn.Store(&i) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header
	req.Header.Set("Content-Type", "application/json")
	// If GetBody were set, the transport would send the request again on a new connection when a reused
	// one breaks. It treats http.NoBody as repeatable, too, so an empty body must be a different reader.
	req.GetBody = nil
	if len(body) == 0 {
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
	return do(client, req)
}

// do sends a request and returns the response. A switch of the protocol is an error, since no request asks for it and
// reads from such a connection do not end with the request's context.
func do(client *http.Client, req *http.Request) (*http.Response, error) {
	resp, err := client.Do(req)
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close() // closes the connection
		return nil, protocolError("runner switched the protocol")
	}
	return resp, err
}

// failure returns the result of a failed attempt; the cause of ctx tells whether it was cancelled.
func (c *Client) failure(ctx context.Context, a *attempt, err error) fleet.RunResult {
	cause := context.Cause(ctx)
	if cause != nil && !errors.Is(cause, errIdleTimeout) {
		return fleet.RunCancelled{}
	}
	interrupted := fleet.RunInterrupted{Sent: a.sent(), Forwarded: a.forwarded, Message: err.Error()}
	if cause != nil {
		interrupted.Message = cause.Error()
		// Connections stop responding together; later requests must not wait on the idle ones.
		c.pooled.CloseIdleConnections()
	}
	var violation protocolError
	violated := errors.As(err, &violation)
	if violated {
		a.closeConn()
	}
	closedHere := errors.Is(err, net.ErrClosed) // after a violation in the response to another request
	interrupted.Crashed = interrupted.Sent && cause == nil && !violated && !closedHere
	return interrupted
}

// rejection returns the result of an error response to the request with an ID. A model engine responds with 404 and 429 only to
// requests that it did not start. A service may do so after executing the call; it sets a header if it
// did not execute it.
func (c *Client) rejection(ctx context.Context, a *attempt, resp *http.Response, id cs.RequestID, engine bool) fleet.RunResult {
	if !a.answers(resp, id) {
		return c.failure(ctx, a, protocolError("error response without the id of the request: "+resp.Status))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil {
		body = nil
	}
	var e struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &e) != nil || e.Error == "" {
		e.Error = resp.Status
	}
	notRun := resp.Header.Get("X-Not-Run") == "true" || engine &&
		(resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusTooManyRequests)
	return fleet.RunRejected{
		NotRun:  notRun,
		Leaving: resp.StatusCode == http.StatusServiceUnavailable && notRun,
		Invalid: resp.StatusCode == http.StatusUnprocessableEntity || resp.StatusCode == http.StatusBadRequest,
		Message: e.Error,
	}
}

// maxDocumentBytes limits the size of a JSON document of a runner, such as its load report.
const maxDocumentBytes = 64 << 10

// getJSON fetches a JSON document of at most maxDocumentBytes.
func (c *Client) getJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := do(c.pooled, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxDocumentBytes)).Decode(v)
}

// drain reads the small remainder of a body, so that the connection can be reused.
func drain(body io.Reader) { _, _ = io.CopyN(io.Discard, body, maxErrorBodyBytes) }
