package forward_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against using a runner whose registration is missing while others have room: it may have left.
func TestRunnerWithoutRegistrationIsPickedLast(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("missing", "a").MissingSince = vm.now
	vm.Feeds[gateway.FeedRunners].FailingSince = vm.now // so that the runner stays in use
	busy := vm.addRunner("busy", "b")
	busy.Online = 7
	dispatches, _ := vm.tick(vm.arrival(1, idempotentRoute))
	c.Assert(dispatches, qt.HasLen, 1)
	c.Assert(dispatches[0].Runner, qt.Equals, cs.RunnerID("busy"))
	busy = vm.Runners.Get("busy")
	busy.Online = busy.Spec.Slots + 2
	dispatches, _ = vm.tick(vm.arrival(2, idempotentRoute))
	c.Assert(dispatches, qt.HasLen, 1)
	c.Assert(dispatches[0].Runner, qt.Equals, cs.RunnerID("missing"))
}
