package fleet

import cs "github.com/crocusstile/crocusstile"

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
