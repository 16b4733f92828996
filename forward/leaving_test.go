package forward_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against a runner that has said in a response that it is leaving and gets another request, whichever way the request
// comes to be sent: as it arrives, from the queue, as a retry or as a resumed stream.
func TestRunnerThatAnnouncedItsLeaveGetsNoRequest(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("leaving", "a").Spec.Incarnation = 3
	full := vm.addRunner("full", "b")
	full.Online = full.Spec.Slots + 2
	dispatches, _ := vm.tick(vm.arrival(1, resumableRoute), vm.arrival(2, idempotentRoute))
	c.Assert(dispatches, qt.HasLen, 2)
	for _, d := range dispatches {
		c.Assert(d.Runner, qt.Equals, cs.RunnerID("leaving"))
		c.Assert(d.Incarnation, qt.Equals, cs.Incarnation(3))
	}
	dispatches, refusals := vm.tick(
		gateway.RunnerAnnouncedLeaving{Runner: "leaving", Incarnation: 3},
		vm.arrival(3, onceRoute),
		gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeInterrupted{LastEvent: 4}},
		gateway.ForwardEnded{ID: 2, Attempt: 1, Outcome: gateway.OutcomeNotRun{Reason: "status 503"}},
	)
	c.Assert(dispatches, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 0)
	for range 20 {
		vm.now = vm.now.Add(20)
		dispatches, _ = vm.tick()
		c.Assert(dispatches, qt.HasLen, 0)
	}
	full.Online = 0
	vm.now = vm.now.Add(20)
	dispatches, _ = vm.tick()
	c.Assert(dispatches, qt.HasLen, 3)
	for _, d := range dispatches {
		c.Assert(d.Runner, qt.Equals, cs.RunnerID("full"))
	}
}

// Guards against holding requests of a service whose runners are all leaving until their deadlines pass.
func TestRequestIsRefusedAtOnceWhenAllRunnersLeave(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("r", "a").Spec.Incarnation = 3
	vm.tick(gateway.RunnerAnnouncedLeaving{Runner: "r", Incarnation: 3})
	_, refusals := vm.tick(vm.arrival(1, idempotentRoute))
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
	c.Assert(refusals[0].RetryAfter > 0, qt.IsTrue)
}
