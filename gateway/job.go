package gateway

import cs "github.com/crocusstile/crocusstile"

// QueryID identifies a request of the job API within the process.
type QueryID uint64

// Item is one request of a batch job, as the caller submitted it.
type Item struct {
	ID     cs.ItemID         `cbor:"i"`
	Target string            `cbor:"p"` // path and query
	Header map[string]string `cbor:"h,omitempty"`
	Body   []byte            `cbor:"b"`
	// Parts are the parts of the prompt that other items and requests may share.
	Parts []cs.PromptPart `cbor:"q,omitempty"`
	// Tokens is the number of prompt tokens plus the maximum number of generated tokens.
	Tokens cs.Tokens `cbor:"t"`
}

// JobSpec is a batch job as it was accepted and stored in the job log.
type JobSpec struct {
	ID    cs.JobID     `cbor:"j"`
	Route cs.RouteName `cbor:"r"`
	Host  string       `cbor:"h"`
	// Accepted is the time of acceptance by the wall clock of the VM that accepted the job.
	Accepted cs.Instant `cbor:"a"`
	Items    []Item     `cbor:"i"`
	// Workspace is the workspace that submitted the job, or empty.
	Workspace cs.WorkspaceID `cbor:"w,omitempty"`
}

// Result is the final state of an item.
type Result struct {
	Item cs.ItemID `cbor:"i"`
	// Done is true for an item whose output is complete, and false for one that was given up.
	Done bool   `cbor:"d,omitempty"`
	Text string `cbor:"t,omitempty"`
}

// Progress is the partial output of an item: the data of its events up to LastEvent.
type Progress struct {
	Text      []byte     `cbor:"t"`
	LastEvent cs.EventID `cbor:"e"`
}

// Job is a batch job of the job log, with this VM's state of its items.
type Job struct {
	Spec JobSpec
	// Opened is the offset of the append that opened the job, or an offset in it.
	Opened cs.Offset
	// FirstReadAt is when this VM first read the job.
	FirstReadAt cs.Instant
	ItemWork    []ItemWork // one for each item, in the order of Spec.Items
	Results     []Result
	// ResultKeys are the keys of all records of results in the log, including those of results that do not
	// count because the item had one before.
	ResultKeys []ResultKey
	// Ended means that the caller has ended the job.
	Ended bool
	// RemovalProposed means that the removal of the job from the log has been proposed.
	RemovalProposed bool
}

// Open reports whether the job has items without a result and was not ended by its caller.
func (j *Job) Open() bool { return !j.Ended && !j.Complete() }

// Complete reports whether all items have a result, so that no more will be listed.
func (j *Job) Complete() bool { return len(j.Results) == len(j.Spec.Items) }

// UnreadableJob is a job of the job log of which this VM knows only that it exists.
type UnreadableJob struct {
	// At is the offset of a record of its specification.
	At cs.Offset
}

// ItemPhase is the state of a batch item at this VM.
type ItemPhase int

// The phases of a batch item.
const (
	// ItemWaiting means that the item has no result and this VM does not run it.
	ItemWaiting ItemPhase = iota
	// ItemRunning means that this VM runs the item on a runner.
	ItemRunning
	// ItemStopping means that this VM has cancelled the run, and the run has not ended.
	ItemStopping
	// ItemProposed means that the result waits to be appended to the job log.
	ItemProposed
	// ItemListed means that the result is in the job log.
	ItemListed
)

// ItemWork is the state of an item at this VM: its phase, its last run and its partial output.
type ItemWork struct {
	Phase ItemPhase
	// Runner and Started describe the last run.
	Runner  cs.RunnerID
	Started cs.Instant
	// NotBefore is the earliest time of the next run.
	NotBefore cs.Instant
	// Attempt counts the runs that this VM has started.
	Attempt cs.Attempt
	// SentTo lists the runners that this VM has sent the item to.
	SentTo []cs.RunnerID
	// Failed counts the runs to which the runner responded with an internal error (status 500).
	Failed cs.Attempt
	Progress
	// Ends counts the runs whose output ended after the last event, together with the connection.
	Ends int
	// HandedOverAt is when the job log last brought a partial output of the item that was handed over, or 0.
	HandedOverAt cs.Instant
	// SavedEvent is the last event of the partial output in the job log, or 0.
	SavedEvent cs.EventID
}

// ItemKey identifies an item of a job by its position in the submission.
type ItemKey struct {
	Job   cs.JobID
	Index int
}

// ItemOutcome is the result of one run of an item; a sealed type.
type ItemOutcome interface{ isItemOutcome() }

