package fleet

import (
	"math/rand/v2"

	cs "github.com/crocusstile/crocusstile"
)

// Tables is the control state of one VM.
type Tables struct {
	Config Config
	Self   cs.VM
	// Started is when this process started.
	Started cs.Instant
	// Events are what has happened since the last tick, in order.
	Events []Event
	// Rand is the only source of randomness of the systems.
	Rand *rand.Rand

	VMs      *Table[cs.VMID, VM]
	Runners  *Table[cs.RunnerID, Runner]
	Requests *Table[cs.RequestID, Request]
	Tenants  *Table[cs.TenantID, Tenant]
	Tickets  *Table[cs.Scope, Ticket]
	Filings  *Table[cs.TicketNumber, Filing]
	// Numbers holds the ticket numbers in use, those of superseded tickets included.
	Numbers  *Table[cs.TicketNumber, NumberUse]
	Shards   *Table[cs.ShardID, Shard]
	Jobs     *Table[cs.JobID, Job]
	Calls    *Table[cs.CallID, Call]
	Queries  *Table[uint64, Query]
	Runs     *Table[cs.ItemKey, Run]
	Suspects *Table[cs.ContentHash, Suspect]

	Log        LogState
	Drain      DrainState
	Budget     BudgetState
	Membership MembershipState
	TicketLog  TicketLogState
}

// New returns empty tables; seed makes the systems' random choices repeatable.
func New(c Config, self cs.VM, now cs.Instant, seed uint64) *Tables {
	return &Tables{
		Config: c, Self: self, Started: now, Rand: rand.New(rand.NewPCG(seed, 1)),
		VMs: NewTable[cs.VMID, VM](), Runners: NewTable[cs.RunnerID, Runner](),
		Requests: NewTable[cs.RequestID, Request](), Tenants: NewTable[cs.TenantID, Tenant](),
		Tickets: NewTable[cs.Scope, Ticket](), Filings: NewTable[cs.TicketNumber, Filing](),
		Numbers: NewTable[cs.TicketNumber, NumberUse](),
		Shards:  NewTable[cs.ShardID, Shard](), Jobs: NewTable[cs.JobID, Job](),
		Calls: NewTable[cs.CallID, Call](), Queries: NewTable[uint64, Query](),
		Runs: NewTable[cs.ItemKey, Run](), Suspects: NewTable[cs.ContentHash, Suspect](),
	}
}

// LogState is what this VM knows about the platform's log.
type LogState struct {
	// ReadAt is when a read last succeeded, on any stream.
	ReadAt cs.Instant
	// FailedAt is when a read or append last failed.
	FailedAt cs.Instant
	// FreshSince is when reads began to succeed without a failure since.
	FreshSince cs.Instant
}

// Read notes that a read succeeded.
func (l *LogState) Read(now cs.Instant) {
	l.ReadAt = now
	if l.FreshSince <= l.FailedAt {
		l.FreshSince = now
	}
}

// Age returns the time since the log was last read without an error.
func (l LogState) Age(now cs.Instant) cs.Span { return now.Sub(l.ReadAt) }

// DrainState is the progress of this VM's drain.
type DrainState struct {
	Phase DrainPhase
	Since cs.Instant
}

//go:generate enumer -type DrainPhase -text -transform lower -trimprefix Drain

// DrainPhase is a step of a drain.
type DrainPhase int

// The steps of a drain.
const (
	// DrainNone means that the VM serves.
	DrainNone DrainPhase = iota
	// DrainWaiting means that the VM is not ready, but still takes requests.
	DrainWaiting
	// DrainFinishing means that new requests are refused and those in flight go on.
	DrainFinishing
	// DrainDone means that nothing is in flight and all shards are released.
	DrainDone
)

// BudgetState is the retry budget: a token bucket filled by requests.
type BudgetState struct {
	Tokens float64
	// Spent counts retries and hedges since the start.
	Spent int64
	// Denied counts retries that the budget did not allow.
	Denied int64
}
