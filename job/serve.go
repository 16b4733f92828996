package job

import (
	"github.com/cespare/xxhash/v2"
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// recheck is the time between two looks for the owner of a query's shard.
	recheck = 250 * cs.Millisecond
	// askAgain is the time after which a query is sent again over a link that did not break.
	askAgain = 10 * cs.Second
	// forwardedLimit bounds the stay of a forwarded query, whose message carries no deadline.
	forwardedLimit = 2 * cs.Minute
	// maxHops bounds the forwarding of a query between VMs that disagree on the owner.
	maxHops = 3
	// forwardedIDs marks the ids of forwarded queries, so that they differ from those asked here.
	forwardedIDs = uint64(1) << 63
)

// Serve answers queries for owned shards and forwards the others to the owner.
func Serve(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.QueryAsked:
			deadline := e.Deadline
			if deadline == 0 {
				deadline = now.Add(forwardedLimit)
			}
			t.Queries.Insert(e.ID, fleet.Query{Query: e.Query, Shard: e.Shard, Since: now, Deadline: deadline})
		case fleet.PeerSaid:
			heard(t, e, now, out)
		default:
		}
	}
	var due []uint64
	for id, q := range t.Queries.All() {
		if q.CheckAt <= now || q.Deadline <= now {
			due = append(due, id)
			continue
		}
		out.WakeAt(min(q.CheckAt, q.Deadline))
	}
	for _, id := range due {
		if q := t.Queries.Get(id); q != nil {
			step(t, id, q, now, out)
		}
	}
}

// heard takes in a forwarded query or the answer to one.
func heard(t *fleet.Tables, e fleet.PeerSaid, now cs.Instant, out *fleet.Actions) {
	switch m := e.Message.(type) {
	case cs.Forward:
		id := forwardedIDs | xxhash.Sum64String(string(e.From))*31 + m.ID
		if t.Queries.Get(id) != nil {
			return // asked again while the first one is being dealt with
		}
		t.Queries.Insert(id, fleet.Query{
			Query: m.Query, Shard: shardOfQuery(m.Query, t.Config.Shards), Since: now,
			Deadline: now.Add(forwardedLimit), From: e.From, FromID: m.ID, Hops: m.Hops,
		})
	case cs.Forwarded:
		if e.From != t.Self.ID {
			passBack(t, e.From, m, out)
		}
	default:
	}
}

// passBack hands the answer to a forwarded query on to who asked it.
func passBack(t *fleet.Tables, from cs.VMID, m cs.Forwarded, out *fleet.Actions) {
	q := t.Queries.Get(m.ID)
	if q == nil || q.Sends == 0 {
		return
	}
	refused, ok := m.Answer.(cs.RefusedAnswer)
	if !ok {
		answer(t, m.ID, m.Answer, out)
		return
	}
	if from != q.SentTo {
		return // another VM has been asked since
	}
	if q.Sends > 1 {
		refused.Refusal = honest(q, refused.Refusal)
	}
	answer(t, m.ID, refused, out)
}

// honest turns "not run" into "unknown" if an earlier attempt at the query may have left a record.
// A refusal that depends on the query alone stays what it is.
func honest(q *fleet.Query, r cs.Refusal) cs.Refusal {
	switch r.Reason {
	case cs.ReasonUnavailable, cs.ReasonOverloaded, cs.ReasonExpired, cs.ReasonLeaving:
		if q.Recorded && r.Ran == cs.RanNotRun {
			r.Ran = cs.RanUnknown
		}
	default:
	}
	return r
}

func shardOfQuery(q cs.ShardQuery, shards int) cs.ShardID {
	switch q := q.(type) {
	case cs.SubmitJob:
		return cs.ShardOf(string(q.Job.ID), shards)
	case cs.GetJob:
		return cs.ShardOf(string(q.Job), shards)
	case cs.StopJob:
		return cs.ShardOf(string(q.Job), shards)
	case cs.GetResults:
		return cs.ShardOf(string(q.Job), shards)
	case cs.BeginCall:
		return cs.ShardOf(string(q.Call), shards)
	case cs.EndCall:
		return cs.ShardOf(string(q.Call), shards)
	}
	return 0
}

// writes reports whether answering the query may append records.
func writes(q cs.ShardQuery) bool {
	switch q.(type) {
	case cs.SubmitJob, cs.StopJob, cs.BeginCall, cs.EndCall:
		return true
	case cs.GetJob, cs.GetResults:
		return false
	}
	return true
}

// step takes a query as far as it goes now.
func step(t *fleet.Tables, id uint64, q *fleet.Query, now cs.Instant, out *fleet.Actions) {
	if now >= q.Deadline {
		withdraw(t, id, q, now)
		refuse(t, id, q, cs.Refuse(cs.ReasonExpired, "no answer from the owner of shard %d in time", q.Shard), out)
		return
	}
	if askerGone(t, q) {
		t.Queries.Delete(id)
		return
	}
	q.CheckAt = q.Deadline
	out.WakeAt(q.Deadline)
	if q.Waiting {
		return
	}
	s := t.Shards.Get(q.Shard)
	if acts(s) && !begins(t, q) {
		q.SentTo = ""
		serveHere(t, id, q, s, now, out)
		return
	}
	forward(t, q, id, now, out)
}

