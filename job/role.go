package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// acts reports whether this process may act as the shard's owner.
func acts(s *fleet.Shard) bool { return s != nil && s.Owned && !s.Releasing }

// dropRole ends the ownership at once: what is not in the log is given up, and runs are stopped.
func dropRole(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, out *fleet.Actions) {
	out.Note("shard "+string(s.Stream), "given up", fleet.Field{Name: "pending", Value: len(s.Pending)})
	s.Owned, s.Releasing = false, false
	s.Pending, s.Inflight, s.RetryAt = nil, nil, 0
	s.Active, s.OpenCalls, s.Orphans = nil, nil, nil
	s.Carry, s.CarryCalls, s.CopyMark, s.Told = nil, nil, 0, false
	for jid, j := range t.Jobs.All() {
		if j.Shard == id {
			dropJob(t, jid, j, out)
		}
	}
	dropUnsealed(t, id)
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

// dropJob stops a job's runs and takes back what the owner did ahead of the log.
func dropJob(t *fleet.Tables, id cs.JobID, j *fleet.Job, out *fleet.Actions) {
	stopRuns(t, id, j, out)
	j.Stopping, j.Waiters = false, nil
	j.Lanes, j.Delayed, j.Running = nil, nil, nil
	if j.State != cs.JobOpen {
		return
	}
	for i := range j.Items {
		revert(j, &j.Items[i])
	}
}

// stopRuns tells each sender that runs items of the job to cancel them.
func stopRuns(t *fleet.Tables, id cs.JobID, j *fleet.Job, out *fleet.Actions) {
	told := map[cs.VMID]bool{}
	for _, r := range j.Running {
		it := &j.Items[r.Index]
		if it.State != cs.ItemRunning || told[it.Sender] || !isLive(t, it.Sender) {
			continue
		}
		told[it.Sender] = true
		out.Add(fleet.Send{To: it.Sender, Message: cs.ItemsStop{Job: id}})
	}
}

// takeOver makes this process the shard's owner with what the log says.
func takeOver(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	s.Owned, s.OwnSeq = true, max(s.OwnSeq, s.LastSeq)
	s.Releasing, s.Pending = false, nil
	s.Active, s.OpenCalls, s.Orphans = nil, nil, nil
	s.SweepAt, s.TellAt, s.CarryAt, s.CopyMark = now, now, now, 0
	s.GraceAt = now.Add(grace)
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
	useCopies(t, s)
	keepRuns(t, id, s, now)
}

// useCopies queues the unconfirmed ends that the former owner had copied to this VM.
func useCopies(t *fleet.Tables, s *fleet.Shard) {
	for _, r := range s.CopiedRecords {
		switch r := r.(type) {
		case cs.ItemEnded:
			k := cs.ItemKey{Job: r.Job, Index: r.Result.Index}
			j, it := itemOf(t, k)
			if it != nil && j.State == cs.JobOpen && !j.Stopping && !it.State.Ended() {
				end(s, j, k, it, r.Result)
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

// keepRuns leaves the items that this VM itself runs for the former owner with it for one lease:
// their outcome is likely to come. Runs on other VMs are not known to a new owner.
func keepRuns(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, now cs.Instant) {
	for k, r := range t.Runs.All() {
		j, it := itemOf(t, k)
		if r.Shard != id || r.Discard || it == nil || j.State != cs.JobOpen || it.State != cs.ItemWaiting {
			continue
		}
		it.Grants = max(it.Grants, r.Attempt)
		it.Attempts++
		lend(j, k.Index, it, t.Self.ID, t.Self.Incarnation, now, now.Add(t.Config.Lease))
	}
}

// lend marks an item as running on a sender.
func lend(j *fleet.Job, i cs.ItemIndex, it *fleet.Item, sender cs.VMID, inc cs.Incarnation, now, until cs.Instant) {
	setState(j, it, cs.ItemRunning)
	it.Sender, it.Granted = sender, now
	j.Running = append(j.Running, fleet.RunningItem{Index: i, Grant: it.Grants, Incarnation: inc, Until: until})
}

// keepCopies stores unconfirmed records of a shard's owner, for the case that it dies. If this VM is
// the owner by now, they count at once: they tell of runs that did end.
func keepCopies(t *fleet.Tables, m cs.PendingCopied) {
	s := t.Shards.Get(m.Shard)
	if s == nil {
		return
	}
	s.CopiedRecords = append(s.CopiedRecords, m.Records...)
	if acts(s) {
		useCopies(t, s)
	}
}

// handOver sends the ends that are not in the log to the VM that owns the shard next.
func handOver(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, to cs.VMID, out *fleet.Actions) {
	if to == "" || to == t.Self.ID {
		return
	}
	var ends []cs.Record
	if s.Inflight != nil {
		ends = copyable(s.Inflight.Records)
	}
	sendCopies(id, s, to, append(ends, copyable(s.Pending)...), out)
}

// pruneCopies drops copies of what the log has since confirmed.
func pruneCopies(t *fleet.Tables, s *fleet.Shard) {
	if len(s.CopiedRecords) == 0 || s.RenewedAt < s.CopyAt {
		return // nothing was read since the last look
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
