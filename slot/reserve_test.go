package slot_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against items in the last free slot of a runner whose requests are placed by cost, which the next online request stops, and
// against a runner that gets fewer items although its requests are placed by their number.
func TestItemsLeaveSlotWhereRequestsArePlacedByCost(t *testing.T) {
	for name, test := range map[string]struct {
		slots, granted cs.Slots
		byCost         bool
	}{
		"by number":         {slots: 4, granted: 4},
		"by cost":           {slots: 4, granted: 3, byCost: true},
		"by cost, one slot": {slots: 1, granted: 1, byCost: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := cs.Instant(1_000_000)
			vm := gateway.New(gateway.Config{}, cs.VM{ID: "a", DataCentre: "x", Incarnation: 1}, now, 1)
			r := vm.Runners.Insert("r", gateway.Runner{Spec: cs.Runner{ID: "r", DataCentre: "x", Service: "s", Slots: test.slots}})
			r.Allocation = gateway.Allocation{VM: "a", Since: now.Add(-cs.Minute)}
			if test.byCost {
				vm.Costs.Activate("s")
			}
			var out gateway.Actions
			granted := cs.Slots(0)
			for range 6 {
				if _, ok := vm.RequestSlot(r, gateway.SlotBatch, now, &out); ok {
					r.Batch++
					granted++
				}
			}
			c.Check(granted, qt.Equals, test.granted)
			_, ok := vm.RequestSlot(r, gateway.SlotFree, now, &out)
			c.Check(ok, qt.Equals, test.byCost && test.slots > 1)
		})
	}
}
