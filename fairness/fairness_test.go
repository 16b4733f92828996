package fairness_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fairness"
)

// Guards against a queue in which a workspace that always has work waiting gets more than another such one, or a workspace that was idle
// catches up on what it has not used.
func TestBackloggedWorkspacesShareEqually(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	var q fairness.Queue
	accounts := make([]fairness.Account, 3)
	sent := make([]fairness.Work, 3)
	for i := range 9000 {
		active := accounts[:2]
		if i >= 3000 {
			active = accounts // the third one comes later
		}
		next := 0
		for k := range active {
			if q.Start(&active[k]) < q.Start(&active[next]) {
				next = k
			}
		}
		w := fairness.Work(1 + random.IntN(20))
		q.Send(&active[next], w, cs.Instant(i))
		if i >= 3000 {
			sent[next] += w
		}
	}
	for k := range sent {
		c.Check(float64(sent[k]) >= 0.99*float64(sent[0]) && float64(sent[k]) <= 1.01*float64(sent[0]), qt.IsTrue, qt.Commentf("%v", sent))
	}
}

// Guards against accounts that are kept for ever.
func TestAccountBecomesIdle(t *testing.T) {
	c := qt.New(t)
	var q fairness.Queue
	var a, b fairness.Account
	q.Send(&a, 5, 1000)
	c.Assert(q.IsIdle(&a, 1000), qt.IsFalse)
	late := cs.Instant(1000).Add(2 * cs.Minute)
	c.Assert(q.IsIdle(&a, late), qt.IsFalse, qt.Commentf("its finish tag is ahead of the clock"))
	q.Send(&b, 10, late)
	q.Send(&b, 10, late)
	c.Assert(q.IsIdle(&a, late), qt.IsTrue)
}
