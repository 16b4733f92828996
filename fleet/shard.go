package fleet

import cs "github.com/crocusstile/crocusstile"

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
