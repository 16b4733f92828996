package ticket

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// maxBatchTickets bounds the tickets in one batch, to about 40 KB.
	maxBatchTickets = 200
	// minRetryDelay and maxRetryDelay bound the time between a failed append and the next attempt.
	minRetryDelay = 200 * cs.Millisecond
	maxRetryDelay = readBackTimeout
)

// submit stores a submitted ticket to be appended, or answers it if the outcome is known.
func submit(t *fleet.Tables, now cs.Instant, out *fleet.Actions, e fleet.TicketSubmitted) {
	number := e.Ticket.Number
	refusal, known := precheck(t, now, e.Ticket)
	pending := t.PendingTickets.Get(number)
	switch {
	case known:
		reply(out, e.ID, refusal)
	case pending == nil:
		t.PendingTickets.Insert(number, fleet.PendingTicket{Query: e.ID, Ticket: e.Ticket, Since: now})
	case contentOf(pending.Ticket) == contentOf(e.Ticket):
		pending.Waiters = append(pending.Waiters, e.ID)
	default:
		reply(out, e.ID, conflictRefusal(number))
	}
}

// precheck returns the answer to a ticket if it is known without an append.
func precheck(t *fleet.Tables, now cs.Instant, ticket cs.Ticket) (refusal *cs.Refusal, known bool) {
	if r := ticket.Validate(); r != nil {
		return r, true
	}
	row, use := t.Tickets.Get(ticket.State.Scope()), t.TicketNumbers.Get(ticket.Number)
	used := use != nil && !reusable(t, ticket.Number, use, now)
	switch {
	case used && use.Content != contentOf(ticket):
		return conflictRefusal(ticket.Number), true
	case row != nil && row.Ticket.Number == ticket.Number:
		return nil, true
	case row != nil && row.Ticket.Number > ticket.Number:
		return staleRefusal(t, ticket), true
	case t.Drain.Phase >= fleet.DrainFinishing:
		return cs.Refuse(cs.ReasonLeaving, "this VM is leaving"), true
	case readAge(t, now) >= logUnavailableAfter:
		return unavailableRefusal(), true
	}
	return nil, false
}

func unavailableRefusal() *cs.Refusal {
	return cs.Refuse(cs.ReasonUnavailable, "the log cannot be read or appended to")
}

// expirePending answers the submissions that have timed out. It says "not run" only if no append of
// the ticket can have reached the log.
func expirePending(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	if t.PendingTickets.Len() == 0 {
		return
	}
	var expired []cs.TicketNumber
	for number, row := range t.PendingTickets.All() {
		due := row.Since.Add(answerTimeout)
		if row.Sent == 0 {
			due = min(due, now.Add(logUnavailableAfter-readAge(t, now)))
		}
		if now >= due {
			expired = append(expired, number)
			continue
		}
		out.WakeAt(due)
	}
	for _, number := range expired {
		pending := t.PendingTickets.Get(number)
		refusal := unavailableRefusal()
		if pending.Sent != 0 && !withdrawPending(&t.TicketLog, pending) {
			refusal.Ran = cs.RanUnknown
			refusal.Message = "the ticket was sent to the log and is not read back yet"
		}
		answerPending(t, out, number, refusal)
	}
}

// withdrawPending removes a ticket from the batch in flight, and returns false if the batch may have
// reached the log. It copies the batch, since an append that was sent earlier may still use the
// original.
func withdrawPending(s *fleet.TicketLogState, pending *fleet.PendingTicket) bool {
	if s.Inflight == nil || s.Inflight.Seq != pending.Seq || s.UnconfirmedAppends > 0 {
		return false
	}
	batch := *s.Inflight
	batch.Records = slices.DeleteFunc(slices.Clone(batch.Records), func(r cs.Record) bool {
		recorded, ok := r.(cs.TicketRecorded)
		return ok && recorded.Ticket.Number == pending.Ticket.Number
	})
	s.Inflight = &batch
	if len(batch.Records) == 0 {
		s.Inflight = nil
	}
	return true
}

