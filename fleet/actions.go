package fleet

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/tick"
)

// Actions collects the actions that the systems request during a tick.
type Actions struct{ tick.Actions[Action] }

// Count requests that n be added to a counter, for a tenant or, with an empty tenant, for the VM.
func (a *Actions) Count(c Counter, tenant cs.TenantID, n int64) {
	a.Add(CounterAdded{Counter: c, Tenant: tenant, N: n})
}

// LogChange requests a log line about a change of state.
func (a *Actions) LogChange(subject, change string, fields ...Field) {
	a.Add(StateLogged{Subject: subject, Change: change, Fields: fields})
}

// Action is a side effect, such as I/O, that the control loop's ports carry out after the tick.
type Action interface{ isAction() }

// Actions on online requests.
type (
	// Dispatch sends one attempt of a request to a runner; RequestEnded follows.
	Dispatch struct {
		ID      cs.RequestID
		Attempt cs.Attempt
		Runner  cs.RunnerID
		Address cs.Address
		Hedge   bool
	}
	// Finish ends a request: with a refusal if Refusal is set, else with the recorded answer.
	Finish struct {
		ID      cs.RequestID
		Refusal *cs.Refusal
		Answer  []byte
	}
	// CancelRun cancels one attempt of a request, in the runner's engine too.
	CancelRun struct {
		ID      cs.RequestID
		Attempt cs.Attempt
	}
)

// Actions on batch runs.
type (
	// RunItem runs a batch item on a runner; ItemRunEnded follows.
	RunItem struct {
		Item    cs.GrantedItem
		Runner  cs.RunnerID
		Address cs.Address
	}
	// StopItem cancels a batch run, in the runner's engine too; ItemRunEnded follows with the output
	// generated so far.
	StopItem struct {
		Key     cs.ItemKey
		Attempt cs.Attempt
	}
)

// Actions on queries and commands.
type (
	// AnswerQuery answers a QueryReceived.
	AnswerQuery struct {
		ID     uint64
		Answer cs.ShardReply
	}
	// AnswerTicket answers a TicketSubmitted; Refusal is nil if the ticket is in force on this VM.
	AnswerTicket struct {
		ID      uint64
		Refusal *cs.Refusal
	}
	// Exit reports that the drain has ended and the process may exit.
	Exit struct{}
)

// Actions on the platform, runners and peers.
type (
	// Subscribe starts reading a stream of the log at an offset and continues until Unsubscribe.
	Subscribe struct {
		Stream cs.StreamID
		From   cs.Offset
	}
	// Unsubscribe stops reading a stream.
	Unsubscribe struct{ Stream cs.StreamID }
	// Append makes one attempt to append a batch to a stream; Appended or AppendFailed follows.
	Append struct {
		Stream cs.StreamID
		Batch  cs.LogBatch
	}
	// Send sends a message to a peer, or to this VM itself. The message is dropped if no link to
	// the peer is open.
	Send struct {
		To      cs.VMID
		Message cs.PeerMessage
	}
	// Dial opens a link to a peer; LinkOpened or LinkClosed follows.
	Dial struct{ VM cs.VM }
	// CloseLink closes the link to a peer.
	CloseLink struct{ VM cs.VMID }
	// PollLoad starts polling a runner's load, or stops it if Stop is set.
	PollLoad struct {
		Runner  cs.RunnerID
		Address cs.Address
		Stop    bool
	}
	// OrderRunner sends an order to a runner; OrderAnswered follows.
	OrderRunner struct {
		Runner  cs.RunnerID
		Address cs.Address
		Order   cs.Order
	}
)

// Actions that write metrics and the log for operators.
type (
	// CounterAdded adds N to a counter; Tenant is empty for counts that belong to no tenant.
	CounterAdded struct {
		Counter Counter
		Tenant  cs.TenantID
		N       int64
	}
	// StateLogged writes a log line about a change of state.
	StateLogged struct {
		Subject, Change string
		Fields          []Field
	}
)

// Field is one structured field of a log line.
type Field struct {
	Name  string
	Value any
}

func (Dispatch) isAction()     {}
func (Finish) isAction()       {}
func (CancelRun) isAction()    {}
func (RunItem) isAction()      {}
func (StopItem) isAction()     {}
func (AnswerQuery) isAction()  {}
func (AnswerTicket) isAction() {}
func (Exit) isAction()         {}
func (Subscribe) isAction()    {}
func (Unsubscribe) isAction()  {}
func (Append) isAction()       {}
func (Send) isAction()         {}
func (Dial) isAction()         {}
func (CloseLink) isAction()    {}
func (PollLoad) isAction()     {}
func (OrderRunner) isAction()  {}
func (CounterAdded) isAction() {}
func (StateLogged) isAction()  {}

//go:generate enumer -type Counter -text -transform snake -trimprefix Count

// Counter identifies a counter metric of the control loop.
type Counter int

// The counters; the metric's name is the constant's without the prefix, in snake case.
const (
	CountRequests Counter = iota
	CountAnswered
	CountRefusedNotRun
	CountFailed
	CountUnknown
	CountRetries
	CountHedges
	CountRetriesDenied
	CountEjections
	CountYields
	CountItemsGranted
	CountItemsDone
	CountItemsFailed
	CountItemsRequeued
	CountTokensWasted
	CountAppends
	CountAppendRetries
	CountClaims
	CountClaimsLost
	CountBatchesIgnored
	CountTicketsInForce
	CountTicketsRefused
	CountSuspects
	CountQuarantined
	CountOrders
	CountJobsAccepted
	CountJobsCancelled
	CountCallsJoined
	CountCallsUnrecorded
)
