package fleet

import cs "github.com/crocusstile/crocusstile"

// VM is the row of a VM, this one included. Package membership writes it.
type VM struct {
	cs.VM
	// Listed is when the platform's list last showed the VM; 0 if it never did.
	Listed cs.Instant
	// Heard is when its last message came; 0 if none did.
	Heard cs.Instant
	// Linked tells whether a link is open.
	Linked bool
	// Broken is when the last link broke or could not be opened; 0 while linked.
	Broken cs.Instant
	// LinkedAt is when the last link opened.
	LinkedAt cs.Instant
	// DialedAt is when a link was last asked for.
	DialedAt cs.Instant
	// Wanted tells whether package membership chose to hold a link to the VM.
	Wanted bool
	// Dialing tells whether a dial is in progress.
	Dialing bool
	// Dials counts failed dials and short-lived links in a row.
	Dials int
	// DialAt bars dials before it.
	DialAt cs.Instant
	// Live is the verdict of package membership on this tick.
	Live bool
	// LiveSince is when Live last changed.
	LiveSince cs.Instant
	// Beat is the last heartbeat.
	Beat cs.Heartbeat
	// BeatAt is when Beat came.
	BeatAt cs.Instant
	// Backlog is the number of waiting items by shard owned, corrected between heartbeats.
	Backlog map[cs.ShardID]cs.ItemIndex
	// OfferedAt is when batch slots were last offered to the VM.
	OfferedAt cs.Instant
	// Sending lists the runners of which the VM is the batch sender, as of SendingAt; it is kept for
	// this VM only.
	Sending   []cs.RunnerID
	SendingAt cs.Instant
	// Recent is the number of online requests that the VM took in the last 10 s, as a decaying sum,
	// and RecentAt when it was computed; they are kept for this VM only.
	Recent   float64
	RecentAt cs.Instant
}

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

// Request is the row of an online request that this VM took.
type Request struct {
	cs.Request
	Arrived cs.Instant
	Phase   Phase
	// Attempt counts dispatches.
	Attempt cs.Attempt
	// Runs are the dispatches in flight: one, or two with a hedge.
	Runs []RequestRun
	// Tried are the runners of earlier attempts.
	Tried []cs.RunnerID
	// StuckSince is when the request began to wait for its first or next dispatch.
	StuckSince cs.Instant
	// RetryAt is when a request in PhaseBackoff is queued again.
	RetryAt cs.Instant
	// FirstTokenAt is when the first byte of the answer was passed on; 0 before.
	FirstTokenAt cs.Instant
	// Last is why the last attempt ended without an answer.
	Last *cs.Refusal
	// Unsure means that an earlier attempt may have run, without a definite outcome.
	Unsure bool
	// Failed means that an earlier attempt ran and failed.
	Failed bool
	// Free means that the next attempt does not draw on the retry budget.
	Free bool
	// HedgeAt is when a second dispatch may start; 0 if none may.
	HedgeAt cs.Instant
	// Order is the request's place in the fair queue; the lowest is served first.
	Order float64
}

// RequestRun is one dispatch of a request.
type RequestRun struct {
	Runner  cs.RunnerID
	Attempt cs.Attempt
	Since   cs.Instant
	Hedge   bool
}

//go:generate enumer -type Phase -text -transform lower -trimprefix Phase

// Phase is the state of an online request.
type Phase int

// The phases of a request.
const (
	// PhasePermit waits for leave from the owner of the call's shard.
	PhasePermit Phase = iota
	PhaseQueued
	PhaseRunning
	// PhaseBackoff waits before a retry.
	PhaseBackoff
)

// Tenant is the row of a tenant with requests in flight or with limits.
type Tenant struct {
	Limits cs.TenantLimits
	// Online counts requests queued or running.
	Online cs.Slots
	// Virtual is the finish time of the tenant's last request in the fair queue.
	Virtual float64
	// Pending lists the tenant's requests without a first token, in order of arrival.
	Pending []cs.RequestID
	// Deficit is the tenant's credit in the round over batch items.
	Deficit float64
}

// Ticket is the ticket in force for a scope. Offset is that of the first record known here.
type Ticket struct {
	cs.PlacedTicket
	// InForce is when this VM put it in force.
	InForce cs.Instant
	// LoggedAt is the log's time of the newest record of the ticket; 0 if only peers told of it.
	LoggedAt cs.Instant
	// CheckedAt is when package ticket last looked whether this VM is to rewrite it.
	CheckedAt cs.Instant
}

// NumberUse is the row of a ticket number: what the first record with the number says.
type NumberUse struct {
	Scope   cs.Scope
	Content cs.ContentHash
	// Offset is that of the first record known here.
	Offset cs.Offset
	// LoggedAt is the log's time of the newest record with the number and content; 0 if only peers
	// told of it. Unless its ticket is in force, the number is free again when Config.Retention has
	// passed since, as it is for a VM that starts then.
	LoggedAt cs.Instant
}

