package crocusstile

// Job is the metadata of a batch job, without its items.
type Job struct {
	ID      JobID          `cbor:"i" json:"id"`
	Tenant  TenantID       `cbor:"t" json:"tenant"`
	Key     IdempotencyKey `cbor:"k" json:"key"`
	Content ContentHash    `cbor:"c" json:"content"` // hash of all items in order
	Count   ItemIndex      `cbor:"n" json:"count"`
	Due     Instant        `cbor:"d" json:"due"`
	Opened  Instant        `cbor:"o" json:"opened"`
}

// Item is one request of a batch job.
type Item struct {
	Target        Target `cbor:"t"`
	NonIdempotent bool   `cbor:"x,omitempty"`
}

// ItemResult is the state of an item and, once it has ended, its output or error.
type ItemResult struct {
	Index    ItemIndex `cbor:"i" json:"index"`
	State    ItemState `cbor:"s" json:"state"`
	Output   string    `cbor:"o,omitempty" json:"output,omitempty"`
	Error    string    `cbor:"e,omitempty" json:"error,omitempty"`
	Attempts Attempt   `cbor:"a,omitempty" json:"attempts"`
}

// JobStatus is the state of a job and the number of its items in each state.
type JobStatus struct {
	Job       Job       `cbor:"j" json:"job"`
	State     JobState  `cbor:"s" json:"state"`
	Waiting   ItemIndex `cbor:"w" json:"waiting"`
	Running   ItemIndex `cbor:"r" json:"running"`
	Done      ItemIndex `cbor:"d" json:"done"`
	Failed    ItemIndex `cbor:"f" json:"failed"`
	Cancelled ItemIndex `cbor:"c" json:"cancelled"`
	Unknown   ItemIndex `cbor:"u" json:"unknown"`
	// Undurable is the number of ended items whose records are not yet known to be in the log.
	Undurable ItemIndex `cbor:"p" json:"undurable"`
}
