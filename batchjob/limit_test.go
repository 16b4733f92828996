package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against items that do not count against the limit that a runner names for all requests, and against leaving what
// the limit allows unused although items wait.
func TestItemsCountAgainstLimitOfRunner(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	v := newVM("a", 0, 1, 2, 3)
	v.Runners.Delete("r2")
	v.inbox = append(v.inbox, gateway.RunnerLimitRead{Runner: "r1", Named: true, Limit: 0.5})
	submit(v, l, newJob("j", 60), 1, startTime)
	now := startTime
	for range 200 { // 20 s
		now = now.Add(100)
		v.inbox = append(v.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}})
		v.tick(now)
		for _, r := range v.started[max(len(v.started)-1, 0):] {
			v.inbox = append(v.inbox, gateway.ItemRunEnded{
				Key: r.Key, Attempt: r.Attempt, Outcome: gateway.ItemCompleted{}, Text: []byte("a"), LastEvent: 1,
			})
		}
		v.completeAppends(l)
	}
	c.Assert(len(v.started) >= 8 && len(v.started) <= 10, qt.IsTrue, qt.Commentf("%d items in 20 s at 0.5 a second", len(v.started)))
}

// Guards against items that take what the limit of a runner allows just before an online request comes that needs it.
func TestOnlineRequestsComeBeforeItemsAtLimitedRunner(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	v := newVM("a", 0, 1, 2, 3)
	v.Runners.Delete("r2")
	v.inbox = append(v.inbox, gateway.RunnerLimitRead{Runner: "r1", Named: true, Limit: 2})
	submit(v, l, newJob("j", 5), 1, startTime)
	now := startTime
	for i := range 100 { // 10 s, with an online request every 0.6 s
		now = now.Add(100)
		v.inbox = append(v.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}})
		if i%6 == 5 {
			r := cs.Route{Kind: cs.RouteStreaming, Target: 300, Timeout: 5 * cs.Second, Shares: []cs.ServiceShare{{Service: "s", Weight: 1}}}
			v.inbox = append(v.inbox, gateway.ForwardArrived{Forward: gateway.Forward{
				ID: gateway.ForwardID(i + 1), Route: r, Content: cs.ContentHash(i + 1), Arrived: now, Deadline: now.Add(5 * cs.Second),
			}})
		}
		v.tick(now)
		for _, f := range v.Forwards.All() {
			c.Assert(f.Phase, qt.Equals, gateway.ForwardRunning, qt.Commentf("request %d waits", f.ID))
			v.inbox = append(v.inbox, gateway.ForwardEnded{ID: f.ID, Attempt: f.Attempt, Outcome: gateway.OutcomeAnswered{Status: 200}})
		}
	}
	c.Assert(v.started, qt.HasLen, 0)
}
