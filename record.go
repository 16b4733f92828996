package crocusstile

// LogBatch is the payload of one append: what a writer appends to a stream at once.
type LogBatch struct {
	Writer Incarnation `cbor:"w"`
	VM     VMID        `cbor:"v"`
	// Fence is the offset of the claim under which the writer writes; NoOffset in a Claim batch.
	Fence   Offset   `cbor:"f"`
	Seq     Seq      `cbor:"q"`
	Records []Record `cbor:"r"`
}

// LoggedBatch is a batch with its place in the stream.
type LoggedBatch struct {
	Offset Offset
	At     Instant // the log's time
	Batch  LogBatch
}

// Record is one fact in the log.
type Record interface{ isRecord() }

// Claim takes a shard over; it counts if Previous is the offset of the claim in force.
type Claim struct {
	Shard    ShardID `cbor:"s"`
	Previous Offset  `cbor:"p"`
}

// Released gives a shard up, so that another VM may claim it at once.
type Released struct{}

// Checkpoint says that the batches from here on can be read without earlier ones, given the
// snapshots that follow it.
type Checkpoint struct {
	Claim Offset `cbor:"c"`
}

// JobOpened begins a job; its items follow.
type JobOpened struct {
	Job Job `cbor:"j"`
}

// JobItems carries items of a job in order.
type JobItems struct {
	Job   JobID     `cbor:"j"`
	First ItemIndex `cbor:"f"`
	Items []Item    `cbor:"i"`
}

// JobSealed says that all items of a job are in the log: the job is accepted.
type JobSealed struct {
	Job JobID `cbor:"j"`
}

// JobStopped cancels a job.
type JobStopped struct {
	Job JobID   `cbor:"j"`
	At  Instant `cbor:"a"`
}

// ItemStarted precedes the run of a non-idempotent item.
type ItemStarted struct {
	Item ItemKey `cbor:"i"`
}

// ItemEnded ends an item; the first one in the log counts.
type ItemEnded struct {
	Job    JobID      `cbor:"j"`
	Result ItemResult `cbor:"r"`
}

// JobSnapshot replaces what earlier records said about a part of a job.
type JobSnapshot struct {
	Job     Job          `cbor:"j"`
	State   JobState     `cbor:"s"`
	First   ItemIndex    `cbor:"f"`
	Items   []Item       `cbor:"i"`
	Results []ItemResult `cbor:"r"` // one for each item, with its present state
}

// CallStarted precedes the run of a non-idempotent online call with a key.
type CallStarted struct {
	Call   CallID      `cbor:"c"`
	Hash   ContentHash `cbor:"h"`
	Runner VMID        `cbor:"v"` // the VM that runs it
	At     Instant     `cbor:"a"`
}

// CallEnded records the outcome of a keyed call.
type CallEnded struct {
	Call    CallID   `cbor:"c"`
	Answer  []byte   `cbor:"a,omitempty"`
	Refusal *Refusal `cbor:"e,omitempty"`
	At      Instant  `cbor:"t"`
}

// TicketFiled submits a ticket; the first record with a number counts.
type TicketFiled struct {
	Ticket Ticket `cbor:"t"`
}

func (Claim) isRecord()       {}
func (Released) isRecord()    {}
func (Checkpoint) isRecord()  {}
func (JobOpened) isRecord()   {}
func (JobItems) isRecord()    {}
func (JobSealed) isRecord()   {}
func (JobStopped) isRecord()  {}
func (ItemStarted) isRecord() {}
func (ItemEnded) isRecord()   {}
func (JobSnapshot) isRecord() {}
func (CallStarted) isRecord() {}
func (CallEnded) isRecord()   {}
func (TicketFiled) isRecord() {}
