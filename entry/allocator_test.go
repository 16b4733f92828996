package entry_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
)

// Guards against requests that wait for the VM that decides for a runner when it is killed, frozen or cut off, when its messages
// are lost, and when it leaves: requests must still be sent in time, and each to one runner at a time.
func TestServiceGoesOnWithoutAllocators(t *testing.T) {
	const vms = 60
	failures := map[string]func(f *simFleet, v *simVM){
		"killed": func(_ *simFleet, v *simVM) { v.stopped = true },
		"frozen": func(f *simFleet, v *simVM) {
			v.stopped = true
			f.at(2*cs.Second, func() { v.stopped = false })
		},
		"cut off":       func(f *simFleet, v *simVM) { v.cutUntil = f.now.Add(3 * cs.Second) },
		"lost messages": func(f *simFleet, _ *simVM) { f.lost = 0.2 },
		"restarted": func(f *simFleet, v *simVM) {
			v.stopped = true
			f.at(cs.Second, func() {
				for i := range f.vms {
					if f.vms[i] == v {
						catalog := v.tables.Catalog
						f.restart(i)
						f.vms[i].tables.Catalog = catalog
					}
				}
			})
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newPeakFleet(vms, false)
			f.play(valleyLength, nil)
			for i := range vms / 6 { // the owners of partitions come first and go on
				fail(f, f.vms[vms-1-i])
			}
			r := f.play(peakPeriod, nil)
			c.Log(r)
			c.Check(float64(r.late+r.refused) <= 0.03*float64(r.answered+r.refused), qt.IsTrue, qt.Commentf("%d late, %d refused", r.late, r.refused))
			c.Check(r.p99 <= f.route.Target, qt.IsTrue, qt.Commentf("p99 of the wait %d ms", r.p99))
			c.Check(f.sentTwice, qt.Equals, 0, qt.Commentf("requests in flight at two runners"))
		})
	}
}

// Guards against grants that keep a slot after the VM that holds it has died: the allocator must use it again.
func TestSlotsOfDeadVMsAreUsedAgain(t *testing.T) {
	c := qt.New(t)
	f := newPeakFleet(30, false)
	f.play(valleyLength, nil)
	for _, v := range f.vms[itemOwners:] {
		v.stopped = true
	}
	f.play(3*cs.Second, nil)
	for _, v := range f.vms[:itemOwners] {
		for k, h := range v.tables.Slots.Holdings.All() {
			i := 0
			if _, err := fmt.Sscanf(string(k.VM), "vm%d", &i); err == nil && i >= itemOwners {
				c.Errorf("%s still holds %d and %d requests at %s", k.VM, h.Online, h.Batch, k.Runner)
			}
		}
	}
}
