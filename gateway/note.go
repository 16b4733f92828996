package gateway

import cs "github.com/crocusstile/crocusstile"

//go:generate enumer -type NoteKind -text -transform title-lower -trimprefix Note

// NoteKind is the kind of a logged event. Its text form is the message of the log line.
type NoteKind int

// The kinds of logged events. docs/OPERATIONS.md describes them with their fields.
const (
	// NoteRequestSent: an online request was sent to a runner.
	NoteRequestSent NoteKind = iota
	// NoteRequestRetried: an attempt ended without a complete response; another one may follow.
	NoteRequestRetried
	// NoteRequestRefused: the control loop refused an online request, or gave it up without a complete
	// response.
	NoteRequestRefused
	// NoteRequestRejected: a request was refused before it reached the control loop.
	NoteRequestRejected
	// NoteRequestAnswered: a runner's complete response was passed to the caller.
	NoteRequestAnswered
	// NoteRequestAbandoned: the caller of an online request closed the connection or stopped waiting.
	NoteRequestAbandoned
	// NoteJobAccepted: a job was submitted and is in the job log.
	NoteJobAccepted
	// NoteJobRefused: a job, or a request to end one, was refused.
	NoteJobRefused
	// NoteJobEnded: the end of a job was requested and is in the job log.
	NoteJobEnded
	// NoteQueryRefused: a request for results or for the body of an item was refused.
	NoteQueryRefused
	// NoteJobCallForwarded: a call about a job was passed to a peer that follows the job log.
	NoteJobCallForwarded
	// NoteJobLogRoleChanged: this VM has begun to follow the job log, or has stopped.
	NoteJobLogRoleChanged
	// NoteItemStarted: a run of a batch item was started on a runner.
	NoteItemStarted
	// NoteItemStopped: a run was preempted to free its slot for an online request.
	NoteItemStopped
	// NoteItemReturned: a run ended without a complete output, and the item may be run again.
	NoteItemReturned
	// NoteItemListed: the output of an item is in the job log as its result.
	NoteItemListed
	// NoteItemGivenUp: an item is in the job log as given up, without an output.
	NoteItemGivenUp
	// NoteJobLogGap: records of the job log were read that do not follow those applied, which are read again.
	NoteJobLogGap
	// NoteAppendFailed: an append to the job log failed, or its outcome is unknown.
	NoteAppendFailed
	// NoteAppendFenced: an append whose outcome was unknown has not taken effect and no longer can.
	NoteAppendFenced
	// NoteAppendSetAside: the changes of an append that the store refuses are sent apart from others, or one of them is dropped.
	NoteAppendSetAside
	// NoteCatalogInForce: this VM uses a newer version of the catalog.
	NoteCatalogInForce
	// NoteStateAdopted: this VM uses the catalog and runners of a peer, since it has not been able to read
	// the store since its start, or the state of the feed named, up to an offset.
	NoteStateAdopted
	// NoteRunnerAdded: a runner was registered, or registered again after a restart or with another address.
	NoteRunnerAdded
	// NoteRunnerLeaving: a runner is draining and gets no new work.
	NoteRunnerLeaving
	// NoteRunnerMissing: the registration of a runner is missing. The runner is removed unless it may have expired in an
	// outage of the store.
	NoteRunnerMissing
	// NoteRunnerRemoved: a runner without a registration was removed from the table.
	NoteRunnerRemoved
	// NoteRunnerAvoided: a runner was ejected for a time after a failure.
	NoteRunnerAvoided
	// NoteRunnerDoubted: a connection to a runner was lost, and it gets one request at a time until it
	// responds.
	NoteRunnerDoubted
	// NoteDataCentreReached: a runner of a data centre responded whose VMs do not report, so that no network partition is
	// assumed any more.
	NoteDataCentreReached
	// NoteRunnerLimited: a runner names a limit on the requests that it takes, or another one than before.
	NoteRunnerLimited
	// NoteRunnerUnlimited: a runner no longer names a limit.
	NoteRunnerUnlimited
	// NoteContentSuspected: an online request or an item was in flight on a runner that crashed.
	NoteContentSuspected
	// NotePromptPartQuarantined: a part of prompts crashes runners, and requests with it are refused from now on.
	NotePromptPartQuarantined
	// NotePromptPartProbed: a request with a quarantined part is let through to find out whether it still crashes runners.
	NotePromptPartProbed
	// NotePromptPartReleased: a part is no longer quarantined.
	NotePromptPartReleased
	// NotePeerFound: the first report of a peer arrived, or the first after a timeout.
	NotePeerFound
	// NotePeerLost: no report of a peer arrived within the timeout.
	NotePeerLost
	// NoteFeedLost: a feed of the store can no longer be read.
	NoteFeedLost
	// NoteFeedRegained: a feed of the store can be read again.
	NoteFeedRegained
	// NoteKeysRefused: requests with a key are refused, since the catalog may be older than the withdrawal of a key allows.
	NoteKeysRefused
	// NoteKeysAccepted: requests with a key are served again.
	NoteKeysAccepted
	// NotePartsChanged: the set of batch partitions that this VM owns has changed.
	NotePartsChanged
	// NoteDrainChanged: a phase of this VM's drain began.
	NoteDrainChanged
	// NoteRequestLimited: an online request was refused, since its workspace has reached its limit.
	NoteRequestLimited
	// NoteWorkspaceLimited: requests of a workspace begin to be refused at this VM, since it has reached its limit.
	NoteWorkspaceLimited
	// NoteWorkspaceUnlimited: requests of a workspace are no longer refused at this VM.
	NoteWorkspaceUnlimited
	// NoteLimitOwnerMissing: requests are refused, since no VM grants permits for the limits of a partition.
	NoteLimitOwnerMissing
	// NoteLimitOwnerFound: a VM grants permits for the limits of a partition again.
	NoteLimitOwnerFound
	// NoteTickDelayed: a tick of the control loop began late, as on a machine without enough processor time.
	NoteTickDelayed
	// NoteEstimatesInaccurate: the expected times of the requests of a service are off by more than half.
	NoteEstimatesInaccurate
	// NoteEstimatesAccurate: this has ended.
	NoteEstimatesAccurate
)

