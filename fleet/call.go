package fleet

import cs "github.com/crocusstile/crocusstile"

// Call is the row of a call with an idempotency key, kept so that retries do not run it again.
type Call struct {
	Shard   cs.ShardID
	Hash    cs.ContentHash
	VM      cs.VMID // the VM that runs the call
	Started cs.Instant
	// Durable tells whether the CallStarted record has been read back from the log.
	Durable bool
	Ended   bool
	Answer  []byte
	Refusal *cs.Refusal
	EndedAt cs.Instant
	// Waiters are the queries that wait for the outcome.
	Waiters []uint64

	// Incarnation is the incarnation of VM that runs the call, or 0 if unknown.
	Incarnation cs.Incarnation
	// Opener is the query that waits for permission to run the call, or 0.
	Opener uint64
	// Ending tells whether a CallEnded record is pending or in flight to the log.
	Ending bool
	// WrittenAt is when a record of the call was last read from the log. The owner rewrites the
	// call well before the log's retention passes.
	WrittenAt cs.Instant
}

// Query is the row of a query to the owner of a shard, asked by a caller of this VM or forwarded by
// a peer.
type Query struct {
	Query cs.ShardQuery
	Shard cs.ShardID
	Since cs.Instant
	// Deadline is when a query without an answer is refused as unavailable, or as unknown if
	// Recorded is set.
	Deadline cs.Instant
	// From is the peer that forwarded the query, empty for a caller of this VM, and FromID the
	// query's ID at that peer.
	From   cs.VMID
	FromID uint64
	// SentTo is the VM to which the query was last forwarded, and SentAt when.
	SentTo cs.VMID
	SentAt cs.Instant
	Hops   int
	// Recorded tells whether a record for the query may have reached the log, so that the query may
	// have taken effect.
	Recorded bool

	// RecordedBefore is the value of Recorded before the records that the query now waits for; it is
	// restored if those records are withdrawn before they are sent.
	RecordedBefore bool
	// Sends counts how often the query was forwarded.
	Sends int
	// Waiting tells whether the query waits for a record of a job or call on this VM to be read
	// back from the log.
	Waiting bool
	// CheckAt is when the query is next processed.
	CheckAt cs.Instant
}
