package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// readBackTimeout is how long an appended batch that is not reported as failed waits to be read
	// back before it is appended again.
	readBackTimeout = 5 * cs.Second
	// minRetryDelay and maxRetryDelay bound the backoff after a failed append.
	minRetryDelay, maxRetryDelay = 100 * cs.Millisecond, 2 * cs.Second
	// copyDelay is the time for which a batch must be unconfirmed before its end records are copied
	// to the standby. In normal operation a batch is read back earlier, and copying it would double
	// its traffic.
	copyDelay = 250 * cs.Millisecond
)

// Commit appends pending records, one batch at a time for each shard, and renews claims.
func Commit(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for id, s := range t.Shards.All() {
		if s.Inflight != nil {
			resendInFlight(s, now, out)
		}
		if !s.Owned {
			continue
		}
		if now >= s.RewriteAt {
			planRewrite(t, id, s, now)
		}
		out.WakeAt(s.RewriteAt)
		if s.Inflight == nil {
			commitPending(t, s, now, out)
		}
		copyEndsToStandby(t, id, s, now, out)
	}
}

// resendInFlight appends the batch in flight again after a failure or a timeout. The batch keeps its
// sequence number, so that readers apply it once even if the log holds it several times.
func resendInFlight(s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	due := s.SentAt.Add(readBackTimeout)
	if s.RetryAt != 0 {
		due = s.RetryAt
	}
	if now < due {
		out.WakeAt(due)
		return
	}
	appendInFlight(s, now, out)
	out.Count(fleet.CountAppendRetries, "", 1)
}

// appendInFlight appends the batch in flight to the log.
func appendInFlight(s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	s.SentAt, s.RetryAt = now, 0
	s.Attempts++
	out.Add(fleet.Append{Stream: s.Stream, Batch: *s.Inflight})
	out.WakeAt(now.Add(readBackTimeout))
}

// appendFailed schedules the next attempt to append a batch.
func appendFailed(t *fleet.Tables, e fleet.AppendFailed, now cs.Instant) {
	id, ok := shardOf(e.Stream)
	if !ok {
		return
	}
	s := t.Shards.Get(id)
	if s == nil || s.Inflight == nil || s.Inflight.Seq != e.Seq {
		return
	}
	delay := min(maxRetryDelay, minRetryDelay<<min(8, max(0, s.Attempts-1)))
	s.RetryAt = now.Add(delay/2 + cs.Span(t.Rand.Int64N(int64(delay/2)+1)))
}

// commitPending sends the next batch if there is something to append or the claim is due for
// renewal.
func commitPending(t *fleet.Tables, s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	release := t.Drain.Phase >= fleet.DrainFinishing && len(s.Pending) == 0
	idle := len(s.Pending) == 0 && len(s.Rewrites) == 0 && len(s.RewriteCalls) == 0
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
		records = composeBatch(t, s)
	}
	s.OwnSeq = s.LastSeq + 1
	s.Attempts, s.InflightSince = 0, now
	s.Inflight = &cs.LogBatch{
		Writer: t.Self.Incarnation, VM: t.Self.ID, Fence: s.Claim, Seq: s.OwnSeq, Records: records,
	}
	appendInFlight(s, now, out)
	out.Count(fleet.CountAppends, "", 1)
}

// composeBatch takes the records of the next batch from the rewrite and the pending records.
// Rewritten records come first, since they describe the state of the log before this batch.
func composeBatch(t *fleet.Tables, s *fleet.Shard) []cs.Record {
	records, size := rewriteRecords(t, s, maxBatchSize/2)
	n := 0
	for ; n < len(s.Pending); n++ {
		next := sizeOf(s.Pending[n])
		if size+next > maxBatchSize && len(records)+n > 0 {
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

// copyEndsToStandby sends the standby the end records that have been unconfirmed for some time.
func copyEndsToStandby(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	if s.Inflight == nil || s.Standby == "" || s.Standby == t.Self.ID || len(s.Pending)+len(s.Inflight.Records) == 0 {
		return
	}
	due := max(s.InflightSince, s.CopyAt).Add(copyDelay)
	if now < due {
		out.WakeAt(due)
		return
	}
	vm := t.VMs.Get(s.Standby)
	if vm == nil || !vm.Live || !vm.Linked {
		s.CopiedCount = 0 // a standby that comes back gets all of them again
		return
	}
	ends := append(endRecords(s.Inflight.Records), endRecords(s.Pending)...)
	if s.CopiedCount >= len(ends) {
		return
	}
	sendCopies(id, s, s.Standby, ends[s.CopiedCount:], out)
	s.CopiedCount, s.CopyAt = len(ends), now
}

// sendCopies sends records in messages of about the size of a batch.
func sendCopies(id cs.ShardID, s *fleet.Shard, to cs.VMID, records []cs.Record, out *fleet.Actions) {
	for len(records) > 0 {
		n, size := 0, cs.Bytes(0)
		for n < len(records) && size < maxBatchSize {
			size += sizeOf(records[n])
			n++
		}
		out.Add(fleet.Send{To: to, Message: cs.PendingRecords{
			Shard: id, Fence: s.Claim, Applied: s.Next, Records: records[:n],
		}})
		records = records[n:]
	}
}

// endRecords returns the records that are of use to a standby: the ends of items and calls.
func endRecords(records []cs.Record) []cs.Record {
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
