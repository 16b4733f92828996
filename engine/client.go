// Package engine is the client of runners: model engines and plain services.
//
// It carries the bytes of answers without decoding each token: it checks the id, the sequence
// number and the end marker of each event and passes the rest on as it came.
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

// maxIdlePerRunner bounds the idle connections kept to one runner.
const maxIdlePerRunner = 64

// maxEvent bounds one event of a stream, and what is buffered of it.
const maxEvent = 16 << 10

// maxErrorBody bounds what is read of an error answer.
const maxErrorBody = 4 << 10

// Config holds the time limits and bounds of a Client.
type Config struct {
	// Clock measures spans.
	Clock *cs.Clock
	// DialTimeout bounds the time to open a connection.
	DialTimeout cs.Span
	// FirstByte bounds the wait for the first event of a stream and for a service's answer.
	FirstByte cs.Span
	// Progress bounds the silence between two events of a stream.
	Progress cs.Span
	// MaxAnswer bounds a service's answer and the events of a stream, those of earlier runs included.
	MaxAnswer cs.Bytes
}

// Client talks to runners; it is safe for concurrent use.
type Client struct {
	cfg Config
	// pooled reuses connections; fresh opens one for each call, for calls that must not be
	// repeated, since an idle connection may have gone silent.
	pooled, fresh *http.Client
}

// New returns a client.
func New(c Config) *Client {
	dialer := &net.Dialer{Timeout: c.DialTimeout.Std()}
	transport := func(fresh bool) *http.Transport {
		return &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerRunner,
			IdleConnTimeout: (20 * cs.Second).Std(), DisableKeepAlives: fresh,
			DisableCompression: true, WriteBufferSize: 4 << 10, ReadBufferSize: 16 << 10,
		}
	}
	return &Client{
		cfg:    c,
		pooled: &http.Client{Transport: transport(false), CheckRedirect: noRedirect},
		fresh:  &http.Client{Transport: transport(true), CheckRedirect: noRedirect},
	}
}

// noRedirect makes a redirect an error answer: what a runner names is not in the platform's list,
// and the request that would follow is another than the one that was asked for.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close lets go of idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// errSilent cancels a run whose runner has made no progress within its time limit.
var errSilent = errors.New("no progress within the time limit")

// badAnswer is the error of an answer that breaks the protocol, from a runner that is alive.
type badAnswer string

// Error returns what is wrong with the answer.
func (b badAnswer) Error() string { return string(b) }

// attempt is one exchange with a runner.
type attempt struct {
	sent   atomic.Bool
	passed bool
}

// post sends a request and returns the response; the attempt notes whether a byte may have left.
func (c *Client) post(ctx context.Context, client *http.Client, a *attempt, url string, body []byte, header http.Header) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header
	req.Header.Set("Content-Type", "application/json")
	// Without this the transport would send the request again on a new connection when a reused
	// one breaks. An empty body must not be http.NoBody, which counts as one that can be repeated.
	req.GetBody = nil
	if len(body) == 0 {
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
	return client.Do(req)
}

// broken says how an exchange failed; cancelled ones are told apart by the cause of ctx.
func (c *Client) broken(ctx context.Context, a *attempt, err error) fleet.RunResult {
	cause := context.Cause(ctx)
	if cause != nil && !errors.Is(cause, errSilent) {
		return fleet.RunCancelled{}
	}
	b := fleet.RunBroken{Sent: a.sent.Load(), Passed: a.passed, Message: err.Error()}
	if cause != nil {
		b.Message = cause.Error()
		// Connections go silent together; the next requests must not wait on the idle ones.
		c.pooled.CloseIdleConnections()
	}
	var bad badAnswer
	b.Crashed = b.Sent && cause == nil && !errors.As(err, &bad)
	return b
}

// rejected reads an error answer. Engines answer 404 and 429 to requests that they did not start;
// services may answer them to calls that ran, and say in a header if one did not.
func rejected(resp *http.Response, engine bool) fleet.RunResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
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

// getJSON reads a small JSON answer.
func (c *Client) getJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, int64(c.cfg.MaxAnswer))).Decode(v)
}

// drain reads a small rest, so that the connection can be used again.
func drain(body io.Reader) { _, _ = io.CopyN(io.Discard, body, maxErrorBody) }
