package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// beginCall allows the requesting VM to run a call with an idempotency key once, or makes it wait
// for the outcome of the first run.
func beginCall(t *fleet.Tables, id uint64, q *fleet.Query, s *fleet.Shard, m cs.BeginCall, now cs.Instant, out *fleet.Actions) {
	c := t.Calls.Get(m.Call)
	switch {
	case c == nil:
		openCall(t, id, q, s, m, now, out)
	case c.Hash != m.Hash:
		refuseQuery(t, id, q, cs.Refuse(cs.ReasonConflict, "the idempotency key is taken by another request"), out)
	case c.Ended && c.Opener == 0 && c.Refusal != nil && c.Refusal.Ran == cs.RanNotRun:
		openCall(t, id, q, s, m, max(now, c.EndedAt+1), out)
	case c.Ended && c.Opener == 0:
		answerQuery(t, id, cs.CallReply{Answer: c.Answer, Refusal: c.Refusal}, out)
	default:
		q.Recorded = true // the first call may have run
		addWaiter(q, id, &c.Waiters)
		out.Count(fleet.CountCallsJoined, "", 1)
	}
}

// openCall queues CallStarted, with the given start time, for a call that has not run. If an
// earlier call with the same key ended as not run, its row keeps that end until CallStarted is read
// back from the log.
func openCall(t *fleet.Tables, id uint64, q *fleet.Query, s *fleet.Shard, m cs.BeginCall, at cs.Instant, out *fleet.Actions) {
	if t.Log.Age(at) >= logUnavailableAfter {
		refuseQuery(t, id, q, cs.Refuse(cs.ReasonUnavailable, "the log cannot be read"), out)
		return
	}
	c := t.Calls.Get(m.Call)
	if c == nil {
		c = t.Calls.Insert(m.Call, fleet.Call{Shard: q.Shard, Hash: m.Hash, VM: m.VM, Started: at})
	}
	c.Opener, c.Incarnation = id, incarnationOf(t, m.VM)
	q.RecordedBefore, q.Recorded, q.Waiting = q.Recorded, true, true
	s.Pending = append(s.Pending, cs.CallStarted{Call: m.Call, Hash: m.Hash, StartedBy: m.VM, At: at})
}

// permitCall answers the query that opened a call, once CallStarted is in the log. If that query no
// longer waits, the call is closed, since nobody will run it.
func permitCall(t *fleet.Tables, s *fleet.Shard, id cs.CallID, c *fleet.Call, now cs.Instant, out *fleet.Actions) {
	opener := c.Opener
	c.Opener = 0
	s.OpenCalls = append(s.OpenCalls, id)
	if q := t.Queries.Get(opener); q != nil && !requesterLost(t, q) {
		answerQuery(t, opener, cs.CallReply{Run: true}, out)
		return
	}
	queueCallEnd(s, id, c, nil, cs.Refuse(cs.ReasonExpired, "the caller's deadline passed before the call could run"), now)
}

// queueCallEnd queues the record that ends a call.
func queueCallEnd(s *fleet.Shard, id cs.CallID, c *fleet.Call, ans []byte, r *cs.Refusal, now cs.Instant) {
	c.Ending = true
	s.Pending = append(s.Pending, cs.CallEnded{Call: id, Answer: ans, Refusal: r, At: max(now, c.Started)})
}

// endCall records the outcome of a call. The query is answered when the record is read back from
// the log.
func endCall(t *fleet.Tables, id uint64, q *fleet.Query, s *fleet.Shard, m cs.EndCall, now cs.Instant, out *fleet.Actions) {
	c := t.Calls.Get(m.Call)
	switch {
	case c == nil || !c.Durable:
		refuseQuery(t, id, q, cs.Refuse(cs.ReasonNotFound, "no call %s runs", m.Call), out)
	case c.Ended:
		answerQuery(t, id, cs.CallReply{Answer: c.Answer, Refusal: c.Refusal}, out)
	default:
		q.Recorded = true
		addWaiter(q, id, &c.Waiters)
		if !c.Ending {
			queueCallEnd(s, m.Call, c, m.Answer, m.Refusal, now)
		}
	}
}

// sweepCalls ends the calls whose VM is dead or restarted, or that have run for too long, with an
// unknown outcome.
func sweepCalls(t *fleet.Tables, s *fleet.Shard, now cs.Instant) {
	open := s.OpenCalls[:0]
	for _, id := range s.OpenCalls {
		c := t.Calls.Get(id)
		if c == nil || c.Ended {
			continue
		}
		open = append(open, id)
		if c.Durable && !c.Ending && c.Opener == 0 && now >= s.GraceAt && callLost(t, c, now) {
			r := &cs.Refusal{Reason: cs.ReasonBroken, Ran: cs.RanUnknown, Message: "the VM that ran the call is gone"}
			queueCallEnd(s, id, c, nil, r, now)
		}
	}
	s.OpenCalls = open
}

func callLost(t *fleet.Tables, c *fleet.Call, now cs.Instant) bool {
	if now.Sub(c.Started) >= maxRunTime {
		return true
	}
	if c.VM == t.Self.ID {
		return c.Incarnation != t.Self.Incarnation
	}
	vm := t.VMs.Get(c.VM)
	if vm == nil {
		return now.Sub(c.Started) >= callLostAfter
	}
	if !vm.Live {
		return now.Sub(vm.LiveSince) >= callLostAfter
	}
	return c.Incarnation != 0 && vm.Incarnation != c.Incarnation
}
