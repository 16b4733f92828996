package job

import (
	"github.com/cespare/xxhash/v2"
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// ownerRecheckInterval is the time between two look-ups of the owner of a query's shard.
	ownerRecheckInterval = 250 * cs.Millisecond
	// resendQueryAfter is the time after which an unanswered query is sent again over a link that
	// stayed open.
	resendQueryAfter = 10 * cs.Second
	// forwardedQueryTimeout bounds the time for which a forwarded query is kept, since its message
	// carries no deadline.
	forwardedQueryTimeout = 2 * cs.Minute
	// maxHops bounds the forwarding of a query between VMs that disagree on the owner.
	maxHops = 3
	// forwardedIDBit is set in the IDs of forwarded queries, so that they differ from those of
	// local queries.
	forwardedIDBit = uint64(1) << 63
)

// Serve answers queries for owned shards and forwards the others to the owner.
func Serve(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.QueryReceived:
			deadline := e.Deadline
			if deadline == 0 {
				deadline = now.Add(forwardedQueryTimeout)
			}
			t.Queries.Insert(e.ID, fleet.Query{Query: e.Query, Shard: e.Shard, Since: now, Deadline: deadline})
		case fleet.PeerMessageReceived:
			handlePeerMessage(t, e, now, out)
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
			processQuery(t, id, q, now, out)
		}
	}
}

// handlePeerMessage processes a forwarded query or the answer to one.
func handlePeerMessage(t *fleet.Tables, e fleet.PeerMessageReceived, now cs.Instant, out *fleet.Actions) {
	switch m := e.Message.(type) {
	case cs.Forward:
		id := forwardedIDBit | xxhash.Sum64String(string(e.From))*31 + m.ID
		if t.Queries.Get(id) != nil {
			return // a resend of a query that is still in progress
		}
		t.Queries.Insert(id, fleet.Query{
			Query: m.Query, Shard: shardOfQuery(m.Query, t.Config.Shards), Since: now,
			Deadline: now.Add(forwardedQueryTimeout), From: e.From, FromID: m.ID, Hops: m.Hops,
		})
	case cs.Forwarded:
		if e.From != t.Self.ID {
			returnAnswer(t, e.From, m, out)
		}
	default:
	}
}

// returnAnswer passes the answer to a forwarded query on to the VM or caller that sent the query.
func returnAnswer(t *fleet.Tables, from cs.VMID, m cs.Forwarded, out *fleet.Actions) {
	q := t.Queries.Get(m.ID)
	if q == nil || q.Sends == 0 {
		return
	}
	refused, ok := m.Answer.(cs.RefusedReply)
	if !ok {
		answerQuery(t, m.ID, m.Answer, out)
		return
	}
	if from != q.SentTo {
		return // the query has since been sent to another VM
	}
	if q.Sends > 1 {
		refused.Refusal = unknownIfRecorded(q, refused.Refusal)
	}
	answerQuery(t, m.ID, refused, out)
}

