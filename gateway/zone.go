package gateway

import cs "github.com/crocusstile/crocusstile"

// zoneSilence is the silence of all VMs of a data centre after which a cut is suspected: more than
// two reports of each of them are missing.
const zoneSilence = 500 * cs.Millisecond

// Zone is what this VM knows of the path to a data centre.
type Zone struct {
	// HeardAt is when a VM there last reported.
	HeardAt cs.Instant
	// FailedAt is when a runner there was last found unreachable or silent.
	FailedAt cs.Instant
}

//go:generate enumer -type Reach -text -transform lower -trimprefix Reach

// Reach says whether the runners of a data centre can be reached.
type Reach int

// The states of a path.
const (
	// ReachGood means that nothing speaks against the path.
	ReachGood Reach = iota
	// ReachDoubtful means that no VM there reports. They may all have ended, while the runners live.
	ReachDoubtful
	// ReachCut means that, besides, a runner there did not answer since.
	ReachCut
)

// Reach returns the state of the path to a data centre; the own one is always taken for reachable.
func (t *Tables) Reach(dc cs.DataCentreID, now cs.Instant) Reach {
	z := t.Zones.Get(dc)
	if dc == t.Self.DataCentre || z == nil || z.HeardAt == 0 || now.Sub(z.HeardAt) <= zoneSilence {
		return ReachGood
	}
	if z.FailedAt > z.HeardAt {
		return ReachCut
	}
	return ReachDoubtful
}

// heardSince reports whether a VM of a data centre has reported since an instant; of the own data centre, and
// of one without VMs, nothing else is known.
func (t *Tables) heardSince(dc cs.DataCentreID, at cs.Instant) bool {
	z := t.Zones.Get(dc)
	return dc == t.Self.DataCentre || z == nil || z.HeardAt == 0 || z.HeardAt > at
}

// ZoneFailed notes that a runner of a data centre did not answer.
func (t *Tables) ZoneFailed(dc cs.DataCentreID, now cs.Instant) {
	if z := t.Zones.Get(dc); z != nil {
		z.FailedAt = now
	}
}
