package gateway

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/tick"
)

// Actions collects the actions that the systems request during a tick.
type Actions struct{ tick.Actions[Action] }

// Note requests a log line.
func (a *Actions) Note(n Note) { a.Add(n) }

// Action is a side effect that the control loop requests, to be carried out after the tick; a sealed type.
type Action interface{ isAction() }

// The actions on online requests.
type (
	// Dispatch sends an online request to a runner. A ForwardEnded event reports how it ended.
	Dispatch struct {
		ID      ForwardID
		Attempt cs.Attempt
		Runner  cs.RunnerID
		// Incarnation is that of the runner to which this VM believes to send.
		Incarnation cs.Incarnation
		Address     cs.Address
		// LastEvent is the event after which a stream is resumed, or 0 to start from its beginning.
		LastEvent cs.EventID
		// NewConnection requires a new connection. A reused one may be closed by the runner just as the
		// request is sent, and the request cannot be repeated then, since the runner may have started it. On one
		// on which the runner has refused the request before, a faulty runner may write that refusal once more.
		NewConnection bool
		// Access tells for which workspace the request is sent.
		Access RunnerAccess
		// FirstByteTimeout is the time limit for the first byte of the response, and EventTimeout the one
		// between two events of a stream; 0 means no limit. A dispatch that exceeds one is cancelled, and its
		// outcome is TimedOut.
		FirstByteTimeout, EventTimeout cs.Span
	}
	// StopForward cancels the attempt of a request that is in progress, and with it the runner's work. A ForwardEnded event
	// reports how the attempt ended.
	StopForward struct{ ID ForwardID }
	// Complete ends a stream that ended with the connection of its runner, and for which the route allows no further attempt.
	Complete struct{ ID ForwardID }
	// Refuse ends a request for which there will be no further attempt. The caller gets the refusal if no
	// part of a response has been passed on and no runner has responded with an error, which is passed on
	// instead.
	Refuse struct {
		ID      ForwardID
		Refusal cs.Refusal
		// RetryAfter is the delay after which the caller should try again; 0 gives no advice.
		RetryAfter cs.Span
	}
)

// The actions on batch jobs.
type (
	// RunItem runs an item on a runner. An ItemRunEnded event reports how the run ended.
	RunItem struct {
		Key     ItemKey
		Attempt cs.Attempt
		Runner  cs.RunnerID
		// Incarnation is that of the runner to which this VM believes to send.
		Incarnation cs.Incarnation
		Address     cs.Address
		Host        string
		Item        Item
		// LastEvent is the event after which the output is resumed, or 0 to start from its beginning.
		LastEvent cs.EventID
		// NewConnection requests a new connection; see Dispatch.
		NewConnection bool
		// Access tells for which workspace the item is sent.
		Access RunnerAccess
		// EventTimeout is the time limit for each event; 0 means no limit. A run that exceeds it is
		// cancelled, and its outcome is TimedOut.
		EventTimeout cs.Span
		// MaxOutput is the size limit of the output of the run; 0 means no limit.
		MaxOutput cs.Bytes
	}
	// StopItem cancels a run. The runner aborts it as well, since its connection is closed.
	StopItem struct {
		Key     ItemKey
		Attempt cs.Attempt
	}
	// AppendJobs appends to the job log. A JobsAppended event reports how the append ended.
	AppendJobs struct {
		AppendID AppendID
		// ExpectedEnd makes the append conditional: it takes effect only if the log ends at this offset. With
		// cs.NoOffset it takes effect wherever the log ends, unless an append or a fence of a later Epoch has.
		ExpectedEnd cs.Offset
		Epoch       uint64
		Seq         uint64
		Changes     []JobChange
		// Format is that of the records, which all VMs must be able to read.
		Format cs.JobLogFormat
		// Timeout is how long the response is waited for.
		Timeout cs.Span
	}
	// FenceJobs makes sure that an append can no longer take effect. A JobsFenced event reports how the fence ended.
	FenceJobs struct {
		// AppendID and ExpectedEnd are those of the append.
		AppendID    AppendID
		ExpectedEnd cs.Offset
		// Epoch is later than that of the append; a conditional append needs none.
		Epoch uint64
		// Timeout is how long the response is waited for.
		Timeout cs.Span
	}
	// LeaveGroup ends this VM's membership in the batch group and so gives up its partitions.
	LeaveGroup struct{}
	// SetJobLogRole starts or stops the reads of the job log and the membership in the batch group, by which this VM gets
	// partitions.
	SetJobLogRole struct{ Role JobLogRole }
	// ReadJobs requests that the job log be read at once instead of at the next poll.
	ReadJobs struct{}
	// RereadJobs requests that the job log be read from an offset on, or from a snapshot on if From is cs.NoOffset, since records
	// are missing.
	RereadJobs struct{ From cs.Offset }
)

