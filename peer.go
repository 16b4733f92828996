package crocusstile

// PeerMessage is one message between VMs.
type PeerMessage interface{ isPeerMessage() }

// Hello opens a link: each side tells who it is.
type Hello struct {
	VM VM `cbor:"v"`
}

// Heartbeat tells peers once a second that a VM lives and how it stands.
type Heartbeat struct {
	Leaving bool `cbor:"l,omitempty"`
	// LogAge is the time since the VM last read the platform's log without an error.
	LogAge Span `cbor:"a"`
	// Owned lists the shards that the VM owns.
	Owned []OwnedShard `cbor:"o,omitempty"`
	// Highest is the highest ticket number the VM knows; a peer that knows more passes it on.
	Highest TicketNumber `cbor:"h"`
	// Tickets counts the tickets in force that the VM knows.
	Tickets int `cbor:"t"`
	// Online lists the sender's online requests in flight on runners, where there are any.
	Online []RunnerCount `cbor:"r,omitempty"`
}

// OwnedShard tells a shard's claim and its waiting items.
type OwnedShard struct {
	Shard   ShardID   `cbor:"s"`
	Fence   Offset    `cbor:"f"`
	Waiting ItemIndex `cbor:"w,omitempty"`
}

// RunnerCount counts requests on a runner.
type RunnerCount struct {
	Runner RunnerID `cbor:"r"`
	Count  Slots    `cbor:"c"`
}

// PlacedTicket is a ticket with its offset in the ticket stream.
type PlacedTicket struct {
	Ticket Ticket `cbor:"t"`
	Offset Offset `cbor:"o"`
}

// TicketsPassed carries tickets that were read from the log.
type TicketsPassed struct {
	Tickets []PlacedTicket `cbor:"t"`
}

// TicketsWanted asks for the tickets in force.
type TicketsWanted struct{}

// Yield asks the batch sender of a runner to cancel batch runs there.
type Yield struct {
	Runner RunnerID `cbor:"r"`
	Slots  Slots    `cbor:"s"`
}

// WorkWaiting tells batch senders that a shard has items waiting.
type WorkWaiting struct {
	Shard   ShardID   `cbor:"s"`
	Waiting ItemIndex `cbor:"w"`
}

// SlotsOffered offers free batch slots of a runner to the owner of shards with waiting items.
type SlotsOffered struct {
	Offer  uint64        `cbor:"o"`
	Runner RunnerID      `cbor:"r"`
	Slots  Slots         `cbor:"s"`
	Loaded []LoadedModel `cbor:"l,omitempty"` // empty: the runner is a plain service
	// Service is the group the runner belongs to.
	Service ServiceID `cbor:"g"`
}

// ItemsGranted answers SlotsOffered with at most as many items.
type ItemsGranted struct {
	Offer  uint64        `cbor:"o"`
	Runner RunnerID      `cbor:"r"`
	Shard  ShardID       `cbor:"s"`
	Items  []GrantedItem `cbor:"i"`
}

// GrantedItem is an item to run, with what earlier runs generated.
type GrantedItem struct {
	Key     ItemKey  `cbor:"k"`
	Tenant  TenantID `cbor:"t"`
	Item    Item     `cbor:"i"`
	Attempt Attempt  `cbor:"a"`
	Partial string   `cbor:"p,omitempty"`
	Tokens  Tokens   `cbor:"n,omitempty"`
	// Suspect means that the item must run where no other suspect runs.
	Suspect bool `cbor:"x,omitempty"`
}

// ItemReturned gives back the outcome of a granted item's run.
type ItemReturned struct {
	Key     ItemKey `cbor:"k"`
	Attempt Attempt `cbor:"a"`
	// Stopped means that the run was cancelled to make room; Partial holds what it generated.
	Stopped bool     `cbor:"s,omitempty"`
	Output  string   `cbor:"o,omitempty"`
	Tokens  Tokens   `cbor:"n,omitempty"`
	Refusal *Refusal `cbor:"e,omitempty"`
}

// ItemsHeld tells an owner, on a new link, which of its items the sender of the message runs.
type ItemsHeld struct {
	Items []ItemKey `cbor:"i"`
}

// ItemsStop tells batch senders to cancel all runs of a job, or all runs granted under an old claim.
type ItemsStop struct {
	Job JobID `cbor:"j"`
}

// SuspectNoted tells the VMs of a data centre about a request in flight on a crashed runner.
type SuspectNoted struct {
	Hash      ContentHash `cbor:"h"`
	Runner    RunnerID    `cbor:"r"`
	Convicted bool        `cbor:"c,omitempty"`
	Until     Span        `cbor:"u,omitempty"` // from receipt
}

