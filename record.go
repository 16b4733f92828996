package crocusstile

// LogBatch is the payload of one append: the records that a writer adds to a stream atomically.
type LogBatch struct {
	Writer Incarnation `cbor:"w"`
	VM     VMID        `cbor:"v"`
	// Fence is the writer's fencing token, the offset of its claim; NoOffset in a batch with a Claim.
	Fence   Offset   `cbor:"f"`
	Seq     Seq      `cbor:"q"`
	Records []Record `cbor:"r"`
}

// LoggedBatch is a batch read from the log, with its offset in the stream.
type LoggedBatch struct {
	Offset Offset
	At     Instant // when the log stored it, by the log's clock
	Batch  LogBatch
}

// Record is one state change in the log.
type Record interface{ isRecord() }

// Claim takes ownership of a shard; it takes effect only if Previous is the offset of the claim in force.
type Claim struct {
	Shard    ShardID `cbor:"s"`
	Previous Offset  `cbor:"p"`
}

// Released gives up ownership of a shard, so that another VM may claim it without waiting for the
// lease to expire.
type Released struct{}

// Checkpoint marks an offset from which the stream can be replayed without earlier batches, because
// snapshots of the state follow it.
type Checkpoint struct {
	Claim Offset `cbor:"c"`
}

// JobOpened creates a job; its items follow in JobItems records.
type JobOpened struct {
	Job Job `cbor:"j"`
}

// JobItems contains consecutive items of a job, starting at index First.
type JobItems struct {
	Job   JobID     `cbor:"j"`
	First ItemIndex `cbor:"f"`
	Items []Item    `cbor:"i"`
}

// JobSealed means that all items of a job are in the log and the job is accepted.
type JobSealed struct {
	Job JobID `cbor:"j"`
}

// JobStopped records the cancellation of a job.
type JobStopped struct {
	Job JobID   `cbor:"j"`
	At  Instant `cbor:"a"`
}

// ItemStarted is written before the run of a non-idempotent item, so that it is not run twice.
type ItemStarted struct {
	Item ItemKey `cbor:"i"`
}

// ItemEnded is the final result of an item; only the first one in the log takes effect.
type ItemEnded struct {
	Job    JobID      `cbor:"j"`
	Result ItemResult `cbor:"r"`
}

// JobSnapshot replaces all earlier records about a range of items of a job.
type JobSnapshot struct {
	Job     Job          `cbor:"j"`
	State   JobState     `cbor:"s"`
	First   ItemIndex    `cbor:"f"`
	Items   []Item       `cbor:"i"`
	Results []ItemResult `cbor:"r"` // one for each item, with its current state
}

// CallStarted is written before the run of a non-idempotent online call with an idempotency key.
type CallStarted struct {
	Call      CallID      `cbor:"c"`
	Hash      ContentHash `cbor:"h"`
	StartedBy VMID        `cbor:"v"` // the VM that runs it
	At        Instant     `cbor:"a"`
}

// CallEnded records the outcome of a call with an idempotency key.
type CallEnded struct {
	Call    CallID   `cbor:"c"`
	Answer  []byte   `cbor:"a,omitempty"`
	Refusal *Refusal `cbor:"e,omitempty"`
	At      Instant  `cbor:"t"`
}

// TicketRecorded submits a ticket; only the first record with a given number takes effect.
type TicketRecorded struct {
	Ticket Ticket `cbor:"t"`
}

func (Claim) isRecord()          {}
func (Released) isRecord()       {}
func (Checkpoint) isRecord()     {}
func (JobOpened) isRecord()      {}
func (JobItems) isRecord()       {}
func (JobSealed) isRecord()      {}
func (JobStopped) isRecord()     {}
func (ItemStarted) isRecord()    {}
func (ItemEnded) isRecord()      {}
func (JobSnapshot) isRecord()    {}
func (CallStarted) isRecord()    {}
func (CallEnded) isRecord()      {}
func (TicketRecorded) isRecord() {}