// The answers to callers of the job API. Refusal is nil if the request succeeded.
type (
	// AnswerJob answers JobSubmitted and JobEndRequested.
	AnswerJob struct {
		Query   QueryID
		Refusal *cs.Refusal
	}
	// AnswerResults answers ResultsRequested.
	AnswerResults struct {
		Query QueryID
		// Total is the number of items of the job, and Next the position after the last of the results.
		Total   int
		Next    int
		Results []Result
		Refusal *cs.Refusal
	}
	// AnswerJobPeer answers JobPeerRequested; Address is empty if there is no such peer.
	AnswerJobPeer struct {
		Query   QueryID
		Peer    cs.VMID
		Address cs.Address
	}
	// AnswerPlacement answers PlacementRequested with the runners of the service in the order of the choice. ByCost means that the
	// requests of the service are placed by what they cost.
	AnswerPlacement struct {
		Query      QueryID
		Service    cs.ServiceID
		ByCost     bool
		Candidates []PlacementCandidate
	}
	// AnswerBody answers ItemBodyRequested.
	AnswerBody struct {
		Query   QueryID
		Body    []byte
		Refusal *cs.Refusal
	}
)

// The actions on peers and this VM.
type (
	// SendReport sends a load report to peers; a lost one is not repeated.
	SendReport struct {
		To     []cs.Address
		Report Report
	}
	// SendSlots sends a slot message to a peer; a lost one is not repeated.
	SendSlots struct {
		To      cs.Address
		Message SlotMessage
	}
	// SendAllowance sends a message about the limits of workspaces to a peer; a lost one is not repeated.
	SendAllowance struct {
		To      cs.Address
		Message AllowanceMessage
	}
	// RequestPeerState requests the state of a peer. A PeerStateRead event brings it if the peer responds.
	RequestPeerState struct {
		Peer    cs.VMID
		Address cs.Address
	}
	// AnswerPeerState answers PeerStateRequested.
	AnswerPeerState struct {
		Query StateQueryID
		State PeerState
	}
	// RecordEstimateError sets the metric of the mean error of the expected times of a service's requests, as a share of their real
	// times.
	RecordEstimateError struct {
		Service cs.ServiceID
		Error   cs.Ratio
	}
	// Exit lets the process exit, since the drain is complete or its time limit has passed. The answers that are still
	// being written must be complete at By.
	Exit struct{ By cs.Instant }
	// AnswerStatePeer answers StatePeerRequested; Address is empty if there is no such peer.
	AnswerStatePeer struct {
		Query   StateQueryID
		Peer    cs.VMID
		Address cs.Address
	}
	// AnswerJobState answers JobStateRequested; State is nil if this VM has none or is leaving.
	AnswerJobState struct {
		Query StateQueryID
		State *JobLogState
	}
)

func (Dispatch) isAction()            {}
func (StopForward) isAction()         {}
func (Complete) isAction()            {}
func (Refuse) isAction()              {}
func (RunItem) isAction()             {}
func (StopItem) isAction()            {}
func (AppendJobs) isAction()          {}
func (FenceJobs) isAction()           {}
func (LeaveGroup) isAction()          {}
func (SetJobLogRole) isAction()       {}
func (AnswerJobPeer) isAction()       {}
func (ReadJobs) isAction()            {}
func (RereadJobs) isAction()          {}
func (AnswerJob) isAction()           {}
func (AnswerResults) isAction()       {}
func (AnswerBody) isAction()          {}
func (SendReport) isAction()          {}
func (SendSlots) isAction()           {}
func (SendAllowance) isAction()       {}
func (RequestPeerState) isAction()    {}
func (AnswerPeerState) isAction()     {}
func (AnswerStatePeer) isAction()     {}
func (AnswerJobState) isAction()      {}
func (Exit) isAction()                {}
func (AnswerPlacement) isAction()     {}
func (Note) isAction()                {}
func (RecordEstimateError) isAction() {}
