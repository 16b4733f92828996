package crocusstile

// Job describes a batch job without its items.
type Job struct {
	ID      JobID          `cbor:"i" json:"id"`
	Tenant  TenantID       `cbor:"t" json:"tenant"`
	Key     IdempotencyKey `cbor:"k" json:"key"`
	Content ContentHash    `cbor:"c" json:"content"` // over all items, in order
	Count   ItemIndex      `cbor:"n" json:"count"`
	Due     Instant        `cbor:"d" json:"due"`
	Opened  Instant        `cbor:"o" json:"opened"`
}

// Item is one unit of a batch job.
type Item struct {
	Target        Target `cbor:"t"`
	NonIdempotent bool   `cbor:"x,omitempty"`
}

// ItemResult is the final state of an item.
type ItemResult struct {
	Index    ItemIndex `cbor:"i" json:"index"`
	State    ItemState `cbor:"s" json:"state"`
	Output   string    `cbor:"o,omitempty" json:"output,omitempty"`
	Error    string    `cbor:"e,omitempty" json:"error,omitempty"`
	Attempts Attempt   `cbor:"a,omitempty" json:"attempts"`
}

// JobStatus counts a job's items by state.
type JobStatus struct {
	Job       Job       `cbor:"j" json:"job"`
	State     JobState  `cbor:"s" json:"state"`
	Waiting   ItemIndex `cbor:"w" json:"waiting"`
	Running   ItemIndex `cbor:"r" json:"running"`
	Done      ItemIndex `cbor:"d" json:"done"`
	Failed    ItemIndex `cbor:"f" json:"failed"`
	Cancelled ItemIndex `cbor:"c" json:"cancelled"`
	Unknown   ItemIndex `cbor:"u" json:"unknown"`
	// Undurable counts ended items whose record is not yet known to be in the log.
	Undurable ItemIndex `cbor:"p" json:"undurable"`
}
