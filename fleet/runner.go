package fleet

import cs "github.com/crocusstile/crocusstile"

// Runner is the row of a runner.
type Runner struct {
	cs.Runner
	// Listed is when the platform's list last showed the runner.
	Listed cs.Instant
	// Gone means that the list no longer shows the runner; Leaving is set as well, and the row is
	// dropped when nothing is in flight.
	Gone bool
	// Watched tells whether this VM polls the runner's load.
	Watched bool
	// Online counts this VM's online requests on the runner.
	Online cs.Slots
	// Batch counts this VM's batch runs on the runner.
	Batch cs.Slots
	// Report is the newest load report, ReportAt when it came, and ReportLag how old it was then.
	Report    cs.LoadReport
	ReportAt  cs.Instant
	ReportLag cs.Span
	// Answer is the load that the last answer brought, and AnswerAt when it came.
	Answer   cs.Load
	AnswerAt cs.Instant
	// LoadOnline and LoadBatch are Online and Batch when the newest of Report and Answer came.
	LoadOnline cs.Slots
	LoadBatch  cs.Slots
	// Changes are the latest changes of Online and Batch, since a load may be older than they are.
	Changes []LoadChange
	// Peers counts the online requests of other VMs on the runner, by their last heartbeats.
	Peers cs.Slots
	// Claims are when peers announced online requests by Yield that the newest load may not contain.
	Claims []cs.Instant
	// Dispatched counts this VM's online dispatches to the runner.
	Dispatched int64
	// FirstToken and Gap are moving averages of online runs, in milliseconds.
	FirstToken float64
	Gap        float64
	// Took is the moving average of the whole time of online runs, in milliseconds.
	Took float64
	// BaseFirstToken and BaseGap are the averages of runs without batch beside them, in milliseconds.
	BaseFirstToken float64
	BaseGap        float64
	// Samples counts first tokens since the start or the last ejection; SampledAt is the last one.
	Samples   int
	SampledAt cs.Instant
	// CheckedAt is when the runner was last compared with the others of its model.
	CheckedAt cs.Instant
	// Failures counts runs that failed in a row.
	Failures int
	// EjectedUntil bars the runner from new online work; Ejections lengthen the next ejection.
	EjectedUntil cs.Instant
	Ejections    int
	// DownSince is when connections began to be refused; 0 while the runner answers.
	DownSince cs.Instant
	// Sender is the VM that alone sends batch to the runner, and SenderSince when that began.
	Sender      cs.VMID
	SenderSince cs.Instant
	// BatchLimit is the number of batch runs allowed at once, if this VM is the sender.
	BatchLimit float64
	// LimitAt is when BatchLimit was last adapted.
	LimitAt cs.Instant
	// SlowAt is when the first token came for which BatchLimit was last decreased.
	SlowAt cs.Instant
	// Offered counts slots that are offered to owners and not granted yet.
	Offered cs.Slots
	// Offers are the offers that Offered sums up.
	Offers []SlotOffer
	// Declined holds the owners that had no fitting items for the last offer.
	Declined map[cs.VMID]Decline
	// YieldWanted counts slots that this VM's own online requests need back on this tick.
	YieldWanted cs.Slots
	// OnlineAt is when the last online request was announced to this VM, if it is the sender.
	OnlineAt cs.Instant
	// PacedAt is when batch slots were last offered while online requests come.
	PacedAt cs.Instant
	// YieldUntil bars new batch runs after a yield.
	YieldUntil cs.Instant
	// OrderAt is when the last order went out.
	OrderAt cs.Instant
	// OrderOut tells whether the last order is unanswered.
	OrderOut bool
}

// LoadChange is a change of the requests that this VM has on a runner.
type LoadChange struct {
	At    cs.Instant
	Class cs.Class
	By    cs.Slots
}

// Decline bars offers to an owner until an instant; For is the length of the bar.
type Decline struct {
	Until cs.Instant
	For   cs.Span
}

// SlotOffer is an offer of batch slots that is not answered yet.
type SlotOffer struct {
	ID    uint64
	To    cs.VMID
	Slots cs.Slots
	At    cs.Instant
}
