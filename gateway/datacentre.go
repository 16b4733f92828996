package gateway

import cs "github.com/crocusstile/crocusstile"

// dataCentreTimeout is the time without a report from any VM of a data centre after which a network partition
// is suspected: more than two report intervals of an idle VM, which are 200 ms each.
const dataCentreTimeout = 500 * cs.Millisecond

// probeInterval is the time between two requests that are sent to find out whether the runners of a data centre can be reached.
const probeInterval = 2 * cs.Second

// DataCentreState is the state of the network path from this VM to a data centre.
type DataCentreState struct {
	// LastReportAt is when the last report from a VM there arrived, or 0.
	LastReportAt cs.Instant
	// FailedAt is when a runner there was last unreachable, a connection to one was lost, or one sent nothing
	// in time.
	FailedAt cs.Instant
	// RespondedAt is when a runner there last responded, or 0.
	RespondedAt cs.Instant
	// ProbedAt is when a request was last sent there while the reachability was not ReachGood, or 0.
	ProbedAt cs.Instant
}

// isSilenceRefuted reports whether a runner has responded after the VMs had fallen silent. Their silence then is no sign of a
// network partition: they have stopped.
func (s *DataCentreState) isSilenceRefuted() bool {
	return s.RespondedAt > s.LastReportAt.Add(dataCentreTimeout)
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
	// failed as well and none has responded.
	ReachCut
)

// Reach returns the reachability of a data centre. It is always ReachGood for this VM's own data centre
// and for one whose VMs have never reported.
func (t *Tables) Reach(dc cs.DataCentreID, now cs.Instant) Reach {
	state := t.DataCentres.Get(dc)
	switch {
	case dc == t.Self.DataCentre || state == nil || state.LastReportAt == 0 || now.Sub(state.LastReportAt) <= dataCentreTimeout:
		return ReachGood
	case state.isSilenceRefuted() && state.FailedAt < state.RespondedAt:
		return ReachGood
	case state.isSilenceRefuted() || state.FailedAt <= state.LastReportAt:
		return ReachDoubtful
	default:
		return ReachCut
	}
}

// IsProbeDue reports whether a request may be sent to a data centre in order to find out whether its runners can be reached.
// If all VMs there have stopped, no report will tell.
func (t *Tables) IsProbeDue(dc cs.DataCentreID, now cs.Instant) bool {
	state := t.DataCentres.Get(dc)
	return state != nil && now.Sub(max(state.LastReportAt, state.FailedAt, state.ProbedAt)) >= probeInterval
}

// HasListedVM reports whether the list of VMs has one in a data centre.
func (t *Tables) HasListedVM(dc cs.DataCentreID) bool {
	for _, p := range t.Peers.All() {
		if p.VM.DataCentre == dc {
			return true
		}
	}
	return false
}

// RecordSend records that a request is sent to a data centre.
func (t *Tables) RecordSend(dc cs.DataCentreID, now cs.Instant) {
	if t.Reach(dc, now) != ReachGood {
		t.DataCentres.Get(dc).ProbedAt = now
	}
}

// heardSince reports whether a VM of a data centre has reported, or a runner there has responded, since an instant. It returns
// true for this VM's own data centre and for one whose VMs have never reported, since reports cannot tell there.
func (t *Tables) heardSince(dc cs.DataCentreID, at cs.Instant) bool {
	state := t.DataCentres.Get(dc)
	return dc == t.Self.DataCentre || state == nil || state.LastReportAt == 0 || max(state.LastReportAt, state.RespondedAt) > at
}

// RecordDataCentreReport records that a VM of a data centre has reported.
func (t *Tables) RecordDataCentreReport(dc cs.DataCentreID, now cs.Instant) {
	state := t.DataCentres.Get(dc)
	if state == nil {
		t.DataCentres.Insert(dc, DataCentreState{LastReportAt: now})
		return
	}
	t.resetFailuresIfCut(dc, now)
	state.LastReportAt = now
}

// RecordDataCentreResponse records that a runner of a data centre has responded. A data centre whose VMs have never reported has
// no row and is skipped.
func (t *Tables) RecordDataCentreResponse(dc cs.DataCentreID, now cs.Instant, out *Actions) {
	state := t.DataCentres.Get(dc)
	if state == nil {
		return
	}
	before := t.Reach(dc, now)
	t.resetFailuresIfCut(dc, now)
	state.RespondedAt = now
	if before != ReachGood {
		out.Note(Note{Kind: NoteDataCentreReached, DataCentre: dc, Reason: before.String(), Age: now.Sub(state.LastReportAt)})
	}
}

// resetFailuresIfCut makes the runners of a data centre that was unreachable until now usable again without delay.
func (t *Tables) resetFailuresIfCut(dc cs.DataCentreID, now cs.Instant) {
	if t.Reach(dc, now) != ReachCut {
		return
	}
	for _, r := range t.Runners.All() {
		if r.Spec.DataCentre == dc {
			r.ResetFailures()
		}
	}
}

// RecordDataCentreFailure records a failed attempt at a runner of a data centre. A data centre whose VMs have
// never reported has no row and is skipped.
func (t *Tables) RecordDataCentreFailure(dc cs.DataCentreID, now cs.Instant) {
	if state := t.DataCentres.Get(dc); state != nil {
		state.FailedAt = now
	}
}
