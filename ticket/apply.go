package ticket

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// apply applies a ticket that was read from the log here or by a peer, and reports whether it came
// in force by that. at is the log's time, or 0 if a peer told of it.
func apply(t *fleet.Tables, now cs.Instant, out *fleet.Actions, p cs.PlacedTicket, at cs.Instant) bool {
	if p.Ticket.Validate() != nil {
		return false
	}
	number, content := p.Ticket.Number, contentOf(p.Ticket)
	use := t.Numbers.Get(number)
	switch {
	case use == nil || at != 0 && free(t, number, use, at):
		t.Numbers.Insert(number, fleet.NumberUse{
			Scope: p.Ticket.State.Scope(), Content: content, Offset: p.Offset, LoggedAt: at,
		})
	case use.Content != content:
		settle(t, out, number)
		return false
	default: // the same ticket, sent or written again
		use.Offset = min(use.Offset, p.Offset)
		use.LoggedAt = max(use.LoggedAt, at)
	}
	changed := putInForce(t, now, out, p, at)
	settle(t, out, number)
	return changed
}

// free reports whether a number may be used again at a time of the log. The time of the log, not of
// this VM, decides, so that all readers agree.
func free(t *fleet.Tables, number cs.TicketNumber, use *fleet.NumberUse, at cs.Instant) bool {
	row := t.Tickets.Get(use.Scope)
	inForce := row != nil && row.Ticket.Number == number
	return !inForce && at.Sub(use.LoggedAt) > t.Config.Retention
}

// putInForce reports whether the ticket replaced a lower one, or none.
func putInForce(t *fleet.Tables, now cs.Instant, out *fleet.Actions, p cs.PlacedTicket, at cs.Instant) bool {
	scope := p.Ticket.State.Scope()
	if row := t.Tickets.Get(scope); row != nil && row.Ticket.Number >= p.Ticket.Number {
		if row.Ticket.Number == p.Ticket.Number {
			row.Offset = min(row.Offset, p.Offset)
			row.LoggedAt = max(row.LoggedAt, at)
		}
		return false
	}
	t.Tickets.Insert(scope, fleet.Ticket{PlacedTicket: p, InForce: now, LoggedAt: at})
	t.TicketLog.Highest = max(t.TicketLog.Highest, p.Ticket.Number)
	out.Count(fleet.CountTicketsInForce, "", 1)
	if t.TicketLog.CaughtUp { // a start replays the whole stream
		out.Note("ticket", "in force",
			fleet.Field{Name: "scope", Value: scope}, fleet.Field{Name: "number", Value: p.Ticket.Number})
	}
	return true
}

// settle answers the submission of a number once its first record is known.
func settle(t *fleet.Tables, out *fleet.Actions, number cs.TicketNumber) {
	filing := t.Filings.Get(number)
	if filing == nil {
		return
	}
	use := t.Numbers.Get(number)
	switch {
	case use.Content != contentOf(filing.Ticket):
		answer(t, out, number, conflict(number))
	case stale(t, number, use):
		answer(t, out, number, staleRefusal(t, filing.Ticket))
	default:
		answer(t, out, number, nil)
	}
}

// stale reports whether a higher number of the scope came before a ticket in the log. A higher
// number that came after it, and that a peer may have passed on before, does not make it stale: the
// ticket was in force in between.
func stale(t *fleet.Tables, number cs.TicketNumber, use *fleet.NumberUse) bool {
	if row := t.Tickets.Get(use.Scope); row == nil || row.Ticket.Number <= number {
		return false
	}
	for n, other := range t.Numbers.All() {
		if n > number && other.Scope == use.Scope && other.Offset < use.Offset {
			return true
		}
	}
	return false
}

func conflict(number cs.TicketNumber) *cs.Refusal {
	r := cs.Refuse(cs.ReasonConflict, "ticket %d is in use with other content", number)
	r.Field = "number"
	return r
}

func staleRefusal(t *fleet.Tables, k cs.Ticket) *cs.Refusal {
	scope := k.State.Scope()
	r := cs.Refuse(cs.ReasonStale, "ticket %d is in force for %s", t.Tickets.Get(scope).Ticket.Number, scope)
	r.Field = "number"
	return r
}

// answer ends the submission of a number.
func answer(t *fleet.Tables, out *fleet.Actions, number cs.TicketNumber, refusal *cs.Refusal) {
	filing := t.Filings.Get(number)
	for _, id := range append([]uint64{filing.Query}, filing.Waiters...) {
		reply(out, id, refusal)
	}
	t.Filings.Delete(number)
}

func reply(out *fleet.Actions, id uint64, refusal *cs.Refusal) {
	if refusal != nil {
		out.Count(fleet.CountTicketsRefused, "", 1)
	}
	out.Add(fleet.AnswerTicket{ID: id, Refusal: refusal})
}
