package placement

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// settlingTime is how long a new batch sender sends no orders to a runner that does not check
	// fencing tokens, since an order of the former sender may still be in flight.
	settlingTime = 5 * cs.Second
	// orderTimeout is the time after which an order without a response counts as lost.
	orderTimeout = 2 * cs.Minute
	// minOrderInterval is the minimum time between two orders to the same runner.
	minOrderInterval = 5 * cs.Second
)

// Order sends load and unload orders to the runners of which this VM is the batch sender.
//
// A runner is examined when its load report arrives, so that ticks without reports cost nothing.
func Order(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	var deployed []deployment
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.OrderAnswered:
			recordOutcome(t, e, out)
		case fleet.LoadReceived:
			if r := t.Runners.Get(e.Runner); r != nil && mayOrder(t, r, now) {
				if deployed == nil {
					deployed = deploymentsInForce(t)
				}
				orderRunner(t, deployed, r, now, out)
			}
		default:
		}
	}
}

// recordOutcome clears the runner's pending order and logs a failure.
func recordOutcome(t *fleet.Tables, e fleet.OrderAnswered, out *fleet.Actions) {
	r := t.Runners.Get(e.Runner)
	if r == nil {
		return
	}
	r.OrderPending = false
	if e.Error != "" {
		out.LogChange("runner", "order failed", fleet.Field{Name: "runner", Value: r.ID},
			fleet.Field{Name: "order", Value: e.Order.Kind.String()},
			fleet.Field{Name: "error", Value: e.Error}, fleet.Field{Name: "stale", Value: e.Stale})
	}
}

// mayOrder reports whether this VM may send the runner an order now.
func mayOrder(t *fleet.Tables, r *fleet.Runner, now cs.Instant) bool {
	switch {
	case r.Kind != cs.KindEngine || r.Sender != t.Self.ID || t.Drain.Phase != fleet.DrainNone:
		return false
	case r.Leaving || r.Report.Leaving:
		return false
	case !r.ChecksFencingToken && now.Sub(r.SenderSince) < settlingTime:
		return false
	case r.OrderAt != 0 && now.Sub(r.OrderAt) < minOrderInterval:
		return false
	}
	return !orderPending(t, now)
}

// orderPending reports whether an order of this VM to any runner has neither been answered nor
// timed out. A VM sends one order at a time.
func orderPending(t *fleet.Tables, now cs.Instant) bool {
	for _, r := range t.Runners.All() {
		if r.OrderPending && now.Sub(r.OrderAt) < orderTimeout {
			return true
		}
	}
	return false
}

// deployment is a deployment in force with its ticket's offset, the fencing token of its orders.
type deployment struct {
	cs.Deployment
	offset cs.Offset
}

// deploymentsInForce lists the deployments in force. It is called at most once per tick, because it
// scans all tickets, and those of tenants far outnumber those of deployments.
func deploymentsInForce(t *fleet.Tables) []deployment {
	list := []deployment{}
	for _, row := range t.Tickets.All() {
		if d, ok := row.Ticket.State.(cs.Deployment); ok {
			list = append(list, deployment{d, row.Offset})
		}
	}
	return list
}

// orderRunner sends the runner at most one order: the first that a deployment of its service
// requires.
func orderRunner(t *fleet.Tables, deployed []deployment, r *fleet.Runner, now cs.Instant, out *fleet.Actions) {
	for _, d := range deployed {
		if d.Service != r.Service {
			continue
		}
		if shouldLoad(t, deployed, r, d.Deployment) {
			sendOrder(r, cs.Order{Kind: cs.OrderLoad, Fence: d.offset, Model: d.Model, Version: d.Version}, now, out)
			return
		}
		if v, found := versionToUnload(t, deployed, r, d.Deployment); found {
			sendOrder(r, cs.Order{Kind: cs.OrderUnload, Fence: d.offset, Model: d.Model, Version: v}, now, out)
			return
		}
	}
}

// sendOrder adds the action for an order and marks the order as pending.
func sendOrder(r *fleet.Runner, o cs.Order, now cs.Instant, out *fleet.Actions) {
	r.OrderAt, r.OrderPending = now, true
	out.Count(fleet.CountOrders, "", 1)
	out.LogChange("runner", "order", fleet.Field{Name: "runner", Value: r.ID},
		fleet.Field{Name: "kind", Value: o.Kind.String()}, fleet.Field{Name: "model", Value: o.Model},
		fleet.Field{Name: "version", Value: o.Version}, fleet.Field{Name: "fence", Value: o.Fence})
	out.Add(fleet.OrderRunner{Runner: r.ID, Address: r.Address, Order: o})
}
