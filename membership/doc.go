// Package membership decides which VMs and runners take part, which links a VM holds and when it
// leaves.
//
// Its systems run in this order: Track, Drain, Senders, Connect, Beat. Track turns the platform's
// list, the links and the heartbeats into rows; the others read those rows.
package membership

import cs "github.com/crocusstile/crocusstile"

const (
	// dropAfter is how long a VM is remembered that is neither listed nor linked. It is longer than
	// any lag of the list, so that a VM that the list has yet to show does not lose its row.
	dropAfter = 2 * cs.Minute
	// dialLimit is the longest time a dial can take; links give up earlier.
	dialLimit = 10 * cs.Second
	// minBackoff and maxBackoff bound the time between two dials to a VM.
	minBackoff = 200 * cs.Millisecond
	maxBackoff = 5 * cs.Second
	// stableLink is how long a link has to last for the next dial to come without a backoff.
	stableLink = 5 * cs.Second
)
