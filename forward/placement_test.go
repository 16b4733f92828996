package forward_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/cost"
	"github.com/crocusstile/crocusstile/forward"
	"github.com/crocusstile/crocusstile/gateway"
)

// learn lets a runner answer requests of 20 events that take so long each, and activates its service.
func (vm *testVM) learn(id cs.RunnerID, unitMs cs.Span) {
	vm.Costs.Activate("s")
	for range 40 {
		vm.Costs.Observe(&vm.Runners.Get(id).Cost, cost.Response{
			Service: "s", Size: cs.RequestSize{Prompt: 500, Maximum: 400}, Read: 500, Units: 20, Stream: true, First: 50 + unitMs, Total: 50 + 20*unitMs, Prompt: true,
		})
	}
}

// dispatchCounts sends requests one after the other to idle runners, and returns how many went to each.
func (vm *testVM) dispatchCounts(n int, size cs.RequestSize, parts ...cs.PromptPart) map[cs.RunnerID]int {
	counts := make(map[cs.RunnerID]int)
	for i := range n {
		id := gateway.ForwardID(1000 + i)
		vm.now = vm.now.Add(cs.Second)
		e := vm.arrival(id, resumableRoute).(gateway.ForwardArrived)
		e.Forward.Size, e.Forward.Parts = size, parts
		dispatches, _ := vm.tick(e)
		for _, d := range dispatches {
			counts[d.Runner]++
			vm.tick(gateway.CallerDisconnected{ID: id})
		}
	}
	return counts
}

// Guards against a slow runner that gets as many requests as a fast one.
func TestFastRunnersArePreferred(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("fast", "a")
	vm.addRunner("slow", "a")
	for range 3 {
		vm.learn("fast", 20)
		vm.learn("slow", 40)
	}
	counts := vm.dispatchCounts(50, cs.RequestSize{Prompt: 500, Maximum: 400})
	c.Check(counts["fast"] >= 45, qt.IsTrue, qt.Commentf("%v", counts))
}

// Guards against a service that is served differently although its runners state no fourth figure.
func TestChoiceWithoutFigureIsByNumber(t *testing.T) {
	c := qt.New(t)
	var counts [2]map[cs.RunnerID]int
	for i := range counts {
		vm := newTestVM()
		vm.addRunner("r1", "a")
		vm.addRunner("r2", "a")
		if i == 1 {
			vm.Runners.Insert("other", gateway.Runner{Spec: cs.Runner{ID: "other", Service: "other", DataCentre: "a", Slots: 8}})
			vm.tick(gateway.RunnerLoadRead{Runner: "other", Figure: 250})
		}
		counts[i] = vm.dispatchCounts(50, cs.RequestSize{Prompt: 500, Maximum: 400})
	}
	c.Check(counts[0], qt.DeepEquals, counts[1])
}

// Guards against a machine that is slow now and gets requests as if it were not, and against one that is avoided for long.
func TestSlowMachineIsAvoidedForAMoment(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("r1", "a")
	vm.addRunner("r2", "a")
	vm.learn("r1", 30)
	vm.learn("r2", 30)
	for i := range 20 {
		vm.now = vm.now.Add(cs.Second)
		dispatches, _ := vm.tick(gateway.RunnerLoadRead{Runner: "r1", Figure: 250}, vm.arrival(gateway.ForwardID(i+1), resumableRoute))
		c.Assert(dispatches, qt.HasLen, 1)
		c.Assert(dispatches[0].Runner, qt.Equals, cs.RunnerID("r2"))
		vm.tick(gateway.CallerDisconnected{ID: dispatches[0].ID})
	}
	vm.now = vm.now.Add(3 * cs.Second)
	counts := vm.dispatchCounts(40, cs.RequestSize{})
	c.Check(counts["r1"] >= 10, qt.IsTrue, qt.Commentf("%v", counts))
}

// Guards against a prompt that is read again at another runner although a runner holds most of it.
func TestHeldPartsArePreferred(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("r1", "a")
	vm.addRunner("r2", "a")
	vm.learn("r1", 30)
	vm.learn("r2", 30)
	vm.Runners.Get("r1").Cost.Send([]cs.PromptPart{7})
	size := cs.RequestSize{Prompt: 2000, Parts: []cs.Tokens{1900}}
	c.Check(vm.dispatchCounts(40, size, 7)["r1"], qt.Equals, 40)
}

// Guards against a runner whose memory is exceeded by requests of which this VM knows, and against a request that is never sent since it
// is larger than a memory.
func TestMemoryOfRunnerIsNotExceeded(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("r1", "a")
	vm.learn("r1", 30)
	vm.Catalog = cs.NewCatalog(1, nil, map[cs.ServiceID]cs.RunnerGroup{"s": {ID: "s", Kind: cs.KindEngine, Memory: 1000}}, cs.CallerLimits{})
	sent := 0
	for id := range gateway.ForwardID(4) {
		e := vm.arrival(id+1, resumableRoute).(gateway.ForwardArrived)
		e.Forward.Size = cs.RequestSize{Prompt: 300, Maximum: 150}
		dispatches, _ := vm.tick(e)
		sent += len(dispatches)
	}
	c.Check(sent, qt.Equals, 2)
	vm.tick(gateway.CallerDisconnected{ID: 1}, gateway.CallerDisconnected{ID: 2}, gateway.CallerDisconnected{ID: 3}, gateway.CallerDisconnected{ID: 4})
	e := vm.arrival(9, resumableRoute).(gateway.ForwardArrived)
	e.Forward.Size = cs.RequestSize{Prompt: 3000, Maximum: 150}
	dispatches, _ := vm.tick(e)
	c.Check(dispatches, qt.HasLen, 1)
}

// BenchmarkChoice measures the choice of a runner by the number of requests and by their work.
func BenchmarkChoice(b *testing.B) {
	for _, runners := range []int{89, 3700} {
		for _, work := range []bool{false, true} {
			b.Run(fmt.Sprintf("runners=%d/work=%t", runners, work), func(b *testing.B) {
				vm := newLargeVM(runners, work)
				vm.tick(vm.arrival(1, resumableRoute))
				f := vm.Forwards.Get(1)
				f.Parts, f.Size = []cs.PromptPart{1, 2}, cs.RequestSize{Prompt: 500, Maximum: 400, Hint: 300, Parts: []cs.Tokens{200, 100}}
				b.ReportAllocs()
				for b.Loop() {
					forward.PickRunner(vm.Tables, f, vm.now)
				}
			})
		}
	}
}

// newLargeVM returns a VM among 300 VMs in nine data centres with allocators.
func newLargeVM(runners int, work bool) *testVM {
	vm := newTestVM()
	for i := range 299 {
		id := cs.VMID(fmt.Sprintf("vm%03d", i))
		vm.Peers.Insert(id, gateway.Peer{VM: cs.VM{ID: id, DataCentre: cs.DataCentreID(rune('a' + i%9)), Address: cs.Address(id)}, LastReportAt: vm.now})
	}
	for i := range runners {
		r := vm.addRunner(cs.RunnerID(fmt.Sprintf("r%04d", i)), cs.DataCentreID(rune('a'+i%9)))
		r.PeerOnline = cs.Slots(i % 8)
	}
	vm.LiveChanges++
	vm.tick()
	if work {
		for id, r := range vm.Runners.All() {
			vm.learn(id, 30)
			r.Cost.ReadFigure(120, vm.now)
			r.Cost.Send([]cs.PromptPart{1, 2, 3})
		}
	}
	return vm
}
