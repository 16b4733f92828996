package fleet

import cs "github.com/crocusstile/crocusstile"

// Event is something that happened outside the control loop.
type Event interface{ isEvent() }

// The events of online requests.
type (
	// RequestArrived says that a caller waits for an answer.
	RequestArrived struct{ Request cs.Request }
	// RequestFirstToken says that the first byte of an answer was passed on.
	RequestFirstToken struct {
		ID      cs.RequestID
		Attempt cs.Attempt
		Took    cs.Span // since the dispatch
	}
	// RequestEnded says that a dispatch ended.
	RequestEnded struct {
		ID      cs.RequestID
		Attempt cs.Attempt
		Result  RunResult
	}
	// CallerGone says that the caller closed its connection.
	CallerGone struct{ ID cs.RequestID }
)

// The events of batch runs.
type (
	// ItemRunEnded says that a run of a batch item ended on a runner.
	ItemRunEnded struct {
		Key     cs.ItemKey
		Attempt cs.Attempt
		// Output is what was generated, Partial included, whether whole or not.
		Output string
		Tokens cs.Tokens
		Result RunResult
	}
)

// The events of queries and commands.
type (
	// QueryAsked is a query by a caller of this VM.
	QueryAsked struct {
		ID       uint64
		Shard    cs.ShardID
		Query    cs.ShardQuery
		Deadline cs.Instant
	}
	// TicketAsked is a ticket that an operator submits here.
	TicketAsked struct {
		ID     uint64
		Ticket cs.Ticket
	}
	// DrainAsked tells this VM to leave.
	DrainAsked struct{}
)

// The events of the platform.
type (
	// LogRead brings what was read from a stream; it may be empty.
	LogRead struct {
		Stream cs.StreamID
		// First is the oldest offset that the log keeps, and Next the offset after the last batch.
		First, Next cs.Offset
		// End tells whether the read reached the end of the stream.
		End     bool
		Batches []cs.LoggedBatch
	}
	// LogFailed says that a read failed.
	LogFailed struct {
		Stream cs.StreamID
		Error  string
	}
	// Appended says that the log answered an append; the batch counts only once it is read back.
	Appended struct {
		Stream cs.StreamID
		Seq    cs.Seq
	}
	// AppendFailed says that an append failed or got no answer.
	AppendFailed struct {
		Stream cs.StreamID
		Seq    cs.Seq
		// NotAppended means that the log refused it for certain.
		NotAppended bool
		Error       string
	}
	// ListRead brings the platform's list.
	ListRead struct {
		VMs     []cs.VM
		Runners []cs.Runner
	}
	// ListFailed says that the list could not be read.
	ListFailed struct{ Error string }
	// LoadReported brings a runner's load report.
	LoadReported struct {
		Runner cs.RunnerID
		Report cs.LoadReport
	}
	// LoadFailed says that a runner gave no load report; Refused means that it took no connection.
	LoadFailed struct {
		Runner  cs.RunnerID
		Refused bool
	}
	// OrderEnded says how a runner answered an order.
	OrderEnded struct {
		Runner cs.RunnerID
		Order  cs.Order
		Error  string // empty if it was taken
		Stale  bool   // the runner has seen a newer fencing token
	}
)

// The events of peers.
type (
	// LinkOpened says that a link to a peer is open.
	LinkOpened struct{ VM cs.VM }
	// LinkClosed says that a link broke or could not be opened.
	LinkClosed struct {
		VM          cs.VMID
		Incarnation cs.Incarnation // 0 if the link was never open
	}
	// PeerSaid brings a message of a peer.
	PeerSaid struct {
		From    cs.VMID
		Message cs.PeerMessage
	}
)

func (RequestArrived) isEvent()    {}
func (RequestFirstToken) isEvent() {}
func (RequestEnded) isEvent()      {}
func (CallerGone) isEvent()        {}
func (ItemRunEnded) isEvent()      {}
func (QueryAsked) isEvent()        {}
func (TicketAsked) isEvent()       {}
func (DrainAsked) isEvent()        {}
func (LogRead) isEvent()           {}
func (LogFailed) isEvent()         {}
func (Appended) isEvent()          {}
func (AppendFailed) isEvent()      {}
func (ListRead) isEvent()          {}
func (ListFailed) isEvent()        {}
func (LoadReported) isEvent()      {}
func (LoadFailed) isEvent()        {}
func (OrderEnded) isEvent()        {}
func (LinkOpened) isEvent()        {}
func (LinkClosed) isEvent()        {}
func (PeerSaid) isEvent()          {}

// RunResult is how a run on a runner ended.
type RunResult interface{ isRunResult() }

// RunWhole means that the whole answer came.
type RunWhole struct {
	Tokens cs.Tokens
	// FirstToken and Took are since the dispatch; Gap is the mean time between tokens.
	FirstToken, Took, Gap cs.Span
	Load                  cs.Load
}

// RunBroken means that the connection broke, fell silent or brought something else than the answer.
type RunBroken struct {
	// Sent means that a byte of the request may have reached the runner.
	Sent bool
	// Passed means that a byte of the answer was passed on to the caller.
	Passed bool
	// Crashed means that the connection broke, as it does when the runner dies.
	Crashed bool
	Message string
}

// RunRejected means that the runner answered with an error.
type RunRejected struct {
	// NotRun means that the runner says that it did not start the request.
	NotRun bool
	// Leaving means that the runner takes no more work.
	Leaving bool
	// Invalid means that the request is at fault and that a retry is of no use.
	Invalid bool
	Message string
}

// RunCancelled means that the run was cancelled from here.
type RunCancelled struct{}

func (RunWhole) isRunResult()     {}
func (RunBroken) isRunResult()    {}
func (RunRejected) isRunResult()  {}
func (RunCancelled) isRunResult() {}
