package fleet

import cs "github.com/crocusstile/crocusstile"

// Ticket is the row of the ticket in force for a scope. Its Offset is that of the first record of
// the ticket known to this VM.
type Ticket struct {
	cs.LoggedTicket
	// InForce is when this VM put the ticket in force.
	InForce cs.Instant
	// LoggedAt is the log's timestamp of the ticket's newest record; 0 if the ticket is known only
	// from peers.
	LoggedAt cs.Instant
	// CheckedAt is when package ticket last checked whether this VM must rewrite the ticket.
	CheckedAt cs.Instant
}

// TicketNumberUse is the row of a ticket number, with the scope and content of the first record
// that used it.
type TicketNumberUse struct {
	Scope   cs.Scope
	Content cs.ContentHash
	// Offset is that of the first record known to this VM.
	Offset cs.Offset
	// LoggedAt is the log's timestamp of the newest record with the number and content; 0 if they are
	// known only from peers. The number of a ticket that is not in force becomes free Config.Retention
	// after that, since a VM that starts then cannot find it in the log either.
	LoggedAt cs.Instant
}

// PendingTicket is the row of a ticket that was submitted to this VM and is not in force or refused
// yet.
type PendingTicket struct {
	Query  uint64
	Ticket cs.Ticket
	Since  cs.Instant
	Seq    cs.Seq
	// Sent is when an append of the ticket was last sent; 0 before the first one.
	Sent cs.Instant
	// Waiters are the queries of further submissions of the same ticket.
	Waiters []uint64
}
