package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// rewriteDivisor sets the age at which jobs and calls are written to the log again: the
	// retention time divided by it. With 4, a rewrite that begins late or is interrupted by a
	// change of owner still ends before half the retention time.
	rewriteDivisor = 4
	// rewriteChecks is the number of checks for due rewrites within that time.
	rewriteChecks = 16
	// maxRewriteCheckInterval bounds the time between two checks, for results and calls that are
	// kept only briefly.
	maxRewriteCheckInterval = cs.Minute
)

// planRewrite lists the jobs and calls that are due to be written again, and drops those whose
// results have expired.
func planRewrite(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, now cs.Instant) {
	age := t.Config.Retention / rewriteDivisor
	s.RewriteAt = now.Add(min(maxRewriteCheckInterval, max(sweepInterval, age/rewriteChecks)))
	expireResults(t, id, now)
	if len(s.Rewrites) > 0 || len(s.RewriteCalls) > 0 {
		return // the last rewrite is still in progress
	}
	for jid, j := range t.Jobs.All() {
		if j.Shard == id && j.State != cs.JobOpening && j.KnownItems == j.Count && now.Sub(j.WrittenAt) >= age {
			s.Rewrites = append(s.Rewrites, jid)
		}
	}
	for cid, c := range t.Calls.All() {
		if c.Shard == id && c.Durable && now.Sub(c.WrittenAt) >= age {
			s.RewriteCalls = append(s.RewriteCalls, cid)
		}
	}
}

// expireResults drops jobs and calls that ended longer ago than results are kept.
func expireResults(t *fleet.Tables, id cs.ShardID, now cs.Instant) {
	cutoff := now.Add(-t.Config.ResultsKept)
	t.Jobs.DeleteFunc(func(_ cs.JobID, j *fleet.Job) bool {
		ended := j.State == cs.JobFinished || j.State == cs.JobCancelled
		return j.Shard == id && ended && j.FinishedAt <= cutoff
	})
	t.Calls.DeleteFunc(func(_ cs.CallID, c *fleet.Call) bool {
		return c.Shard == id && c.Ended && c.EndedAt <= cutoff
	})
}

// rewriteRecords returns the next records of the rewrite, of about room bytes in total, and their
// size. A checkpoint comes first, so that a reader that starts at this batch can rely on it.
func rewriteRecords(t *fleet.Tables, s *fleet.Shard, room cs.Bytes) ([]cs.Record, cs.Bytes) {
	if len(s.Rewrites) == 0 && len(s.RewriteCalls) == 0 {
		return nil, 0
	}
	records := []cs.Record{cs.Checkpoint{Claim: s.Claim}}
	size := recordOverhead
	for len(s.RewriteCalls) > 0 && size < room {
		c := t.Calls.Get(s.RewriteCalls[0])
		if c != nil && c.Durable {
			n := len(records)
			records = appendCall(records, s.RewriteCalls[0], c)
			for _, r := range records[n:] {
				size += sizeOf(r)
			}
		}
		s.RewriteCalls = s.RewriteCalls[1:]
	}
	for len(s.Rewrites) > 0 && size < room {
		j := t.Jobs.Get(s.Rewrites[0])
		if j == nil || j.State == cs.JobOpening || int(s.RewriteNext) >= len(j.Items) {
			s.Rewrites, s.RewriteNext = s.Rewrites[1:], 0
			continue
		}
		chunk, n := snapshotOf(j, s.RewriteNext, min(maxChunkSize, room-size))
		s.RewriteNext += cs.ItemIndex(len(chunk.Items))
		records = append(records, chunk)
		size += n
	}
	return records, size
}

func appendCall(records []cs.Record, id cs.CallID, c *fleet.Call) []cs.Record {
	records = append(records, cs.CallStarted{Call: id, Hash: c.Hash, StartedBy: c.VM, At: c.Started})
	if c.Ended {
		records = append(records, cs.CallEnded{Call: id, Answer: c.Answer, Refusal: c.Refusal, At: c.EndedAt})
	}
	return records
}

// snapshotOf returns a snapshot of the items from index first on, of about room bytes, in the state
// that the log holds.
func snapshotOf(j *fleet.Job, first cs.ItemIndex, room cs.Bytes) (cs.JobSnapshot, cs.Bytes) {
	snap := cs.JobSnapshot{Job: j.Job, State: j.State, First: first}
	size := recordOverhead
	for i := first; int(i) < len(j.Items) && (i == first || size < room); i++ {
		it := &j.Items[i]
		item, res := durableState(i, it)
		snap.Items = append(snap.Items, item)
		snap.Results = append(snap.Results, res)
		size += sizeOfItem(item) + sizeOfResult(res)
	}
	return snap, size
}

// durableState returns an item and its result in the state that the log holds. An ended item no
// longer needs its target.
func durableState(i cs.ItemIndex, it *fleet.Item) (cs.Item, cs.ItemResult) {
	switch {
	case it.State.Ended() && !it.Undurable:
		return cs.Item{Target: cs.Generation{}, NonIdempotent: it.NonIdempotent}, resultOf(i, it)
	case it.Started:
		return it.Item, cs.ItemResult{Index: i, State: cs.ItemRunning}
	default:
		return it.Item, cs.ItemResult{Index: i, State: cs.ItemWaiting}
	}
}
