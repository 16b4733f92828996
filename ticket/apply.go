package ticket

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// applyTicket applies a ticket that this VM or a peer read from the log, and reports whether that
// put it in force. at is the time at which the log stored it, or 0 if it came from a peer.
func applyTicket(t *fleet.Tables, now cs.Instant, out *fleet.Actions, logged cs.LoggedTicket, at cs.Instant) bool {
	if logged.Ticket.Validate() != nil {
		return false
	}
	number, content := logged.Ticket.Number, contentOf(logged.Ticket)
	use := t.TicketNumbers.Get(number)
	switch {
	case use == nil || at != 0 && reusable(t, number, use, at):
		t.TicketNumbers.Insert(number, fleet.TicketNumberUse{
			Scope: logged.Ticket.State.Scope(), Content: content, Offset: logged.Offset, LoggedAt: at,
		})
	case use.Content != content:
		resolvePending(t, out, number)
		return false
	default: // the same ticket, appended again by a resend or a rewrite
		use.Offset = min(use.Offset, logged.Offset)
		use.LoggedAt = max(use.LoggedAt, at)
	}
	changed := putInForce(t, now, out, logged, at)
	resolvePending(t, out, number)
	return changed
}

// reusable reports whether a number may be used again at a time of the log. The log's clock is used
// instead of this VM's, so that all readers agree.
func reusable(t *fleet.Tables, number cs.TicketNumber, use *fleet.TicketNumberUse, at cs.Instant) bool {
	row := t.Tickets.Get(use.Scope)
	inForce := row != nil && row.Ticket.Number == number
	return !inForce && at.Sub(use.LoggedAt) > t.Config.Retention
}

// putInForce puts a ticket in force unless one with the same or a higher number is in force for its
// scope, and reports whether it did.
func putInForce(t *fleet.Tables, now cs.Instant, out *fleet.Actions, logged cs.LoggedTicket, at cs.Instant) bool {
	scope := logged.Ticket.State.Scope()
	if row := t.Tickets.Get(scope); row != nil && row.Ticket.Number >= logged.Ticket.Number {
		if row.Ticket.Number == logged.Ticket.Number {
			row.Offset = min(row.Offset, logged.Offset)
			row.LoggedAt = max(row.LoggedAt, at)
		}
		return false
	}
	t.Tickets.Insert(scope, fleet.Ticket{LoggedTicket: logged, InForce: now, LoggedAt: at})
	t.TicketLog.Highest = max(t.TicketLog.Highest, logged.Ticket.Number)
	out.Count(fleet.CountTicketsInForce, "", 1)
	if t.TicketLog.CaughtUp { // a VM that starts replays the whole stream
		out.LogChange("ticket", "in force",
			fleet.Field{Name: "scope", Value: scope}, fleet.Field{Name: "number", Value: logged.Ticket.Number})
	}
	return true
}

// resolvePending answers the submission of a number once the first record with that number is known.
func resolvePending(t *fleet.Tables, out *fleet.Actions, number cs.TicketNumber) {
	pending := t.PendingTickets.Get(number)
	if pending == nil {
		return
	}
	use := t.TicketNumbers.Get(number)
	switch {
	case use.Content != contentOf(pending.Ticket):
		answerPending(t, out, number, conflictRefusal(number))
	case wasStale(t, number, use):
		answerPending(t, out, number, staleRefusal(t, pending.Ticket))
	default:
		answerPending(t, out, number, nil)
	}
}

// wasStale reports whether a higher number of the scope precedes a ticket in the log. A higher
// number that follows it in the log, but that a peer sent earlier, does not make the ticket stale:
// it was in force in between.
func wasStale(t *fleet.Tables, number cs.TicketNumber, use *fleet.TicketNumberUse) bool {
	if row := t.Tickets.Get(use.Scope); row == nil || row.Ticket.Number <= number {
		return false
	}
	for n, other := range t.TicketNumbers.All() {
		if n > number && other.Scope == use.Scope && other.Offset < use.Offset {
			return true
		}
	}
	return false
}

func conflictRefusal(number cs.TicketNumber) *cs.Refusal {
	r := cs.Refuse(cs.ReasonConflict, "ticket %d is in use with other content", number)
	r.Field = "number"
	return r
}

func staleRefusal(t *fleet.Tables, ticket cs.Ticket) *cs.Refusal {
	scope := ticket.State.Scope()
	r := cs.Refuse(cs.ReasonStale, "ticket %d is in force for %s", t.Tickets.Get(scope).Ticket.Number, scope)
	r.Field = "number"
	return r
}

// answerPending answers all submissions of a number and deletes its row.
func answerPending(t *fleet.Tables, out *fleet.Actions, number cs.TicketNumber, refusal *cs.Refusal) {
	pending := t.PendingTickets.Get(number)
	for _, id := range append([]uint64{pending.Query}, pending.Waiters...) {
		reply(out, id, refusal)
	}
	t.PendingTickets.Delete(number)
}

func reply(out *fleet.Actions, id uint64, refusal *cs.Refusal) {
	if refusal != nil {
		out.Count(fleet.CountTicketsRefused, "", 1)
	}
	out.Add(fleet.AnswerTicket{ID: id, Refusal: refusal})
}
