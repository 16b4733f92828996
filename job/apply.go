package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// readStream applies what was read from a work stream, in offset order.
func readStream(t *fleet.Tables, e fleet.LogRead, now cs.Instant, out *fleet.Actions) {
	id, ok := shardOf(e.Stream)
	if !ok {
		return
	}
	s := t.Shards.Get(id)
	if s == nil {
		return
	}
	if e.First > s.Next {
		startAfterGap(t, id, s, e.First, now, out)
	} else if s.ReadAt == 0 {
		s.Synced = true
	}
	s.ReadAt = now
	for _, b := range e.Batches {
		if b.Offset < s.Next {
			continue // read before
		}
		s.Next = b.Offset + 1
		applyBatch(t, id, s, b, now, out)
	}
	s.Next = max(s.Next, e.Next)
	s.CaughtUp = s.CaughtUp || e.End
}

// startAfterGap drops what was read, since records between it and the gap's end are lost here.
func startAfterGap(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, first cs.Offset, now cs.Instant, out *fleet.Actions) {
	if s.Owned {
		dropRole(t, id, s, out)
	}
	forget(t, id)
	s.Next, s.Claim, s.Writer, s.VM, s.LastSeq = first, cs.NoOffset, 0, "", 0
	s.Gapped, s.Proved, s.Synced, s.CaughtUp, s.Released = true, false, false, false, false
	s.Claiming, s.Inflight = 0, nil
	s.RenewedAt = now
}

// applyBatch applies a batch if it is valid by the rule of section 3.1, and ignores it otherwise.
func applyBatch(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, b cs.LoggedBatch, now cs.Instant, out *fleet.Actions) {
	if c, ok := claimIn(b.Batch); ok {
		applyClaim(t, id, s, b, c, now, out)
		return
	}
	if s.Gapped && (b.Batch.Fence > s.Claim || !s.Proved && b.Batch.Fence != s.Claim) {
		adopt(t, id, s, b.Batch, out)
	}
	if !t.Config.Policy.NoFence && !inForce(s, b.Batch) {
		out.Count(fleet.CountBatchesIgnored, "", 1)
		return
	}
	s.Proved = true
	s.LastSeq = max(s.LastSeq, b.Batch.Seq)
	s.RenewedAt = now
	a := applier{t: t, id: id, s: s, at: b.At, now: now, out: out}
	for _, r := range b.Batch.Records {
		a.apply(r)
	}
	if s.Inflight != nil && b.Batch.Writer == t.Self.Incarnation && b.Batch.Seq == s.Inflight.Seq {
		s.CopyMark = max(0, s.CopyMark-len(copyable(s.Inflight.Records)))
		s.Inflight = nil
	}
}

func inForce(s *fleet.Shard, b cs.LogBatch) bool {
	return s.Claim != cs.NoOffset && b.Fence == s.Claim && b.Writer == s.Writer && b.Seq == s.LastSeq+1
}

// adopt takes the claim of a batch as the one in force. A writer uses a fence only after it has read
// its claim back as valid, so that the batch proves a claim that this reader has not seen.
func adopt(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, b cs.LogBatch, out *fleet.Actions) {
	if s.Owned {
		dropRole(t, id, s, out)
	}
	forget(t, id)
	s.Claim, s.Writer, s.VM, s.LastSeq = b.Fence, b.Writer, b.VM, b.Seq-1
	s.Released, s.Proved = false, true
	s.Claiming, s.Inflight = 0, nil
}

func claimIn(b cs.LogBatch) (cs.Claim, bool) {
	if len(b.Records) == 0 {
		return cs.Claim{}, false
	}
	c, ok := b.Records[0].(cs.Claim)
	return c, ok
}

// applyClaim puts a claim in force if it follows the present one; of two racing ones the first wins.
func applyClaim(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, b cs.LoggedBatch, c cs.Claim, now cs.Instant, out *fleet.Actions) {
	unknown := s.Gapped && s.Claim == cs.NoOffset
	if c.Shard != id || c.Previous != s.Claim && !unknown {
		out.Count(fleet.CountBatchesIgnored, "", 1)
		return
	}
	// A claim of this process that is read again from an earlier offset makes it no owner: what it
	// then did in that role is over.
	own := b.Batch.Writer == t.Self.Incarnation && s.Claiming != 0 && s.Inflight != nil && b.Batch.Seq == s.Inflight.Seq
	if s.Owned {
		handOver(t, id, s, b.Batch.VM, out)
		dropRole(t, id, s, out)
	}
	if s.Claiming != 0 && !own {
		out.Count(fleet.CountClaimsLost, "", 1)
	}
	s.Claim, s.Writer, s.VM, s.LastSeq = b.Offset, b.Batch.Writer, b.Batch.VM, b.Batch.Seq
	s.Released, s.Synced, s.Proved = false, true, false
	s.Claiming, s.Inflight = 0, nil
	s.RenewedAt = now
	dropUnsealed(t, id)
	out.Note("shard "+string(s.Stream), "claimed", fleet.Field{Name: "owner", Value: string(s.VM)},
		fleet.Field{Name: "claim", Value: int64(s.Claim)})
	if own {
		takeOver(t, id, s, now, out)
	}
	recheckQueries(t, id, now)
}

// dropUnsealed drops jobs that the former owner did not finish opening: their submission was never
// accepted, and only the owner that began it would go on.
func dropUnsealed(t *fleet.Tables, id cs.ShardID) {
	t.Jobs.DeleteFunc(func(_ cs.JobID, j *fleet.Job) bool {
		return j.Shard == id && j.State == cs.JobOpening
	})
}

// recheckQueries lets the shard's queries look for its owner again.
func recheckQueries(t *fleet.Tables, id cs.ShardID, now cs.Instant) {
	for _, q := range t.Queries.All() {
		if q.Shard == id {
			q.CheckAt = now
		}
	}
}
