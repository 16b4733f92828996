package fleet

import cs "github.com/crocusstile/crocusstile"

// Ticket is the ticket in force for a scope. Offset is that of the first record known here.
type Ticket struct {
	cs.PlacedTicket
	// InForce is when this VM put it in force.
	InForce cs.Instant
	// LoggedAt is the log's time of the newest record of the ticket; 0 if only peers told of it.
	LoggedAt cs.Instant
	// CheckedAt is when package ticket last looked whether this VM is to rewrite it.
	CheckedAt cs.Instant
}

// NumberUse is the row of a ticket number: what the first record with the number says.
type NumberUse struct {
	Scope   cs.Scope
	Content cs.ContentHash
	// Offset is that of the first record known here.
	Offset cs.Offset
	// LoggedAt is the log's time of the newest record with the number and content; 0 if only peers
	// told of it. Unless its ticket is in force, the number is free again when Config.Retention has
	// passed since, as it is for a VM that starts then.
	LoggedAt cs.Instant
}

// Filing is a ticket that was submitted here and is not yet decided.
type Filing struct {
	Query  uint64
	Ticket cs.Ticket
	Since  cs.Instant
	Seq    cs.Seq
	// Sent is when the append was last sent; 0 before.
	Sent cs.Instant
	// Waiters are further submissions of the same ticket.
	Waiters []uint64
}
