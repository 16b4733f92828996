package ticket

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// applyRead applies what was read from the ticket stream, and returns the tickets that this put in
// force. It returns none until the end of the stream was reached once, since a VM that starts
// replays what its peers know already.
func applyRead(t *fleet.Tables, now cs.Instant, out *fleet.Actions, r fleet.LogRead) []cs.LoggedTicket {
	s := &t.TicketLog
	s.ReadAt = now
	if r.First > s.Next {
		s.Gap = true
		s.Next = r.First
	}
	var changed []cs.LoggedTicket
	for _, b := range r.Batches {
		if b.Offset < s.Next {
			continue
		}
		s.Next = b.Offset + 1
		s.LogTime = max(s.LogTime, b.At)
		confirmAppend(t, b.Batch)
		for _, record := range b.Batch.Records {
			recorded, ok := record.(cs.TicketRecorded)
			if !ok {
				continue
			}
			logged := cs.LoggedTicket{Ticket: recorded.Ticket, Offset: b.Offset}
			if applyTicket(t, now, out, logged, b.At) && s.CaughtUp {
				changed = append(changed, logged)
			}
		}
	}
	s.Next = max(s.Next, r.Next)
	s.CaughtUp = s.CaughtUp || r.End
	return changed
}

// confirmAppend clears the batch in flight once it is read back.
func confirmAppend(t *fleet.Tables, b cs.LogBatch) {
	s := &t.TicketLog
	if s.Inflight != nil && b.Writer == t.Self.Incarnation && b.VM == t.Self.ID && b.Seq == s.Inflight.Seq {
		s.Inflight = nil
	}
}