// Forward carries a query to the owner of its shard.
type Forward struct {
	ID    uint64     `cbor:"i"`
	Query ShardQuery `cbor:"q"`
	Hops  int        `cbor:"h,omitempty"`
}

// Forwarded answers a Forward.
type Forwarded struct {
	ID     uint64      `cbor:"i"`
	Answer ShardAnswer `cbor:"a"`
}

// PendingCopied gives the standby of a shard records that are not yet known to be in the log.
type PendingCopied struct {
	Shard   ShardID  `cbor:"s"`
	Fence   Offset   `cbor:"f"`
	Applied Offset   `cbor:"a"`
	Records []Record `cbor:"r"`
}

// ShardQuery is a question or command for the owner of a shard.
type ShardQuery interface{ isShardQuery() }

// SubmitJob opens a job with all its items.
type SubmitJob struct {
	Job   Job    `cbor:"j"`
	Items []Item `cbor:"i"`
}

// GetJob asks for a job's status.
type GetJob struct {
	Job    JobID    `cbor:"j"`
	Tenant TenantID `cbor:"t"`
}

// StopJob cancels a job.
type StopJob struct {
	Job    JobID    `cbor:"j"`
	Tenant TenantID `cbor:"t"`
}

// GetResults asks for ended items with an index of at least From.
type GetResults struct {
	Job    JobID     `cbor:"j"`
	Tenant TenantID  `cbor:"t"`
	From   ItemIndex `cbor:"f"`
	Limit  int       `cbor:"l"`
}

// BeginCall asks for leave to run a keyed call once.
type BeginCall struct {
	Call CallID      `cbor:"c"`
	Hash ContentHash `cbor:"h"`
	VM   VMID        `cbor:"v"` // the VM that would run it
}

// EndCall reports the outcome of a call that the asking VM was let run.
type EndCall struct {
	Call    CallID   `cbor:"c"`
	Answer  []byte   `cbor:"a,omitempty"`
	Refusal *Refusal `cbor:"e,omitempty"`
}

// ShardAnswer answers a ShardQuery.
type ShardAnswer interface{ isShardAnswer() }

// JobAnswer answers SubmitJob, GetJob and StopJob.
type JobAnswer struct {
	Status JobStatus `cbor:"s"`
	// Joined means that the job had been submitted before.
	Joined bool `cbor:"j,omitempty"`
}

// ResultsAnswer answers GetResults.
type ResultsAnswer struct {
	Results []ItemResult `cbor:"r"`
	Next    ItemIndex    `cbor:"n"` // the index to go on from
	State   JobState     `cbor:"s"`
}

// CallAnswer answers BeginCall and EndCall.
type CallAnswer struct {
	// Run means that the asking VM may run the call now, once.
	Run     bool     `cbor:"g,omitempty"`
	Answer  []byte   `cbor:"a,omitempty"` // the recorded answer of an earlier run
	Refusal *Refusal `cbor:"e,omitempty"`
}

// RefusedAnswer answers any query that failed.
type RefusedAnswer struct {
	Refusal Refusal `cbor:"e"`
}

func (Hello) isPeerMessage()         {}
func (Heartbeat) isPeerMessage()     {}
func (TicketsPassed) isPeerMessage() {}
func (TicketsWanted) isPeerMessage() {}
func (Yield) isPeerMessage()         {}
func (WorkWaiting) isPeerMessage()   {}
func (SlotsOffered) isPeerMessage()  {}
func (ItemsGranted) isPeerMessage()  {}
func (ItemReturned) isPeerMessage()  {}
func (ItemsStop) isPeerMessage()     {}
func (ItemsHeld) isPeerMessage()     {}
func (SuspectNoted) isPeerMessage()  {}
func (Forward) isPeerMessage()       {}
func (Forwarded) isPeerMessage()     {}
func (PendingCopied) isPeerMessage() {}

func (SubmitJob) isShardQuery()  {}
func (GetJob) isShardQuery()     {}
func (StopJob) isShardQuery()    {}
func (GetResults) isShardQuery() {}
func (BeginCall) isShardQuery()  {}
func (EndCall) isShardQuery()    {}

func (JobAnswer) isShardAnswer()     {}
func (ResultsAnswer) isShardAnswer() {}
func (CallAnswer) isShardAnswer()    {}
func (RefusedAnswer) isShardAnswer() {}
