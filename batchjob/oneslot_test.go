package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against items that are never run because the only slot of each runner is left free for online requests.
func TestItemsRunOnRunnersWithOneSlot(t *testing.T) {
	c := qt.New(t)
	f := newSilentFleet(c, 0)
	for _, r := range f.Runners.All() {
		r.Spec.DataCentre, r.Spec.Slots = "a", 1
	}
	submit(f.vm, f.log, newJob("k", 4), 2, f.now)
	f.play(4000)
	c.Assert(f.Jobs.Get("k").Complete(), qt.IsTrue)
}
