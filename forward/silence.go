package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
)

// ErrSilent is the cause of a context that ended because nothing came for too long.
var ErrSilent = errors.New("no byte within the time limit")

// Silence ends a send when nothing comes for too long.
type Silence struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer // nil without a bound
}

// WatchSilence returns a context that ends when nothing is heard for a span; 0 sets no bound.
func WatchSilence(ctx context.Context, first cs.Span) (context.Context, *Silence) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Silence{cancel: cancel}
	if first > 0 {
		s.timer = time.AfterFunc(first.Std(), func() { cancel(ErrSilent) })
	}
	return ctx, s
}

// Heard sets the bound for the next pause; 0 keeps the watch from ending the send.
func (s *Silence) Heard(next cs.Span) {
	if s.timer == nil {
		return
	}
	if next == 0 {
		s.timer.Stop()
		return
	}
	s.timer.Reset(next.Std())
}

// Stop ends the watch and the context.
func (s *Silence) Stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.cancel(context.Canceled)
}

// IsSilent reports whether a context ended because nothing came for too long.
func IsSilent(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrSilent) }
