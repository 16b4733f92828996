package forward_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against online requests that are not sent since items hold the memory of the runners, although items are stopped to make
// room for them.
func TestOnlineRequestIsSentWhereItemsHoldTheMemory(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	r := vm.addRunner("r1", "a")
	r.Spec.Slots = 8
	vm.learn("r1", 30)
	vm.Catalog = cs.NewCatalog(1, nil, map[cs.ServiceID]cs.RunnerGroup{"s": {ID: "s", Kind: cs.KindEngine, Memory: 147_261}}, cs.CallerLimits{})
	r.Batch, r.Cost.Item = 5, 29_000 // one item of this size was followed by small ones without a moment with no other
	e := vm.arrival(1, resumableRoute).(gateway.ForwardArrived)
	e.Forward.Size = cs.RequestSize{Prompt: 2000, Maximum: 400}
	dispatches, _ := vm.tick(e)
	for range 20 {
		vm.now = vm.now.Add(100)
		more, _ := vm.tick()
		dispatches = append(dispatches, more...)
	}
	c.Check(dispatches, qt.HasLen, 1)
}
