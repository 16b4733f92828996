package fleet

import cs "github.com/crocusstile/crocusstile"

// Config holds the parameters of the systems, most of them from the settings.
type Config struct {
	// Weight sets the balance between batch throughput (0) and online latency (1).
	Weight cs.Ratio
	// Shards is the number of work streams; it must be the same on all VMs.
	Shards int
	// Lease is the time without a renewal after which another VM may claim a shard.
	Lease cs.Span
	// Renewal is the longest time between two appends of a shard's owner; each append renews the
	// lease.
	Renewal cs.Span
	// PeerTimeout is the idle timeout after which a peer counts as dead.
	PeerTimeout cs.Span
	// Heartbeat is the time between two heartbeats to a peer.
	Heartbeat cs.Span
	// CrossLinks is the number of VMs in each other data centre to which this VM keeps a link.
	CrossLinks int
	// GroupCommit is the shortest time between two appends to a stream; records that arrive in
	// between are appended as one batch.
	GroupCommit cs.Span
	// Retention is the time for which the log keeps a record.
	Retention cs.Span
	// ResultsKept is the time for which the results of an ended job or call can be read.
	ResultsKept cs.Span
	// ItemAttempts is the maximum number of attempts of a batch item.
	ItemAttempts cs.Attempt
	// MaxQueued is the maximum number of online requests that wait for a runner; further ones are
	// shed.
	MaxQueued int
	// MaxItems is the maximum number of items in all jobs that this VM owns.
	MaxItems int
	// FirstToken is the target for the 95th percentile of the time to first token.
	FirstToken cs.Span
	// TokenGap is the target for the 95th percentile of the time between tokens.
	TokenGap cs.Span
	// RetryBudget is the ratio of retries and hedges to requests that is allowed.
	RetryBudget cs.Ratio
	// Quarantine is the time for which content that has crashed runners is refused.
	Quarantine cs.Span
	// LoadsAtOnce is the maximum number of runners that load the same deployment concurrently.
	LoadsAtOnce int
	// DrainWait is the time between reporting not ready and refusing new requests, in which callers
	// move to other VMs.
	DrainWait cs.Span
	// DrainLimit is the longest time for which a drain waits for work in flight.
	DrainLimit cs.Span
	// Policy replaces parts of the policy by their baselines.
	Policy Policy
}

// Policy turns off parts of the scheduling policy, to compare it with simpler baselines.
type Policy struct {
	// RoundRobin routes to the runners in turn, regardless of load, without ejections and hedges.
	RoundRobin bool
	// NoClasses treats batch items like online requests, without a batch limit.
	NoClasses bool
	// NoBatch disables batch items.
	NoBatch bool
	// NoQuarantine disables the quarantine of content that crashes runners.
	NoQuarantine bool
	// NoFence disables the fencing of log batches, so that those of former owners are applied.
	NoFence bool
}

// DefaultConfig returns the parameters for everything that the settings leave out.
func DefaultConfig() Config {
	return Config{
		Weight: 0.7, Shards: 16, Lease: 10 * cs.Second, Renewal: 4 * cs.Second,
		PeerTimeout: 3 * cs.Second, Heartbeat: cs.Second, CrossLinks: 8,
		GroupCommit: 50 * cs.Millisecond, Retention: 24 * cs.Hour, ResultsKept: 24 * cs.Hour,
		ItemAttempts: 3, MaxQueued: 512, MaxItems: 400_000,
		FirstToken: 1600 * cs.Millisecond, TokenGap: 69 * cs.Millisecond, RetryBudget: 0.1,
		LoadsAtOnce: 2, Quarantine: 10 * cs.Minute, DrainWait: 3 * cs.Second, DrainLimit: cs.Minute,
	}
}