// Filing is a ticket that was submitted here and is not yet decided.
type Filing struct {
	Query  uint64
	Ticket cs.Ticket
	Since  cs.Instant
	Seq    cs.Seq
	// Sent is when the append was last sent; 0 before.
	Sent cs.Instant
	// Waiters are further submissions of the same ticket.
	Waiters []uint64
}

// Shard is the row of a work stream that this VM tails.
type Shard struct {
	Stream cs.StreamID
	// Next is the offset to read next; ReadAt is when the stream was last read.
	Next   cs.Offset
	ReadAt cs.Instant
	// CaughtUp tells whether the end of the stream was reached once.
	CaughtUp bool
	// Claim is the offset of the claim in force, NoOffset if none is known.
	Claim cs.Offset
	// Writer and VM are who made the claim.
	Writer cs.Incarnation
	VM     cs.VMID
	// LastSeq is the last batch applied of Writer.
	LastSeq cs.Seq
	// Released tells whether the claim was given up.
	Released bool
	// RenewedAt is when a valid batch was last read.
	RenewedAt cs.Instant
	// Synced is false between a start above offset 0 and the first checkpoint or claim.
	Synced bool

	// Owned tells whether the claim in force is this process's own.
	Owned bool
	// Claiming is when a claim of this process was sent; 0 if none is out.
	Claiming cs.Instant
	// Pending are records that wait for the next batch.
	Pending []cs.Record
	// Inflight is the batch that is sent and not read back, or nil.
	Inflight *cs.LogBatch
	// SentAt is when Inflight was last sent; Attempts counts the sends.
	SentAt   cs.Instant
	Attempts int
	// RetryAt is when Inflight is sent again after a failure; 0 while the send is out.
	RetryAt cs.Instant
	// SnapshotAt is when the shard was last written again in whole.
	SnapshotAt cs.Instant
	// Standby is the VM that gets copies of unconfirmed records.
	Standby cs.VMID
	// CopiedRecords are unconfirmed records of another owner, kept for the case that it dies.
	CopiedRecords []cs.Record

	// Gapped tells that reading began above offset 0, so that earlier claims are not known.
	Gapped bool
	// Proved tells whether a batch written under Claim was read; it matters only if Gapped.
	Proved bool
	// Unranked is when this VM ceased to be ranked for the shard; 0 while it is.
	Unranked cs.Instant
	// OwnSeq is the last sequence number that this process used in the stream.
	OwnSeq cs.Seq
	// Releasing means that a Released record of this process is on its way to the log.
	Releasing bool
	// SweepAt is when the shard's running and delayed items are next looked through.
	SweepAt cs.Instant
	// Told tells whether senders were told of waiting items, and TellAt when to tell them again.
	Told   bool
	TellAt cs.Instant
	// Active lists the open jobs of an owned shard; ended ones are removed by the next sweep.
	Active []cs.JobID
	// OpenCalls lists the calls of an owned shard that have not ended.
	OpenCalls []cs.CallID
	// Orphans are non-idempotent items that an earlier owner started; they end as unknown at GraceAt.
	Orphans []cs.ItemKey
	GraceAt cs.Instant
	// ItemTime is the moving average of an item's run, in milliseconds.
	ItemTime float64
	// Turn counts granted items; it sets aside a share of the grants for jobs that are not urgent.
	Turn int
	// CarryAt is when jobs and calls are next checked for rewriting.
	CarryAt cs.Instant
	// Carry lists the jobs to be rewritten; CarryNext is the next item of the first one.
	Carry     []cs.JobID
	CarryNext cs.ItemIndex
	// CarryCalls lists the calls to be rewritten.
	CarryCalls []cs.CallID
	// InflightSince is when Inflight was composed.
	InflightSince cs.Instant
	// CopyMark counts the unconfirmed ends that Standby has, and CopyAt is when the last copy went out.
	CopyMark int
	CopyAt   cs.Instant
}

// Lane is the queue of a job's waiting items that the same runners can run.
type Lane struct {
	Service       cs.ServiceID // of a plain service; empty for a model
	Model         cs.ModelID
	Version       cs.VersionID // empty: the version in force
	NonIdempotent bool
	// Front holds items that came back, the last one first in turn; Queue holds the others in order.
	Front, Queue []cs.ItemIndex
	// Starting counts non-idempotent items whose ItemStarted is not read back yet.
	Starting int
}

// RunningItem is an item that was granted; it is out of date once the item's Grants differ.
type RunningItem struct {
	Index       cs.ItemIndex
	Grant       cs.Attempt
	Incarnation cs.Incarnation // of the sender
	Until       cs.Instant     // when the item is taken back
}