// Note is one structured log line; fields that do not apply are zero and left out of the line.
type Note struct {
	Kind    NoteKind
	Request cs.RequestID
	// Workspace is that of the request or the limit.
	Workspace cs.WorkspaceID
	Job       cs.JobID
	Item      cs.ItemID
	// Content and Parts identify what a suspected request asks for.
	Content cs.ContentHash
	Parts   []cs.PromptPart
	Runner  cs.RunnerID
	// DataCentre is that of the runners concerned.
	DataCentre cs.DataCentreID
	Peer       cs.VMID
	Feed       string
	Route      cs.RouteName
	Attempt    cs.Attempt
	Version    cs.CatalogVersion
	// Offset is the end of the job log as far as this VM has applied it.
	Offset cs.Offset
	// Load is the number of requests in flight on the runner, as far as this VM knew.
	Load cs.Slots
	// Rate is the limit that a runner names, or that of a workspace.
	Rate cs.PerSecond
	// Age is the age of the data on which the decision was based, such as the list of runners.
	Age cs.Span
	// Duration is the time since the request arrived or the run started; for NoteRunnerAvoided, the length of
	// the ejection, for NoteTickDelayed, the delay, and for NoteFeedRegained, the time that the
	// successful read took.
	Duration cs.Span
	Outcome  string
	Reason   string
	// Count depends on the kind: a status, a number of items, events or failures.
	Count int
}

// Urgent reports whether the line is a failure or a change of state. Such lines have a rate limit of their
// own, so that the lines of normal traffic do not displace them.
func (n Note) Urgent() bool {
	switch n.Kind {
	case NoteRequestSent, NoteRequestAnswered, NoteJobCallForwarded, NoteItemStarted, NoteItemStopped, NoteItemListed, NoteRequestLimited:
		return false
	default:
		return true
	}
}
