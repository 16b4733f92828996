// Package job implements the replicated state machine of a work stream and the systems that a
// shard's owner runs.
//
// In each tick, Follow reads the streams and decides on claims, Serve answers queries, Grant gives
// items to the batch senders that offer slots, and Commit appends the records that the other
// systems have queued. Owners and standbys apply records with the same code (apply.go, records.go),
// so that all readers of a stream hold the same jobs, items and calls. A record counts once it has
// been read back from the log. An owner's state is ahead of the log in two respects only: running
// items, and ended items marked as undurable.
package job

import cs "github.com/crocusstile/crocusstile"

const (
	// sweepInterval is the time between two checks of running and delayed items.
	sweepInterval = 250 * cs.Millisecond
	// logUnavailableAfter is the age of the last successful read above which the log counts as
	// unavailable.
	logUnavailableAfter = 5 * cs.Second
	// takeoverGrace is the time for which a new owner waits for the outcomes of items and calls
	// that an earlier owner started.
	takeoverGrace = 5 * cs.Second
	// callLostAfter is the time for which a VM must be dead before its calls end with an unknown
	// outcome.
	callLostAfter = 3 * cs.Second
	// maxRunTime is the time after which a granted item is taken back and a call ends with an
	// unknown outcome.
	maxRunTime = 10 * cs.Minute
	// maxChunkSize bounds the items of one record, and maxBatchSize the records of one append.
	maxChunkSize, maxBatchSize = cs.Bytes(256 << 10), cs.Bytes(512 << 10)
)
