package fleet

import cs "github.com/crocusstile/crocusstile"

// Lane is the queue of a job's waiting items that the same runners can run.
type Lane struct {
	Service       cs.ServiceID // of a plain service; empty for a model
	Model         cs.ModelID
	Version       cs.VersionID // empty: the version in force
	NonIdempotent bool
	// Front holds items that came back, the last one first in turn; Queue holds the others in order.
	Front, Queue []cs.ItemIndex
	// Starting counts non-idempotent items whose ItemStarted is not read back yet.
	Starting int
}

// RunningItem is an item that was granted; it is out of date once the item's Grants differ.
type RunningItem struct {
	Index       cs.ItemIndex
	Grant       cs.Attempt
	Incarnation cs.Incarnation // of the sender
	Until       cs.Instant     // when the item is taken back
}

// Job is the row of a batch job.
type Job struct {
	cs.Job
	Shard cs.ShardID
	State cs.JobState
	// Items are the job's items, at their index.
	Items []Item
	// Ended counts items in a final state, and Counts all by state.
	Ended  cs.ItemIndex
	Counts [cs.ItemUnknown + 1]cs.ItemIndex
	// Undurable counts ended items whose record is not read back yet.
	Undurable cs.ItemIndex
	// Stopping means that a cancellation is on its way to the log.
	Stopping bool
	// FinishedAt is when the last item ended or the job was cancelled.
	FinishedAt cs.Instant
	// Waiters are queries that wait for the job to be sealed or cancelled.
	Waiters []uint64

	// Filled counts the items that are known; it is below Count while the job is being read.
	Filled cs.ItemIndex
	// Lanes hold the waiting items of an owned job by target; Delayed holds those with NotBefore.
	Lanes   []Lane
	Delayed []cs.ItemIndex
	// Running lists granted items of an owned job.
	Running []RunningItem
	// WrittenAt is when the oldest record that the job depends on was read.
	WrittenAt cs.Instant
	// SnapStart and SnapNext follow a rewriting of the job through the log.
	SnapStart cs.Instant
	SnapNext  cs.ItemIndex
}

// Item is the row of a batch item.
type Item struct {
	cs.Item
	State cs.ItemState
	// Attempts counts runs that ended in failure, and the present one.
	Attempts cs.Attempt
	// Started tells whether ItemStarted is in the log.
	Started bool
	// Undurable means that ItemEnded is not read back yet.
	Undurable bool
	// Sender runs the item now; Granted is when it was given out.
	Sender  cs.VMID
	Granted cs.Instant
	// NotBefore delays the next run after a failure.
	NotBefore cs.Instant
	// Partial is what earlier runs generated, with the version PartialBy.
	Partial   string
	PartialBy cs.VersionID
	Tokens    cs.Tokens
	// Suspect means that the item was in flight on a crashed runner.
	Suspect bool
	Output  string
	Error   string

	// Known tells whether the item was read; it is false in a job that is only partly restored.
	Known bool
	// Starting means that an ItemStarted record is on its way to the log.
	Starting bool
	// Grants counts how often this owner gave the item out, so that returns of each can be told apart.
	Grants cs.Attempt
}
