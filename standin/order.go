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

// OrderEntry is an order that a runner received.
type OrderEntry struct {
	cs.Order
	// Taken is false if the order's fencing token was old.
	Taken bool       `json:"taken"`
	At    cs.Instant `json:"atMs"`
}

// orderBook holds the orders received and the highest fencing token among them.
type orderBook struct {
	fence   cs.Offset
	role    string
	entries []OrderEntry
}

// admit notes an order and tells whether it is to be carried out.
func (b *orderBook) admit(now cs.Instant, o cs.Order, checksFence bool) bool {
	taken := !checksFence || o.Fence >= b.fence
	b.fence = max(b.fence, o.Fence)
	b.entries = append(b.entries[:len(b.entries):len(b.entries)], OrderEntry{Order: o, Taken: taken, At: now})
	return taken
}

// take carries out an order; it returns false if the order's fencing token is old.
func (r *Runner) take(ctx context.Context, o cs.Order) bool {
	now, g := r.now(), &r.engine
	if !g.orders.admit(now, o, r.config.ChecksFencingToken) {
		return false
	}
	model := cs.LoadedModel{Model: o.Model, Version: o.Version}
	switch o.Kind {
	case cs.OrderLoad:
		if g.loaded.Get(model) != nil {
			break
		}
		g.setLoaded(now, model, false)
		r.loads.Go(func() { r.load(ctx, model) })
	case cs.OrderUnload:
		g.loaded.Delete(model)
		g.report(now)
	case cs.OrderRole:
		g.orders.role = o.Role
	}
	return true
}

// load fetches a model's weights, takes the time of loading and reports the model as ready.
func (r *Runner) load(ctx context.Context, m cs.LoadedModel) {
	for r.config.WeightStore != "" {
		wait, err := fetchWeights(ctx, r.config.WeightStore, m)
		if err == nil {
			break
		}
		if !pause(ctx.Done(), wait) {
			return
		}
	}
	if pause(ctx.Done(), r.config.LoadTime) {
		r.inbox.send(ctx, modelLoaded{model: m})
	}
}

// fetchWeights reads a model's weights once; after an error, it returns the time to wait.
func fetchWeights(ctx context.Context, store cs.Address, m cs.LoadedModel) (cs.Span, error) {
	url := fmt.Sprintf("http://%s/v1/weights/%s/%s", store, m.Model, m.Version)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return cs.Second, err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return cs.Second, err
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		seconds, _ := strconv.Atoi(a.Header.Get("Retry-After"))
		return max(cs.Second, cs.Span(seconds)*cs.Second), errors.Newf("the weight store answered %s", a.Status)
	}
	_, err = io.Copy(io.Discard, a.Body)
	return cs.Second, err
}

func (r *Runner) handleOrder(w http.ResponseWriter, q *http.Request) {
	var order cs.Order
	if !readJSON(w, q, &order) {
		return
	}
	taken, ok := ask(q.Context(), &r.inbox, func(reply chan<- bool) runnerEvent {
		return orderAsked{order: order, reply: reply}
	})
	if !ok {
		abort()
	}
	if !taken {
		writeError(w, http.StatusConflict, "the fencing token %d is old", order.Fence)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// handleOrders answers the orders received as JSON lines.
func (r *Runner) handleOrders(w http.ResponseWriter, q *http.Request) {
	entries, ok := ask(q.Context(), &r.inbox, func(reply chan<- []OrderEntry) runnerEvent {
		return ordersAsked{reply: reply}
	})
	if !ok {
		abort()
	}
	writeLines(w, entries)
}
