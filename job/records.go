package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// applier applies the records of one valid batch.
type applier struct {
	t   *fleet.Tables
	id  cs.ShardID
	s   *fleet.Shard
	at  cs.Instant // the time at which the log stored the batch
	now cs.Instant
	out *fleet.Actions
}

func (a *applier) apply(r cs.Record) {
	switch r := r.(type) {
	case cs.Released:
		a.released()
	case cs.Checkpoint:
		a.s.Synced = true
		a.s.CheckpointAt = a.now
	case cs.JobOpened:
		a.opened(r.Job)
	case cs.JobItems:
		a.items(r)
	case cs.JobSealed:
		a.sealed(r.Job)
	case cs.JobStopped:
		a.stopped(r)
	case cs.ItemStarted:
		a.started(r.Item)
	case cs.ItemEnded:
		a.ended(r)
	case cs.JobSnapshot:
		a.snapshot(r)
	case cs.CallStarted:
		a.callStarted(r)
	case cs.CallEnded:
		a.callEnded(r)
	case cs.Claim, cs.TicketRecorded: // a claim is a batch of its own; tickets have their own stream
	}
}

func (a *applier) released() {
	a.s.Released = true
	if a.s.Owned {
		handOver(a.t, a.id, a.s, a.s.Standby, a.out)
		dropOwnership(a.t, a.id, a.s, a.out)
	}
	recheckQueries(a.t, a.id, a.now)
}

// opened adds a job. It replaces a row with the same ID, since an owner opens such a job again only
// if the former one was never sealed or its results have expired.
func (a *applier) opened(j cs.Job) {
	var waiters []uint64
	if old := a.t.Jobs.Get(j.ID); old != nil {
		waiters = old.Waiters
	}
	a.t.Jobs.Insert(j.ID, fleet.Job{Job: j, Shard: a.id, Waiters: waiters, WrittenAt: a.now})
}

func (a *applier) items(r cs.JobItems) {
	j := a.t.Jobs.Get(r.Job)
	if j == nil || j.State != cs.JobOpening || r.First != j.KnownItems {
		return
	}
	if j.Items == nil {
		j.Items = make([]fleet.Item, 0, j.Count)
	}
	for _, it := range r.Items {
		j.Items = append(j.Items, fleet.Item{Item: it, Known: true})
	}
	n := cs.ItemIndex(len(r.Items))
	j.KnownItems += n
	j.Counts[cs.ItemWaiting] += n
}

func (a *applier) sealed(id cs.JobID) {
	j := a.t.Jobs.Get(id)
	if j == nil || j.State != cs.JobOpening || j.KnownItems != j.Count {
		return
	}
	j.State = cs.JobOpen
	a.finishIfEnded(j)
	if a.s.Owned {
		a.out.Count(fleet.CountJobsAccepted, j.Tenant, 1)
		enqueue(a.s, j, a.now)
	}
	wakeQueries(a.t, &j.Waiters, a.now)
}

// stopped cancels every item whose end is not yet in the log.
func (a *applier) stopped(r cs.JobStopped) {
	j := a.t.Jobs.Get(r.Job)
	if j == nil || j.State != cs.JobOpen {
		return
	}
	for i := range j.Items {
		it := &j.Items[i]
		if !it.Known || it.State.Ended() && !it.Undurable {
			continue
		}
		it.Output, it.Error, it.Attempts = "", "", 0 // the log holds attempts only for ended items
		applyEnd(j, it, cs.ItemCancelled)
	}
	j.State, j.Stopping, j.FinishedAt = cs.JobCancelled, false, a.at
	j.Lanes, j.Delayed, j.Running = nil, nil, nil
	if a.s.Owned {
		a.out.Count(fleet.CountJobsCancelled, j.Tenant, 1)
	}
	wakeQueries(a.t, &j.Waiters, a.now)
}

func (a *applier) started(k cs.ItemKey) {
	j, it := itemOf(a.t, k)
	if it == nil || it.State.Ended() {
		return
	}
	it.Started = true
	if a.s.Owned && it.Starting && !j.Stopping {
		it.Starting = false
		l := laneOf(j, it)
		l.Starting--
		l.Returned = append(l.Returned, k.Index)
		// A sender that got no items for an earlier offer makes a new one when it is notified.
		a.s.NotifyAt, a.s.SweepAt = a.now, a.now
	}
}

