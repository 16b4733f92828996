package placement

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// settling is the time for which a new batch sender gives no order to a runner that ignores
	// fencing tokens, since an order of the former sender may still be on its way.
	settling = 5 * cs.Second
	// orderTimeout is the time after which an order without an answer counts as lost.
	orderTimeout = 2 * cs.Minute
	// retryAfter is the time between two orders to one runner.
	retryAfter = 5 * cs.Second
)

// Order gives load and unload orders to the runners of which this VM is the batch sender.
//
// A runner is looked at when its load report comes, so that ticks without reports cost nothing.
func Order(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	var deployed []deployment
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.OrderEnded:
			ended(t, e, out)
		case fleet.LoadReported:
			if r := t.Runners.Get(e.Runner); r != nil && mayOrder(t, r, now) {
				if deployed == nil {
					deployed = deployments(t)
				}
				order(t, deployed, r, now, out)
			}
		default:
		}
	}
}

func ended(t *fleet.Tables, e fleet.OrderEnded, out *fleet.Actions) {
	r := t.Runners.Get(e.Runner)
	if r == nil {
		return
	}
	r.OrderOut = false
	if e.Error != "" {
		out.Note("runner", "order failed", fleet.Field{Name: "runner", Value: r.ID},
			fleet.Field{Name: "order", Value: e.Order.Kind.String()},
			fleet.Field{Name: "error", Value: e.Error}, fleet.Field{Name: "stale", Value: e.Stale})
	}
}

// mayOrder reports whether this VM may give the runner an order now.
func mayOrder(t *fleet.Tables, r *fleet.Runner, now cs.Instant) bool {
	switch {
	case r.Kind != cs.KindEngine || r.Sender != t.Self.ID || t.Drain.Phase != fleet.DrainNone:
		return false
	case r.Leaving || r.Report.Leaving:
		return false
	case !r.ChecksFence && now.Sub(r.SenderSince) < settling:
		return false
	case r.OrderAt != 0 && now.Sub(r.OrderAt) < retryAfter:
		return false
	}
	return !orderOut(t, now)
}

// orderOut reports whether an order of this VM is unanswered: it gives one at a time.
func orderOut(t *fleet.Tables, now cs.Instant) bool {
	for _, r := range t.Runners.All() {
		if r.OrderOut && now.Sub(r.OrderAt) < orderTimeout {
			return true
		}
	}
	return false
}

// deployment is a deployment in force with the offset of its ticket.
type deployment struct {
	cs.Deployment
	offset cs.Offset
}

// deployments lists the deployments in force. They are few beside the tickets of tenants, which are
// not to be walked again for each runner.
func deployments(t *fleet.Tables) []deployment {
	list := []deployment{}
	for _, k := range t.Tickets.All() {
		if d, ok := k.Ticket.State.(cs.Deployment); ok {
			list = append(list, deployment{d, k.Offset})
		}
	}
	return list
}

// order gives the runner the first order that a deployment calls for.
func order(t *fleet.Tables, deployed []deployment, r *fleet.Runner, now cs.Instant, out *fleet.Actions) {
	for _, d := range deployed {
		if d.Service != r.Service {
			continue
		}
		if shouldLoad(t, deployed, r, d.Deployment) {
			give(r, cs.Order{Kind: cs.OrderLoad, Fence: d.offset, Model: d.Model, Version: d.Version}, now, out)
			return
		}
		if v, found := outdated(t, deployed, r, d.Deployment); found {
			give(r, cs.Order{Kind: cs.OrderUnload, Fence: d.offset, Model: d.Model, Version: v}, now, out)
			return
		}
	}
}

func give(r *fleet.Runner, o cs.Order, now cs.Instant, out *fleet.Actions) {
	r.OrderAt, r.OrderOut = now, true
	out.Count(fleet.CountOrders, "", 1)
	out.Note("runner", "order", fleet.Field{Name: "runner", Value: r.ID},
		fleet.Field{Name: "kind", Value: o.Kind.String()}, fleet.Field{Name: "model", Value: o.Model},
		fleet.Field{Name: "version", Value: o.Version}, fleet.Field{Name: "fence", Value: o.Fence})
	out.Add(fleet.OrderRunner{Runner: r.ID, Address: r.Address, Order: o})
}
