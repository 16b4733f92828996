package fleet

import cs "github.com/crocusstile/crocusstile"

// Shard is the row of a shard whose work stream this VM tails, as its owner or otherwise.
type Shard struct {
	Stream cs.StreamID
	// Next is the offset to read next, and ReadAt when the stream was last read.
	Next   cs.Offset
	ReadAt cs.Instant
	// CaughtUp tells whether a read has reached the end of the stream.
	CaughtUp bool
	// Claim is the offset of the claim in force, which serves as the fencing token; NoOffset if no
	// claim is known.
	Claim cs.Offset
	// Writer and VM are the process and the VM that made the claim.
	Writer cs.Incarnation
	VM     cs.VMID
	// LastSeq is the sequence number of the last batch of Writer that was applied.
	LastSeq cs.Seq
	// Released tells whether the owner released the claim.
	Released bool
	// RenewedAt is when a valid batch was last read, which renews the lease.
	RenewedAt cs.Instant
	// Synced is false from a start above offset 0 until the first checkpoint or claim is read.
	Synced bool

	// Owned tells whether this process made the claim in force.
	Owned bool
	// Claiming is when a claim of this process was sent; 0 if none is in flight.
	Claiming cs.Instant
	// Pending are the records that wait for the next batch.
	Pending []cs.Record
	// Inflight is the batch that has been sent but not read back yet, or nil.
	Inflight *cs.LogBatch
	// SentAt is when Inflight was last sent, and Attempts counts its appends.
	SentAt   cs.Instant
	Attempts int
	// RetryAt is when Inflight is sent again after a failure; 0 while an append is in flight.
	RetryAt cs.Instant
	// CheckpointAt is when a checkpoint of the shard was last read back.
	CheckpointAt cs.Instant
	// Standby is the VM that gets copies of records that are not in the log yet.
	Standby cs.VMID
	// CopiedRecords are such copies of another owner's records, used if this VM takes over the shard.
	CopiedRecords []cs.Record

	// HistoryLost tells whether reading began above offset 0, so that earlier claims are unknown.
	HistoryLost bool
	// ClaimConfirmed tells whether a batch written under Claim was read; it matters only if
	// HistoryLost is set.
	ClaimConfirmed bool
	// UnrankedSince is when this VM ceased to be one of the two first-ranked VMs for the shard; 0
	// while it is one of them.
	UnrankedSince cs.Instant
	// OwnSeq is the last sequence number that this process used in the stream.
	OwnSeq cs.Seq
	// Releasing tells whether a Released record of this process is pending or in flight to the log.
	Releasing bool
	// SweepAt is when the shard's running and delayed items are next checked.
	SweepAt cs.Instant
	// Notified tells whether the batch senders have been notified of waiting items, and NotifyAt
	// when they are to be notified again.
	Notified bool
	NotifyAt cs.Instant
	// Active lists the open jobs of an owned shard; ended ones are removed by the next sweep.
	Active []cs.JobID
	// OpenCalls lists the calls of an owned shard that have not ended.
	OpenCalls []cs.CallID
	// Orphans are non-idempotent items that a former owner started. Those that are not returned by
	// GraceAt end as unknown.
	Orphans []cs.ItemKey
	GraceAt cs.Instant
	// ItemTime is the moving average of the run time of items, in milliseconds.
	ItemTime float64
	// GrantCount counts granted items; every few grants one is reserved for jobs outside the most
	// urgent class.
	GrantCount int
	// RewriteAt is when jobs and calls are next checked for rewriting, which keeps their records
	// within the log's retention.
	RewriteAt cs.Instant
	// Rewrites lists the jobs to be rewritten, and RewriteNext is the next item of the first one.
	Rewrites    []cs.JobID
	RewriteNext cs.ItemIndex
	// RewriteCalls lists the calls to be rewritten.
	RewriteCalls []cs.CallID
	// InflightSince is when Inflight was created.
	InflightSince cs.Instant
	// CopiedCount counts the unconfirmed end records that Standby has, and CopyAt is when the last
	// copy was sent.
	CopiedCount int
	CopyAt      cs.Instant
}
