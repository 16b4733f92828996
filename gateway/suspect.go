package gateway

import cs "github.com/crocusstile/crocusstile"

// Suspect is a content that was in flight on runners when they crashed.
type Suspect struct {
	Crashes int
	Seen    cs.Instant
}

// SuspectCount tells how many runners a content has crashed.
type SuspectCount struct {
	Content cs.ContentHash `cbor:"c"`
	Crashes int            `cbor:"n"`
}

// Break is a connection that broke while a content was in flight on its runner. Whether the runner has
// crashed shows later.
type Break struct {
	Content cs.ContentHash
	// Request or Item names what was in flight.
	Request     cs.RequestID
	Item        cs.ItemID
	Runner      cs.RunnerID
	Incarnation cs.Incarnation
	DataCentre  cs.DataCentreID
	At          cs.Instant
}

// Broke notes that the connection to a runner broke; nil stands for a runner that is gone. One that is
// leaving ends its connections without a crash.
func (t *Tables) Broke(r *Runner, b Break) {
	if r == nil || r.Spec.Leaving {
		return
	}
	b.Runner, b.Incarnation, b.DataCentre = r.Spec.ID, r.Spec.Incarnation, r.Spec.DataCentre
	t.Breaks = append(t.Breaks, b)
}

// Crashed reports whether the runner of a broken connection is known to have ended since. While no VM of its
// data centre reports, that may be cut off: its runners refuse connections, or lose their entries, and live.
func (t *Tables) Crashed(b Break, now cs.Instant) bool {
	if t.Reach(b.DataCentre, now) != ReachGood {
		return false
	}
	r := t.Runners.Get(b.Runner)
	if r == nil || r.Spec.Incarnation != b.Incarnation {
		return true
	}
	return r.RefusedAt >= b.At && t.heardSince(b.DataCentre, r.RefusedAt)
}
