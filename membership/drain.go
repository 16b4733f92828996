package membership

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Drain takes this VM through the steps of leaving. A drain is never undone.
func Drain(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for _, e := range t.Events {
		if _, ok := e.(fleet.DrainAsked); ok && t.Drain.Phase == fleet.DrainNone {
			enter(t, now, out, fleet.DrainWaiting)
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
		enter(t, now, out, fleet.DrainFinishing)
	}
	if t.Drain.Phase == fleet.DrainFinishing {
		finish(t, now, out)
	}
}

// finish ends the drain when nothing is in flight or its time is up.
func finish(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	due := t.Drain.Since.Add(t.Config.DrainLimit)
	if now < due && !idle(t) {
		out.WakeAt(due)
		return
	}
	enter(t, now, out, fleet.DrainDone,
		fleet.Field{Name: "requests", Value: t.Requests.Len()},
		fleet.Field{Name: "runs", Value: t.Runs.Len()},
		fleet.Field{Name: "queries", Value: t.Queries.Len()})
	out.Add(fleet.Leave{})
}

func idle(t *fleet.Tables) bool {
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

func enter(t *fleet.Tables, now cs.Instant, out *fleet.Actions, p fleet.DrainPhase, fields ...fleet.Field) {
	t.Drain = fleet.DrainState{Phase: p, Since: now}
	out.Note("drain", p.String(), fields...)
}
