package gateway

import cs "github.com/crocusstile/crocusstile"

// PossibleCrash is a connection to a runner that was lost while a request or an item was in flight. Whether the runner
// has crashed is decided later, when its registration or its address shows it (see Crashed).
type PossibleCrash struct {
	// Content is the content of an online request, or 0 for an item.
	Content cs.ContentHash
	Parts   []cs.PromptPart
	// Begun means that the response had begun.
	Begun       bool
	Request     cs.RequestID
	Item        cs.ItemID
	Runner      cs.RunnerID
	Incarnation cs.Incarnation
	DataCentre  cs.DataCentreID
	At          cs.Instant
}

// CrashDetectionWindow is how long after a lost connection its runner may still be found to
// have crashed. A registration expires after three heartbeat intervals of about 1.2 s, and the
// expiry is read within 500 ms.
const CrashDetectionWindow = 6 * cs.Second

// RecordPossibleCrash records a lost connection to a runner as a possible crash. It does nothing for a runner that is no
// longer in the table (nil) or that is draining, since a draining runner closes its connections without a
// crash.
func (t *Tables) RecordPossibleCrash(r *Runner, p PossibleCrash) {
	if r == nil || r.Leaving() {
		return
	}
	p.Runner, p.Incarnation, p.DataCentre = r.Spec.ID, r.Spec.Incarnation, r.Spec.DataCentre
	t.PossibleCrashes = append(t.PossibleCrashes, p)
}

// Crashed reports whether the runner of a lost connection has stopped since: its registration is gone, it
// has restarted, or nothing listens at its address. While no VM of its data centre reports, the data centre
// may be partitioned from this VM: connections are then refused, or registrations expire, although the
// runners are up. Nothing counts as a crash then, and a refused connection counts only once a VM of the data
// centre has reported after it or another runner there has responded.
func (t *Tables) Crashed(p PossibleCrash, now cs.Instant) bool {
	if t.Reach(p.DataCentre, now) != ReachGood {
		return false
	}
	r := t.Runners.Get(p.Runner)
	if r == nil || r.Spec.Incarnation != p.Incarnation {
		return true
	}
	refusedAt := max(r.RefusedAt, r.PeerRefusedAt)
	return refusedAt >= p.At.Add(-sameFailureWindow) && t.heardSince(p.DataCentre, refusedAt)
}
