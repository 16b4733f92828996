// Package membership tracks which VMs and runners belong to the fleet, keeps links to peers,
// assigns the batch sender of each runner and drains this VM.
//
// Its systems run in this order: Track, Drain, AssignSenders, DialPeers, Broadcast. Track
// updates the rows of VMs and runners from the platform's list, the links and the heartbeats; the
// others read those rows.
package membership

import cs "github.com/crocusstile/crocusstile"

const (
	// vmRetention is how long the row of a VM that is neither listed nor linked is kept. It is longer
	// than the list can lag behind, so that a VM that the list does not contain yet keeps its row.
	vmRetention = 2 * cs.Minute
	// dialTimeout is the time after which a dial without an outcome counts as failed. Dials in package
	// link time out earlier.
	dialTimeout = 10 * cs.Second
	// minBackoff and maxBackoff bound the backoff between two dials to a VM, before jitter.
	minBackoff = 200 * cs.Millisecond
	maxBackoff = 5 * cs.Second
	// minStableLink is how long a link must have lasted for the next dial to follow without backoff.
	minStableLink = 5 * cs.Second
)
