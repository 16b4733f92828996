package batchjob

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

// handOverTimeout bounds how long a draining VM keeps its partitions while it saves the progress of
// its items.
const handOverTimeout = 1500 * cs.Millisecond

// HandOver transfers the batch work of a draining VM to its peers: it stops the runs, waits briefly until the
// progress of their items is in the job log and leaves the group, which releases the partitions.
func HandOver(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	if t.Drain.Phase == fleet.DrainNone || t.Partitions.Left {
		return
	}
	deadline := t.Drain.Since.Add(handOverTimeout)
	if now < deadline && (stopAllRuns(t, out) || hasPendingAppends(t)) {
		out.WakeAt(deadline)
		return
	}
	t.Partitions.Left, t.Partitions.Owned = true, nil
	out.Add(gateway.LeaveGroup{})
	out.Note(gateway.Note{Kind: gateway.NotePartsChanged, Reason: "leaving"})
}

// stopAllRuns stops all runs of this VM and reports whether any has not ended yet.
func stopAllRuns(t *gateway.Tables, out *gateway.Actions) bool {
	stopping := false
	for _, j := range t.Jobs.All() {
		stopJobRuns(t, j, out)
		for i := range j.ItemWork {
			stopping = stopping || j.ItemWork[i].Phase == gateway.ItemStopping
		}
	}
	return stopping
}

// hasPendingAppends reports whether an append is in flight or the progress or result of an item waits
// for one.
func hasPendingAppends(t *gateway.Tables) bool {
	return t.JobLog.InFlight != nil || slices.ContainsFunc(t.Proposals, isOfItem) ||
		slices.ContainsFunc(t.JobLog.Aside, func(g gateway.AsideGroup) bool { return slices.ContainsFunc(g.Proposals, isOfItem) })
}

// isOfItem reports whether a proposal is the progress or the result of an item.
func isOfItem(p gateway.Proposal) bool {
	switch p.(type) {
	case gateway.ProposeProgress, gateway.ProposeResult:
		return true
	case gateway.ProposeJob, gateway.ProposeEnd, gateway.ProposeRemoval:
	}
	return false
}
