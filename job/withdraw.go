package job

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// withdraw takes back the records that a query has begun something with, if none of them was sent to
// the log. The refusal of the query can then say "not run" for certain.
func withdraw(t *fleet.Tables, id uint64, q *fleet.Query, now cs.Instant) {
	s := t.Shards.Get(q.Shard)
	if s == nil || !s.Owned || !q.Waiting {
		return
	}
	taken := false
	switch m := q.Query.(type) {
	case cs.SubmitJob:
		taken = withdrawJob(t, id, s, m.Job.ID, now)
	case cs.BeginCall:
		taken = withdrawCall(t, id, s, m.Call, now)
	default:
	}
	if taken {
		q.Recorded = q.Earlier
	}
}

// withdrawJob drops a job that is being opened; others that wait for it begin anew.
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
	s.Pending = slices.DeleteFunc(s.Pending, func(r cs.Record) bool { return opens(r, job) })
	wakeQueries(t, &j.Waiters, now)
	t.Jobs.Delete(job)
	return true
}

// opens reports whether the record belongs to the opening of a job.
func opens(r cs.Record, job cs.JobID) bool {
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

// withdrawCall drops a call that is being opened; others that wait for it begin anew.
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
