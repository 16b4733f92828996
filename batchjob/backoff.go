package batchjob

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Waits of appends that fail. They grow with each failure and end with the first success, so that all VMs together ask a slow
// store for less and less.
const (
	// appendTimeout is how long the first append after a success waits for its response, and maxAppendTimeout what that
	// grows to: the store rejects an append when 2 s are waiting, and one that is given up earlier is sent twice.
	appendTimeout    = 1500 * cs.Millisecond
	maxAppendTimeout = 5 * cs.Second
	// rejectedRetryDelay is the longest pause after the store has rejected an append for the first time.
	rejectedRetryDelay = 250 * cs.Millisecond
	// unknownRetryDelay is the longest pause before the first fence of an append with an unknown outcome.
	unknownRetryDelay = 150 * cs.Millisecond
	// maxRetryDelay bounds the pause after a failed append, and maxFenceDelay that before a fence, which is small and is
	// followed by a read and the next append.
	maxRetryDelay = 2 * cs.Second
	maxFenceDelay = 1500 * cs.Millisecond
	// maxDoublings keeps a doubled span from overflowing.
	maxDoublings = 16
)

// timeoutAfter returns the timeout of an append after a number of failures in a row.
func timeoutAfter(failures int) cs.Span {
	return min(appendTimeout<<min(failures, maxDoublings), maxAppendTimeout)
}

// retryLimitAfter returns the longest pause after a number of failures in a row, of which the first one is followed by a
// pause of up to delay, and none by more than limit.
func retryLimitAfter(delay, limit cs.Span, failures int) cs.Span {
	return min(delay<<min(max(failures-1, 0), maxDoublings), limit)
}

// backOff records that an append or a fence failed and delays the next one by up to limit. VMs fail at the same moment, and must not return at the same
// moment.
func backOff(t *gateway.Tables, now cs.Instant, delay, limit cs.Span) {
	l := &t.JobLog
	if l.Failures++; l.Failures == 1 {
		l.FailingEnd = l.End
	}
	longest := retryLimitAfter(delay, limit, l.Failures)
	l.RetryAt = now.Add(longest/2 + randomDelay(t, longest/2))
}
