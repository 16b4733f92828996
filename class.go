package crocusstile

//go:generate enumer -type Class -json -text -transform lower
//go:generate enumer -type Ran -json -text -transform title-lower -trimprefix Ran
//go:generate enumer -type ItemState -json -text -transform lower -trimprefix Item
//go:generate enumer -type JobState -json -text -transform lower -trimprefix Job
//go:generate enumer -type RunnerKind -json -text -transform lower -trimprefix Kind

// Class separates interactive online requests from the items of batch jobs.
type Class int

// The traffic classes.
const (
	Online Class = iota
	Batch
)

// Ran tells whether a request without a complete response was executed by a runner.
type Ran int

// The execution outcomes of a request without a complete response.
const (
	// RanNotRun means that no runner has executed the request or will execute it later.
	RanNotRun Ran = iota
	// RanFailed means that a runner executed the request and reported an error.
	RanFailed
	// RanUnknown means that a runner may have executed the request or may still execute it.
	RanUnknown
)

// ItemState is the position of a batch item in its life cycle.
type ItemState int

// The item states; those from ItemDone on are final.
const (
	ItemWaiting ItemState = iota
	ItemRunning
	ItemDone
	ItemFailed
	ItemCancelled
	ItemUnknown
)

// Ended reports whether the state is final, so that the item will not run again.
func (s ItemState) Ended() bool { return s >= ItemDone }

// JobState is the position of a batch job in its life cycle.
type JobState int

// The job states.
const (
	// JobOpening means that the log does not contain all items of the job yet.
	JobOpening JobState = iota
	JobOpen
	JobFinished
	JobCancelled
)

// RunnerKind distinguishes model engines from plain services.
type RunnerKind int

// The runner kinds.
const (
	KindEngine RunnerKind = iota
	KindService
)
