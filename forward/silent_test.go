package forward_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// newVMBesideSilentDataCentre returns a VM of "a" whose only runners are in "b". No VM there has reported for 10 s, and an
// attempt at a runner has failed since.
func newVMBesideSilentDataCentre() *testVM {
	vm := newTestVM()
	for _, id := range []cs.RunnerID{"b1", "b2"} {
		vm.addRunner(id, "b")
	}
	vm.DataCentres.Insert("b", gateway.DataCentreState{LastReportAt: vm.now.Add(-10 * cs.Second), FailedAt: vm.now.Add(-9 * cs.Second)})
	return vm
}

// Guards against refusing all requests for good after all VMs of the runners' data centre have stopped and one attempt there
// has failed, since no VM can report any more that the runners are sound.
func TestRequestsReachRunnersWhereAllVMsHaveStopped(t *testing.T) {
	for _, route := range []cs.Route{onceRoute, idempotentRoute, resumableRoute} {
		t.Run(route.Kind.String(), func(t *testing.T) {
			c := qt.New(t)
			vm := newVMBesideSilentDataCentre()
			probes, refusals := vm.tick(vm.arrival(1, route), vm.arrival(2, route))
			c.Assert(probes, qt.HasLen, 1)
			c.Assert(refusals, qt.HasLen, 1)
			vm.now = vm.now.Add(50)
			vm.tick(gateway.ForwardStarted{ID: probes[0].ID, Attempt: 1})
			for id := range gateway.ForwardID(100) {
				vm.now = vm.now.Add(100)
				dispatches, _ := vm.tick(vm.arrival(10+id, route))
				c.Assert(dispatches, qt.HasLen, 1)
				vm.tick(gateway.ForwardStarted{ID: dispatches[0].ID, Attempt: 1}, gateway.ForwardEnded{ID: dispatches[0].ID, Attempt: 1, Outcome: gateway.OutcomeAnswered{Status: 200}})
			}
		})
	}
}

// Guards against a failure of one runner that makes all runners of a data centre without VMs unusable again.
func TestRunnersServeOnWhereAllVMsHaveStopped(t *testing.T) {
	c := qt.New(t)
	vm := newVMBesideSilentDataCentre()
	dispatches, _ := vm.tick(vm.arrival(1, idempotentRoute))
	c.Assert(dispatches, qt.HasLen, 1)
	vm.tick(gateway.ForwardStarted{ID: 1, Attempt: 1}, gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeAnswered{Status: 200}})
	vm.now = vm.now.Add(100)
	dispatches, _ = vm.tick(vm.arrival(2, onceRoute))
	c.Assert(dispatches, qt.HasLen, 1)
	vm.now = vm.now.Add(100)
	vm.tick(gateway.ForwardEnded{ID: 2, Attempt: 1, Outcome: gateway.OutcomeNotRun{Unreachable: true}})
	vm.now = vm.now.Add(100)
	dispatches, refusals := vm.tick(vm.arrival(3, onceRoute), vm.arrival(4, onceRoute))
	c.Assert(dispatches, qt.HasLen, 3) // with request 2, which has not run
	c.Assert(refusals, qt.HasLen, 0)
}

// Guards against risking a request that may run only once on a path that seems to be down, while a VM is listed behind it whose
// next report tells when it is up again.
func TestRequestThatRunsOnceIsNotSentIntoNetworkPartition(t *testing.T) {
	c := qt.New(t)
	vm := newVMBesideSilentDataCentre()
	vm.Peers.Insert("vm-b", gateway.Peer{VM: cs.VM{ID: "vm-b", DataCentre: "b"}})
	dispatches, refusals := vm.tick(vm.arrival(1, onceRoute))
	c.Assert(dispatches, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 1)
	dispatches, _ = vm.tick(vm.arrival(2, idempotentRoute))
	c.Assert(dispatches, qt.HasLen, 1)
}

// Guards against never noticing the crash of a runner in a data centre without VMs: the request that causes it was sent again
// and again.
func TestCrashIsNoticedWhereAllVMsHaveStopped(t *testing.T) {
	c := qt.New(t)
	vm := newVMBesideSilentDataCentre()
	vm.tick(vm.arrival(1, idempotentRoute))
	vm.tick(gateway.ForwardStarted{ID: 1, Attempt: 1}, gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeAnswered{Status: 200}})
	dispatches, _ := vm.tick(vm.arrival(2, onceRoute))
	c.Assert(dispatches, qt.HasLen, 1)
	vm.now = vm.now.Add(100)
	vm.tick(gateway.ForwardEnded{ID: 2, Attempt: 1, Outcome: gateway.OutcomeInterrupted{Disconnected: true}})
	var out gateway.Actions
	vm.RecordUnreachable(vm.Runners.Get(dispatches[0].Runner), true, vm.now, "connection refused", &out)
	vm.now = vm.now.Add(100)
	dispatches, _ = vm.tick(vm.arrival(3, onceRoute))
	c.Assert(dispatches, qt.HasLen, 1)
	vm.now = vm.now.Add(100)
	vm.tick(gateway.ForwardStarted{ID: 3, Attempt: 1})
	c.Assert(vm.Suspects.Len(), qt.Equals, 1)
}
