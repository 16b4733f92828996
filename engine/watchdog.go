package engine

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	cs "github.com/crocusstile/crocusstile"
)

// drainLimit bounds the wait for the end of a body whose last byte that matters has come.
const drainLimit = 50 * cs.Millisecond

// paused is the due time while a sink is at work.
const paused = cs.Instant(math.MaxInt64)

// watchdog cancels a run whose runner makes no progress. An event only moves the due time; the
// timer is set again when it fires, since setting it for each event costs more than the event.
type watchdog struct {
	clock  *cs.Clock
	ctx    context.Context // the timer must not outlive the run
	cancel context.CancelCauseFunc
	period atomic.Int64
	due    atomic.Int64
	timer  *time.Timer
}

// watch cancels a run with errSilent unless progress is noted within limit.
func watch(ctx context.Context, cancel context.CancelCauseFunc, clock *cs.Clock, limit cs.Span) *watchdog {
	w := &watchdog{clock: clock, ctx: ctx, cancel: cancel}
	w.timer = time.AfterFunc(math.MaxInt64, w.fire)
	w.limit(limit)
	return w
}

// fire cancels the run if it is due and waits on if not.
func (w *watchdog) fire() {
	if w.ctx.Err() != nil {
		return
	}
	left := cs.Instant(w.due.Load()).Sub(w.clock.Now())
	if left <= 0 {
		w.cancel(errSilent)
		return
	}
	w.timer.Reset(min(left, cs.Span(w.period.Load())).Std())
}

// limit bounds the time from now on; it may shorten it.
func (w *watchdog) limit(s cs.Span) {
	w.period.Store(int64(s))
	w.progress()
	w.timer.Reset(s.Std())
}

// pause lets time pass without counting it until progress is noted.
func (w *watchdog) pause() { w.due.Store(int64(paused)) }

// progress starts the time limit anew.
func (w *watchdog) progress() { w.due.Store(int64(w.clock.Now().Add(cs.Span(w.period.Load())))) }

func (w *watchdog) stop() { w.timer.Stop() }
