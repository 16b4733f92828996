package fleet

import cs "github.com/crocusstile/crocusstile"

// MembershipState is the state of package membership besides its rows.
type MembershipState struct {
	// TickAt is when the last tick ran.
	TickAt cs.Instant
	// ListReadAt is when the platform's list was last read. It is the Listed of all VMs and runners
	// in that list.
	ListReadAt cs.Instant
	// Liveness schedules the sweep that decides which VMs are live, Dials the one that dials VMs
	// without a link and AssignSenders the one that assigns batch senders to runners.
	Liveness, Dials, AssignSenders Sweep
	// PeersChanged tells whether the peers to link to must be selected again.
	PeersChanged bool
	// SendersStale lists the data centres whose runners may need another batch sender.
	SendersStale []cs.DataCentreID
	// UnlistedRunners counts the rows with Unlisted set, which are kept while work is in flight on
	// them.
	UnlistedRunners int
	// Broadcast is the last heartbeat sent, without Online, and BroadcastAt when it was sent.
	Broadcast   cs.Heartbeat
	BroadcastAt cs.Instant
}

// TicketLogState is the state of package ticket besides its rows.
type TicketLogState struct {
	// Tailing tells whether a Subscribe to the ticket stream was requested.
	Tailing bool
	// Next is the offset to read next, and ReadAt when the stream was last read.
	Next   cs.Offset
	ReadAt cs.Instant
	// CaughtUp tells whether a read has reached the end of the stream.
	CaughtUp bool
	// Gap tells whether the log's retention dropped records before this VM read them, so that it must
	// request the tickets from a peer.
	Gap bool
	// LogTime is the log's timestamp of the newest record read.
	LogTime cs.Instant
	// Highest is the highest ticket number in force.
	Highest cs.TicketNumber

	// Seq is the sequence number of the last batch of this process.
	Seq cs.Seq
	// Inflight is the batch that has been sent but not read back yet, or nil; FirstSentAt is when
	// it was first sent and SentAt when it was last sent.
	Inflight            *cs.LogBatch
	FirstSentAt, SentAt cs.Instant
	// Attempts counts the appends of Inflight, and UnconfirmedAppends those among them that may
	// have succeeded.
	Attempts, UnconfirmedAppends int
	// RetryAt is when Inflight is sent again.
	RetryAt cs.Instant
	// Rewrites are the scopes whose tickets must be appended again before the log's retention passes.
	Rewrites []cs.Scope
	// Retention schedules the sweep that fills Rewrites, and Prune the one that deletes ticket
	// numbers no longer in use.
	Retention, Prune Sweep

	// BehindSince is when a heartbeat first showed that a peer knows more tickets; 0 if none does.
	BehindSince cs.Instant
	// BehindPeer is that peer, with its highest ticket number and its number of tickets.
	BehindPeer    cs.VMID
	BehindHighest cs.TicketNumber
	BehindTickets int
	// RequestedAt is when tickets were last requested from a peer, and FruitlessRequests counts
	// consecutive requests without a new ticket in return; the backoff between requests grows with
	// it.
	RequestedAt       cs.Instant
	FruitlessRequests int
}
