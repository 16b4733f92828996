package batchjob

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

// maxSharedAge is the age of a peer's view of the job log above which the store is read in its place, if that is possible.
const maxSharedAge = 3 * cs.Second

// ShareState selects peers that can hand over the state of the job log, and hands it over to peers. So a VM that has started or
// lost its history need not read the whole log from the store, which all VMs share. ApplyJobLog applies what is handed over.
func ShareState(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.StatePeerRequested:
			answer := gateway.AnswerStatePeer{Query: e.Query}
			if p := randomStatePeer(t, e.Tried, now); p != nil {
				answer.Peer, answer.Address = p.VM.ID, p.VM.Address
			}
			out.Add(answer)
		case gateway.JobStateRequested:
			out.Add(gateway.AnswerJobState{Query: e.Query, State: jobLogState(t, now)})
		default:
		}
	}
}

// randomStatePeer returns a random peer of this data centre that has a recent view of the job log, other than those that
// were tried, or nil. While this VM cannot read the store, a view of any age is better than none. The choice is uniform
// (reservoir sampling), so that VMs which start together do not ask the same peer.
func randomStatePeer(t *gateway.Tables, tried []cs.VMID, now cs.Instant) *gateway.Peer {
	oldest := now.Add(-maxSharedAge)
	if t.Feeds[gateway.FeedJobs].FailingSince != 0 {
		oldest = 1
	}
	var picked *gateway.Peer
	n := 0
	for id, p := range t.Peers.All() {
		if p.LastReportAt == 0 || p.VM.Leaving || p.VM.DataCentre != t.Self.DataCentre || p.JobLogAsOf < oldest || slices.Contains(tried, id) {
			continue
		}
		if n++; t.Rand.IntN(n) == 0 {
			picked = p
		}
	}
	return picked
}

// jobLogState returns the state of the job log that this VM has applied, or nil if it has none or is leaving. The state shares
// memory with the tables: slices of results and of outputs only grow.
func jobLogState(t *gateway.Tables, now cs.Instant) *gateway.JobLogState {
	if !t.JobLog.Synced || t.Drain.Phase != fleet.DrainNone {
		return nil
	}
	// The chunks of a specification that is not complete are read again by the receiver, which has none of them.
	s := &gateway.JobLogState{End: t.JobLog.End - t.JobLog.PartialChunks, Age: t.Feeds[gateway.FeedJobs].Age(now), Unreadable: make(map[cs.JobID]cs.Offset)}
	for _, j := range t.Jobs.All() {
		if j.Opened >= s.End {
			continue // accepted by this VM, and read again by the receiver
		}
		state := gateway.JobState{
			Spec: j.Spec, Opened: j.Opened, Results: slices.Clip(j.Results), ResultKeys: slices.Clip(j.ResultKeys), Ended: j.Ended,
		}
		for i := range j.ItemWork {
			if w := &j.ItemWork[i]; w.SavedEvent > 0 {
				saved := gateway.SavedProgress{Index: i, SavedEvent: w.SavedEvent}
				if w.Phase != gateway.ItemProposed { // the output has moved to the proposal of the result
					saved.Progress = gateway.Progress{Text: slices.Clip(w.Text), LastEvent: w.LastEvent}
				}
				state.Saved = append(state.Saved, saved)
			}
		}
		s.Jobs = append(s.Jobs, state)
	}
	for id, j := range t.UnreadableJobs.All() {
		s.Unreadable[id] = j.At
	}
	return s
}

// adoptState applies the state that a peer has handed over, unless this VM has applied as much of the log.
func adoptState(t *gateway.Tables, now cs.Instant, e gateway.JobStateRead, out *gateway.Actions) {
	feed := t.Feeds[gateway.FeedJobs]
	feed.Loaded, feed.AsOf = true, max(feed.AsOf, e.AsOf)
	l := &t.JobLog
	if l.Synced && e.State.End <= l.End {
		return
	}
	present := make(map[cs.JobID]bool, len(e.State.Jobs))
	for _, state := range e.State.Jobs {
		present[state.Spec.ID] = true
		adoptJob(t, now, state, out)
	}
	t.UnreadableJobs.DeleteFunc(func(cs.JobID, *gateway.UnreadableJob) bool { return true })
	for id, at := range e.State.Unreadable {
		present[id] = true
		noteUnreadable(t, gateway.JobRecord{Offset: at, Unreadable: id})
	}
	dropJobs(t, present, e.State.End, out)
	l.End, l.PartialChunks, l.Synced = e.State.End, 0, true
	if l.InFlight != nil && l.InFlight.ExpectedEnd != cs.NoOffset && l.InFlight.ExpectedEnd < l.End {
		returnOvertaken(t, now, out) // it took effect, and its jobs are known, or can no longer take effect
	}
	out.Note(gateway.Note{
		Kind: gateway.NoteStateAdopted, Peer: e.Peer, Feed: gateway.FeedJobs.String(), Offset: e.State.End, Count: len(e.State.Jobs), Age: now.Sub(e.AsOf),
	})
}

// adoptJob applies the state of a job, of which this VM may know the first results and run some items.
func adoptJob(t *gateway.Tables, now cs.Instant, state gateway.JobState, out *gateway.Actions) {
	if j := t.Jobs.Get(state.Spec.ID); j != nil && j.Opened < t.JobLog.End && state.Opened >= t.JobLog.End {
		stopJobRuns(t, j, out) // the job was removed and opened again among the records that this VM lacks
		t.Jobs.Delete(state.Spec.ID)
	}
	if t.Jobs.Get(state.Spec.ID) == nil {
		insertJob(t, state.Spec, state.Opened, now)
	}
	j := t.Jobs.Get(state.Spec.ID)
	index := make(map[cs.ItemID]int, len(j.Spec.Items))
	for i := range j.Spec.Items {
		index[j.Spec.Items[i].ID] = i
	}
	for _, r := range state.Results[min(len(j.Results), len(state.Results)):] {
		if i, ok := index[r.Item]; ok {
			listResult(t, j, i, r, out)
		}
	}
	j.ResultKeys = slices.Clone(state.ResultKeys)
	for _, saved := range state.Saved {
		if saved.Index >= len(j.ItemWork) {
			continue
		}
		w := &j.ItemWork[saved.Index]
		w.SavedEvent = max(w.SavedEvent, saved.SavedEvent)
		if w.Phase == gateway.ItemWaiting && saved.Progress.LastEvent > w.LastEvent {
			w.Progress = saved.Progress
		}
	}
	if state.Ended {
		j.Ended = true
		stopJobRuns(t, j, out)
	}
}
