package roster_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/cost"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/roster"
)

// Guards against estimates that are far off without a line in the log, and against a line for each response.
func TestInaccurateEstimatesAreLoggedOnce(t *testing.T) {
	c := qt.New(t)
	now := cs.Instant(1_000_000)
	vm := gateway.New(gateway.Config{}, cs.VM{ID: "a", DataCentre: "x"}, now, 1)
	r := vm.Runners.Insert("r", gateway.Runner{Spec: cs.Runner{ID: "r", DataCentre: "x", Slots: 8, Service: "s"}})
	var kinds []gateway.NoteKind
	play := func(length, expected cs.Span) {
		for end := now.Add(length); now < end; now = now.Add(100) {
			vm.Costs.Observe(&r.Cost, cost.Response{Route: "q", Service: "s", Units: 20, Stream: true, First: 50, Total: 600, Expected: expected})
			var out gateway.Actions
			vm.Events = []gateway.Event{gateway.RunnerLoadRead{Runner: "r", Figure: 100}}
			roster.Loads(vm, now, &out)
			for _, a := range out.List {
				if n, ok := a.(gateway.Note); ok {
					kinds = append(kinds, n.Kind)
				}
			}
		}
	}
	play(5*cs.Second, 500)
	c.Assert(kinds, qt.HasLen, 0)
	play(60*cs.Second, 6000)
	c.Assert(kinds, qt.DeepEquals, []gateway.NoteKind{gateway.NoteEstimatesInaccurate})
	play(600*cs.Second, 600)
	c.Assert(kinds, qt.DeepEquals, []gateway.NoteKind{gateway.NoteEstimatesInaccurate, gateway.NoteEstimatesAccurate})
}
