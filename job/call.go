package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// beginCall lets the asking VM run a keyed call once, or has it wait for the outcome of the first.
func beginCall(t *fleet.Tables, id uint64, q *fleet.Query, s *fleet.Shard, m cs.BeginCall, now cs.Instant, out *fleet.Actions) {
	c := t.Calls.Get(m.Call)
	switch {
	case c == nil:
		openCall(t, id, q, s, m, now, out)
	case c.Hash != m.Hash:
		refuse(t, id, q, cs.Refuse(cs.ReasonConflict, "the idempotency key is taken by another request"), out)
	case c.Ended && c.Opener == 0 && c.Refusal != nil && c.Refusal.Ran == cs.RanNotRun:
		openCall(t, id, q, s, m, max(now, c.EndedAt+1), out)
	case c.Ended && c.Opener == 0:
		answer(t, id, cs.CallAnswer{Answer: c.Answer, Refusal: c.Refusal}, out)
	default:
		q.Recorded = true // the first call may have run
		wait(q, id, &c.Waiters)
		out.Count(fleet.CountCallsJoined, "", 1)
	}
}

// openCall writes CallStarted for a call that has not run; at becomes its start. The row of a call
// that ended as not run stays what the log says until CallStarted is read back.
func openCall(t *fleet.Tables, id uint64, q *fleet.Query, s *fleet.Shard, m cs.BeginCall, at cs.Instant, out *fleet.Actions) {
	if t.Log.Age(at) >= logDown {
		refuse(t, id, q, cs.Refuse(cs.ReasonUnavailable, "the log cannot be read"), out)
		return
	}
	c := t.Calls.Get(m.Call)
	if c == nil {
		c = t.Calls.Insert(m.Call, fleet.Call{Shard: q.Shard, Hash: m.Hash, VM: m.VM, Started: at})
	}
	c.Opener, c.Incarnation = id, incarnationOf(t, m.VM)
	q.Earlier, q.Recorded, q.Waiting = q.Recorded, true, true
	s.Pending = append(s.Pending, cs.CallStarted{Call: m.Call, Hash: m.Hash, Runner: m.VM, At: at})
}

// permit answers the query that opened a call, now that CallStarted is in the log. If nobody waits
// any more, nobody will run the call.
func permit(t *fleet.Tables, s *fleet.Shard, id cs.CallID, c *fleet.Call, now cs.Instant, out *fleet.Actions) {
	opener := c.Opener
	c.Opener = 0
	s.OpenCalls = append(s.OpenCalls, id)
	if q := t.Queries.Get(opener); q != nil && !askerGone(t, q) {
		answer(t, opener, cs.CallAnswer{Run: true}, out)
		return
	}
	closeCall(s, id, c, nil, cs.Refuse(cs.ReasonExpired, "the caller's deadline passed before the call could run"), now)
}

// closeCall queues the record that ends a call.
func closeCall(s *fleet.Shard, id cs.CallID, c *fleet.Call, ans []byte, r *cs.Refusal, now cs.Instant) {
	c.Ending = true
	s.Pending = append(s.Pending, cs.CallEnded{Call: id, Answer: ans, Refusal: r, At: max(now, c.Started)})
}

// endCall records the outcome of a call; it is answered when the outcome is read back.
func endCall(t *fleet.Tables, id uint64, q *fleet.Query, s *fleet.Shard, m cs.EndCall, now cs.Instant, out *fleet.Actions) {
	c := t.Calls.Get(m.Call)
	switch {
	case c == nil || !c.Durable:
		refuse(t, id, q, cs.Refuse(cs.ReasonNotFound, "no call %s runs", m.Call), out)
	case c.Ended:
		answer(t, id, cs.CallAnswer{Answer: c.Answer, Refusal: c.Refusal}, out)
	default:
		q.Recorded = true
		wait(q, id, &c.Waiters)
		if !c.Ending {
			closeCall(s, m.Call, c, m.Answer, m.Refusal, now)
		}
	}
}

// sweepCalls ends calls as unknown whose VM is gone.
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
			closeCall(s, id, c, nil, r, now)
		}
	}
	s.OpenCalls = open
}

func callLost(t *fleet.Tables, c *fleet.Call, now cs.Instant) bool {
	if now.Sub(c.Started) >= maxRun {
		return true
	}
	if c.VM == t.Self.ID {
		return c.Incarnation != t.Self.Incarnation
	}
	vm := t.VMs.Get(c.VM)
	if vm == nil {
		return now.Sub(c.Started) >= deadCall
	}
	if !vm.Live {
		return now.Sub(vm.LiveSince) >= deadCall
	}
	return c.Incarnation != 0 && vm.Incarnation != c.Incarnation
}
