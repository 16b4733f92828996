package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// isActiveOwner reports whether this process owns the shard and is not about to release it.
func isActiveOwner(s *fleet.Shard) bool { return s != nil && s.Owned && !s.Releasing }

// dropOwnership ends the ownership at once: it drops what is not in the log and stops the runs.
func dropOwnership(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, out *fleet.Actions) {
	out.LogChange("shard "+string(s.Stream), "given up", fleet.Field{Name: "pending", Value: len(s.Pending)})
	s.Owned, s.Releasing = false, false
	s.Pending, s.Inflight, s.RetryAt = nil, nil, 0
	s.Active, s.OpenCalls, s.Orphans = nil, nil, nil
	s.Rewrites, s.RewriteCalls, s.CopiedCount, s.Notified = nil, nil, 0, false
	for jid, j := range t.Jobs.All() {
		if j.Shard == id {
			revertJob(t, jid, j, out)
		}
	}
	dropOpeningJobs(t, id)
	t.Calls.DeleteFunc(func(_ cs.CallID, c *fleet.Call) bool {
		if c.Shard == id {
			c.Ending, c.Opener, c.Waiters = false, 0, nil
		}
		return c.Shard == id && !c.Durable
	})
	for _, q := range t.Queries.All() {
		if q.Shard == id {
			q.Waiting, q.SentTo, q.CheckAt = false, "", 0
		}
	}
}

// yieldShards gives up the shards of which a heartbeat shows a newer claim. An owner that cannot read
// the log learns of its successor in no other way.
func yieldShards(t *fleet.Tables, m cs.Heartbeat, now cs.Instant, out *fleet.Actions) {
	for _, o := range m.Owned {
		if s := t.Shards.Get(o.Shard); s != nil && s.Owned && o.Fence > s.Claim {
			yieldToNewerClaim(t, o.Shard, s, now, out)
		}
	}
}

// yieldToNewerClaim gives up an owned shard if a newer claim of another VM is known.
func yieldToNewerClaim(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	newest := t.NewestClaim(id)
	if !s.Owned || newest.Fence <= s.Claim {
		return
	}
	handOver(t, id, s, newest.VM, out)
	dropOwnership(t, id, s, out)
	recheckQueries(t, id, now)
}

// revertJob stops a job's runs and undoes what the owner did ahead of the log.
func revertJob(t *fleet.Tables, id cs.JobID, j *fleet.Job, out *fleet.Actions) {
	stopRuns(t, id, j, out)
	j.Stopping, j.Waiters = false, nil
	j.Lanes, j.Delayed, j.Running = nil, nil, nil
	if j.State != cs.JobOpen {
		return
	}
	for i := range j.Items {
		revertItem(j, &j.Items[i])
	}
}

// stopRuns requests each sender that runs items of the job to stop them.
func stopRuns(t *fleet.Tables, id cs.JobID, j *fleet.Job, out *fleet.Actions) {
	notified := map[cs.VMID]bool{}
	for _, r := range j.Running {
		it := &j.Items[r.Index]
		if it.State != cs.ItemRunning || notified[it.Sender] || !isLive(t, it.Sender) {
			continue
		}
		notified[it.Sender] = true
		out.Add(fleet.Send{To: it.Sender, Message: cs.StopItems{Job: id}})
	}
}

// takeOver makes this process the shard's owner, starting from the state in the log.
func takeOver(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	s.Owned, s.OwnSeq = true, max(s.OwnSeq, s.LastSeq)
	s.Releasing, s.Pending = false, nil
	s.Active, s.OpenCalls, s.Orphans = nil, nil, nil
	s.SweepAt, s.NotifyAt, s.RewriteAt, s.CopiedCount = now, now, now, 0
	s.GraceAt = now.Add(takeoverGrace)
	out.WakeAt(s.GraceAt)
	for jid, j := range t.Jobs.All() {
		if j.Shard != id || j.State != cs.JobOpen {
			continue
		}
		enqueue(s, j, now)
		for i := range j.Items {
			if it := &j.Items[i]; it.Started && it.State == cs.ItemWaiting {
				s.Orphans = append(s.Orphans, cs.ItemKey{Job: jid, Index: cs.ItemIndex(i)})
			}
		}
	}
	for cid, c := range t.Calls.All() {
		if c.Shard == id && !c.Ended {
			c.Incarnation = incarnationOf(t, c.VM)
			s.OpenCalls = append(s.OpenCalls, cid)
		}
	}
	applyCopies(t, s)
	retainLocalRuns(t, id, s, now)
}

