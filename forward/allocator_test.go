package forward_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against a runner that seems to be full for good: the last VM of its data centre has stopped, which had told the other
// VMs of its load.
func TestLoadToldByLastAllocatorIsForgotten(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	r := vm.addRunner("b1", "b")
	vm.now = vm.now.Add(cs.Second)
	vm.tick(gateway.PeerReported{Address: "b:1", Report: gateway.Report{From: "vm-b", Incarnation: 2, DataCentre: "b", Seq: 1}})
	vm.now = vm.now.Add(cs.Second)
	vm.tick(gateway.PeerReported{Address: "b:1", Report: gateway.Report{
		From: "vm-b", Incarnation: 2, DataCentre: "b", Seq: 2, Allocated: []gateway.RunnerLoad{{Runner: "b1", Online: 10}},
	}})
	c.Assert(r.Load(), qt.Equals, cs.Slots(10))
	vm.now = vm.now.Add(3 * cs.Second)
	vm.tick()
	c.Assert(r.Load(), qt.Equals, cs.Slots(0))
	dispatches, _ := vm.tick(vm.arrival(1, onceRoute))
	c.Assert(dispatches, qt.HasLen, 1)
}