// Job is the row of a batch job.
type Job struct {
	cs.Job
	Shard cs.ShardID
	State cs.JobState
	// Items are the job's items, at their index.
	Items []Item
	// Queue holds the indexes of waiting items, in order.
	Queue []cs.ItemIndex
	// Ended counts items in a final state, and Counts all by state.
	Ended  cs.ItemIndex
	Counts [cs.ItemUnknown + 1]cs.ItemIndex
	// Undurable counts ended items whose record is not read back yet.
	Undurable cs.ItemIndex
	// Stopping means that a cancellation is on its way to the log.
	Stopping bool
	// FinishedAt is when the last item ended or the job was cancelled.
	FinishedAt cs.Instant
	// Waiters are queries that wait for the job to be sealed or cancelled.
	Waiters []uint64

	// Filled counts the items that are known; it is below Count while the job is being read.
	Filled cs.ItemIndex
	// Lanes hold the waiting items of an owned job by target; Delayed holds those with NotBefore.
	Lanes   []Lane
	Delayed []cs.ItemIndex
	// Running lists granted items of an owned job.
	Running []RunningItem
	// WrittenAt is when the oldest record that the job depends on was read.
	WrittenAt cs.Instant
	// SnapStart and SnapNext follow a rewriting of the job through the log.
	SnapStart cs.Instant
	SnapNext  cs.ItemIndex
}

// Item is the row of a batch item.
type Item struct {
	cs.Item
	State cs.ItemState
	// Attempts counts runs that ended in failure, and the present one.
	Attempts cs.Attempt
	// Started tells whether ItemStarted is in the log.
	Started bool
	// Undurable means that ItemEnded is not read back yet.
	Undurable bool
	// Sender runs the item now; Granted is when it was given out.
	Sender  cs.VMID
	Granted cs.Instant
	// NotBefore delays the next run after a failure.
	NotBefore cs.Instant
	// Partial is what earlier runs generated, with the version PartialBy.
	Partial   string
	PartialBy cs.VersionID
	Tokens    cs.Tokens
	// Suspect means that the item was in flight on a crashed runner.
	Suspect bool
	Output  string
	Error   string

	// Known tells whether the item was read; it is false in a job that is only partly restored.
	Known bool
	// Starting means that an ItemStarted record is on its way to the log.
	Starting bool
	// Grants counts how often this owner gave the item out, so that returns of each can be told apart.
	Grants cs.Attempt
}

// Call is the row of a keyed call that must not be repeated.
type Call struct {
	Shard   cs.ShardID
	Hash    cs.ContentHash
	VM      cs.VMID // runs the call
	Started cs.Instant
	// Durable tells whether CallStarted is read back.
	Durable bool
	Ended   bool
	Answer  []byte
	Refusal *cs.Refusal
	EndedAt cs.Instant
	// Waiters are queries that wait for the outcome; the first waits for leave to run.
	Waiters []uint64

	// Incarnation is that of VM, or 0 if it is not known.
	Incarnation cs.Incarnation
	// Opener is the query that waits for leave to run, or 0.
	Opener uint64
	// Ending means that a CallEnded record is on its way to the log.
	Ending bool
	// WrittenAt is when the call's records were last read.
	WrittenAt cs.Instant
}

// Query is a question to the owner of a shard, asked here or forwarded by a peer.
type Query struct {
	Query cs.ShardQuery
	Shard cs.ShardID
	Since cs.Instant
	// Deadline is when the query is answered as unavailable or unknown.
	Deadline cs.Instant
	// From and FromID tell where the answer goes; From is empty for a query asked here.
	From   cs.VMID
	FromID uint64
	// SentTo is the VM to which the query was forwarded, at SentAt.
	SentTo cs.VMID
	SentAt cs.Instant
	Hops   int
	// Recorded means that a record for the query may have reached the log.
	Recorded bool

	// Earlier means that Recorded was set before the records that the query now waits for.
	Earlier bool
	// Sends counts how often the query was forwarded.
	Sends int
	// Waiting means that a job or call of this VM answers the query when its record is read back.
	Waiting bool
	// CheckAt is when the query is next looked at.
	CheckAt cs.Instant
}

// Run is a batch item that this VM runs as the batch sender of a runner.
type Run struct {
	cs.GrantedItem
	// Grant is the attempt under which the owner waits for the outcome. It differs from Attempt if
	// the item was granted again while it ran.
	Grant  cs.Attempt
	Runner cs.RunnerID
	Owner  cs.VMID // the VM that granted the item
	Shard  cs.ShardID
	Since  cs.Instant
	// Stopping means that the run was told to stop.
	Stopping bool
	// Discard means that the job was cancelled and the outcome is of no use.
	Discard bool
	// Ended is the outcome that could not be delivered yet; EndedAt is when it came.
	Ended   *cs.ItemReturned
	EndedAt cs.Instant
	// RetryAt is when Ended is sent again.
	RetryAt cs.Instant
}

// Suspect is the row of a request content that was in flight on a crashed runner.
type Suspect struct {
	// Crashes counts the runners that crashed with it in flight, as far as this VM knows.
	Crashes int
	// CrashedAt is when the last of them became known.
	CrashedAt cs.Instant
	// Runners are those runners.
	Runners []cs.RunnerID
	// Convicted means that it is quarantined until Until; otherwise the row is dropped then.
	Convicted bool
	Until     cs.Instant
}
