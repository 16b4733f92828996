package gateway

import (
	"math/rand/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Tables is the control state of one entry VM.
type Tables struct {
	Config Config
	Self   cs.VM
	// Started is when this process started.
	Started cs.Instant
	// Events are what has happened since the last tick, in order.
	Events []Event
	// Rand is the only source of randomness of the systems.
	Rand *rand.Rand

	// Catalog is the newest version read, or nil.
	Catalog *cs.Catalog
	Runners *fleet.Table[cs.RunnerID, Runner]
	// Vacancies are the services whose last runner has gone, with the time of that.
	Vacancies *fleet.Table[cs.ServiceID, cs.Instant]
	Peers     *fleet.Table[cs.VMID, Peer]
	Zones     *fleet.Table[cs.DataCentreID, Zone]
	Forwards  *fleet.Table[ForwardID, Forward]
	Queues    *fleet.Table[cs.ServiceID, Queue]
	Suspects  *fleet.Table[cs.ContentHash, Suspect]
	// Breaks are broken connections whose runners may have crashed.
	Breaks []Break
	Jobs   *fleet.Table[cs.JobID, Job]
	// Proposals wait for an append to the job log, in order of arrival.
	Proposals []Proposal
	// Waits are callers that wait for the results of a job.
	Waits *fleet.Table[QueryID, Wait]

	Feeds     map[Feed]*FeedState
	JobLog    JobLog
	Pace      Pace
	Parts     Parts
	Drain     Drain
	Gossip    GossipState
	Bootstrap Bootstrap
}

// New returns empty tables; seed makes the systems' random choices repeatable.
func New(c Config, self cs.VM, now cs.Instant, seed uint64) *Tables {
	return &Tables{
		Config: c, Self: self, Started: now, Pace: usualPace, JobLog: JobLog{Epoch: 1}, Rand: rand.New(rand.NewPCG(seed, 1)),
		Runners:   fleet.NewTable[cs.RunnerID, Runner](),
		Vacancies: fleet.NewTable[cs.ServiceID, cs.Instant](),
		Peers:     fleet.NewTable[cs.VMID, Peer](),
		Zones:     fleet.NewTable[cs.DataCentreID, Zone](),
		Forwards:  fleet.NewTable[ForwardID, Forward](),
		Queues:    fleet.NewTable[cs.ServiceID, Queue](),
		Suspects:  fleet.NewTable[cs.ContentHash, Suspect](),
		Jobs:      fleet.NewTable[cs.JobID, Job](),
		Waits:     fleet.NewTable[QueryID, Wait](),
		Feeds: map[Feed]*FeedState{
			FeedCatalog: {}, FeedRunners: {}, FeedVMs: {}, FeedJobs: {},
		},
	}
}

// System is one step of a tick: a function of the tables and the time that writes rows and asks for
// actions.
type System func(t *Tables, now cs.Instant, out *Actions)

// Config holds the limits of the systems.
type Config struct {
	// Grace is the time from the order to stop until the platform kills the process.
	Grace cs.Span
	// ReturnGrace is the time after the store's return for which a runner's entry that lapsed
	// meanwhile stays in use.
	ReturnGrace cs.Span
	// ResultLife is the time from a job's submission for which its results stay readable.
	ResultLife cs.Span
	// Partitions is the number of partitions into which jobs are divided among VMs.
	Partitions int
	// MaxAppend bounds the bytes of one append to the job log.
	MaxAppend cs.Bytes
}

// Drain is the progress of this VM's drain.
type Drain struct {
	Phase fleet.DrainPhase
	Since cs.Instant
}

//go:generate enumer -type Feed -text -transform lower -trimprefix Feed

// Feed names a stream of records that a VM follows in the platform's store.
type Feed int

// The feeds.
const (
	FeedCatalog Feed = iota
	FeedRunners
	FeedVMs
	FeedJobs
)

// FeedState is what this VM knows of a feed's connection.
type FeedState struct {
	// Loaded means that the feed was read whole at least once.
	Loaded bool
	// ReadAt is when a read last succeeded.
	ReadAt cs.Instant
	// LostAt is when reads began to fail, or 0.
	LostAt cs.Instant
	// RegainedAt is when reads last succeeded after a failure.
	RegainedAt cs.Instant
}

// Age returns the time since the last read that succeeded.
func (f *FeedState) Age(now cs.Instant) cs.Span { return now.Sub(f.ReadAt) }
