package forward

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// StopRemaining cancels the attempts that are in progress when a drain runs out of time, so that their callers are
// answered before the process exits, and the runners end the work.
func StopRemaining(t *gateway.Tables, _ cs.Instant, out *gateway.Actions) {
	if !t.Drain.Stopping {
		return
	}
	for id, f := range t.Forwards.All() {
		if f.Phase == gateway.ForwardRunning && !f.Stopped {
			f.Stopped = true
			out.Add(gateway.StopForward{ID: id})
		}
	}
}

// drainRefusal returns the refusal of a waiting request that may not end before this VM exits, or nil. A
// request that has not run is refused while its caller has time to use another VM. One that may have run is given up
// only when the drain stops all work.
func drainRefusal(t *gateway.Tables, f *gateway.Forward, now cs.Instant) *cs.Refusal {
	switch {
	case f.MayHaveRun && t.Drain.Stopping:
		return &cs.Refusal{Reason: cs.ReasonBroken, Ran: ranSoFar(f), Message: "this VM exits before the request has ended"}
	case !f.MayHaveRun && !t.Drain.CanFinish(f.Deadline):
		refusal := leavingRefusal()
		return &refusal
	default:
		return nil
	}
}

// leavingRefusal returns the refusal of a request that has not run and should be sent to another VM.
func leavingRefusal() cs.Refusal {
	return cs.Refusal{Reason: cs.ReasonLeaving, Message: "this VM is leaving"}
}
