package fleet

import cs "github.com/crocusstile/crocusstile"

// Runner is the row of a runner: its registration, its load and the statistics of its runs.
type Runner struct {
	cs.Runner
	// Listed is when the platform's list last contained the runner.
	Listed cs.Instant
	// Unlisted tells whether the list no longer contains the runner. Leaving is then set as well,
	// and the row is deleted once nothing is in flight on the runner.
	Unlisted bool
	// Polled tells whether this VM polls the runner's load.
	Polled bool
	// Online counts this VM's online requests on the runner.
	Online cs.Slots
	// Batch counts this VM's batch runs on the runner.
	Batch cs.Slots
	// Report is the newest load report, ReportAt when it was received, and ReportLag its age then.
	Report    cs.LoadReport
	ReportAt  cs.Instant
	ReportLag cs.Span
	// RejectedAt is when the runner last rejected work since it is leaving, or 0.
	RejectedAt cs.Instant
	// ResponseLoad is the load stated in the runner's last response to a run, and ResponseLoadAt when
	// that was received.
	ResponseLoad   cs.Load
	ResponseLoadAt cs.Instant
	// LoadOnline and LoadBatch are the values of Online and Batch at the time that the newer of
	// Report and ResponseLoad describes.
	LoadOnline cs.Slots
	LoadBatch  cs.Slots
	// Changes are the latest changes of Online and Batch. They are used to compute LoadOnline and
	// LoadBatch, since a load report may describe a time before them.
	Changes []LoadChange
	// PeerOnline counts the online requests of other VMs on the runner, from their last heartbeats.
	PeerOnline cs.Slots
	// AnnouncedOnline holds the times at which peers announced online requests by Preempt messages
	// that the newest load may not include yet.
	AnnouncedOnline []cs.Instant
	// Dispatched counts this VM's online dispatches to the runner.
	Dispatched int64
	// FirstToken and MeanTokenGap are moving averages of online runs, in milliseconds.
	FirstToken   float64
	MeanTokenGap float64
	// Duration is the moving average of the total time of online runs, in milliseconds.
	Duration float64
	// BaselineFirstToken and BaselineTokenGap are the averages of runs with at most one batch
	// run of this VM beside them, in milliseconds. They are the baselines for the slowdown caused
	// by batch.
	BaselineFirstToken float64
	BaselineTokenGap   float64
	// Samples counts first tokens since the start or the last ejection, and SampledAt is the time of
	// the last one.
	Samples   int
	SampledAt cs.Instant
	// CheckedAt is when the runner was last compared with the others of its model.
	CheckedAt cs.Instant
	// Failures counts consecutive failed runs.
	Failures int
	// EjectedUntil is when the runner's ejection ends; it gets no new online requests before.
	// Ejections counts the ejections since the runner was last fast enough; each lengthens the next.
	EjectedUntil cs.Instant
	Ejections    int
	// DownSince is when the runner began to refuse or break connections; 0 while it is reachable.
	DownSince cs.Instant
	// Sender is the batch sender, the only VM that sends batch items to the runner, and SenderSince
	// when it became so.
	Sender      cs.VMID
	SenderSince cs.Instant
	// BatchLimit is the number of concurrent batch runs allowed, if this VM is the sender.
	BatchLimit float64
	// LimitAt is when BatchLimit was last adapted.
	LimitAt cs.Instant
	// SlowAt is the time of the slow first token for which BatchLimit was last decreased.
	SlowAt cs.Instant
	// Offered counts slots that are offered to owners and not granted yet.
	Offered cs.Slots
	// Offers are the open offers; Offered is the sum of their slots.
	Offers []SlotOffer
	// Declined holds the owners that granted fewer items than the last offer to them had slots.
	Declined map[cs.VMID]Decline
	// PreemptWanted counts the slots for which this VM's own online requests preempt batch runs on
	// this tick.
	PreemptWanted cs.Slots
	// OnlineAt is when an online request was last announced to this VM, if it is the sender.
	OnlineAt cs.Instant
	// PacedOfferAt is when batch slots were last offered under the pacing that applies while online
	// requests arrive.
	PacedOfferAt cs.Instant
	// BatchPausedUntil is when new batch runs may start again after a preemption.
	BatchPausedUntil cs.Instant
	// OrderAt is when the last order was sent.
	OrderAt cs.Instant
	// OrderPending tells whether the last order has not been answered.
	OrderPending bool
}

// LoadChange is a change in the number of this VM's requests on a runner.
type LoadChange struct {
	At    cs.Instant
	Class cs.Class
	By    cs.Slots
}

// Decline suspends offers to an owner until an instant; For is the length of the suspension, from
// which that of the next one is computed.
type Decline struct {
	Until cs.Instant
	For   cs.Span
}

// SlotOffer is an offer of batch slots to an owner that is not answered yet.
type SlotOffer struct {
	ID    uint64
	To    cs.VMID
	Slots cs.Slots
	At    cs.Instant
}