// The outcomes of a run.
type (
	// ItemCompleted means that the output is complete.
	ItemCompleted struct{}
	// ItemEndedWithConnection means that the output ended between two events, together with the connection: that is how a runner
	// may end it, or how the system of a runner that has crashed does.
	ItemEndedWithConnection struct{}
	// ItemNotRun means that the runner did not run the item. See OutcomeNotRun for the fields.
	ItemNotRun struct{ Replaced, Unreachable, Refused bool }
	// ItemError means that the runner responded with an error status.
	ItemError struct {
		Status int
		// Permanent means that the item is invalid, so that no runner can process it.
		Permanent bool
	}
	// ItemInterrupted means that the output is missing or incomplete.
	ItemInterrupted struct {
		Error string
		// Disconnected means that the connection was lost, as when the runner crashes.
		Disconnected bool
		// TimedOut means that the runner sent nothing within the time limit of the run.
		TimedOut bool
	}
	// ItemStopped means that this VM cancelled the run.
	ItemStopped struct{}
)

func (ItemCompleted) isItemOutcome()           {}
func (ItemEndedWithConnection) isItemOutcome() {}
func (ItemNotRun) isItemOutcome()              {}
func (ItemError) isItemOutcome()               {}
func (ItemInterrupted) isItemOutcome()         {}
func (ItemStopped) isItemOutcome()             {}

// ResultsQuery is a long-polling request for results of a job.
type ResultsQuery struct {
	Job cs.JobID
	// After is the number of results to skip, and Until when the request is answered without new ones.
	After int
	Until cs.Instant
	// Arrived is when the request arrived.
	Arrived cs.Instant
	// ReadRequested means that a read of the job log was requested, since this VM's view of it was too old to
	// answer.
	ReadRequested bool
}

// BodyQuery is a request for the body of an item, which waits while its job is unknown.
type BodyQuery struct {
	Job     cs.JobID
	Item    cs.ItemID
	Arrived cs.Instant
}

// Partitions describes the partitions of the batch work that this VM owns, and its membership in the batch
// group, through which the store assigns them.
type Partitions struct {
	// Owned holds the partitions of this VM with the time at which each was assigned.
	Owned map[int]cs.Instant
	// RenewedAt is when the store last confirmed the membership.
	RenewedAt cs.Instant
	// Left means that this VM has left the group.
	Left bool
	// UnservedSince is since when this VM has not followed the job log though its membership is renewed, or 0.
	UnservedSince cs.Instant
	// YieldedAt is when this VM last gave up its partitions for want of the job log, and ServableSince since when it could serve
	// them again, or 0.
	YieldedAt, ServableSince cs.Instant
	// BatchDemand is this VM's demand for batch slots: the items that it could start now. Items that will be
	// late anyway count for less.
	BatchDemand int
	// StartedAt is the time of the last round in which this VM started items.
	StartedAt cs.Instant
}

// Pace holds moving averages over the runs of items at this VM, by which the remaining time of an item is
// estimated.
type Pace struct {
	// EventsPerOutput is the number of events of a complete output, and EventIntervalMs the time between two
	// events in milliseconds.
	EventsPerOutput, EventIntervalMs float64
}

// defaultPace is the initial value of the averages: the values of the users' items at normal load.
var defaultPace = Pace{EventsPerOutput: 200, EventIntervalMs: 20}

// Proposal is a change that waits to be appended to the job log; a sealed type. It becomes a JobChange if it
// still applies when the append is made.
type Proposal interface{ isProposal() }

// The proposals.
type (
	// ProposeJob accepts a job.
	ProposeJob struct {
		Query QueryID
		Spec  JobSpec
		// Since is when the job was submitted.
		Since cs.Instant
		// Abandoned means that the caller has disconnected.
		Abandoned bool
	}
	// ProposeEnd ends a job.
	ProposeEnd struct {
		Query QueryID
		Job   cs.JobID
		// Since is when the end was requested.
		Since cs.Instant
	}
	// ProposeResult adds the result of an item.
	ProposeResult struct {
		Key    ItemKey
		Result Result
	}
	// ProposeProgress stores the partial output of an item, so that another VM can resume it.
	ProposeProgress struct{ Key ItemKey }
	// ProposeRemoval removes a job whose results no longer need to be readable from the log.
	ProposeRemoval struct{ Job cs.JobID }
)

func (ProposeJob) isProposal()      {}
func (ProposeEnd) isProposal()      {}
func (ProposeResult) isProposal()   {}
func (ProposeProgress) isProposal() {}
func (ProposeRemoval) isProposal()  {}
