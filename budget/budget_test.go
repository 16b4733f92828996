package budget_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/budget"
)

// Guards against bytes that are taken beyond a share, or not given back, when many goroutines wait for them.
func TestWaitersShareWhatIsGivenBack(t *testing.T) {
	c := qt.New(t)
	limits := budget.DefaultLimits(64<<20, 1000)
	b := budget.New(budget.Config{Clock: cs.NewClock(), Limits: limits})
	const size = 1 << 20
	var held, most, served atomic.Int64
	var callers sync.WaitGroup
	for range 64 {
		callers.Go(func() {
			taken, ok := b.Take(context.Background(), budget.Bodies, size, size, 30*cs.Second)
			if !ok {
				return
			}
			n := held.Add(int64(taken))
			for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}
			served.Add(1)
			held.Add(-int64(taken))
			b.Give(context.Background(), budget.Bodies, taken)
		})
	}
	callers.Wait()
	c.Check(served.Load(), qt.Equals, int64(64))
	c.Check(most.Load() <= int64(limits.Shares[budget.Bodies]), qt.IsTrue, qt.Commentf("%d bytes", most.Load()))
	c.Check(b.Use(), qt.Equals, budget.Use{})
}

// Guards against limits that an ordinary client meets: the smallest VM of the sites holds four of the largest bodies and
// a thousand connections.
func TestDefaultLimitsOfSmallestVM(t *testing.T) {
	l := budget.DefaultLimits(136<<20, 2870)
	qt.Check(t, l.Shares[budget.Bodies]*7/8 >= 4*(4<<20), qt.IsTrue, qt.Commentf("%d", l.Shares[budget.Bodies]))
	qt.Check(t, l.Connections[budget.Callers] >= 1000, qt.IsTrue, qt.Commentf("%d", l.Connections[budget.Callers]))
}
