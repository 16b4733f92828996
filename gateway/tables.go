package gateway

import (
	"math/rand/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/cost"
	"github.com/crocusstile/crocusstile/fairness"
	"github.com/crocusstile/crocusstile/fleet"
)

// Tables is the control state of one entry VM.
type Tables struct {
	Config Config
	Self   cs.VM
	// Started is when this process started.
	Started cs.Instant
	// Events are the events that the current tick processes, in the order of their arrival.
	Events []Event
	// Suspended is the time for which the machine has been suspended since the start of the process, as of this tick.
	Suspended cs.Span
	// DueAt is when this tick was due at the latest, or 0 if it was due only upon an event.
	DueAt cs.Instant
	// Rand is the only source of randomness of the systems, so that a run can be repeated with its seed.
	Rand *rand.Rand

	// Catalog is the newest version known, or nil.
	Catalog *cs.Catalog
	// Confirmation tells whether Catalog is known to be new enough for the withdrawal of keys.
	Confirmation Confirmation
	Runners      *fleet.Table[cs.RunnerID, Runner]
	// Departures holds the runners that are leaving or have left, and those that were removed lately.
	Departures *fleet.Table[cs.RunnerID, Departure]
	// EmptiedAt holds, for each service whose last runner was removed, when that was.
	EmptiedAt *fleet.Table[cs.ServiceID, cs.Instant]
	Peers     *fleet.Table[cs.VMID, Peer]
	// RunnerChanges counts the registrations of runners that were applied and changed what the runners' order and allocators depend on.
	// Renewals do not count: 3,700 runners renew theirs all the time, and to order them takes 3 ms.
	RunnerChanges uint64
	// LiveChanges counts the changes of the set of peers that report and are not leaving.
	LiveChanges uint64
	// PartitionChanges counts the changes of the partitions that peers report to own.
	PartitionChanges uint64
	Senders          Senders
	// DataCentres has a row for each data centre of which a VM has reported.
	DataCentres *fleet.Table[cs.DataCentreID, DataCentreState]
	Forwards    *fleet.Table[ForwardID, Forward]
	Demands     *fleet.Table[cs.ServiceID, ServiceDemand]
	// ItemShares holds the accounts of workspaces in the division of the runs of items.
	ItemShares *fleet.Table[cs.WorkspaceID, fairness.Account]
	ItemQueue  fairness.Queue
	Suspects   *fleet.Table[SuspectKey, Suspect]
	// BegunParts holds when a response to a prompt with a part last began, at any VM as far as this one knows.
	BegunParts *fleet.Table[cs.PromptPart, cs.Instant]
	Quarantine Quarantine
	// PossibleCrashes are the lost connections of which it is not yet known whether the runner has crashed.
	PossibleCrashes []PossibleCrash
	Jobs            *fleet.Table[cs.JobID, Job]
	// UnreadableJobs holds the jobs that are in the job log with a specification that could not be decoded.
	UnreadableJobs *fleet.Table[cs.JobID, UnreadableJob]
	// Proposals are the changes that wait for an append to the job log, in the order of their arrival.
	Proposals []Proposal
	// ResultsQueries holds the requests for the results of a job that have not been answered.
	ResultsQueries *fleet.Table[QueryID, ResultsQuery]
	// BodyQueries holds the requests for the body of an item that have not been answered.
	BodyQueries *fleet.Table[QueryID, BodyQuery]

	Feeds      map[Feed]*FeedState
	JobLog     JobLog
	Pace       Pace
	Partitions Partitions
	Drain      Drain
	Gossip     GossipState
	Slots      Slots
	Allowance  Allowance
	Bootstrap  Bootstrap
	// Costs are the estimates of what requests cost, for services whose runners state how long work takes on their machines.
	Costs *cost.Estimates
	// Candidates holds the order of preference among the runners of services with estimates.
	Candidates *fleet.Table[cs.ServiceID, Candidates]
}

// New returns empty tables. The seed determines the random choices of the systems.
func New(c Config, self cs.VM, now cs.Instant, seed uint64) *Tables {
	role := JobLogFollower
	if c.JobLogFollowers > 0 {
		role = JobLogNone
	}
	return &Tables{
		Config: c, Self: self, Started: now, Pace: defaultPace, JobLog: JobLog{Epoch: 1, Role: role}, Rand: rand.New(rand.NewPCG(seed, 1)),
		Slots:          newSlots(),
		Allowance:      newAllowance(),
		Costs:          cost.New(),
		Candidates:     fleet.NewTable[cs.ServiceID, Candidates](),
		Runners:        fleet.NewTable[cs.RunnerID, Runner](),
		Departures:     fleet.NewTable[cs.RunnerID, Departure](),
		EmptiedAt:      fleet.NewTable[cs.ServiceID, cs.Instant](),
		Peers:          fleet.NewTable[cs.VMID, Peer](),
		DataCentres:    fleet.NewTable[cs.DataCentreID, DataCentreState](),
		Forwards:       fleet.NewTable[ForwardID, Forward](),
		Demands:        fleet.NewTable[cs.ServiceID, ServiceDemand](),
		ItemShares:     fleet.NewTable[cs.WorkspaceID, fairness.Account](),
		Suspects:       fleet.NewTable[SuspectKey, Suspect](),
		BegunParts:     fleet.NewTable[cs.PromptPart, cs.Instant](),
		Jobs:           fleet.NewTable[cs.JobID, Job](),
		UnreadableJobs: fleet.NewTable[cs.JobID, UnreadableJob](),
		ResultsQueries: fleet.NewTable[QueryID, ResultsQuery](),
		BodyQueries:    fleet.NewTable[QueryID, BodyQuery](),
		Feeds: map[Feed]*FeedState{
			FeedCatalog: {}, FeedRunners: {}, FeedVMs: {}, FeedJobs: {},
		},
	}
}