// appendBatch sends the batch in flight again if that is due, or else the next batch. Only one
// batch of the stream is in flight at a time; tickets submitted meanwhile go into the next one.
func appendBatch(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	s := &t.TicketLog
	if s.Inflight != nil && now.Sub(s.FirstSentAt) >= answerTimeout {
		s.Inflight = nil // its tickets have been answered
	}
	if s.Inflight == nil && !composeBatch(t, now, out) {
		return
	}
	if now < s.RetryAt {
		out.WakeAt(s.RetryAt)
		return
	}
	counter := fleet.CountAppends
	if s.Attempts > 0 {
		counter = fleet.CountAppendRetries
	}
	out.Count(counter, "", 1)
	s.Attempts++
	s.UnconfirmedAppends++
	s.SentAt, s.RetryAt = now, now.Add(readBackTimeout)
	out.Add(fleet.Append{Stream: cs.TicketStream, Batch: *s.Inflight})
	out.WakeAt(s.RetryAt)
}

// composeBatch makes the next batch from the tickets that are not sent yet and the ones to rewrite.
// It returns false if there are none, the log is unavailable, or the last append is too recent.
func composeBatch(t *fleet.Tables, now cs.Instant, out *fleet.Actions) bool {
	s := &t.TicketLog
	numbers := unsentNumbers(t)
	if len(numbers) == 0 && len(s.Rewrites) == 0 || readAge(t, now) >= logUnavailableAfter {
		return false
	}
	if due := s.SentAt.Add(t.Config.GroupCommit); now < due {
		out.WakeAt(due)
		return false
	}
	s.Seq++
	batch := &cs.LogBatch{Writer: t.Self.Incarnation, VM: t.Self.ID, Fence: cs.NoOffset, Seq: s.Seq}
	for _, number := range numbers {
		pending := t.PendingTickets.Get(number)
		pending.Seq, pending.Sent = s.Seq, now
		batch.Records = append(batch.Records, cs.TicketRecorded{Ticket: pending.Ticket})
	}
	n := min(len(s.Rewrites), maxBatchTickets-len(batch.Records))
	for _, scope := range s.Rewrites[:n] {
		batch.Records = append(batch.Records, cs.TicketRecorded{Ticket: t.Tickets.Get(scope).Ticket})
	}
	s.Rewrites = slices.Delete(s.Rewrites, 0, n)
	s.Inflight, s.FirstSentAt = batch, now
	s.Attempts, s.UnconfirmedAppends, s.RetryAt = 0, 0, now
	return true
}

// unsentNumbers returns the ticket numbers that are not sent yet, in ascending order, so that of
// two tickets of one scope the higher does not make the lower one stale.
func unsentNumbers(t *fleet.Tables) []cs.TicketNumber {
	var numbers []cs.TicketNumber
	for number, pending := range t.PendingTickets.All() {
		if pending.Sent == 0 {
			numbers = append(numbers, number)
		}
	}
	slices.SortFunc(numbers, cmp.Compare)
	return numbers[:min(len(numbers), maxBatchTickets)]
}

// appendFailed schedules a resend of the batch in flight after a backoff, with the same sequence
// number.
func appendFailed(t *fleet.Tables, now cs.Instant, e fleet.AppendFailed) {
	s := &t.TicketLog
	if s.Inflight == nil || s.Inflight.Seq != e.Seq {
		return
	}
	if e.NotAppended {
		s.UnconfirmedAppends = max(0, s.UnconfirmedAppends-1)
	}
	wait := min(minRetryDelay<<min(s.Attempts, 10), maxRetryDelay)
	wait = wait/2 + cs.Span(t.Rand.Int64N(int64(wait/2)+1))
	s.RetryAt = min(s.RetryAt, now.Add(wait))
}
