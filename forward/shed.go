package forward

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// initialServiceTimeMs is the service time of a request at a runner that is assumed before
	// the first one was measured.
	initialServiceTimeMs = 500.0
	// serviceTimeWeight is the weight of a new sample in the moving average of the service time.
	serviceTimeWeight = 0.05
	// shedWindowRatio is the share of a route's target within which a request may be refused for
	// overload. A later refusal would only cost its caller time.
	shedWindowRatio = 0.25
	// maxWaitRatio is the estimated wait, as a share of a route's target, above which a request is
	// refused. It is half of latestSendRatio: requests that cannot be sent pass latestSendRatio and
	// then no longer wait ahead of new ones, so that the estimate stays below latestSendRatio in
	// any overload.
	maxWaitRatio = 0.2
	// minTimeLeftRatio is the share of the route's time limit that a caller must have had on
	// arrival to be refused for overload. A caller that arrives with less may have been refused
	// before and may have no time to retry.
	minTimeLeftRatio = 0.9
)

// observeServiceTime adds the service time of an answered request to the moving average of its
// service.
func observeServiceTime(t *gateway.Tables, f *gateway.Forward, now cs.Instant) {
	demand := demandOf(t, f.Service)
	if demand.ServiceTimeMs == 0 {
		demand.ServiceTimeMs = initialServiceTimeMs
	}
	demand.ServiceTimeMs += serviceTimeWeight * (float64(now.Sub(f.SentAt)) - demand.ServiceTimeMs)
}

// demandOf returns the demand row of a service and inserts it if there is none.
func demandOf(t *gateway.Tables, id cs.ServiceID) *gateway.ServiceDemand {
	if demand := t.Demands.Get(id); demand != nil {
		return demand
	}
	return t.Demands.Insert(id, gateway.ServiceDemand{})
}

// waitEstimate is what a request that waits for a service can expect during one tick.
type waitEstimate struct {
	// servable means that a runner may become able to take a request before its deadline.
	servable bool
	// estimatedWaitMs is the estimated time until all requests that wait now have been sent.
	estimatedWaitMs float64
}

// estimateWait returns the wait estimate of a service, computed once per tick and kept in cache.
func estimateWait(t *gateway.Tables, id cs.ServiceID, now cs.Instant, cache map[cs.ServiceID]waitEstimate, out *gateway.Actions) waitEstimate {
	if estimate, ok := cache[id]; ok {
		return estimate
	}
	estimate := waitEstimate{servable: !t.RunnersLoaded()}
	slots := cs.Slots(0)
	for _, r := range t.Runners.All() {
		if r.Spec.Service != id || r.Spec.Leaving || t.Reach(r.Spec.DataCentre, now) == gateway.ReachCut {
			continue
		}
		estimate.servable = true
		if r.Usable(now) {
			slots += r.Spec.Slots
		}
	}
	if emptiedAt := t.EmptiedAt.Get(id); !estimate.servable && emptiedAt != nil && now.Sub(*emptiedAt) <= emptiedTimeout {
		estimate.servable = true
		out.WakeAt(emptiedAt.Add(emptiedTimeout + 1))
	}
	demand := demandOf(t, id)
	serviceTimeMs := demand.ServiceTimeMs
	if serviceTimeMs == 0 {
		serviceTimeMs = initialServiceTimeMs
	}
	estimate.estimatedWaitMs = float64(demand.Own+demand.Peers) * serviceTimeMs / float64(max(slots, 1))
	cache[id] = estimate
	return estimate
}

// shouldShed reports whether to refuse a request for overload: it has only just arrived, the
// estimated wait is too long for its target, and its caller has time to retry.
func shouldShed(f *gateway.Forward, now cs.Instant, estimatedWaitMs float64) bool {
	switch target := f.Route.Target; {
	case target == 0 || f.Attempt > 0 || now.Sub(f.Arrived) > cs.Span(shedWindowRatio*float64(target)):
		return false
	case f.Route.Timeout == 0 || float64(f.Deadline.Sub(f.Arrived)) < minTimeLeftRatio*float64(f.Route.Timeout):
		return false
	default:
		return estimatedWaitMs > maxWaitRatio*float64(target)
	}
}
