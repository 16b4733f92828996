package fleet

import cs "github.com/crocusstile/crocusstile"

// Event reports to the control loop something that happened outside it.
type Event interface{ isEvent() }

// Events of online requests.
type (
	// RequestArrived reports a new request of a caller.
	RequestArrived struct{ Request cs.Request }
	// RequestFirstToken reports that the first byte of an answer was forwarded to the caller.
	RequestFirstToken struct {
		ID       cs.RequestID
		Attempt  cs.Attempt
		Duration cs.Span // since the dispatch
	}
	// RequestEnded reports that an attempt of a request ended.
	RequestEnded struct {
		ID      cs.RequestID
		Attempt cs.Attempt
		Result  RunResult
	}
	// CallerDisconnected reports that the caller of a request disconnected.
	CallerDisconnected struct{ ID cs.RequestID }
)

// Events of batch runs.
type (
	// ItemRunEnded reports that an attempt of a batch item ended at a runner.
	ItemRunEnded struct {
		Key     cs.ItemKey
		Attempt cs.Attempt
		// Output is the text generated so far, complete or not, including Item.Partial of earlier
		// attempts.
		Output string
		Tokens cs.Tokens
		Result RunResult
	}
)

// Events of queries and commands.
type (
	// QueryReceived reports a query by a caller of this VM; AnswerQuery answers it.
	QueryReceived struct {
		ID       uint64
		Shard    cs.ShardID
		Query    cs.ShardQuery
		Deadline cs.Instant
	}
	// TicketSubmitted reports a ticket that an operator submits to this VM; AnswerTicket answers it.
	TicketSubmitted struct {
		ID     uint64
		Ticket cs.Ticket
	}
	// DrainRequested reports a command to drain this VM.
	DrainRequested struct{}
)

// Events of the platform and of runners.
type (
	// LogRead delivers the batches of one successful read of a stream; there may be none.
	LogRead struct {
		Stream cs.StreamID
		// First is the oldest offset that the log still keeps, and Next the one after the last batch.
		First, Next cs.Offset
		// End tells whether the read reached the end of the stream.
		End     bool
		Batches []cs.LoggedBatch
	}
	// LogReadFailed reports that a read of a stream failed.
	LogReadFailed struct {
		Stream cs.StreamID
		Error  string
	}
	// Appended reports that the log accepted an append. The batch takes effect only when it is read
	// back, since the log also accepts batches of former owners.
	Appended struct {
		Stream cs.StreamID
		Seq    cs.Seq
	}
	// AppendFailed reports that an append failed or timed out.
	AppendFailed struct {
		Stream cs.StreamID
		Seq    cs.Seq
		// NotAppended tells whether the log certainly did not append the batch; otherwise the
		// outcome is unknown.
		NotAppended bool
		Error       string
	}
	// ListRead delivers the platform's list of VMs and runners.
	ListRead struct {
		VMs     []cs.VM
		Runners []cs.Runner
	}
	// ListReadFailed reports that the platform's list could not be read.
	ListReadFailed struct{ Error string }
	// LoadReceived delivers a runner's load report.
	LoadReceived struct {
		Runner cs.RunnerID
		Report cs.LoadReport
	}
	// LoadPollFailed reports that polling a runner's load failed; Refused tells whether the runner
	// refused the connection.
	LoadPollFailed struct {
		Runner  cs.RunnerID
		Refused bool
	}
	// OrderAnswered reports a runner's response to an order.
	OrderAnswered struct {
		Runner cs.RunnerID
		Order  cs.Order
		Error  string // empty if the runner accepted the order
		Stale  bool   // the runner has seen a newer fencing token
	}
)

// Events of peers.
type (
	// LinkOpened reports that a link to a peer was opened, by either side.
	LinkOpened struct{ VM cs.VM }
	// LinkClosed reports that a link broke or that a dial failed.
	LinkClosed struct {
		VM          cs.VMID
		Incarnation cs.Incarnation // 0 if the dial failed
	}
	// PeerMessageReceived delivers a message from a peer, or from this VM to itself.
	PeerMessageReceived struct {
		From    cs.VMID
		Message cs.PeerMessage
	}
)

func (RequestArrived) isEvent()      {}
func (RequestFirstToken) isEvent()   {}
func (RequestEnded) isEvent()        {}
func (CallerDisconnected) isEvent()  {}
func (ItemRunEnded) isEvent()        {}
func (QueryReceived) isEvent()       {}
func (TicketSubmitted) isEvent()     {}
func (DrainRequested) isEvent()      {}
func (LogRead) isEvent()             {}
func (LogReadFailed) isEvent()       {}
func (Appended) isEvent()            {}
func (AppendFailed) isEvent()        {}
func (ListRead) isEvent()            {}
func (ListReadFailed) isEvent()      {}
func (LoadReceived) isEvent()        {}
func (LoadPollFailed) isEvent()      {}
func (OrderAnswered) isEvent()       {}
func (LinkOpened) isEvent()          {}
func (LinkClosed) isEvent()          {}
func (PeerMessageReceived) isEvent() {}

// RunResult is the outcome of an attempt at a runner.
type RunResult interface{ isRunResult() }

// RunCompleted means that the complete answer was received.
type RunCompleted struct {
	Tokens cs.Tokens
	// FirstToken and Duration are the times from the dispatch to the first token and to the end;
	// MeanTokenGap is the mean time between tokens.
	FirstToken, Duration, MeanTokenGap cs.Span
	Load                               cs.Load
}

// RunInterrupted means that the connection broke, reached its idle timeout or carried an invalid
// answer.
type RunInterrupted struct {
	// Sent tells whether a byte of the request may have reached the runner.
	Sent bool
	// Forwarded tells whether a byte of the answer was forwarded to the caller.
	Forwarded bool
	// Crashed tells whether the connection broke after a byte was sent, as in a crash of the runner.
	Crashed bool
	Message string
}

// RunRejected means that the runner responded with an error.
type RunRejected struct {
	// NotRun tells whether the runner states that it did not start the request.
	NotRun bool
	// Leaving tells whether the runner is draining and accepts no more work.
	Leaving bool
	// Invalid tells whether the request itself is invalid, so that a retry cannot succeed.
	Invalid bool
	Message string
}

// RunCancelled means that this VM cancelled the attempt.
type RunCancelled struct{}

func (RunCompleted) isRunResult()   {}
func (RunInterrupted) isRunResult() {}
func (RunRejected) isRunResult()    {}
func (RunCancelled) isRunResult()   {}
