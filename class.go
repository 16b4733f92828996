package crocusstile

//go:generate enumer -type Class -json -text -transform lower
//go:generate enumer -type Ran -json -text -transform title-lower -trimprefix Ran
//go:generate enumer -type ItemState -json -text -transform lower -trimprefix Item
//go:generate enumer -type JobState -json -text -transform lower -trimprefix Job
//go:generate enumer -type RunnerKind -json -text -transform lower -trimprefix Kind

// Class separates live traffic from bulk work.
type Class int

// The classes.
const (
	Online Class = iota
	Batch
)

// Ran says what is known about the effect of a request that got no whole answer.
type Ran int

// What may have run.
const (
	// RanNotRun means that no runner has seen the request, nor will see it.
	RanNotRun Ran = iota
	// RanFailed means that it ran and failed.
	RanFailed
	// RanUnknown means that it may have run, or may run yet.
	RanUnknown
)

// ItemState is the state of a batch item.
type ItemState int

// The states of an item.
const (
	ItemWaiting ItemState = iota
	ItemRunning
	ItemDone
	ItemFailed
	ItemCancelled
	ItemUnknown
)

// Ended reports whether the state is final.
func (s ItemState) Ended() bool { return s >= ItemDone }

// JobState is the state of a batch job.
type JobState int

// The states of a job.
const (
	// JobOpening means that the job's items are not all in the log yet.
	JobOpening JobState = iota
	JobOpen
	JobFinished
	JobCancelled
)

// RunnerKind tells model engines from plain services.
type RunnerKind int

// The kinds of runner.
const (
	KindEngine RunnerKind = iota
	KindService
)
