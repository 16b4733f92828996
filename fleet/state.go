package fleet

import cs "github.com/crocusstile/crocusstile"

// MembershipState is what package membership keeps between ticks besides its rows.
type MembershipState struct {
	// TickAt is when the last tick ran.
	TickAt cs.Instant
	// ListReadAt is when the platform's list was last read; the rows that it showed have it as
	// their Listed.
	ListReadAt cs.Instant
	// Verdicts times the sweep over VMs for their liveness, Dials the one for links to open and
	// Senders the one over runners for their batch sender.
	Verdicts, Dials, Senders Sweep
	// PeersChanged means that links are to be chosen again.
	PeersChanged bool
	// SendersStale lists the data centres whose runners may need another sender.
	SendersStale []cs.DataCentreID
	// GoneRunners counts the rows of runners that are gone but still have work in flight.
	GoneRunners int
	// Beat is the last heartbeat sent, without Online, and BeatAt when it was sent.
	Beat   cs.Heartbeat
	BeatAt cs.Instant
}

// TicketLogState is what package ticket keeps between ticks besides its rows.
type TicketLogState struct {
	// Tailing tells whether the ticket stream was asked for.
	Tailing bool
	// Next is the offset to read next; ReadAt is when the stream was last read.
	Next   cs.Offset
	ReadAt cs.Instant
	// CaughtUp tells whether the end of the stream was reached once.
	CaughtUp bool
	// Gap means that records were lost to retention before they were read, so that peers have to be
	// asked.
	Gap bool
	// LogTime is the log's time of the newest record read.
	LogTime cs.Instant
	// Highest is the highest number in force.
	Highest cs.TicketNumber

	// Seq is the last batch of this process.
	Seq cs.Seq
	// Inflight is the batch that is sent and not read back, or nil; First is when it was first sent
	// and SentAt when it last was.
	Inflight      *cs.LogBatch
	First, SentAt cs.Instant
	// Attempts counts the sends of Inflight, and Unsure those that the log has not refused for
	// certain.
	Attempts, Unsure int
	// RetryAt is when Inflight is sent again.
	RetryAt cs.Instant
	// Rewrites are scopes whose ticket is to be appended again before retention passes.
	Rewrites []cs.Scope
	// Retention times the sweep for them, and Prune the one over Numbers.
	Retention, Prune Sweep

	// BehindSince is when a peer first showed that it knows more tickets; 0 if none does.
	BehindSince cs.Instant
	// BehindPeer is that peer, with its highest number and count of tickets.
	BehindPeer    cs.VMID
	BehindHighest cs.TicketNumber
	BehindTickets int
	// WantedAt is when tickets were last asked of a peer, and InVain counts asks in a row that
	// brought nothing new.
	WantedAt cs.Instant
	InVain   int
}
