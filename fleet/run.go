package fleet

import cs "github.com/crocusstile/crocusstile"

// Run is the row of a batch item that this VM runs as the batch sender of a runner.
type Run struct {
	cs.GrantedItem
	// Grant is the number of the grant for which the owner expects the outcome. It differs from
	// Attempt if the item was granted again while it ran.
	Grant  cs.Attempt
	Runner cs.RunnerID
	Owner  cs.VMID // the VM that granted the item
	Shard  cs.ShardID
	// Fence is the claim of Shard under which Owner granted the item.
	Fence cs.Offset
	Since cs.Instant
	// Stopping tells whether a StopItem for the run was issued.
	Stopping bool
	// Discard tells whether the outcome is to be dropped because the job was cancelled.
	Discard bool
	// Outcome is the outcome of a run that has ended, kept until it can be delivered to the owner, or
	// nil. EndedAt is when the run ended.
	Outcome *cs.ItemOutcome
	EndedAt cs.Instant
	// RetryAt is when the delivery of Outcome is next tried.
	RetryAt cs.Instant
}