// unknownIfRecorded changes "not run" to "unknown" if an earlier attempt at the query may have left
// a record in the log. A refusal that depends only on the query itself stays unchanged.
func unknownIfRecorded(q *fleet.Query, r cs.Refusal) cs.Refusal {
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

// mayAppend reports whether answering the query may append records.
func mayAppend(q cs.ShardQuery) bool {
	switch q.(type) {
	case cs.SubmitJob, cs.StopJob, cs.BeginCall, cs.EndCall:
		return true
	case cs.GetJob, cs.GetResults:
		return false
	}
	return true
}

// processQuery answers, forwards or refuses a query, or leaves it waiting.
func processQuery(t *fleet.Tables, id uint64, q *fleet.Query, now cs.Instant, out *fleet.Actions) {
	if now >= q.Deadline {
		withdrawRecords(t, id, q, now)
		refuseQuery(t, id, q, cs.Refuse(cs.ReasonExpired, "no answer from the owner of shard %d in time", q.Shard), out)
		return
	}
	if requesterLost(t, q) {
		t.Queries.Delete(id)
		return
	}
	q.CheckAt = q.Deadline
	out.WakeAt(q.Deadline)
	if q.Waiting {
		return
	}
	s := t.Shards.Get(q.Shard)
	if isActiveOwner(s) && !startsNewWork(t, q) {
		q.SentTo = ""
		serveLocal(t, id, q, s, now, out)
		return
	}
	forwardQuery(t, q, id, now, out)
}

// requesterLost reports whether the VM that forwarded a query is dead or was dead at some time
// since, so that it has lost the query or will send it again.
func requesterLost(t *fleet.Tables, q *fleet.Query) bool {
	if q.From == "" || q.From == t.Self.ID {
		return false
	}
	vm := t.VMs.Get(q.From)
	return vm == nil || !vm.Live || vm.LiveSince > q.Since
}

// startsNewWork reports whether the query would start something new on a VM that is leaving. Such a
// query waits for the next owner, since new records would delay the release of the shard.
func startsNewWork(t *fleet.Tables, q *fleet.Query) bool {
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

// forwardQuery sends a query to the shard's owner, or schedules another look-up if none can be
// reached.
func forwardQuery(t *fleet.Tables, q *fleet.Query, id uint64, now cs.Instant, out *fleet.Actions) {
	q.CheckAt = min(now.Add(ownerRecheckInterval), q.Deadline)
	out.WakeAt(q.CheckAt)
	if q.Hops >= maxHops {
		return // wait, since this VM may still become the owner
	}
	target := ownerOf(t, q.Shard)
	if target == "" && logUnavailable(t, now) {
		refuseQuery(t, id, q, cs.Refuse(cs.ReasonUnavailable, "shard %d has no owner and the log cannot be read", q.Shard), out)
		return
	}
	if target == "" {
		target, _ = ranked(q.Shard, candidates(t, now))
	}
	target = nextHop(t, target)
	vm := t.VMs.Get(target)
	if vm == nil || target == t.Self.ID || target == q.From {
		return
	}
	if q.SentTo == target && vm.LiveSince <= q.SentAt && now.Sub(q.SentAt) < resendQueryAfter {
		return
	}
	q.SentTo, q.SentAt = target, now
	q.Sends++
	q.Recorded = q.Recorded || mayAppend(q.Query)
	out.Add(fleet.Send{To: target, Message: cs.Forward{ID: id, Query: q.Query, Hops: q.Hops + 1}})
}

// logUnavailable reports whether reads have failed for so long that no claim can be expected soon.
func logUnavailable(t *fleet.Tables, now cs.Instant) bool {
	return t.Log.FailedAt > t.Log.ReadAt && now.Sub(max(t.Log.ReadAt, t.Started)) >= logUnavailableAfter
}

// answerQuery sends the answer to a query and deletes the query.
func answerQuery(t *fleet.Tables, id uint64, a cs.ShardReply, out *fleet.Actions) {
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

func refuseQuery(t *fleet.Tables, id uint64, q *fleet.Query, r *cs.Refusal, out *fleet.Actions) {
	answerQuery(t, id, cs.RefusedReply{Refusal: unknownIfRecorded(q, *r)}, out)
}

// serveLocal answers a query as the shard's owner, or leaves it waiting for a record to be read
// back.
func serveLocal(t *fleet.Tables, id uint64, q *fleet.Query, s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	switch m := q.Query.(type) {
	case cs.SubmitJob:
		submitJob(t, id, q, s, m, now, out)
	case cs.GetJob:
		if j := jobFor(t, id, q, m.Job, m.Tenant, out); j != nil {
			answerQuery(t, id, cs.JobReply{Status: j.Status()}, out)
		}
	case cs.StopJob:
		if j := jobFor(t, id, q, m.Job, m.Tenant, out); j != nil {
			cancelJob(t, id, q, s, j, now, out)
		}
	case cs.GetResults:
		if j := jobFor(t, id, q, m.Job, m.Tenant, out); j != nil {
			answerQuery(t, id, resultsPage(j, m), out)
		}
	case cs.BeginCall:
		beginCall(t, id, q, s, m, now, out)
	case cs.EndCall:
		endCall(t, id, q, s, m, now, out)
	}
}

// jobFor returns the tenant's job, or refuses the query as if the job did not exist when it belongs
// to another tenant.
func jobFor(t *fleet.Tables, id uint64, q *fleet.Query, job cs.JobID, tenant cs.TenantID, out *fleet.Actions) *fleet.Job {
	j := t.Jobs.Get(job)
	if j == nil || j.Tenant != tenant {
		refuseQuery(t, id, q, cs.Refuse(cs.ReasonNotFound, "no job %s", job), out)
		return nil
	}
	return j
}

// addWaiter makes a query wait until wakeQueries is called on the list.
func addWaiter(q *fleet.Query, id uint64, list *[]uint64) {
	q.Waiting = true
	*list = append(*list, id)
}
