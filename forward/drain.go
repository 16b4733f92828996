package forward

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// drainRefusal returns the refusal of a waiting request that cannot be expected to end before this VM exits, or nil. A
// request that has not run is refused while its caller has time to use another VM.
func drainRefusal(t *gateway.Tables, f *gateway.Forward, now cs.Instant) *cs.Refusal {
	if f.MayHaveRun || t.Drain.CanFinish(now, f.Deadline, t.Durations.Get(f.Route.Name).UpperBound()) {
		return nil
	}
	refusal := leavingRefusal()
	return &refusal
}

// leavingRefusal returns the refusal of a request that has not run and should be sent to another VM.
func leavingRefusal() cs.Refusal {
	return cs.Refusal{Reason: cs.ReasonLeaving, Message: "this VM is leaving"}
}

// observeDuration adds the time that an answered request took at its runner to that of its route.
func observeDuration(t *gateway.Tables, f *gateway.Forward, now cs.Instant) {
	d := t.Durations.Get(f.Route.Name)
	if d == nil {
		d = t.Durations.Insert(f.Route.Name, gateway.RouteDuration{})
	}
	d.Observe(now.Sub(f.SentAt))
}
