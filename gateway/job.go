package gateway

import cs "github.com/crocusstile/crocusstile"

// QueryID numbers what callers ask about jobs in a process.
type QueryID uint64

// Item is one request of a batch job, as the caller sent it.
type Item struct {
	ID     cs.ItemID         `cbor:"i"`
	Target string            `cbor:"p"` // path and query
	Header map[string]string `cbor:"h,omitempty"`
	Body   []byte            `cbor:"b"`
	// Tokens is the tokens of the prompt and the most that are generated, summed.
	Tokens cs.Tokens `cbor:"t"`
}

// JobSpec is a batch job as it was accepted.
type JobSpec struct {
	ID    cs.JobID     `cbor:"j"`
	Route cs.RouteName `cbor:"r"`
	Host  string       `cbor:"h"`
	// Accepted is the wall clock of the VM that accepted the job.
	Accepted cs.Instant `cbor:"a"`
	Items    []Item     `cbor:"i"`
}

// Result is the final state of an item.
type Result struct {
	Item cs.ItemID `cbor:"i"`
	// Done tells a whole output from an item that was given up.
	Done bool   `cbor:"d,omitempty"`
	Text string `cbor:"t,omitempty"`
}

// Progress is the output of an item so far.
type Progress struct {
	Text      []byte     `cbor:"t"`
	LastEvent cs.EventID `cbor:"e"`
}

// Job is a batch job of the job log.
type Job struct {
	Spec JobSpec
	// Seen is when this VM first read the job.
	Seen    cs.Instant
	Work    []Work // one for each item, in the order of Spec.Items
	Results []Result
	// Listed are the records of results in the log.
	Listed []ResultKey
	Ended  bool
	// Dropping means that the job's removal from the log is proposed.
	Dropping bool
}

// Open reports whether items of the job are still to be done.
func (j *Job) Open() bool { return !j.Ended && len(j.Results) < len(j.Spec.Items) }

// ItemPhase is where an item stands at this VM.
type ItemPhase int

// The phases of an item.
const (
	// ItemWaiting means that the item waits for a runner.
	ItemWaiting ItemPhase = iota
	// ItemRunning means that this VM runs the item.
	ItemRunning
	// ItemStopping means that this VM has stopped the run and waits for its end.
	ItemStopping
	// ItemProposed means that the result waits for an append.
	ItemProposed
	// ItemListed means that the result is in the job log.
	ItemListed
)

// Work is the progress of an item at this VM.
type Work struct {
	Phase     ItemPhase
	Runner    cs.RunnerID
	Started   cs.Instant
	NotBefore cs.Instant
	// Attempt counts the runs that this VM has started.
	Attempt cs.Attempt
	// Failed counts the runs that the runner ended with an error.
	Failed cs.Attempt
	Progress
	// HandedAt is when another VM last told how far the item has come, or 0.
	HandedAt cs.Instant
	// Published is the last event that the job log has.
	Published cs.EventID
}

// ItemKey identifies an item of a job by its position in the submission.
type ItemKey struct {
	Job   cs.JobID
	Index int
}

// ItemOutcome is how a run of an item ended.
type ItemOutcome interface{ isItemOutcome() }

// The outcomes of a run.
type (
	// ItemWhole means that the output is whole.
	ItemWhole struct{}
	// ItemNotRun means that the runner did not run the item.
	ItemNotRun struct{ Gone, Unreachable, Refused bool }
	// ItemError means that the runner answered with an error.
	ItemError struct {
		Status int
		// Never means that no runner can do the item.
		Never bool
	}
	// ItemBroken means that the output broke off.
	ItemBroken struct {
		Error        string
		Disconnected bool
		// Silent means that nothing came for too long.
		Silent bool
	}
	// ItemStopped means that this VM stopped the run.
	ItemStopped struct{}
)

func (ItemWhole) isItemOutcome()   {}
func (ItemNotRun) isItemOutcome()  {}
func (ItemError) isItemOutcome()   {}
func (ItemBroken) isItemOutcome()  {}
func (ItemStopped) isItemOutcome() {}

// Wait is a caller that waits for results of a job.
type Wait struct {
	Job   cs.JobID
	After int
	Until cs.Instant
	// UnknownUntil is how long the answer waits for the next read of the job log, if the job was not
	// known when the caller asked.
	UnknownUntil cs.Instant
}

// Parts is which partitions of the batch work belong to this VM.
type Parts struct {
	// Owned holds the partitions of this VM with the time at which each was gained.
	Owned map[int]cs.Instant
	// RenewedAt is when the store last confirmed the membership.
	RenewedAt cs.Instant
	// Left means that this VM has left the group.
	Left bool
	// Waiting counts the items that this VM would start if there were room.
	Waiting int
	// StartedAt is when this VM last started items.
	StartedAt cs.Instant
}

// Pace is what this VM has seen of the runs of items, as moving averages.
type Pace struct {
	// Events counts the events of a whole output, and Gap is the time for one in milliseconds.
	Events, Gap float64
}

// usualPace is assumed until a VM has seen runs of its own: that of items of the users' sites at usual
// load.
var usualPace = Pace{Events: 200, Gap: 20}

// Proposal is a change of the job log that waits for an append; a sealed type.
type Proposal interface{ isProposal() }

// The proposals.
type (
	// ProposeJob accepts a job.
	ProposeJob struct {
		Query QueryID
		Spec  JobSpec
		Since cs.Instant
	}
	// ProposeEnd ends a job.
	ProposeEnd struct {
		Query QueryID
		Job   cs.JobID
		Since cs.Instant
	}
	// ProposeResult lists an item's result.
	ProposeResult struct {
		Key    ItemKey
		Result Result
	}
	// ProposeProgress tells how far an item has come.
	ProposeProgress struct{ Key ItemKey }
	// ProposeDrop removes a job whose results are no longer readable.
	ProposeDrop struct{ Job cs.JobID }
)

func (ProposeJob) isProposal()      {}
func (ProposeEnd) isProposal()      {}
func (ProposeResult) isProposal()   {}
func (ProposeProgress) isProposal() {}
func (ProposeDrop) isProposal()     {}

// JobLog is the state of the job log as this VM has applied it.
type JobLog struct {
	// Synced means that everything up to End is applied.
	Synced bool
	// End is the offset after the last record applied.
	End cs.Offset
	// InFlight is the append that waits for its answer, or nil.
	InFlight *AppendJobs
	// SentAt is when the append in flight was first sent.
	SentAt cs.Instant
	// Tries counts how often the append in flight was sent.
	Tries int
	// InDoubt means that the append in flight is to be sent again, because it got no answer and may
	// still take effect.
	InDoubt bool
	// Need is the offset up to which the log must be applied before the next append.
	Need cs.Offset
	// RetryAt is when the append may be tried again.
	RetryAt cs.Instant
	// Proposals are those that the append in flight carries.
	Proposals []Proposal
	// Number counts the appends of this process.
	Number uint64
	// Epoch and Seq number the appends that may take effect wherever the log ends.
	Epoch, Seq uint64
	// Conflicts counts appends in a row that came too late.
	Conflicts int
}
