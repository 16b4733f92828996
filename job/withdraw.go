package job

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// withdrawRecords removes the records that a query has queued to start a job or a call, if none of
// them was sent to the log. The refusal of the query can then say "not run" with certainty.
func withdrawRecords(t *fleet.Tables, id uint64, q *fleet.Query, now cs.Instant) {
	s := t.Shards.Get(q.Shard)
	if s == nil || !s.Owned || !q.Waiting {
		return
	}
	withdrawn := false
	switch m := q.Query.(type) {
	case cs.SubmitJob:
		withdrawn = withdrawJob(t, id, s, m.Job.ID, now)
	case cs.BeginCall:
		withdrawn = withdrawCall(t, id, s, m.Call, now)
	default:
	}
	if withdrawn {
		q.Recorded = q.RecordedBefore
	}
}

// withdrawJob drops a job that is being opened. Other queries that wait for the job are processed
// again.
func withdrawJob(t *fleet.Tables, id uint64, s *fleet.Shard, job cs.JobID, now cs.Instant) bool {
	j := t.Jobs.Get(job)
	if j == nil || j.State != cs.JobOpening || len(j.Waiters) == 0 || j.Waiters[0] != id {
		return false
	}
	first := slices.IndexFunc(s.Pending, func(r cs.Record) bool {
		o, ok := r.(cs.JobOpened)
		return ok && o.Job.ID == job
	})
	if first < 0 {
		return false
	}
	s.Pending = slices.DeleteFunc(s.Pending, func(r cs.Record) bool { return belongsToOpening(r, job) })
	wakeQueries(t, &j.Waiters, now)
	t.Jobs.Delete(job)
	return true
}

// belongsToOpening reports whether the record is part of the opening of a job.
func belongsToOpening(r cs.Record, job cs.JobID) bool {
	switch r := r.(type) {
	case cs.JobOpened:
		return r.Job.ID == job
	case cs.JobItems:
		return r.Job == job
	case cs.JobSealed:
		return r.Job == job
	default:
		return false
	}
}

// withdrawCall drops a call that is being opened. Other queries that wait for the call are
// processed again.
func withdrawCall(t *fleet.Tables, id uint64, s *fleet.Shard, call cs.CallID, now cs.Instant) bool {
	c := t.Calls.Get(call)
	if c == nil || c.Opener != id {
		return false
	}
	i := slices.IndexFunc(s.Pending, func(r cs.Record) bool {
		started, ok := r.(cs.CallStarted)
		return ok && started.Call == call
	})
	if i < 0 {
		return false
	}
	s.Pending = slices.Delete(s.Pending, i, i+1)
	wakeQueries(t, &c.Waiters, now)
	c.Opener = 0
	if !c.Durable {
		t.Calls.Delete(call)
	}
	return true
}
