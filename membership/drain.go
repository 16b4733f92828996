package membership

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Drain advances the phases of this VM's drain. A drain cannot be cancelled.
func Drain(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for _, e := range t.Events {
		if _, ok := e.(fleet.DrainRequested); ok && t.Drain.Phase == fleet.DrainNone {
			enterPhase(t, now, out, fleet.DrainWaiting)
			if self := t.VMs.Get(t.Self.ID); self != nil {
				setLeaving(t, now, self, true)
			}
		}
	}
	if t.Drain.Phase == fleet.DrainWaiting {
		if due := t.Drain.Since.Add(t.Config.DrainWait); now < due {
			out.WakeAt(due)
			return
		}
		enterPhase(t, now, out, fleet.DrainFinishing)
	}
	if t.Drain.Phase == fleet.DrainFinishing {
		finishDrain(t, now, out)
	}
}

// finishDrain ends the drain when nothing is in flight or Config.DrainLimit has passed.
func finishDrain(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	due := t.Drain.Since.Add(t.Config.DrainLimit)
	if now < due && !nothingInFlight(t) {
		out.WakeAt(due)
		return
	}
	enterPhase(t, now, out, fleet.DrainDone,
		fleet.Field{Name: "requests", Value: t.Requests.Len()},
		fleet.Field{Name: "runs", Value: t.Runs.Len()},
		fleet.Field{Name: "queries", Value: t.Queries.Len()})
	out.Add(fleet.Exit{})
}

// nothingInFlight reports whether this VM has no requests, batch runs or queries and owns no shard.
func nothingInFlight(t *fleet.Tables) bool {
	if t.Requests.Len() > 0 || t.Runs.Len() > 0 || t.Queries.Len() > 0 {
		return false
	}
	for _, s := range t.Shards.All() {
		if s.Owned {
			return false
		}
	}
	return true
}

// enterPhase starts a phase of the drain and logs it.
func enterPhase(t *fleet.Tables, now cs.Instant, out *fleet.Actions, p fleet.DrainPhase, fields ...fleet.Field) {
	t.Drain = fleet.DrainState{Phase: p, Since: now}
	out.LogChange("drain", p.String(), fields...)
}
