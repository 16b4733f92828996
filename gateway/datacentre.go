package gateway

import cs "github.com/crocusstile/crocusstile"

// dataCentreTimeout is the time without a report from any VM of a data centre after which a network partition
// is suspected: more than two report intervals of an idle VM, which are 200 ms each.
const dataCentreTimeout = 500 * cs.Millisecond

// DataCentreState is the state of the network path from this VM to a data centre.
type DataCentreState struct {
	// LastReportAt is when the last report from a VM there arrived, or 0.
	LastReportAt cs.Instant
	// FailedAt is when a runner there was last unreachable, a connection to one was lost, or one sent nothing
	// in time.
	FailedAt cs.Instant
}

//go:generate enumer -type Reach -text -transform lower -trimprefix Reach

// Reach is the reachability of the runners of a data centre.
type Reach int

// The values of Reach, from best to worst.
const (
	// ReachGood means that there is no sign of a network partition.
	ReachGood Reach = iota
	// ReachDoubtful means that no VM there reports. The path may be down, or all VMs there may have
	// stopped while the runners are up.
	ReachDoubtful
	// ReachCut means that no VM there reports and, since the last report, an attempt at a runner there has
	// failed as well.
	ReachCut
)

// Reach returns the reachability of a data centre. It is always ReachGood for this VM's own data centre
// and for one whose VMs have never reported.
func (t *Tables) Reach(dc cs.DataCentreID, now cs.Instant) Reach {
	state := t.DataCentres.Get(dc)
	if dc == t.Self.DataCentre || state == nil || state.LastReportAt == 0 || now.Sub(state.LastReportAt) <= dataCentreTimeout {
		return ReachGood
	}
	if state.FailedAt > state.LastReportAt {
		return ReachCut
	}
	return ReachDoubtful
}

// reportedSince reports whether a VM of a data centre has reported since an instant. It returns true for this
// VM's own data centre and for one whose VMs have never reported, since reports cannot tell there.
func (t *Tables) reportedSince(dc cs.DataCentreID, at cs.Instant) bool {
	state := t.DataCentres.Get(dc)
	return dc == t.Self.DataCentre || state == nil || state.LastReportAt == 0 || state.LastReportAt > at
}

// RecordDataCentreFailure records a failed attempt at a runner of a data centre. A data centre whose VMs have
// never reported has no row and is skipped.
func (t *Tables) RecordDataCentreFailure(dc cs.DataCentreID, now cs.Instant) {
	if state := t.DataCentres.Get(dc); state != nil {
		state.FailedAt = now
	}
}
