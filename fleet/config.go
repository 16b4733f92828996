package fleet

import cs "github.com/crocusstile/crocusstile"

// Config holds the parameters of the systems.
type Config struct {
	// Weight is 0 for throughput first and 1 for latency first.
	Weight cs.Ratio
	// Shards is the number of work streams; it is the same on all VMs.
	Shards int
	// Lease is the time without a renewal after which a shard may be claimed by another VM.
	Lease cs.Span
	// Renewal is the longest time between two appends of a shard's owner.
	Renewal cs.Span
	// PeerTimeout is the silence after which a peer counts as dead.
	PeerTimeout cs.Span
	// Heartbeat is the time between two heartbeats to a peer.
	Heartbeat cs.Span
	// CrossLinks is the number of VMs in each other data centre to which a link is held.
	CrossLinks int
	// GroupCommit is the shortest time between two appends to a stream.
	GroupCommit cs.Span
	// Retention is the time for which the log keeps a record.
	Retention cs.Span
	// ResultsKept is the time for which the results of an ended job stay readable.
	ResultsKept cs.Span
	// ItemAttempts bounds the runs of an item.
	ItemAttempts cs.Attempt
	// MaxQueued bounds the online requests that wait for a runner.
	MaxQueued int
	// MaxItems bounds the items of the jobs that this VM owns.
	MaxItems int
	// FirstToken is the target for the first token's 95th percentile.
	FirstToken cs.Span
	// TokenGap is the target for the 95th percentile of the time between tokens.
	TokenGap cs.Span
	// RetryBudget is the share of requests that may be retried or hedged.
	RetryBudget cs.Ratio
	// Quarantine is the time for which a request that crashed runners is refused.
	Quarantine cs.Span
	// LoadsAtOnce bounds the runners that load one deployment at the same time.
	LoadsAtOnce int
	// DrainWait is the time between becoming not ready and refusing new requests.
	DrainWait cs.Span
	// DrainLimit bounds the time a drain waits for requests in flight.
	DrainLimit cs.Span
	// Policy chooses between the policy and its baselines.
	Policy Policy
}

// Policy replaces decisions by their baselines, for comparison.
type Policy struct {
	// RoundRobin routes in turn, without regard to load, and neither ejects nor hedges.
	RoundRobin bool
	// NoClasses sends batch items as online requests are sent, without a limit.
	NoClasses bool
	// NoBatch runs no batch items.
	NoBatch bool
	// NoQuarantine disables the quarantine of crashing requests.
	NoQuarantine bool
	// NoFence applies batches of former owners.
	NoFence bool
}

// DefaultConfig returns the parameters used where the settings are silent.
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
