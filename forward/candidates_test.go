package forward_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against an order of the runners that is determined again with each renewal of a registration, and against one that lacks a
// runner which has replaced another.
func TestRenewalsDoNotChangeOrderOfRunners(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	r := vm.addRunner("r1", "a")
	spec, out := r.Spec, gateway.Actions{}
	vm.ApplyRegistration(spec, 5, vm.now, &out)
	before := vm.RunnerChanges
	vm.ApplyRegistration(spec, 6, vm.now, &out)
	c.Check(vm.RunnerChanges, qt.Equals, before)
	spec.Incarnation++
	vm.ApplyRegistration(spec, 7, vm.now, &out)
	c.Check(vm.RunnerChanges > before, qt.IsTrue)
	c.Check(vm.CandidatesOf("s", 0.5), qt.DeepEquals, []cs.RunnerID{"r1"})
}
