package forward

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// choose returns the least loaded runner of the request's service that has room, or nil. Of runners
// with room in their slots those of this data centre are preferred. A runner whose slots are taken
// by batch runs counts as having room, since those are stopped for online requests. A request that will
// be late does not wait at a runner, where others that can be in time would wait behind it.
func choose(t *gateway.Tables, f *gateway.Forward, now cs.Instant) *gateway.Runner {
	var best *gateway.Runner
	bestCost := 0.0
	only := triedAll(t, f, now)
	queue := cs.Slots(0)
	if fresh(f, now) {
		queue = queueDepth
	}
	for id, r := range t.Runners.All() {
		if r.Spec.Service != f.Service || !r.Usable(now) || tried(f, id) && !only {
			continue
		}
		online := r.Online + r.PeerOnline
		if online >= r.Spec.Slots+queue {
			continue
		}
		reach := t.Reach(r.Spec.DataCentre, now)
		if reach == gateway.ReachCut {
			continue
		}
		cost := cost(t, r) + t.Rand.Float64()*tieBreak
		if reach == gateway.ReachDoubtful {
			cost += doubtCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best
}

// triedAll reports whether the request has been at all runners that can be reached, so that it may go
// to one of them again.
func triedAll(t *gateway.Tables, f *gateway.Forward, now cs.Instant) bool {
	if len(f.Tried) == 0 {
		return false
	}
	for id, r := range t.Runners.All() {
		if r.Spec.Service == f.Service && !r.Spec.Leaving && !tried(f, id) && t.Reach(r.Spec.DataCentre, now) != gateway.ReachCut {
			return false
		}
	}
	return true
}

// The weights of a choice, in shares of a runner's slots.
const (
	// tieBreak spreads the choices of VMs that see the same loads.
	tieBreak = 0.12
	// remoteCost is what a runner in another data centre must have less of load to be preferred.
	remoteCost = 0.1
	// doubtCost is added for a data centre that may be cut off: a request goes there only when all
	// other runners are full.
	doubtCost = 3.0
	// fullCost is added to a runner without a free slot: a request there waits for a run to end or
	// to be stopped.
	fullCost = 1.0
)

// cost ranks a runner: its load as a share of its slots.
func cost(t *gateway.Tables, r *gateway.Runner) float64 {
	slots := float64(r.Spec.Slots)
	c := float64(r.Load()) / slots
	if r.Load() >= r.Spec.Slots {
		c = fullCost + float64(r.Online+r.PeerOnline)/slots
	}
	if r.Spec.DataCentre != t.Self.DataCentre {
		c += remoteCost
	}
	return c
}
