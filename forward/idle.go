package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
)

// ErrIdleTimeout is the cause of a context that was cancelled because no data arrived within the
// time limit.
var ErrIdleTimeout = errors.New("no data received within the time limit")

// IdleTimer cancels a request when no data arrives within the time limit.
type IdleTimer struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer // nil if there is no limit
}

// WithIdleTimeout returns a context that is cancelled if no data arrives within the limit, and the
// timer behind it. Zero sets no limit.
func WithIdleTimeout(ctx context.Context, limit cs.Span) (context.Context, *IdleTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &IdleTimer{cancel: cancel}
	if limit > 0 {
		t.timer = time.AfterFunc(limit.Std(), func() { cancel(ErrIdleTimeout) })
	}
	return ctx, t
}

// Restart restarts the timer with the limit for the next pause. Zero stops the timer, so that it no
// longer cancels the request.
func (t *IdleTimer) Restart(nextLimit cs.Span) {
	if t.timer == nil {
		return
	}
	if nextLimit == 0 {
		t.timer.Stop()
		return
	}
	t.timer.Reset(nextLimit.Std())
}

// Stop stops the timer and cancels the context.
func (t *IdleTimer) Stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.cancel(context.Canceled)
}

// IsIdleTimeout reports whether a context was cancelled because no data arrived within the time
// limit.
func IsIdleTimeout(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrIdleTimeout) }
