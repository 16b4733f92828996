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
	// limited means that a runner can be reached but names a limit of which this VM has no share.
	limited bool
	// estimatedWaitMs is the estimated time until all requests that wait now have been sent.
	estimatedWaitMs float64
	// limitRate is the rate at which this VM and others may send to the runners that name a limit, if the
	// service has no others, and 0 otherwise.
	limitRate cs.PerSecond
	// waiting is the number of requests that were looked at in this tick and still wait.
	waiting int
}

// limitExceeded reports whether the requests that wait, up to the one that was last looked at, exceed
// what this VM may send until the deadline by the limits that all runners name.
func (e *waitEstimate) limitExceeded(now, deadline cs.Instant) bool {
	return e.limitRate > 0 && float64(e.waiting) > 1+float64(e.limitRate)*float64(deadline.Sub(now))/1000
}

// maxWaitRatio returns the estimated wait, as a share of a route's target, above which a request is
// refused. A wait for the limits of runners is known, so that it may take until latestSendRatio.
func (e *waitEstimate) maxWaitRatio() float64 {
	if e.limitRate > 0 {
		return latestSendRatio
	}
	return maxWaitRatio
}

// serviceCapacity is what the reachable runners of a service can take.
type serviceCapacity struct {
	// unlimited means that a runner names no limit, whether or not it can be used at present, and slots are
	// those of the usable ones.
	unlimited bool
	slots     cs.Slots
	// limitRate is the sum of the limits that runners name, and ownRate that of those to which this VM may
	// send.
	limitRate, ownRate cs.PerSecond
	// nextAt is when this VM may next send to a runner that names a limit, or 0.
	nextAt cs.Instant
}

// estimateWait returns the wait estimate of a service, computed once per tick and kept in cache.
func estimateWait(t *gateway.Tables, id cs.ServiceID, now cs.Instant, cache map[cs.ServiceID]*waitEstimate, out *gateway.Actions) *waitEstimate {
	if estimate := cache[id]; estimate != nil {
		return estimate
	}
	estimate := &waitEstimate{servable: !t.RunnersLoaded()}
	cache[id] = estimate
	capacity := capacityOf(t, id, now, estimate)
	if capacity.nextAt > now {
		out.WakeAt(capacity.nextAt)
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
	if !capacity.unlimited && capacity.ownRate > 0 {
		estimate.limitRate = capacity.ownRate
		estimate.estimatedWaitMs = float64(max(capacity.nextAt.Sub(now), 0)) + float64(max(demand.Own-1, 0))*1000/float64(capacity.ownRate)
		return estimate
	}
	// A runner that names a limit stands for the slots that this many requests a second occupy.
	slots := max(float64(capacity.slots)+float64(capacity.limitRate)*serviceTimeMs/1000, 1)
	estimate.estimatedWaitMs = float64(demand.Own+demand.Peers) * serviceTimeMs / slots
	return estimate
}

// capacityOf returns the capacity of a service, and sets in the estimate whether there is any for this
// VM.
func capacityOf(t *gateway.Tables, id cs.ServiceID, now cs.Instant, estimate *waitEstimate) serviceCapacity {
	var capacity serviceCapacity
	for _, r := range t.Runners.All() {
		if r.Spec.Service != id || r.Leaving() || t.Reach(r.Spec.DataCentre, now) == gateway.ReachCut {
			continue
		}
		if !r.MayEverSend() {
			estimate.limited = true
		} else {
			estimate.servable = true
		}
		capacity.unlimited = capacity.unlimited || !r.Limit.Named
		switch {
		case !r.Usable(now):
		case !r.Limit.Named:
			capacity.slots += r.Spec.Slots
		default:
			capacity.limitRate += r.Limit.Rate
			if !r.Limit.Sender {
				continue
			}
			capacity.ownRate += r.Limit.Bucket.Rate
			if at := r.NextWithinLimit(); capacity.nextAt == 0 || at < capacity.nextAt {
				capacity.nextAt = at
			}
		}
	}
	return capacity
}

// shouldShed reports whether to refuse a request for overload: it has only just arrived, the
// estimated wait is too long for its target, and its caller has time to retry.
func shouldShed(f *gateway.Forward, now cs.Instant, estimate *waitEstimate) bool {
	switch target := f.Route.Target; {
	case target == 0 || f.Attempt > 0 || now.Sub(f.Arrived) > cs.Span(shedWindowRatio*float64(target)):
		return false
	case f.Route.Timeout == 0 || float64(f.Deadline.Sub(f.Arrived)) < minTimeLeftRatio*float64(f.Route.Timeout):
		return false
	default:
		return estimate.estimatedWaitMs > estimate.maxWaitRatio()*float64(target)
	}
}
