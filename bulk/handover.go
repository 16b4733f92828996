package bulk

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

// handOverLimit bounds the time for which a VM that leaves keeps its partitions while it tells how far
// its items have come.
const handOverTimeout = 1500 * cs.Millisecond

// HandOver passes the batch work of a VM that leaves to others: it stops the runs, tells how far the
// items have come and gives up its partitions.
func HandOver(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	if t.Drain.Phase == fleet.DrainNone || t.Parts.Left {
		return
	}
	deadline := t.Drain.Since.Add(handOverTimeout)
	if now < deadline && (stopAllRuns(t, out) || hasPendingAppends(t)) {
		out.WakeAt(deadline)
		return
	}
	t.Parts.Left, t.Parts.Owned = true, nil
	out.Add(gateway.LeaveGroup{})
	out.Note(gateway.Note{Kind: gateway.NotePartsChanged, Reason: "leaving"})
}

// stopRuns stops the runs of this VM and reports whether any has not ended yet.
func stopAllRuns(t *gateway.Tables, out *gateway.Actions) bool {
	stopping := false
	for _, j := range t.Jobs.All() {
		stopJobRuns(t, j, out)
		for i := range j.Work {
			stopping = stopping || j.Work[i].Phase == gateway.ItemStopping
		}
	}
	return stopping
}

// publishing reports whether the state of an item waits for an append.
func hasPendingAppends(t *gateway.Tables) bool {
	if t.JobLog.InFlight != nil {
		return true
	}
	for _, p := range t.Proposals {
		switch p.(type) {
		case gateway.ProposeProgress, gateway.ProposeResult:
			return true
		case gateway.ProposeJob, gateway.ProposeEnd, gateway.ProposeDrop:
		}
	}
	return false
}
