package batchjob

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// ApplyJobLog updates the jobs of this VM with the records read from the job log, the states that peers hand over and its own
// appends, in the order of their arrival. What it has applied is a prefix of the log without holes, which ends at JobLog.End: records
// that begin after it are not applied, and the log is read again from there.
func ApplyJobLog(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	if t.JobLog.Role == gateway.JobLogNone {
		return // a read that had begun before this VM stopped following the log
	}
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.JobsRead:
			if e.Snapshot {
				applySnapshot(t, now, e, out)
			} else if !applyNewRecords(t, now, e, out) {
				rereadJobs(t, e.From, out)
				continue
			}
			resolveInFlight(t, now, e, out)
		case gateway.JobStateRead:
			adoptState(t, now, e, out)
		case gateway.FeedRead:
			if e.Feed == gateway.FeedJobs {
				recordRead(t, e, out)
			}
		case gateway.JobsAppended:
			if done, ok := e.Outcome.(gateway.AppendDone); ok {
				applyOwnAppend(t, now, e.Number, done, out)
			}
		default:
		}
	}
}

// applyOwnAppend applies the jobs that this VM has accepted and ended, although records that precede its append may not
// have been read: their order does not matter, unlike that of results.
func applyOwnAppend(t *gateway.Tables, now cs.Instant, number uint64, done gateway.AppendDone, out *gateway.Actions) {
	appended := t.JobLog.InFlight
	if appended == nil || appended.AppendID.Number != number {
		return // completed by a read, which has brought its records
	}
	for _, c := range appended.Changes {
		switch c.(type) {
		case gateway.JobOpened, gateway.JobEnded:
			applyChange(t, now, done.From, c, out)
		case gateway.JobResultAppended, gateway.ProgressSaved, gateway.JobRemoved:
		}
	}
}

