package gateway

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/tick"
)

// Actions collects what a tick asks of the world outside the control loop.
type Actions struct{ tick.Actions[Action] }

// Note asks for a log line.
func (a *Actions) Note(n Note) { a.Add(n) }

// Action is something to be done outside the control loop.
type Action interface{ isAction() }

// The actions on online requests.
type (
	// Send sends a request to a runner; ForwardEnded follows.
	Send struct {
		ID      ForwardID
		Attempt cs.Attempt
		Runner  cs.RunnerID
		Address cs.Address
		// LastEvent is the event after which a stream goes on; 0 from the start.
		LastEvent cs.EventID
		// Fresh means that the request must not go over a reused connection, since a send that
		// breaks there cannot be repeated.
		Fresh bool
		// FirstByte bounds the wait for the first byte of the answer, and Gap the pause between two
		// events of a stream; a send that exceeds them ends as silent. 0 sets no bound.
		FirstByte, Gap cs.Span
	}
	// Refuse ends a request without a runner's answer.
	Refuse struct {
		ID      ForwardID
		Refusal cs.Refusal
		// RetryAfter is when the caller should try again; 0 says nothing.
		RetryAfter cs.Span
	}
)

// The actions on batch jobs.
type (
	// RunItem runs an item on a runner; ItemRunEnded follows.
	RunItem struct {
		Key       ItemKey
		Attempt   cs.Attempt
		Runner    cs.RunnerID
		Address   cs.Address
		Host      string
		Item      Item
		LastEvent cs.EventID
		// Silence bounds the wait for each event; a run that exceeds it ends as silent. 0 sets no bound.
		Silence cs.Span
	}
	// StopItem stops a run, at the runner too.
	StopItem struct {
		Key     ItemKey
		Attempt cs.Attempt
	}
	// AppendJobs appends to the job log; JobsAppended follows. The append takes effect only if the log
	// ends at At, or, for cs.NoOffset, once for its epoch and number in sequence however often it is sent.
	AppendJobs struct {
		Mark    Mark
		At      cs.Offset
		Epoch   uint64
		Seq     uint64
		Changes []JobChange
	}
	// LeaveGroup gives up the partitions of this VM.
	LeaveGroup struct{}
	// ReadJobs asks for the next records of the job log at once.
	ReadJobs struct{}
)

// The answers to callers of jobs. Refusal is nil if the answer is what was asked for.
type (
	// AnswerJob answers JobSubmitted and JobEndAsked.
	AnswerJob struct {
		Query   QueryID
		Refusal *cs.Refusal
	}
	// AnswerResults answers ResultsAsked.
	AnswerResults struct {
		Query   QueryID
		Total   int
		Next    int
		Results []Result
		Refusal *cs.Refusal
	}
	// AnswerBody answers BodyAsked.
	AnswerBody struct {
		Query   QueryID
		Body    []byte
		Refusal *cs.Refusal
	}
)

// The actions on peers and this VM.
type (
	// SendReport sends a report to peers.
	SendReport struct {
		To     []cs.Address
		Report Report
	}
	// AskPeerState asks a peer for its state; PeerStateRead follows if it answers.
	AskPeerState struct {
		Peer    cs.VMID
		Address cs.Address
	}
	// AnswerPeerState answers PeerStateAsked.
	AnswerPeerState struct {
		Query StateQuery
		State PeerState
	}
	// Leave says that the drain is over and the process may end.
	Leave struct{}
)

func (Send) isAction()            {}
func (Refuse) isAction()          {}
func (RunItem) isAction()         {}
func (StopItem) isAction()        {}
func (AppendJobs) isAction()      {}
func (LeaveGroup) isAction()      {}
func (ReadJobs) isAction()        {}
func (AnswerJob) isAction()       {}
func (AnswerResults) isAction()   {}
func (AnswerBody) isAction()      {}
func (SendReport) isAction()      {}
func (AskPeerState) isAction()    {}
func (AnswerPeerState) isAction() {}
func (Leave) isAction()           {}
func (Note) isAction()            {}
