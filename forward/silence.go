package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
)

// ErrSilent is the cause of a context that was cancelled because no data arrived within the time
// limit.
var ErrSilent = errors.New("no data received within the time limit")

// Silence is an idle timer that cancels a request when no data arrives within the time limit.
type Silence struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer // nil if there is no limit
}

// WatchSilence returns a context that is cancelled if no data arrives within the limit, and the
// timer behind it. Zero sets no limit.
func WatchSilence(ctx context.Context, limit cs.Span) (context.Context, *Silence) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Silence{cancel: cancel}
	if limit > 0 {
		s.timer = time.AfterFunc(limit.Std(), func() { cancel(ErrSilent) })
	}
	return ctx, s
}

// Heard restarts the timer with the limit for the next pause. Zero stops the timer, so that it no
// longer cancels the request.
func (s *Silence) Heard(nextLimit cs.Span) {
	if s.timer == nil {
		return
	}
	if nextLimit == 0 {
		s.timer.Stop()
		return
	}
	s.timer.Reset(nextLimit.Std())
}

// Stop stops the timer and cancels the context.
func (s *Silence) Stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.cancel(context.Canceled)
}

// IsSilent reports whether a context was cancelled because no data arrived within the time limit.
func IsSilent(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrSilent) }
