package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Call calls a plain service at addr. newConnection requires a new connection, as for a call that is not idempotent or
// that the service may have responded to before.
//
// The response is complete only if the result is fleet.RunCompleted: it had the request's id and the
// announced length. timeout limits the duration of the whole call; 0 means Config.FirstByteTimeout.
func (c *Client) Call(ctx context.Context, addr cs.Address, id cs.RequestID, call cs.ServiceCall, key cs.IdempotencyKey, newConnection bool, timeout cs.Span) ([]byte, fleet.RunResult) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if timeout <= 0 {
		timeout = c.cfg.FirstByteTimeout
	}
	a := &attempt{}
	timer := time.AfterFunc(timeout.Std(), func() { cancel(errIdleTimeout) })
	defer timer.Stop()
	header := http.Header{headerRequestID: {string(id)}}
	if key != "" {
		header.Set("X-Idempotency-Key", string(key))
	}
	client := c.pooled
	if newConnection {
		client = c.unpooled
	}
	started := c.cfg.Clock.Now()
	resp, err := c.post(ctx, client, a, "http://"+string(addr)+"/v1/call/"+url.PathEscape(call.Method), call.Body, header)
	if err != nil {
		return nil, c.failure(ctx, a, err)
	}
	// Closing a body that has not been read to its end also closes the connection.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, c.rejection(ctx, a, resp, id, false)
	}
	body, err := c.readResponse(resp, id)
	if err != nil {
		return nil, c.failure(ctx, a, err)
	}
	elapsed := c.cfg.Clock.Now().Sub(started)
	var load cs.Load
	if err := json.Unmarshal([]byte(resp.Header.Get("X-Load")), &load); err != nil {
		load = cs.Load{} // the load is a hint; a response without it is complete
	}
	return body, fleet.RunCompleted{FirstToken: elapsed, Duration: elapsed, Load: load}
}

// readResponse reads a service's response and checks that it is complete and belongs to the request.
func (c *Client) readResponse(resp *http.Response, id cs.RequestID) ([]byte, error) {
	if gotID := resp.Header.Get(headerRequestID); gotID != string(id) {
		return nil, protocolError("answer to another request: " + gotID)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, protocolError("answer without a length cannot be told from one that broke off")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.cfg.MaxResponse)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > int(c.cfg.MaxResponse) {
		return nil, protocolError("answer is larger than the limit")
	}
	return body, nil
}

// loadResponse is the load report of the runner protocol.
type loadResponse struct {
	Running cs.Slots   `json:"running"`
	Waiting cs.Slots   `json:"waiting"`
	Slots   cs.Slots   `json:"slots"`
	Batch   cs.Slots   `json:"batch"`
	Leaving bool       `json:"leaving"`
	Loaded  []string   `json:"loaded"`
	AtMs    cs.Instant `json:"atMs"`
}

// Load fetches a runner's load report; loaded models without a version are left out.
func (c *Client) Load(ctx context.Context, addr cs.Address) (cs.LoadReport, error) {
	var b loadResponse
	if err := c.getJSON(ctx, "http://"+string(addr)+"/v1/load", &b); err != nil {
		return cs.LoadReport{}, err
	}
	r := cs.LoadReport{
		Load:  cs.Load{Running: b.Running, Waiting: b.Waiting, Slots: b.Slots},
		Batch: b.Batch, Leaving: b.Leaving, At: b.AtMs,
	}
	for _, name := range b.Loaded {
		if model, version, ok := splitModelVersion(name); ok {
			r.Loaded = append(r.Loaded, cs.LoadedModel{Model: cs.ModelID(model), Version: cs.VersionID(version)})
		}
	}
	return r, nil
}

func splitModelVersion(name string) (model, version string, ok bool) {
	i := bytes.LastIndexByte([]byte(name), '/')
	if i < 0 {
		return "", "", false
	}
	return name[:i], name[i+1:], true
}

// Cancel tells a model engine to cancel a run; cancelling a run that has already ended is not an error.
func (c *Client) Cancel(ctx context.Context, addr cs.Address, id cs.RequestID) error {
	body, err := json.Marshal(struct {
		ID cs.RequestID `json:"id"`
	}{id})
	if err != nil {
		return err
	}
	resp, err := c.post(ctx, c.pooled, &attempt{}, "http://"+string(addr)+"/v1/cancel", body, http.Header{})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	drain(resp.Body)
	return nil
}

// ErrStaleOrder means that the runner rejected an order because of its outdated fencing token.
var ErrStaleOrder = errors.New("the runner has seen a newer fencing token")

// Order sends an order to a runner; the error is ErrStaleOrder if its fencing token is outdated.
func (c *Client) Order(ctx context.Context, addr cs.Address, o cs.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	resp, err := c.post(ctx, c.pooled, &attempt{}, "http://"+string(addr)+"/v1/orders", body, http.Header{})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	defer drain(resp.Body)
	switch {
	case resp.StatusCode == http.StatusConflict:
		return ErrStaleOrder
	case resp.StatusCode >= http.StatusMultipleChoices:
		return errors.Newf("order: %s", resp.Status)
	}
	return nil
}