// askerGone reports whether the VM that forwarded a query was dead at some time since, so that it has
// lost the query or will send it again.
func askerGone(t *fleet.Tables, q *fleet.Query) bool {
	if q.From == "" || q.From == t.Self.ID {
		return false
	}
	vm := t.VMs.Get(q.From)
	return vm == nil || !vm.Live || vm.LiveSince > q.Since
}

// begins reports whether the query would begin something new on a VM that is leaving. It waits for
// the next owner then, since new records would hold up the release.
func begins(t *fleet.Tables, q *fleet.Query) bool {
	if t.Drain.Phase < fleet.DrainFinishing {
		return false
	}
	switch m := q.Query.(type) {
	case cs.SubmitJob:
		return t.Jobs.Get(m.Job.ID) == nil
	case cs.BeginCall:
		return t.Calls.Get(m.Call) == nil
	default:
		return false
	}
}

// forward sends a query to the shard's owner, or waits until there is one that can be reached.
func forward(t *fleet.Tables, q *fleet.Query, id uint64, now cs.Instant, out *fleet.Actions) {
	q.CheckAt = min(now.Add(recheck), q.Deadline)
	out.WakeAt(q.CheckAt)
	if q.Hops >= maxHops {
		return // this VM may become the owner yet
	}
	target := ownerOf(t, q.Shard)
	if target == "" && logAway(t, now) {
		refuse(t, id, q, cs.Refuse(cs.ReasonUnavailable, "shard %d has no owner and the log cannot be read", q.Shard), out)
		return
	}
	if target == "" {
		target, _ = ranked(q.Shard, candidates(t, now))
	}
	target = linked(t, target)
	vm := t.VMs.Get(target)
	if vm == nil || target == t.Self.ID || target == q.From {
		return
	}
	if q.SentTo == target && vm.LiveSince <= q.SentAt && now.Sub(q.SentAt) < askAgain {
		return
	}
	q.SentTo, q.SentAt = target, now
	q.Sends++
	q.Recorded = q.Recorded || writes(q.Query)
	out.Add(fleet.Send{To: target, Message: cs.Forward{ID: id, Query: q.Query, Hops: q.Hops + 1}})
}

// logAway reports whether reads have failed for so long that no claim can be expected soon.
func logAway(t *fleet.Tables, now cs.Instant) bool {
	return t.Log.FailedAt > t.Log.ReadAt && now.Sub(max(t.Log.ReadAt, t.Started)) >= logDown
}

// answer ends a query.
func answer(t *fleet.Tables, id uint64, a cs.ShardAnswer, out *fleet.Actions) {
	q := t.Queries.Get(id)
	if q == nil {
		return
	}
	if q.From == "" {
		out.Add(fleet.AnswerQuery{ID: id, Answer: a})
	} else {
		out.Add(fleet.Send{To: q.From, Message: cs.Forwarded{ID: q.FromID, Answer: a}})
	}
	t.Queries.Delete(id)
}

func refuse(t *fleet.Tables, id uint64, q *fleet.Query, r *cs.Refusal, out *fleet.Actions) {
	answer(t, id, cs.RefusedAnswer{Refusal: honest(q, *r)}, out)
}

// serveHere answers a query as the shard's owner, or has it wait for a record to be read back.
func serveHere(t *fleet.Tables, id uint64, q *fleet.Query, s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	switch m := q.Query.(type) {
	case cs.SubmitJob:
		submit(t, id, q, s, m, now, out)
	case cs.GetJob:
		if j := jobFor(t, id, q, m.Job, m.Tenant, out); j != nil {
			answer(t, id, cs.JobAnswer{Status: j.Status()}, out)
		}
	case cs.StopJob:
		if j := jobFor(t, id, q, m.Job, m.Tenant, out); j != nil {
			stop(t, id, q, s, j, now, out)
		}
	case cs.GetResults:
		if j := jobFor(t, id, q, m.Job, m.Tenant, out); j != nil {
			answer(t, id, results(j, m), out)
		}
	case cs.BeginCall:
		beginCall(t, id, q, s, m, now, out)
	case cs.EndCall:
		endCall(t, id, q, s, m, now, out)
	}
}

// jobFor returns the tenant's job, or refuses the query; other tenants' jobs do not exist for it.
func jobFor(t *fleet.Tables, id uint64, q *fleet.Query, job cs.JobID, tenant cs.TenantID, out *fleet.Actions) *fleet.Job {
	j := t.Jobs.Get(job)
	if j == nil || j.Tenant != tenant {
		refuse(t, id, q, cs.Refuse(cs.ReasonNotFound, "no job %s", job), out)
		return nil
	}
	return j
}

// wait has a query wait until wakeQueries is called on the list.
func wait(q *fleet.Query, id uint64, list *[]uint64) {
	q.Waiting = true
	*list = append(*list, id)
}
