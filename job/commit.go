package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// unanswered is the time after which a batch that was neither read back nor failed is sent again.
	unanswered = 5 * cs.Second
	// firstRetry and lastRetry bound the backoff after a failed append.
	firstRetry, lastRetry = 100 * cs.Millisecond, 2 * cs.Second
	// copyAfter is the time a batch must be unconfirmed for its ends to be copied to the standby.
	// In normal operation a batch is read back earlier, and copying it would double its traffic.
	copyAfter = 250 * cs.Millisecond
)

// Commit appends pending records, one batch at a time for each shard, and renews claims.
func Commit(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for id, s := range t.Shards.All() {
		if s.Inflight != nil {
			resend(s, now, out)
		}
		if !s.Owned {
			continue
		}
		if now >= s.CarryAt {
			planCarry(t, id, s, now)
		}
		out.WakeAt(s.CarryAt)
		if s.Inflight == nil {
			commit(t, s, now, out)
		}
		copyEnds(t, id, s, now, out)
	}
}

// resend sends the batch in flight again after a failure or a long silence. It keeps its sequence
// number, so that readers apply it once however often it reached the log.
func resend(s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	due := s.SentAt.Add(unanswered)
	if s.RetryAt != 0 {
		due = s.RetryAt
	}
	if now < due {
		out.WakeAt(due)
		return
	}
	send(s, now, out)
	out.Count(fleet.CountAppendRetries, "", 1)
}

// send appends the batch in flight.
func send(s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	s.SentAt, s.RetryAt = now, 0
	s.Attempts++
	out.Add(fleet.Append{Stream: s.Stream, Batch: *s.Inflight})
	out.WakeAt(now.Add(unanswered))
}

// appendFailed plans the next attempt at a batch.
func appendFailed(t *fleet.Tables, e fleet.AppendFailed, now cs.Instant) {
	id, ok := shardOf(e.Stream)
	if !ok {
		return
	}
	s := t.Shards.Get(id)
	if s == nil || s.Inflight == nil || s.Inflight.Seq != e.Seq {
		return
	}
	delay := min(lastRetry, firstRetry<<min(8, max(0, s.Attempts-1)))
	s.RetryAt = now.Add(delay/2 + cs.Span(t.Rand.Int64N(int64(delay/2)+1)))
}

// commit composes and sends the next batch if there is something to append or the claim is due to
// be renewed.
func commit(t *fleet.Tables, s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	release := t.Drain.Phase >= fleet.DrainFinishing && len(s.Pending) == 0
	idle := len(s.Pending) == 0 && len(s.Carry) == 0 && len(s.CarryCalls) == 0
	next := s.SentAt.Add(t.Config.GroupCommit)
	if idle && !release {
		next = s.SentAt.Add(t.Config.Renewal)
	}
	if now < next {
		out.WakeAt(next)
		return
	}
	var records []cs.Record
	if release {
		s.Releasing = true
		records = []cs.Record{cs.Released{}}
	} else {
		records = compose(t, s)
	}
	s.OwnSeq = s.LastSeq + 1
	s.Attempts, s.InflightSince = 0, now
	s.Inflight = &cs.LogBatch{
		Writer: t.Self.Incarnation, VM: t.Self.ID, Fence: s.Claim, Seq: s.OwnSeq, Records: records,
	}
	send(s, now, out)
	out.Count(fleet.CountAppends, "", 1)
}

// compose takes the records of the next batch. Rewritten facts come first, since they describe what
// the log says before this batch.
func compose(t *fleet.Tables, s *fleet.Shard) []cs.Record {
	records, size := carry(t, s, maxBatch/2)
	n := 0
	for ; n < len(s.Pending); n++ {
		next := sizeOf(s.Pending[n])
		if size+next > maxBatch && len(records)+n > 0 {
			break
		}
		size += next
	}
	records = append(records, s.Pending[:n]...)
	clear(s.Pending[:n])
	s.Pending = s.Pending[n:]
	if len(s.Pending) == 0 {
		s.Pending = nil
	}
	return records
}

// copyEnds gives the standby the ends that have not been confirmed for a while.
func copyEnds(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	if s.Inflight == nil || s.Standby == "" || s.Standby == t.Self.ID || len(s.Pending)+len(s.Inflight.Records) == 0 {
		return
	}
	due := max(s.InflightSince, s.CopyAt).Add(copyAfter)
	if now < due {
		out.WakeAt(due)
		return
	}
	vm := t.VMs.Get(s.Standby)
	if vm == nil || !vm.Live || !vm.Linked {
		s.CopyMark = 0 // a standby that comes back starts anew
		return
	}
	ends := append(copyable(s.Inflight.Records), copyable(s.Pending)...)
	if s.CopyMark >= len(ends) {
		return
	}
	sendCopies(id, s, s.Standby, ends[s.CopyMark:], out)
	s.CopyMark, s.CopyAt = len(ends), now
}

// sendCopies sends records in messages of about the size of a batch.
func sendCopies(id cs.ShardID, s *fleet.Shard, to cs.VMID, records []cs.Record, out *fleet.Actions) {
	for len(records) > 0 {
		n, size := 0, cs.Bytes(0)
		for n < len(records) && size < maxBatch {
			size += sizeOf(records[n])
			n++
		}
		out.Add(fleet.Send{To: to, Message: cs.PendingCopied{
			Shard: id, Fence: s.Claim, Applied: s.Next, Records: records[:n],
		}})
		records = records[n:]
	}
}

// copyable returns the records that a standby can make use of.
func copyable(records []cs.Record) []cs.Record {
	var ends []cs.Record
	for _, r := range records {
		switch r.(type) {
		case cs.ItemEnded, cs.CallEnded:
			ends = append(ends, r)
		default:
		}
	}
	return ends
}
