package fleet

import cs "github.com/crocusstile/crocusstile"

// Run is a batch item that this VM runs as the batch sender of a runner.
type Run struct {
	cs.GrantedItem
	// Grant is the attempt under which the owner waits for the outcome. It differs from Attempt if
	// the item was granted again while it ran.
	Grant  cs.Attempt
	Runner cs.RunnerID
	Owner  cs.VMID // the VM that granted the item
	Shard  cs.ShardID
	Since  cs.Instant
	// Stopping means that the run was told to stop.
	Stopping bool
	// Discard means that the job was cancelled and the outcome is of no use.
	Discard bool
	// Ended is the outcome that could not be delivered yet; EndedAt is when it came.
	Ended   *cs.ItemReturned
	EndedAt cs.Instant
	// RetryAt is when Ended is sent again.
	RetryAt cs.Instant
}
