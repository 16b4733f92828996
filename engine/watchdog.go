package engine

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	cs "github.com/crocusstile/crocusstile"
)

// drainTimeout limits the wait for the end of a body after its end marker.
const drainTimeout = 50 * cs.Millisecond

// pausedDeadline is the deadline while a sink is running.
const pausedDeadline = cs.Instant(math.MaxInt64)

// watchdog cancels a run whose runner exceeds the idle timeout. An event only moves the deadline; the
// timer is reset when it fires, because resetting it for each event costs more than processing the event.
type watchdog struct {
	clock    *cs.Clock
	ctx      context.Context // ends with the run, so that the timer has no effect afterwards
	cancel   context.CancelCauseFunc
	timeout  atomic.Int64
	deadline atomic.Int64
	timer    *time.Timer
}

// newWatchdog starts a watchdog that cancels a run with errIdleTimeout unless progress is called within
// limit.
func newWatchdog(ctx context.Context, cancel context.CancelCauseFunc, clock *cs.Clock, limit cs.Span) *watchdog {
	w := &watchdog{clock: clock, ctx: ctx, cancel: cancel}
	w.timer = time.AfterFunc(math.MaxInt64, w.fire)
	w.limit(limit)
	return w
}

// fire cancels the run if its deadline has passed and otherwise resets the timer.
func (w *watchdog) fire() {
	if w.ctx.Err() != nil {
		return
	}
	remaining := cs.Instant(w.deadline.Load()).Sub(w.clock.Now())
	if remaining <= 0 {
		w.cancel(errIdleTimeout)
		return
	}
	w.timer.Reset(min(remaining, cs.Span(w.timeout.Load())).Std())
}

// limit sets a new timeout, which starts now and may be shorter than the previous one.
func (w *watchdog) limit(s cs.Span) {
	w.timeout.Store(int64(s))
	w.progress()
	w.timer.Reset(s.Std())
}

// pause suspends the timeout until progress is called.
func (w *watchdog) pause() { w.deadline.Store(int64(pausedDeadline)) }

// progress restarts the timeout.
func (w *watchdog) progress() { w.deadline.Store(int64(w.clock.Now().Add(cs.Span(w.timeout.Load())))) }

func (w *watchdog) stop() { w.timer.Stop() }
