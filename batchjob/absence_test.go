package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against 429 from a VM that lags behind the log: the tokens that it counts may have been freed since, and
// a job that it does not know may have been accepted by another VM and must then be confirmed.
func TestQuotaRefusalNeedsCurrentLog(t *testing.T) {
	for name, acceptedElsewhere := range map[string]bool{"new job": false, "job accepted by another VM": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := &jobLog{}
			a, b := newVM("a"), newVM("b")
			submit(a, l, newJob("j", 60), 1, startTime)
			b.readLog(l, startTime)
			b.tick(startTime)
			now := startTime.Add(7 * cs.Second)
			a.readLog(l, now)
			a.inbox = append(a.inbox, gateway.JobEndRequested{Query: 2, Job: "j"})
			a.tick(now)
			a.completeAppends(l)
			a.tick(now)
			c.Assert(accepted(a, 2), qt.IsTrue)
			if acceptedElsewhere {
				submit(a, l, newJob("k", 60), 3, now)
				c.Assert(accepted(a, 3), qt.IsTrue)
			}
			now = now.Add(2 * cs.Second)
			b.inbox = append(b.inbox, gateway.JobSubmitted{Query: 1, Spec: newJob("k", 60)})
			b.tick(now)
			c.Assert(b.answers, qt.HasLen, 0)
			b.readLog(l, now)
			for range 3 {
				now = now.Add(100)
				b.tick(now)
				b.completeAppends(l)
			}
			c.Assert(accepted(b, 1), qt.IsTrue)
		})
	}
}
