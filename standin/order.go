package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	cs "github.com/crocusstile/crocusstile"
)

// ReceivedOrder is an order that a runner received, with the time and whether the runner carried it out.
type ReceivedOrder struct {
	cs.Order
	// Accepted is false if the runner rejected the order because of its fencing token.
	Accepted bool       `json:"taken"`
	At       cs.Instant `json:"atMs"`
}

// orderHistory holds the orders received and the highest fencing token among them.
type orderHistory struct {
	highestFence cs.Offset
	role         string
	received     []ReceivedOrder
}

// record adds an order to the history and tells whether it is to be carried out.
func (h *orderHistory) record(now cs.Instant, order cs.Order, checksFence bool) bool {
	accepted := !checksFence || order.Fence >= h.highestFence
	h.highestFence = max(h.highestFence, order.Fence)
	h.received = append(h.received[:len(h.received):len(h.received)], ReceivedOrder{Order: order, Accepted: accepted, At: now})
	return accepted
}

// applyOrder carries out an order; it returns false if the order's fencing token is stale.
func (r *Runner) applyOrder(ctx context.Context, order cs.Order) bool {
	now, g := r.now(), &r.engine
	if !g.orders.record(now, order, r.config.ChecksFencingToken) {
		return false
	}
	model := cs.LoadedModel{Model: order.Model, Version: order.Version}
	switch order.Kind {
	case cs.OrderLoad:
		if g.loaded.Get(model) != nil {
			break
		}
		g.setLoaded(now, model, false)
		r.loads.Go(func() { r.loadModel(ctx, model) })
	case cs.OrderUnload:
		g.loaded.Delete(model)
		g.recordLoad(now)
	case cs.OrderRole:
		g.orders.role = order.Role
	}
	return true
}

// loadModel fetches a model's weights, retrying until it succeeds, waits for the load time and reports the
// model as ready.
func (r *Runner) loadModel(ctx context.Context, m cs.LoadedModel) {
	for r.config.WeightStore != "" {
		retryAfter, err := fetchWeights(ctx, r.config.WeightStore, m)
		if err == nil {
			break
		}
		if !pause(ctx.Done(), retryAfter) {
			return
		}
	}
	if pause(ctx.Done(), r.config.LoadTime) {
		r.inbox.send(ctx, modelLoaded{model: m})
	}
}

// fetchWeights makes one attempt to read a model's weights; with an error, it also returns the time to
// wait before the next attempt.
func fetchWeights(ctx context.Context, store cs.Address, m cs.LoadedModel) (cs.Span, error) {
	url := fmt.Sprintf("http://%s/v1/weights/%s/%s", store, m.Model, m.Version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return cs.Second, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return cs.Second, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		return max(cs.Second, cs.Span(seconds)*cs.Second), errors.Newf("weight store responded with status %s", resp.Status)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return cs.Second, err
}

func (r *Runner) handleOrder(w http.ResponseWriter, req *http.Request) {
	var order cs.Order
	if !readJSON(w, req, &order) {
		return
	}
	accepted, ok := sendForReply(req.Context(), &r.inbox, func(reply chan<- bool) runnerEvent {
		return orderReceived{order: order, reply: reply}
	})
	if !ok {
		abort()
	}
	if !accepted {
		writeError(w, http.StatusConflict, "the fencing token %d is old", order.Fence)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// handleOrders responds with the orders received so far as JSON lines.
func (r *Runner) handleOrders(w http.ResponseWriter, req *http.Request) {
	orders, ok := sendForReply(req.Context(), &r.inbox, func(reply chan<- []ReceivedOrder) runnerEvent {
		return ordersRequested{reply: reply}
	})
	if !ok {
		abort()
	}
	writeJSONLines(w, orders)
}
