package gateway

import (
	"context"

	cs "github.com/crocusstile/crocusstile"
)

// Event is an input of the control loop; a sealed type.
type Event interface{ isEvent() }

// Post queues an event for the next tick of the control loop. It blocks while the queue is full and fails
// when ctx ends.
type Post func(ctx context.Context, e Event) error

// The events that come from the store.
type (
	// CatalogRead brings the newest version of the catalog that was read, or nil if none was valid.
	CatalogRead struct{ Catalog *cs.Catalog }
	// RunnersRead brings changes of the registrations of runners.
	RunnersRead struct {
		// Snapshot means that the changes are a snapshot: runners that are not listed are not registered.
		Snapshot bool
		// End is the offset of the topic at which the snapshot was begun; later records are read as changes.
		End     cs.Offset
		Changes []RunnerChange
	}
	// VMsRead brings changes of the registrations of entry VMs.
	VMsRead struct {
		// Snapshot means that the changes are a snapshot: VMs that are not listed are not registered.
		Snapshot bool
		Changes  []VMChange
	}
	// JobsRead brings records of the job log.
	JobsRead struct {
		// Snapshot means that the records are a snapshot of the log; otherwise they are those from offset
		// From on.
		Snapshot bool
		From     cs.Offset
		// End is the offset from which to read on.
		End     cs.Offset
		Records []JobRecord
	}
	// FeedRead reports a successful read of a feed. It follows the event with the contents, if there were
	// any.
	FeedRead struct {
		Feed Feed
		// Loaded means that the read reached the end of the feed.
		Loaded bool
		// AsOf is set if Loaded: everything that was in the feed at this instant has been read.
		AsOf cs.Instant
		// SentAt is when the read was sent, on the clock that counts suspension. It is set if Loaded.
		SentAt cs.BootInstant
		// Unreadable means that the newest record could not be decoded. It is set for the catalog.
		Unreadable bool
		// Next is the offset from which the feed reads on.
		Next cs.Offset
	}
	// FeedFailed reports a failed read of a feed.
	FeedFailed struct {
		Feed  Feed
		Error string
	}
	// PartitionsAssigned brings the batch partitions that the store has assigned to this VM. It comes with
	// each renewal of the membership in the batch group.
	PartitionsAssigned struct {
		Partitions []int
		// SentAt is when the renewal was sent.
		SentAt cs.BootInstant
	}
	// JobsAppended reports how an append to the job log ended.
	JobsAppended struct {
		// Number identifies the append; it is the Number of its AppendID.
		Number  uint64
		Outcome AppendOutcome
	}
	// JobsFenced reports how a fence of an append to the job log ended.
	JobsFenced struct {
		// Number is that of the append.
		Number  uint64
		Outcome AppendOutcome
	}
)

// RunnerChange is the new registration of a runner. Runner is nil if the registration was removed.
type RunnerChange struct {
	ID     cs.RunnerID
	Offset cs.Offset
	Runner *cs.Runner
}

// VMChange is the new registration of an entry VM. VM is nil if the registration was removed.
type VMChange struct {
	ID cs.VMID
	VM *cs.VM
}

// AppendOutcome is the result of an append to the job log; a sealed type.
type AppendOutcome interface{ isAppendOutcome() }

// The outcomes of an append.
type (
	// AppendDone means that the records are durable at the offsets from From up to, but not including, End.
	AppendDone struct{ From, End cs.Offset }
	// AppendConflict means that the log did not end at the expected offset; it ends at End.
	AppendConflict struct{ End cs.Offset }
	// AppendRejected means that nothing was appended.
	AppendRejected struct{ Reason string }
	// AppendInvalid means that no attempt at the append has taken effect or ever will, since the store does not accept its
	// size or form.
	AppendInvalid struct{ Reason string }
	// AppendOutOfSequence means that the store does not accept the append's combination of epoch and sequence
	// number.
	AppendOutOfSequence struct{ Reason string }
	// AppendUnknown means that the append may have taken effect, or may still do so.
	AppendUnknown struct{ Error string }
)

func (AppendDone) isAppendOutcome()          {}
func (AppendConflict) isAppendOutcome()      {}
func (AppendRejected) isAppendOutcome()      {}
func (AppendInvalid) isAppendOutcome()       {}
func (AppendOutOfSequence) isAppendOutcome() {}
func (AppendUnknown) isAppendOutcome()       {}

