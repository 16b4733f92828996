package gateway

import cs "github.com/crocusstile/crocusstile"

//go:generate enumer -type NoteKind -text -transform title-lower -trimprefix Note

// NoteKind names an event that is logged.
type NoteKind int

// The events that are logged. docs/OPERATIONS.md lists them with their fields.
const (
	// NoteRequestSent says that an online request was sent to a runner.
	NoteRequestSent NoteKind = iota
	// NoteRequestRetried says that a send ended without a whole answer and another may follow.
	NoteRequestRetried
	// NoteRequestRefused says that a request ended without a runner's answer.
	NoteRequestRefused
	// NoteRequestRejected says that a request was refused before it reached the control loop.
	NoteRequestRejected
	// NoteRequestAnswered says that the caller got the runner's whole answer.
	NoteRequestAnswered
	// NoteRequestAbandoned says that the caller left.
	NoteRequestAbandoned
	// NoteJobAccepted says that a job is in the job log.
	NoteJobAccepted
	// NoteJobRefused says that a job was refused.
	NoteJobRefused
	// NoteJobEnded says that a job's end is in the job log.
	NoteJobEnded
	// NoteQueryRefused says that results or a body were asked for and not given.
	NoteQueryRefused
	// NoteItemStarted says that a run of an item was started.
	NoteItemStarted
	// NoteItemStopped says that a run was stopped to make room.
	NoteItemStopped
	// NoteItemReturned says that a run ended without a result.
	NoteItemReturned
	// NoteItemListed says that an item's result is in the job log.
	NoteItemListed
	// NoteItemGivenUp says that an item is given up.
	NoteItemGivenUp
	// NoteAppendFailed says that an append to the job log did not take effect, or may not have.
	NoteAppendFailed
	// NoteCatalogInForce says that a version of the catalog is in force.
	NoteCatalogInForce
	// NoteStateAdopted says that a peer's catalog and runners are in use, since the store cannot be read.
	NoteStateAdopted
	// NoteRunnerAdded says that a runner is in use.
	NoteRunnerAdded
	// NoteRunnerLeaving says that a runner gets no new work.
	NoteRunnerLeaving
	// NoteRunnerRemoved says that a runner is gone.
	NoteRunnerRemoved
	// NoteRunnerAvoided says that a runner is not chosen for a while after a failure.
	NoteRunnerAvoided
	// NoteRunnerDoubted says that a runner gets one request at a time until it answers.
	NoteRunnerDoubted
	// NoteContentSuspected says that a content was in flight when its runner crashed.
	NoteContentSuspected
	// NotePeerFound says that a peer reports.
	NotePeerFound
	// NotePeerLost says that a peer no longer reports.
	NotePeerLost
	// NoteFeedLost says that a feed of the store cannot be read.
	NoteFeedLost
	// NoteFeedRegained says that a feed of the store is read again.
	NoteFeedRegained
	// NotePartsChanged says that other partitions of the batch work belong to this VM.
	NotePartsChanged
	// NoteDrainChanged says that a step of the drain began.
	NoteDrainChanged
)

// Note is one log line; fields that do not apply are zero.
type Note struct {
	Kind    NoteKind
	Request cs.RequestID
	Job     cs.JobID
	Item    cs.ItemID
	Runner  cs.RunnerID
	Peer    cs.VMID
	Feed    string
	Route   cs.RouteName
	Attempt cs.Attempt
	Version cs.CatalogVersion
	// Load is the runner's load as this VM knew it.
	Load cs.Slots
	// Age is the age of the input that decided.
	Age cs.Span
	// Took is the time since the request or item arrived.
	Took    cs.Span
	Outcome string
	Reason  string
	Count   int
}

// Urgent reports whether the line is kept when lines are dropped to stay within their budget.
func (n Note) Urgent() bool {
	switch n.Kind {
	case NoteRequestSent, NoteRequestAnswered, NoteItemStarted, NoteItemStopped, NoteItemListed:
		return false
	default:
		return true
	}
}
