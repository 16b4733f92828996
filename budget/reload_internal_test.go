package budget

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
)

// Guards against limits of progress that a reload of the settings does not change.
func TestProgressFollowsNewLimits(t *testing.T) {
	clock := cs.NewClock()
	l := DefaultLimits(136<<20, 2870)
	b := New(Config{Clock: clock, Limits: l})
	h := &Holder{Pool: Callers}
	qt.Assert(t, b.Admit(h), qt.IsTrue)
	h.Enter(PhaseBody, clock.Now())
	l.ProgressBytes = 64
	b.SetLimits(l)
	b.Received(h, 100)
	qt.Check(t, h.moved.Load(), qt.Equals, int64(0)) // counted from a new instant
}