// applyCopies queues the unconfirmed end records that the former owner had copied to this VM.
func applyCopies(t *fleet.Tables, s *fleet.Shard) {
	for _, r := range s.CopiedRecords {
		switch r := r.(type) {
		case cs.ItemEnded:
			k := cs.ItemKey{Job: r.Job, Index: r.Result.Index}
			j, it := itemOf(t, k)
			if it != nil && j.State == cs.JobOpen && !j.Stopping && !it.State.Ended() {
				endItem(s, j, k, it, r.Result)
			}
		case cs.CallEnded:
			if c := t.Calls.Get(r.Call); c != nil && !c.Ended && !c.Ending && r.At >= c.Started {
				c.Ending = true
				s.Pending = append(s.Pending, r)
			}
		default:
		}
	}
	s.CopiedRecords = nil
}

// retainLocalRuns marks the items that this VM runs for the former owner as running for one lease,
// since their outcome is likely to arrive, and adopts the runs, which the former owner may otherwise
// stop when it learns of its successor. A new owner does not know of runs on other VMs.
func retainLocalRuns(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, now cs.Instant) {
	for k, r := range t.Runs.All() {
		j, it := itemOf(t, k)
		if r.Shard != id || r.Discard || it == nil || j.State != cs.JobOpen || it.State != cs.ItemWaiting {
			continue
		}
		it.Grants = max(it.Grants, r.Attempt)
		it.Attempts++
		r.Owner, r.Fence, r.Grant = t.Self.ID, s.Claim, it.Grants
		markRunning(j, k.Index, it, t.Self.ID, t.Self.Incarnation, now, now.Add(t.Config.Lease))
	}
}

// markRunning records that an item runs at a sender.
func markRunning(j *fleet.Job, i cs.ItemIndex, it *fleet.Item, sender cs.VMID, inc cs.Incarnation, now, until cs.Instant) {
	setState(j, it, cs.ItemRunning)
	it.Sender, it.Granted = sender, now
	j.Running = append(j.Running, fleet.RunningItem{Index: i, Grant: it.Grants, Incarnation: inc, Until: until})
}

// storeCopies stores unconfirmed records of a shard's owner, for use if that owner dies. If this VM
// is already the owner, it applies them at once, since they describe runs that did end.
func storeCopies(t *fleet.Tables, m cs.PendingRecords) {
	s := t.Shards.Get(m.Shard)
	if s == nil {
		return
	}
	s.CopiedRecords = append(s.CopiedRecords, m.Records...)
	if isActiveOwner(s) {
		applyCopies(t, s)
	}
}

// handOver sends the end records that are not in the log to the next owner of the shard.
func handOver(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, to cs.VMID, out *fleet.Actions) {
	if to == "" || to == t.Self.ID {
		return
	}
	var ends []cs.Record
	if s.Inflight != nil {
		ends = endRecords(s.Inflight.Records)
	}
	sendCopies(id, s, to, append(ends, endRecords(s.Pending)...), out)
}

// pruneCopies drops copies of records that the log has confirmed since.
func pruneCopies(t *fleet.Tables, s *fleet.Shard) {
	if len(s.CopiedRecords) == 0 || s.RenewedAt < s.CopyAt {
		return // nothing was read since the last check
	}
	s.CopyAt = s.RenewedAt + 1
	kept := s.CopiedRecords[:0]
	for _, r := range s.CopiedRecords {
		if unconfirmed(t, r) {
			kept = append(kept, r)
		}
	}
	clear(s.CopiedRecords[len(kept):])
	s.CopiedRecords = kept
}

func unconfirmed(t *fleet.Tables, r cs.Record) bool {
	switch r := r.(type) {
	case cs.ItemEnded:
		j, it := itemOf(t, cs.ItemKey{Job: r.Job, Index: r.Result.Index})
		return j != nil && j.State == cs.JobOpen && it != nil && !it.State.Ended()
	case cs.CallEnded:
		c := t.Calls.Get(r.Call)
		return c != nil && !c.Ended
	default:
		return false
	}
}
