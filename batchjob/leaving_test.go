package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against items that are started on a runner which has said in a response that it is leaving.
func TestNoItemIsStartedOnRunnerThatAnnouncedItsLeave(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	v := newVM("a", 0, 1, 2, 3)
	incarnation := v.Runners.Get("r1").Spec.Incarnation
	v.inbox = append(v.inbox, gateway.RunnerAnnouncedLeaving{Runner: "r1", Incarnation: incarnation})
	submit(v, l, newJob("j", 30), 1, startTime)
	now := startTime
	for range 50 {
		now = now.Add(100)
		v.inbox = append(v.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}})
		v.tick(now)
		v.completeAppends(l)
	}
	c.Assert(len(v.started) > 0, qt.IsTrue)
	for _, r := range v.started {
		c.Assert(r.Runner, qt.Not(qt.Equals), cs.RunnerID("r1"))
	}
}