// ended ends an item. It ignores a second end, and one after the job's cancellation.
func (a *applier) ended(r cs.ItemEnded) {
	j, it := itemOf(a.t, cs.ItemKey{Job: r.Job, Index: r.Result.Index})
	if it == nil || j.State == cs.JobOpening || it.State.Ended() && !it.Undurable {
		return
	}
	it.Output, it.Error, it.Attempts = r.Result.Output, r.Result.Error, r.Result.Attempts
	applyEnd(j, it, r.Result.State)
	a.finishIfEnded(j)
}

func (a *applier) finishIfEnded(j *fleet.Job) {
	if j.State == cs.JobOpen && j.Ended-j.Undurable == j.Count {
		j.State, j.FinishedAt = cs.JobFinished, a.at
		j.Lanes, j.Delayed, j.Running = nil, nil, nil
	}
}

// snapshot restores part of a job whose earlier records this reader has not read. Items that the
// reader knows already are kept, since its state of them is newer.
func (a *applier) snapshot(r cs.JobSnapshot) {
	j := a.t.Jobs.Get(r.Job.ID)
	if j == nil || j.State == cs.JobOpening {
		j = a.t.Jobs.Insert(r.Job.ID, fleet.Job{
			Job: r.Job, Shard: a.id, State: r.State, Items: make([]fleet.Item, r.Job.Count), WrittenAt: a.now,
		})
		if r.State != cs.JobOpen {
			j.FinishedAt = a.at
		}
	}
	for n, item := range r.Items {
		i := int(r.First) + n
		if i < len(j.Items) && n < len(r.Results) && !j.Items[i].Known {
			restore(j, &j.Items[i], item, r.Results[n])
		}
	}
	if j.State != r.State && j.KnownItems < j.Count {
		j.State, j.FinishedAt = r.State, a.at
	}
	a.finishIfEnded(j)
	a.trackRewrite(j, r)
}

// restore fills in an item from a snapshot, where the state "running" means a non-idempotent item
// that was started.
func restore(j *fleet.Job, it *fleet.Item, item cs.Item, res cs.ItemResult) {
	*it = fleet.Item{
		Item: item, Known: true, Output: res.Output, Error: res.Error, Attempts: res.Attempts,
		Started: res.State == cs.ItemRunning,
	}
	j.KnownItems++
	j.Counts[cs.ItemWaiting]++
	if res.State.Ended() {
		applyEnd(j, it, res.State)
	}
}

// trackRewrite records when all parts of a job have been written to the log again.
func (a *applier) trackRewrite(j *fleet.Job, r cs.JobSnapshot) {
	if r.First == 0 {
		j.SnapshotStart, j.SnapshotNext = a.now, 0
	}
	if r.First != j.SnapshotNext {
		return
	}
	j.SnapshotNext += cs.ItemIndex(len(r.Items))
	if j.SnapshotNext >= j.Count {
		j.WrittenAt = j.SnapshotStart
	}
}

func (a *applier) callStarted(r cs.CallStarted) {
	c := a.t.Calls.Get(r.Call)
	if c != nil && (c.Durable && !c.Ended || c.Ended && r.At <= c.EndedAt) {
		c.WrittenAt = a.now
		return // a rewrite of a known call
	}
	row := fleet.Call{Shard: a.id, Hash: r.Hash, VM: r.StartedBy, Started: r.At, Durable: true, WrittenAt: a.now}
	if c != nil {
		row.Waiters, row.Opener, row.Incarnation = c.Waiters, c.Opener, c.Incarnation
	}
	c = a.t.Calls.Insert(r.Call, row)
	if a.s.Owned {
		permitCall(a.t, a.s, r.Call, c, a.now, a.out)
	}
}

func (a *applier) callEnded(r cs.CallEnded) {
	c := a.t.Calls.Get(r.Call)
	if c == nil || c.Ended || !c.Durable {
		return
	}
	c.Ended, c.Ending, c.Opener = true, false, 0
	c.Answer, c.Refusal, c.EndedAt = r.Answer, r.Refusal, r.At
	wakeQueries(a.t, &c.Waiters, a.now)
}

// wakeQueries makes waiting queries due in this tick.
func wakeQueries(t *fleet.Tables, ids *[]uint64, now cs.Instant) {
	for _, id := range *ids {
		if q := t.Queries.Get(id); q != nil {
			q.Waiting, q.CheckAt = false, now
		}
	}
	*ids = nil
}
