package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// applyRead applies the batches read from a work stream, in offset order.
func applyRead(t *fleet.Tables, e fleet.LogRead, now cs.Instant, out *fleet.Actions) {
	id, ok := shardOf(e.Stream)
	if !ok {
		return
	}
	s := t.Shards.Get(id)
	if s == nil {
		return
	}
	if e.First > s.Next {
		resetAfterGap(t, id, s, e.First, now, out)
	} else if s.ReadAt == 0 {
		s.Synced = true
	}
	s.ReadAt = now
	for _, b := range e.Batches {
		if b.Offset < s.Next {
			continue // already applied
		}
		s.Next = b.Offset + 1
		applyBatch(t, id, s, b, now, out)
	}
	s.Next = max(s.Next, e.Next)
	s.CaughtUp = s.CaughtUp || e.End
}

// resetAfterGap drops the shard's state, since the log no longer holds the records between the last
// one read and first.
func resetAfterGap(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, first cs.Offset, now cs.Instant, out *fleet.Actions) {
	if s.Owned {
		dropOwnership(t, id, s, out)
	}
	dropShardRows(t, id)
	s.Next, s.Claim, s.Writer, s.VM, s.LastSeq = first, cs.NoOffset, 0, "", 0
	s.HistoryLost, s.ClaimConfirmed, s.Synced, s.CaughtUp, s.Released = true, false, false, false, false
	s.Claiming, s.Inflight = 0, nil
	s.RenewedAt = now
}

// applyBatch applies a batch if it is valid, and ignores it otherwise. A batch is valid if it is a
// claim that follows the claim in force, or if it carries that claim's fencing token, is of the
// claim's writer and has the next sequence number.
func applyBatch(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, b cs.LoggedBatch, now cs.Instant, out *fleet.Actions) {
	if c, ok := leadingClaim(b.Batch); ok {
		applyClaim(t, id, s, b, c, now, out)
		return
	}
	if s.HistoryLost && (b.Batch.Fence > s.Claim || !s.ClaimConfirmed && b.Batch.Fence != s.Claim) {
		adoptClaim(t, id, s, b.Batch, out)
	}
	if !t.Config.Policy.NoFence && !isNextBatch(s, b.Batch) {
		out.Count(fleet.CountBatchesIgnored, "", 1)
		return
	}
	s.ClaimConfirmed = true
	s.LastSeq = max(s.LastSeq, b.Batch.Seq)
	s.RenewedAt = now
	a := applier{t: t, id: id, s: s, at: b.At, now: now, out: out}
	for _, r := range b.Batch.Records {
		a.apply(r)
	}
	if s.Inflight != nil && b.Batch.Writer == t.Self.Incarnation && b.Batch.Seq == s.Inflight.Seq {
		s.CopiedCount = max(0, s.CopiedCount-len(endRecords(s.Inflight.Records)))
		s.Inflight = nil
	}
}

func isNextBatch(s *fleet.Shard, b cs.LogBatch) bool {
	return s.Claim != cs.NoOffset && b.Fence == s.Claim && b.Writer == s.Writer && b.Seq == s.LastSeq+1
}

// adoptClaim takes the claim named by a batch as the one in force. A writer uses a fencing token
// only after it has read its claim back as valid, so the batch proves a claim that this reader has
// not seen.
func adoptClaim(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, b cs.LogBatch, out *fleet.Actions) {
	if s.Owned {
		dropOwnership(t, id, s, out)
	}
	dropShardRows(t, id)
	s.Claim, s.Writer, s.VM, s.LastSeq = b.Fence, b.Writer, b.VM, b.Seq-1
	s.Released, s.ClaimConfirmed = false, true
	s.Claiming, s.Inflight = 0, nil
}

func leadingClaim(b cs.LogBatch) (cs.Claim, bool) {
	if len(b.Records) == 0 {
		return cs.Claim{}, false
	}
	c, ok := b.Records[0].(cs.Claim)
	return c, ok
}

// applyClaim puts a claim in force if it follows the present one; of two racing claims, the first
// in the log wins.
func applyClaim(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, b cs.LoggedBatch, c cs.Claim, now cs.Instant, out *fleet.Actions) {
	unknown := s.HistoryLost && s.Claim == cs.NoOffset
	if c.Shard != id || c.Previous != s.Claim && !unknown {
		out.Count(fleet.CountBatchesIgnored, "", 1)
		return
	}
	// When the stream is read again from an earlier offset, a former claim of this process does not
	// make it the owner: the state that belonged to that ownership was dropped.
	own := b.Batch.Writer == t.Self.Incarnation && s.Claiming != 0 && s.Inflight != nil && b.Batch.Seq == s.Inflight.Seq
	if s.Owned {
		handOver(t, id, s, b.Batch.VM, out)
		dropOwnership(t, id, s, out)
	}
	if s.Claiming != 0 && !own {
		out.Count(fleet.CountClaimsLost, "", 1)
	}
	s.Claim, s.Writer, s.VM, s.LastSeq = b.Offset, b.Batch.Writer, b.Batch.VM, b.Batch.Seq
	s.Released, s.Synced, s.ClaimConfirmed = false, true, false
	s.Claiming, s.Inflight = 0, nil
	s.RenewedAt = now
	dropOpeningJobs(t, id)
	out.LogChange("shard "+string(s.Stream), "claimed", fleet.Field{Name: "owner", Value: string(s.VM)},
		fleet.Field{Name: "claim", Value: int64(s.Claim)})
	if own {
		takeOver(t, id, s, now, out)
		yieldToNewerClaim(t, id, s, now, out)
	}
	recheckQueries(t, id, now)
}

// dropOpeningJobs drops jobs that the former owner did not finish opening: their submission was
// never accepted, and only the owner that began it would complete it.
func dropOpeningJobs(t *fleet.Tables, id cs.ShardID) {
	t.Jobs.DeleteFunc(func(_ cs.JobID, j *fleet.Job) bool {
		return j.Shard == id && j.State == cs.JobOpening
	})
}

// recheckQueries makes the shard's queries look up the owner again.
func recheckQueries(t *fleet.Tables, id cs.ShardID, now cs.Instant) {
	for _, q := range t.Queries.All() {
		if q.Shard == id {
			q.CheckAt = now
		}
	}
}
