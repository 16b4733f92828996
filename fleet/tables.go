package fleet

import (
	"math/rand/v2"

	cs "github.com/crocusstile/crocusstile"
)

// Tables is the complete control state of one VM.
type Tables struct {
	Config Config
	Self   cs.VM
	// Started is when this process started.
	Started cs.Instant
	// Events are the events received since the last tick, in order of arrival.
	Events []Event
	// Rand is the systems' only source of randomness, so that a run can be repeated from its seed.
	Rand *rand.Rand

	VMs            *Table[cs.VMID, VM]
	Runners        *Table[cs.RunnerID, Runner]
	Requests       *Table[cs.RequestID, Request]
	Tenants        *Table[cs.TenantID, Tenant]
	Tickets        *Table[cs.Scope, Ticket]
	PendingTickets *Table[cs.TicketNumber, PendingTicket]
	// TicketNumbers holds the ticket numbers in use, including those of superseded tickets.
	TicketNumbers *Table[cs.TicketNumber, TicketNumberUse]
	Shards        *Table[cs.ShardID, Shard]
	Jobs          *Table[cs.JobID, Job]
	Calls         *Table[cs.CallID, Call]
	Queries       *Table[uint64, Query]
	Runs          *Table[cs.ItemKey, Run]
	Suspects      *Table[cs.ContentHash, Suspect]

	Log        LogState
	Drain      DrainState
	Budget     BudgetState
	Membership MembershipState
	TicketLog  TicketLogState
}

// New returns empty tables. The same seed gives the same random choices of the systems.
func New(c Config, self cs.VM, now cs.Instant, seed uint64) *Tables {
	return &Tables{
		Config: c, Self: self, Started: now, Rand: rand.New(rand.NewPCG(seed, 1)),
		VMs: NewTable[cs.VMID, VM](), Runners: NewTable[cs.RunnerID, Runner](),
		Requests: NewTable[cs.RequestID, Request](), Tenants: NewTable[cs.TenantID, Tenant](),
		Tickets: NewTable[cs.Scope, Ticket](), PendingTickets: NewTable[cs.TicketNumber, PendingTicket](),
		TicketNumbers: NewTable[cs.TicketNumber, TicketNumberUse](),
		Shards:        NewTable[cs.ShardID, Shard](), Jobs: NewTable[cs.JobID, Job](),
		Calls: NewTable[cs.CallID, Call](), Queries: NewTable[uint64, Query](),
		Runs: NewTable[cs.ItemKey, Run](), Suspects: NewTable[cs.ContentHash, Suspect](),
	}
}

// LogState records when this VM last read the platform's log and when that last failed.
type LogState struct {
	// ReadAt is when a read of any stream last succeeded.
	ReadAt cs.Instant
	// FailedAt is when a read or append last failed.
	FailedAt cs.Instant
	// FreshSince is when the first read after the last failure succeeded.
	FreshSince cs.Instant
}

// Read records that a read succeeded.
func (l *LogState) Read(now cs.Instant) {
	l.ReadAt = now
	if l.FreshSince <= l.FailedAt {
		l.FreshSince = now
	}
}

// Age returns the time since the last successful read of the log.
func (l LogState) Age(now cs.Instant) cs.Span { return now.Sub(l.ReadAt) }

// DrainState is the progress of this VM's drain.
type DrainState struct {
	Phase DrainPhase
	Since cs.Instant
}

//go:generate enumer -type DrainPhase -text -transform lower -trimprefix Drain

// DrainPhase is a phase of a drain.
type DrainPhase int

// The phases of a drain.
const (
	// DrainNone means that the VM is not draining.
	DrainNone DrainPhase = iota
	// DrainWaiting means that the VM reports not ready, but still accepts requests.
	DrainWaiting
	// DrainFinishing means that the VM refuses new requests and finishes those in flight.
	DrainFinishing
	// DrainDone means that nothing is in flight and all shards are released.
	DrainDone
)

// BudgetState is the retry budget: a token bucket that each request fills a little.
type BudgetState struct {
	Tokens float64
	// Spent counts retries and hedges since the start.
	Spent int64
	// Denied counts retries and hedges that the budget did not allow.
	Denied int64
}