// applySnapshot replaces the jobs with those of a full read of the log, except for jobs that were opened after
// the snapshot. For jobs that are still present, the state of runs at this VM is kept.
func applySnapshot(t *gateway.Tables, now cs.Instant, read gateway.JobsRead, out *gateway.Actions) {
	present := make(map[cs.JobID]bool)
	t.UnreadableJobs.DeleteFunc(func(cs.JobID, *gateway.UnreadableJob) bool { return true })
	for _, r := range read.Records {
		if r.Unreadable != "" {
			present[r.Unreadable] = true
			noteUnreadable(t, r)
		}
		if opened, ok := r.Change.(gateway.JobOpened); ok {
			present[opened.Spec.ID] = true
			applyChange(t, now, r.Offset, r.Change, out)
		}
	}
	// Results are ordered by the offsets of their records, but a snapshot lists records by key. Results
	// appended during the read may be incomplete, so they are skipped here and read again.
	records := slices.Clone(read.Records)
	slices.SortFunc(records, func(a, b gateway.JobRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, r := range records {
		switch r.Change.(type) {
		case gateway.JobOpened:
		case gateway.JobResultAppended:
			if r.Offset < read.End {
				applyChange(t, now, r.Offset, r.Change, out)
			}
		case gateway.ProgressSaved, gateway.JobEnded, gateway.JobRemoved:
			applyChange(t, now, r.Offset, r.Change, out)
		}
	}
	dropJobs(t, present, read.End, out)
	// Records at or after read.End that were applied before are read again, since the snapshot may lack
	// some of the jobs that they opened.
	t.JobLog.End, t.JobLog.PartialChunks = read.End, 0
	t.JobLog.Synced = true
}

// dropJobs removes the jobs that are not present in the state of the log at an offset, except for those opened after it.
func dropJobs(t *gateway.Tables, present map[cs.JobID]bool, end cs.Offset, out *gateway.Actions) {
	t.Jobs.DeleteFunc(func(id cs.JobID, j *gateway.Job) bool {
		if present[id] || j.Opened >= end {
			return false
		}
		stopJobRuns(t, j, out)
		return true
	})
}

// recordRead records up to when the job log was read, unless records before the end of the read are missing.
func recordRead(t *gateway.Tables, e gateway.FeedRead, out *gateway.Actions) {
	if e.Next > t.JobLog.End {
		rereadJobs(t, e.Next, out)
		return
	}
	f := t.Feeds[gateway.FeedJobs]
	f.Loaded = f.Loaded || e.Loaded
	f.AsOf = max(f.AsOf, e.AsOf)
}

// rereadJobs requests the records from the end of the log that was applied on, since those read begin or end at a later offset.
func rereadJobs(t *gateway.Tables, at cs.Offset, out *gateway.Actions) {
	from := cs.NoOffset
	if t.JobLog.Synced {
		from = t.JobLog.End - t.JobLog.PartialChunks
	}
	out.Add(gateway.RereadJobs{From: from})
	out.Note(gateway.Note{Kind: gateway.NoteJobLogGap, Offset: t.JobLog.End, Count: int(at - t.JobLog.End)})
}

// applyNewRecords applies the records of an incremental read. It returns false if records before them are missing.
func applyNewRecords(t *gateway.Tables, now cs.Instant, read gateway.JobsRead, out *gateway.Actions) bool {
	if !t.JobLog.Synced {
		return false
	}
	for _, r := range read.Records {
		if r.Offset < t.JobLog.End {
			continue // applied when this VM's own append completed
		}
		if r.Offset > t.JobLog.End {
			return false
		}
		if r.Change != nil {
			applyChange(t, now, r.Offset, r.Change, out)
		}
		noteUnreadable(t, r)
		t.JobLog.End = r.Offset + 1
		t.JobLog.PartialChunks++
		if !r.Partial {
			t.JobLog.PartialChunks = 0
		}
	}
	return true
}

// applyChange applies one change of the job log to the jobs of this VM. The offset is that of its record, or of
// the first record of the append that brought it.
func applyChange(t *gateway.Tables, now cs.Instant, offset cs.Offset, c gateway.JobChange, out *gateway.Actions) {
	switch c := c.(type) {
	case gateway.JobOpened:
		if t.Jobs.Get(c.Spec.ID) == nil {
			insertJob(t, c.Spec, offset, now)
		}
	case gateway.JobResultAppended:
		if j := t.Jobs.Get(c.Job); j != nil {
			applyResult(t, j, c, out)
		}
	case gateway.ProgressSaved:
		if j := t.Jobs.Get(c.Job); j != nil {
			applyProgress(j, c, now)
		}
	case gateway.JobEnded:
		if j := t.Jobs.Get(c.Job); j != nil {
			j.Ended = true
			stopJobRuns(t, j, out)
		}
	case gateway.JobRemoved:
		if j := t.Jobs.Get(c.Job); j != nil {
			removeJob(t, j, offset, out)
		}
		if j := t.UnreadableJobs.Get(c.Job); j != nil && j.At <= offset {
			t.UnreadableJobs.Delete(c.Job)
		}
	}
}

// noteUnreadable records that a job exists whose specification could not be decoded, unless it is known.
func noteUnreadable(t *gateway.Tables, r gateway.JobRecord) {
	if r.Unreadable != "" && t.Jobs.Get(r.Unreadable) == nil {
		t.UnreadableJobs.Insert(r.Unreadable, gateway.UnreadableJob{At: r.Offset})
	}
}

// insertJob adds a job without results that was opened at an offset.
func insertJob(t *gateway.Tables, spec gateway.JobSpec, opened cs.Offset, now cs.Instant) {
	t.UnreadableJobs.Delete(spec.ID)
	t.Jobs.Insert(spec.ID, gateway.Job{Spec: spec, Opened: opened, FirstReadAt: now, ItemWork: make([]gateway.ItemWork, len(spec.Items))})
}

// removeJob removes a job. If this VM has accepted the job again at a later offset, only what was read of the earlier one
// is removed.
func removeJob(t *gateway.Tables, j *gateway.Job, offset cs.Offset, out *gateway.Actions) {
	stopJobRuns(t, j, out)
	if j.Opened > offset {
		insertJob(t, j.Spec, j.Opened, j.FirstReadAt)
		return
	}
	t.Jobs.Delete(j.Spec.ID)
}

// applyResult adds the result of an item. Only the first result of an item in the log counts; the keys
// of all its records are kept so that they can be deleted with the job.
func applyResult(t *gateway.Tables, j *gateway.Job, c gateway.JobResultAppended, out *gateway.Actions) {
	if key := (gateway.ResultKey{Index: c.Index, AppendID: c.AppendID}); !slices.Contains(j.ResultKeys, key) {
		j.ResultKeys = append(j.ResultKeys, key)
	}
	if c.Index >= len(j.ItemWork) || j.ItemWork[c.Index].Phase == gateway.ItemListed {
		return
	}
	listResult(t, j, c.Index, c.Result, out)
}

// listResult adds the result of an item at the next position.
func listResult(t *gateway.Tables, j *gateway.Job, i int, r gateway.Result, out *gateway.Actions) {
	j.Results = append(j.Results, r)
	stopRun(t, j, i, out)
	j.ItemWork[i] = gateway.ItemWork{Phase: gateway.ItemListed, SavedEvent: j.ItemWork[i].SavedEvent}
}

// applyProgress stores the partial output that another VM saved for an item.
func applyProgress(j *gateway.Job, c gateway.ProgressSaved, now cs.Instant) {
	if c.Index >= len(j.ItemWork) {
		return
	}
	w := &j.ItemWork[c.Index]
	w.HandedOverAt, w.SavedEvent = now, max(w.SavedEvent, c.Progress.LastEvent)
	if w.Phase == gateway.ItemWaiting && c.Progress.LastEvent > w.LastEvent {
		w.Progress = c.Progress
	}
}

// itemIndex returns the position of an item in its job's submission, or -1 if it is not there.
func itemIndex(j *gateway.Job, id cs.ItemID) int {
	for i := range j.Spec.Items {
		if j.Spec.Items[i].ID == id {
			return i
		}
	}
	return -1
}

// stopJobRuns stops all runs of a job at this VM.
func stopJobRuns(t *gateway.Tables, j *gateway.Job, out *gateway.Actions) {
	for i := range j.ItemWork {
		stopRun(t, j, i, out)
	}
}

// stopRun stops the run of an item at this VM and reports whether there was one. The runner's slot counts
// as free at once, before the run has ended.
func stopRun(t *gateway.Tables, j *gateway.Job, i int, out *gateway.Actions) bool {
	w := &j.ItemWork[i]
	if w.Phase != gateway.ItemRunning {
		return false
	}
	w.Phase = gateway.ItemStopping
	if r := t.Runners.Get(w.Runner); r != nil && r.Batch > 0 {
		r.Batch--
	}
	out.Add(gateway.StopItem{Key: gateway.ItemKey{Job: j.Spec.ID, Index: i}, Attempt: w.Attempt})
	return true
}
