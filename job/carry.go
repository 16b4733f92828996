package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// carryShare is the part of the retention after which facts are written again. With a quarter,
	// a rewriting that begins late or is cut off by a change of owner still ends before half.
	carryShare = 4
	// carryChecks is the number of looks for due facts in the time carryShare allows.
	carryChecks = 16
	// maxCarryCheck bounds the time between two looks, for results and calls that are kept briefly.
	maxCarryCheck = cs.Minute
)

// planCarry lists the jobs and calls that are due to be written again, and drops those whose results
// are no longer kept.
func planCarry(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, now cs.Instant) {
	age := t.Config.Retention / carryShare
	s.CarryAt = now.Add(min(maxCarryCheck, max(sweepEvery, age/carryChecks)))
	expire(t, id, now)
	if len(s.Carry) > 0 || len(s.CarryCalls) > 0 {
		return // the last round is still being written
	}
	for jid, j := range t.Jobs.All() {
		if j.Shard == id && j.State != cs.JobOpening && j.Filled == j.Count && now.Sub(j.WrittenAt) >= age {
			s.Carry = append(s.Carry, jid)
		}
	}
	for cid, c := range t.Calls.All() {
		if c.Shard == id && c.Durable && now.Sub(c.WrittenAt) >= age {
			s.CarryCalls = append(s.CarryCalls, cid)
		}
	}
}

// expire drops jobs and calls whose results are no longer kept.
func expire(t *fleet.Tables, id cs.ShardID, now cs.Instant) {
	old := now.Add(-t.Config.ResultsKept)
	t.Jobs.DeleteFunc(func(_ cs.JobID, j *fleet.Job) bool {
		over := j.State == cs.JobFinished || j.State == cs.JobCancelled
		return j.Shard == id && over && j.FinishedAt <= old
	})
	t.Calls.DeleteFunc(func(_ cs.CallID, c *fleet.Call) bool {
		return c.Shard == id && c.Ended && c.EndedAt <= old
	})
}

// carry returns the next records of the rewriting, of about room bytes, with their size. A
// checkpoint goes first, so that a reader that starts here can rely on them.
func carry(t *fleet.Tables, s *fleet.Shard, room cs.Bytes) ([]cs.Record, cs.Bytes) {
	if len(s.Carry) == 0 && len(s.CarryCalls) == 0 {
		return nil, 0
	}
	records := []cs.Record{cs.Checkpoint{Claim: s.Claim}}
	size := recordOverhead
	for len(s.CarryCalls) > 0 && size < room {
		c := t.Calls.Get(s.CarryCalls[0])
		if c != nil && c.Durable {
			n := len(records)
			records = appendCall(records, s.CarryCalls[0], c)
			for _, r := range records[n:] {
				size += sizeOf(r)
			}
		}
		s.CarryCalls = s.CarryCalls[1:]
	}
	for len(s.Carry) > 0 && size < room {
		j := t.Jobs.Get(s.Carry[0])
		if j == nil || j.State == cs.JobOpening || int(s.CarryNext) >= len(j.Items) {
			s.Carry, s.CarryNext = s.Carry[1:], 0
			continue
		}
		chunk, n := snapshotOf(j, s.CarryNext, min(maxChunk, room-size))
		s.CarryNext += cs.ItemIndex(len(chunk.Items))
		records = append(records, chunk)
		size += n
	}
	return records, size
}

func appendCall(records []cs.Record, id cs.CallID, c *fleet.Call) []cs.Record {
	records = append(records, cs.CallStarted{Call: id, Hash: c.Hash, Runner: c.VM, At: c.Started})
	if c.Ended {
		records = append(records, cs.CallEnded{Call: id, Answer: c.Answer, Refusal: c.Refusal, At: c.EndedAt})
	}
	return records
}

// snapshotOf returns the items from first on, of about room bytes, as the log has them.
func snapshotOf(j *fleet.Job, first cs.ItemIndex, room cs.Bytes) (cs.JobSnapshot, cs.Bytes) {
	snap := cs.JobSnapshot{Job: j.Job, State: j.State, First: first}
	size := recordOverhead
	for i := first; int(i) < len(j.Items) && (i == first || size < room); i++ {
		it := &j.Items[i]
		item, res := durable(i, it)
		snap.Items = append(snap.Items, item)
		snap.Results = append(snap.Results, res)
		size += sizeOfItem(item) + sizeOfResult(res)
	}
	return snap, size
}

// durable returns what the log says about an item. Its target is no longer of use once it has ended.
func durable(i cs.ItemIndex, it *fleet.Item) (cs.Item, cs.ItemResult) {
	switch {
	case it.State.Ended() && !it.Undurable:
		return cs.Item{Target: cs.Generation{}, NonIdempotent: it.NonIdempotent}, resultOf(i, it)
	case it.Started:
		return it.Item, cs.ItemResult{Index: i, State: cs.ItemRunning}
	default:
		return it.Item, cs.ItemResult{Index: i, State: cs.ItemWaiting}
	}
}