// System is one step of a tick: a function that reads the tables and their events, updates rows and requests
// actions. It does no I/O and takes the time from its argument.
type System func(t *Tables, now cs.Instant, out *Actions)

// Config holds the settings of the systems.
type Config struct {
	// Grace is the time from the termination signal until the platform kills the process.
	Grace cs.Span
	// RegistrationGrace is how long, after the store has become readable again, runners stay in use whose
	// registrations expired during the outage. Runners that are up register again within this time.
	RegistrationGrace cs.Span
	// ResultRetention is the time from a job's submission for which its results stay readable.
	ResultRetention cs.Span
	// PartitionCount is the number of partitions by which jobs are distributed over the VMs.
	PartitionCount int
	// GroupTimeout is the session timeout of the batch group: a VM that does not renew its membership for so long loses its
	// partitions.
	GroupTimeout cs.Span
	// JobLogFollowers is the number of VMs of each data centre that follow the job log; 0 means that all do.
	JobLogFollowers int
	// MaxAppend is the maximum size of one append to the job log.
	MaxAppend cs.Bytes
	// RevokeBound is the time after the withdrawal of a key from which no request with it may run, or 0 if there is no such bound.
	RevokeBound cs.Span
	// Quota tells how the limits of workspaces are measured.
	Quota Quota
	// MaxOutput is the maximum size of the output of an item, which must fit into a record of the job log;
	// 0 means no limit.
	MaxOutput cs.Bytes
}

// Quota tells how the limits of workspaces are measured: in each span of Window, (rate x Window + burst) x (1 + Overshoot) + Slack
// requests of a workspace may run. A Window of 0 means that workspaces are not limited.
type Quota struct {
	Window    cs.Span  `json:"window"`
	Overshoot cs.Ratio `json:"overshoot"`
	Slack     float64  `json:"slack"`
}

// BootTime returns a time of this process on the clock that counts the time for which the machine was suspended.
func (t *Tables) BootTime(at cs.Instant) cs.BootInstant { return cs.BootInstant(at.Add(t.Suspended)) }

// HasWorkspaces reports whether the catalog keeps workspaces apart.
func (t *Tables) HasWorkspaces() bool { return t.Catalog != nil && t.Catalog.RequiresKeys }

// Drain is the progress of this VM's drain.
type Drain struct {
	Phase fleet.DrainPhase
	// Since is when the drain was requested or, in phase fleet.DrainDone, when it ended.
	Since cs.Instant
	// StopAt is when this VM stops the work that is still in flight, so that each caller gets an answer before the process
	// exits, or 0 without a drain.
	StopAt cs.Instant
	// Stopping means that StopAt has passed.
	Stopping bool
	// ArrivedAt is when the last request of a caller arrived.
	ArrivedAt cs.Instant
}

// CanFinish reports whether work with a deadline is certain to end before the drain stops it. The time that other work took is
// no bound on how long this one takes.
func (d *Drain) CanFinish(deadline cs.Instant) bool { return d.StopAt == 0 || deadline <= d.StopAt }

//go:generate enumer -type Feed -text -transform lower -trimprefix Feed

// Feed is a stream of records in the platform's store that every VM follows.
type Feed int

// The feeds of the store.
const (
	FeedCatalog Feed = iota
	FeedRunners
	FeedVMs
	FeedJobs
)

// FeedState records when a feed could be read.
type FeedState struct {
	// Loaded means that the feed has been read to its end at least once.
	Loaded bool
	// AsOf is the latest instant for which everything that was in the feed then is known to have been read, or
	// 0. The time that reads take, and reads that do not reach the end of the feed, do not advance it.
	AsOf cs.Instant
	// ConfirmedAt is when the last read was sent that confirmed the newest version, on the clock that counts the time for which the
	// machine was suspended, or 0. It is set for the catalog.
	ConfirmedAt cs.BootInstant
	// Unreadable means that the newest record could not be decoded. It is set for the catalog.
	Unreadable bool
	// FailingSince is when the current series of failed reads began, or 0 if the last read succeeded.
	FailingSince cs.Instant
	// FailedAt is when the last series of failed reads began, whether or not it has ended, or 0.
	FailedAt cs.Instant
	// ReadableSince is when the current series of successful reads began, or 0 while reads fail. A series goes on after a
	// failure that was too short for a registration to expire. ReadableBefore is its value before the last failure.
	ReadableSince, ReadableBefore cs.Instant
	// RecoveredAt is when the last series of failed reads ended in which a registration may have expired, or 0.
	RecoveredAt cs.Instant
}

// Age returns the age of the state of the feed that this VM has read.
func (f *FeedState) Age(now cs.Instant) cs.Span { return now.Sub(f.AsOf) }
