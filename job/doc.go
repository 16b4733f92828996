// Package job holds the log state machine of a work stream and the systems of a shard's owner.
//
// In each tick, Follow reads the streams and decides on claims, Serve answers queries, Grant gives
// items to the batch senders that offer slots, and Commit appends the records that the others have
// produced. What the log says is applied in one place (apply.go, records.go) by owners and standbys
// alike, so that all readers of a stream hold the same jobs, items and calls. An owner's state runs
// ahead of the log in two respects only: items that run, and ended items marked as undurable.
package job

import cs "github.com/crocusstile/crocusstile"

const (
	// sweepEvery is the time between two looks through running and delayed items.
	sweepEvery = 250 * cs.Millisecond
	// logDown is the age of the last read beyond which the log counts as unavailable.
	logDown = 5 * cs.Second
	// grace is the time for which a new owner waits for the outcome of what an earlier one started.
	grace = 5 * cs.Second
	// deadCall is the time a VM must be dead for its calls to end as unknown.
	deadCall = 3 * cs.Second
	// maxRun is the time after which a granted item is taken back and a call ends as unknown.
	maxRun = 10 * cs.Minute
	// maxChunk bounds the items of one record, and maxBatch the records of one append.
	maxChunk, maxBatch = cs.Bytes(256 << 10), cs.Bytes(512 << 10)
)
