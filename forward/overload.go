package forward

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// usualTook is the time of a request at a runner that is assumed before one was seen, in
	// milliseconds.
	usualTook = 500.0
	// tookWeight is the weight of a new request in the moving average of that time.
	tookWeight = 0.05
	// refuseShare is the share of a route's target within which a request may be refused for overload; a
	// later refusal would only cost its caller time.
	refuseShare = 0.25
	// longWait is the estimated wait, as a share of a route's target, beyond which a request is refused.
	// It is half of freshShare: what cannot be sent grows old, and does not wait in front of new
	// requests any more, so that the estimate stays below freshShare in any overload.
	longWait = 0.2
	// fullTime is the share of its route's time limit that a caller must have left to be refused for
	// overload: one with less may have been refused before, and may have no time to come back.
	fullTime = 0.9
)

// observe takes the time of a request at its runner into account.
func observe(t *gateway.Tables, f *gateway.Forward, now cs.Instant) {
	q := queueOf(t, f.Service)
	if q.Took == 0 {
		q.Took = usualTook
	}
	q.Took += tookWeight * (float64(now.Sub(f.SentAt)) - q.Took)
}

func queueOf(t *gateway.Tables, id cs.ServiceID) *gateway.Queue {
	if q := t.Queues.Get(id); q != nil {
		return q
	}
	return t.Queues.Insert(id, gateway.Queue{})
}

// outlook is what requests that wait for a service may expect in a tick.
type outlook struct {
	// prospects means that a runner may take a request before its deadline.
	prospects bool
	// wait estimates the time in milliseconds until what waits now has been sent.
	wait float64
}

// look returns the outlook of a service, which is found once in a tick.
func look(t *gateway.Tables, id cs.ServiceID, now cs.Instant, known map[cs.ServiceID]outlook, out *gateway.Actions) outlook {
	if o, ok := known[id]; ok {
		return o
	}
	o := outlook{prospects: !t.KnowsRunners()}
	slots := cs.Slots(0)
	for _, r := range t.Runners.All() {
		if r.Spec.Service != id || r.Spec.Leaving || t.Reach(r.Spec.DataCentre, now) == gateway.ReachCut {
			continue
		}
		o.prospects = true
		if r.Usable(now) {
			slots += r.Spec.Slots
		}
	}
	if left := t.Vacancies.Get(id); !o.prospects && left != nil && now.Sub(*left) <= returnWait {
		o.prospects = true
		out.WakeAt(left.Add(returnWait + 1))
	}
	q := queueOf(t, id)
	took := q.Took
	if took == 0 {
		took = usualTook
	}
	o.wait = float64(q.Own+q.Peers) * took / float64(max(slots, 1))
	known[id] = o
	return o
}

// overloaded reports whether a request that has just come cannot be sent in time, by the estimated wait, and
// its caller has time to come back.
func overloaded(f *gateway.Forward, now cs.Instant, wait float64) bool {
	switch target := f.Route.Target; {
	case target == 0 || f.Attempt > 0 || now.Sub(f.Arrived) > cs.Span(refuseShare*float64(target)):
		return false
	case f.Route.Timeout == 0 || float64(f.Deadline.Sub(f.Arrived)) < fullTime*float64(f.Route.Timeout):
		return false
	default:
		return wait > longWait*float64(target)
	}
}