// The events that come from callers and from the attempts to serve their requests.
type (
	// ForwardArrived brings a new online request.
	ForwardArrived struct{ Forward Forward }
	// ForwardStarted reports that a runner has generated the first output of a response: an event or a successful answer.
	ForwardStarted struct {
		ID      ForwardID
		Attempt cs.Attempt
	}
	// ForwardEnded reports how an attempt ended.
	ForwardEnded struct {
		ID      ForwardID
		Attempt cs.Attempt
		Outcome Outcome
	}
	// CallerDisconnected reports that the caller of an online request no longer waits.
	CallerDisconnected struct {
		ID     ForwardID
		Reason string
	}
	// JobSubmitted requests that a job be accepted.
	JobSubmitted struct {
		Query QueryID
		Spec  JobSpec
	}
	// JobEndRequested requests the end of a job.
	JobEndRequested struct {
		Query QueryID
		Job   cs.JobID
	}
	// ResultsRequested requests results of a job.
	ResultsRequested struct {
		Query QueryID
		Job   cs.JobID
		// After is the number of results to skip: those that the caller has.
		After int
		// Until is when the request is answered even if there is no new result (long polling).
		Until cs.Instant
	}
	// ItemBodyRequested requests the request body of an item of a job that has not been ended.
	ItemBodyRequested struct {
		Query QueryID
		Job   cs.JobID
		Item  cs.ItemID
	}
	// JobPeerRequested requests a peer that can answer a call about jobs, other than those that were tried.
	JobPeerRequested struct {
		Query QueryID
		Tried []cs.VMID
	}
	// PlacementRequested asks where a request, or an item of a batch route, would go now.
	PlacementRequested struct {
		Query   QueryID
		Forward Forward
	}
	// QueryCancelled reports that the caller of a query no longer waits.
	QueryCancelled struct{ Query QueryID }
)

// The events that come from runners, peers and the operator.
type (
	// ItemRunEnded reports how a run of an item ended. Text is the data of the events that this run added to
	// the output, in order, and LastEvent is the id of the last one; both are zero if there were none.
	ItemRunEnded struct {
		Key       ItemKey
		Attempt   cs.Attempt
		Outcome   ItemOutcome
		Text      []byte
		LastEvent cs.EventID
	}
	// RunnerLimitRead brings the limit that a runner named in a response.
	RunnerLimitRead struct {
		Runner cs.RunnerID
		// Named means that the runner named Limit, the requests a second that it takes from all VMs; otherwise it no
		// longer names one.
		Named bool
		Limit cs.PerSecond
	}
	// RunnerLoadRead brings the figure by which a runner stated in a response how long work takes on its machine; 100 is the
	// usual value.
	RunnerLoadRead struct {
		Runner cs.RunnerID
		Figure float64
	}
	// RunnerAnnouncedLeaving reports that a runner said in a response that it is leaving.
	RunnerAnnouncedLeaving struct {
		Runner cs.RunnerID
		// Incarnation is that of the runner to which the request was sent.
		Incarnation cs.Incarnation
	}
	// PeerReported brings a report and the address from which it was sent.
	PeerReported struct {
		Address cs.Address
		Report  Report
	}
	// SlotsReceived brings a slot message of a peer.
	SlotsReceived struct{ Message SlotMessage }
	// AllowanceReceived brings a message about the limits of workspaces and the address from which it was sent.
	AllowanceReceived struct {
		Address cs.Address
		Message AllowanceMessage
	}
	// PeerStateRead brings the state of a peer, as requested with RequestPeerState.
	PeerStateRead struct {
		Peer  cs.VMID
		State PeerState
	}
	// PeerStateRequested requests this VM's state on behalf of a peer.
	PeerStateRequested struct{ Query StateQueryID }
	// StatePeerRequested requests a peer that can hand over the state of the job log, other than those that were tried.
	StatePeerRequested struct {
		Query StateQueryID
		Tried []cs.VMID
	}
	// JobStateRequested requests the state of the job log on behalf of a peer.
	JobStateRequested struct{ Query StateQueryID }
	// JobStateRead brings the state of the job log that a peer has handed over. AsOf is an instant for which it holds
	// everything that was in the log.
	JobStateRead struct {
		Peer  cs.VMID
		State JobLogState
		AsOf  cs.Instant
	}
	// DrainRequested requests that this VM drain and exit.
	DrainRequested struct{}
)

func (CatalogRead) isEvent()            {}
func (RunnersRead) isEvent()            {}
func (VMsRead) isEvent()                {}
func (JobsRead) isEvent()               {}
func (FeedRead) isEvent()               {}
func (FeedFailed) isEvent()             {}
func (PartitionsAssigned) isEvent()     {}
func (JobsAppended) isEvent()           {}
func (JobsFenced) isEvent()             {}
func (ForwardArrived) isEvent()         {}
func (ForwardStarted) isEvent()         {}
func (ForwardEnded) isEvent()           {}
func (CallerDisconnected) isEvent()     {}
func (JobSubmitted) isEvent()           {}
func (JobEndRequested) isEvent()        {}
func (ResultsRequested) isEvent()       {}
func (ItemBodyRequested) isEvent()      {}
func (JobPeerRequested) isEvent()       {}
func (PlacementRequested) isEvent()     {}
func (QueryCancelled) isEvent()         {}
func (ItemRunEnded) isEvent()           {}
func (RunnerLimitRead) isEvent()        {}
func (RunnerLoadRead) isEvent()         {}
func (RunnerAnnouncedLeaving) isEvent() {}
func (PeerReported) isEvent()           {}
func (SlotsReceived) isEvent()          {}
func (AllowanceReceived) isEvent()      {}
func (PeerStateRead) isEvent()          {}
func (PeerStateRequested) isEvent()     {}
func (StatePeerRequested) isEvent()     {}
func (JobStateRequested) isEvent()      {}
func (JobStateRead) isEvent()           {}
func (DrainRequested) isEvent()         {}
