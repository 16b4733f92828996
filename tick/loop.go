// Package tick runs a control loop: one goroutine that owns a set of tables, takes events from an inbox,
// passes them in batches to a step function, and sleeps until an event arrives or the next tick is due.
package tick

import (
	"context"
	"sync/atomic"
	"time"

	cs "github.com/crocusstile/crocusstile"
)

// minTickInterval is the minimum time between the starts of two ticks, so that events are processed in
// batches.
const minTickInterval = 2 * cs.Millisecond

// maxSleep is the maximum sleep of an idle loop. It guarantees that systems which expire rows without
// requesting a wake time run at least this often.
const maxSleep = 500 * cs.Millisecond

// inboxCapacity is the number of events that can wait for a tick; Post blocks while the inbox is full. It
// does not limit the bytes: the senders bound the size of an event, which is at most the body of a
// request or one read from a log stream.
const inboxCapacity = 8192

// Step runs all systems once over the events. It returns the latest time for the next tick, or 0 if no
// system needs one. Requeued events are passed to the next tick, which then follows as soon as
// minTickInterval allows.
type Step[E any] func(now cs.Instant, events []E) (due cs.Instant, requeued []E)

// Loop calls a step function in ticks, always from the goroutine that called Run, and queues the events
// for it.
type Loop[E any] struct {
	clock *cs.Clock
	step  Step[E]
	inbox chan E
	ticks atomic.Int64
}

// New returns a loop that accepts events at once and starts to tick when Run is called.
func New[E any](clock *cs.Clock, step Step[E]) *Loop[E] {
	return &Loop[E]{clock: clock, step: step, inbox: make(chan E, inboxCapacity)}
}

// Post queues an event for the next tick. While the inbox is full it blocks, and it fails with the error
// of ctx if ctx ends first.
func (l *Loop[E]) Post(ctx context.Context, e E) error {
	select {
	case l.inbox <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ticks returns the number of completed ticks; it is safe for concurrent use.
func (l *Loop[E]) Ticks() int64 { return l.ticks.Load() }

// Run calls the step function for each tick until ctx ends, and returns the error of ctx.
func (l *Loop[E]) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var events, requeued []E
	for {
		tickStart, now := time.Now(), l.clock.Now()
		var due cs.Instant
		due, requeued = l.step(now, events)
		l.ticks.Add(1)
		sleep := maxSleep
		if due != 0 {
			sleep = min(due.Sub(now), maxSleep)
		}
		clear(events) // drops references, so that processed events can be garbage-collected
		events = append(events[:0], requeued...)
		if len(events) > 0 {
			sleep = 0
		}
		var ok bool
		if events, ok = l.wait(ctx, timer, tickStart, sleep, events); !ok {
			return ctx.Err()
		}
	}
}

// wait sleeps until the next tick is due or an event arrives, but at least until minTickInterval after
// tickStart. It returns the given events followed by those that have arrived, or false if ctx has ended.
func (l *Loop[E]) wait(ctx context.Context, timer *time.Timer, tickStart time.Time, sleep cs.Span, events []E) ([]E, bool) {
	timer.Reset(max(sleep, 0).Std())
	select {
	case <-ctx.Done():
		return nil, false
	case e := <-l.inbox:
		events = append(events, e)
	case <-timer.C:
	}
	if remaining := minTickInterval.Std() - time.Since(tickStart); remaining > 0 {
		timer.Reset(remaining)
		select {
		case <-ctx.Done():
			return nil, false
		case <-timer.C:
		}
	}
	for range inboxCapacity {
		select {
		case e := <-l.inbox:
			events = append(events, e)
			continue
		default:
		}
		break
	}
	return events, true
}
