package gateway

import (
	"context"

	cs "github.com/crocusstile/crocusstile"
)

// Event is something that happened outside the control loop.
type Event interface{ isEvent() }

// Post hands an event to the control loop; it gives up when ctx ends.
type Post func(ctx context.Context, e Event) error

// What the store's feeds bring.
type (
	// CatalogRead brings a version of the catalog.
	CatalogRead struct{ Catalog *cs.Catalog }
	// RunnersRead brings changes of the runners' entries.
	RunnersRead struct {
		// Whole means that runners not listed have no entry.
		Whole   bool
		Changes []RunnerChange
	}
	// VMsRead brings changes of the entry VMs.
	VMsRead struct {
		Whole   bool
		Changes []VMChange
	}
	// JobsRead brings records of the job log.
	JobsRead struct {
		// Whole means that the records are the whole state, not the next ones.
		Whole   bool
		From    cs.Offset
		End     cs.Offset
		Records []JobRecord
	}
	// FeedRead says that a feed was read; each of the above is followed by one.
	FeedRead struct {
		Feed   Feed
		Loaded bool
	}
	// FeedFailed says that a feed could not be read.
	FeedFailed struct {
		Feed  Feed
		Error string
	}
	// PartsAssigned brings the partitions of the batch work that belong to this VM.
	PartsAssigned struct{ Parts []int }
	// JobsAppended tells how an append ended.
	JobsAppended struct {
		Number  uint64
		Outcome AppendOutcome
	}
)

// RunnerChange is a runner's new entry; Runner is nil if it has none any more.
type RunnerChange struct {
	ID     cs.RunnerID
	Runner *cs.Runner
}

// VMChange is a VM's new entry; VM is nil if it has none any more.
type VMChange struct {
	ID cs.VMID
	VM *cs.VM
}

// AppendOutcome is how an append ended.
type AppendOutcome interface{ isAppendOutcome() }

// The outcomes of an append.
type (
	// AppendDone means that the records are durable, from an offset to the end of the log.
	AppendDone struct{ From, End cs.Offset }
	// AppendConflict means that the log did not end where the append expected.
	AppendConflict struct{ End cs.Offset }
	// AppendRefused means that nothing was appended.
	AppendRefused struct{ Reason string }
	// AppendOutOfSequence means that the store takes no append of that epoch and number.
	AppendOutOfSequence struct{ Reason string }
	// AppendUnknown means that the append may take effect yet.
	AppendUnknown struct{ Error string }
)

func (AppendDone) isAppendOutcome()          {}
func (AppendConflict) isAppendOutcome()      {}
func (AppendRefused) isAppendOutcome()       {}
func (AppendOutOfSequence) isAppendOutcome() {}
func (AppendUnknown) isAppendOutcome()       {}

// What callers ask.
type (
	// ForwardArrived brings an online request.
	ForwardArrived struct{ Forward Forward }
	// ForwardBegan says that the first byte of an answer reached the caller.
	ForwardBegan struct {
		ID      ForwardID
		Attempt cs.Attempt
	}
	// ForwardEnded tells how a send ended.
	ForwardEnded struct {
		ID      ForwardID
		Attempt cs.Attempt
		Outcome Outcome
	}
	// CallerLeft says that nobody waits for an online request any more.
	CallerLeft struct {
		ID     ForwardID
		Reason string
	}
	// JobSubmitted asks to accept a job.
	JobSubmitted struct {
		Query QueryID
		Spec  JobSpec
	}
	// JobEndAsked asks to end a job.
	JobEndAsked struct {
		Query QueryID
		Job   cs.JobID
	}
	// ResultsAsked asks for the results of a job from a position on.
	ResultsAsked struct {
		Query QueryID
		Job   cs.JobID
		After int
		// Until is how long the answer may wait for a result.
		Until cs.Instant
	}
	// BodyAsked asks for the body of an item that has no result yet.
	BodyAsked struct {
		Query QueryID
		Job   cs.JobID
		Item  cs.ItemID
	}
	// QueryLeft says that nobody waits for a query any more.
	QueryLeft struct{ Query QueryID }
)

// What runners, peers and the operator's signals bring.
type (
	// ItemRunEnded tells how a run ended. Text is the data of the events of this run, in order, and
	// LastEvent the id of the last one; both are zero if none came.
	ItemRunEnded struct {
		Key       ItemKey
		Attempt   cs.Attempt
		Outcome   ItemOutcome
		Text      []byte
		LastEvent cs.EventID
	}
	// PeerReported brings a peer's report.
	PeerReported struct {
		Address cs.Address
		Report  Report
	}
	// PeerStateRead brings a peer's state.
	PeerStateRead struct {
		Peer  cs.VMID
		State PeerState
	}
	// PeerStateAsked asks for this VM's state.
	PeerStateAsked struct{ Query StateQuery }
	// DrainAsked asks this VM to leave.
	DrainAsked struct{}
)

func (CatalogRead) isEvent()    {}
func (RunnersRead) isEvent()    {}
func (VMsRead) isEvent()        {}
func (JobsRead) isEvent()       {}
func (FeedRead) isEvent()       {}
func (FeedFailed) isEvent()     {}
func (PartsAssigned) isEvent()  {}
func (JobsAppended) isEvent()   {}
func (ForwardArrived) isEvent() {}
func (ForwardBegan) isEvent()   {}
func (ForwardEnded) isEvent()   {}
func (CallerLeft) isEvent()     {}
func (JobSubmitted) isEvent()   {}
func (JobEndAsked) isEvent()    {}
func (ResultsAsked) isEvent()   {}
func (BodyAsked) isEvent()      {}
func (QueryLeft) isEvent()      {}
func (ItemRunEnded) isEvent()   {}
func (PeerReported) isEvent()   {}
func (PeerStateRead) isEvent()  {}
func (PeerStateAsked) isEvent() {}
func (DrainAsked) isEvent()     {}
