package forward_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// explain asks a VM where a request would go, and fails if anything is sent for it.
func (vm *testVM) explain(c *qt.C, route cs.Route) gateway.AnswerPlacement {
	route.Shares = []cs.ServiceShare{{Service: "s", Weight: 1}}
	f := gateway.Forward{Route: route, Arrived: vm.now, Deadline: vm.now.Add(5 * cs.Second), Size: cs.RequestSize{Prompt: 500, Maximum: 400}}
	dispatches, refusals := vm.tick(gateway.PlacementRequested{Query: 7, Forward: f})
	c.Assert(len(dispatches)+len(refusals)+vm.Forwards.Len(), qt.Equals, 0)
	var answers []gateway.AnswerPlacement
	for _, a := range vm.out.List {
		switch a := a.(type) {
		case gateway.AnswerPlacement:
			answers = append(answers, a)
		case gateway.RunItem, gateway.SendSlots:
			c.Fatalf("%T", a)
		default:
		}
	}
	c.Assert(answers, qt.HasLen, 1)
	c.Assert(answers[0].Query, qt.Equals, gateway.QueryID(7))
	return answers[0]
}

// Guards against an explanation that names another runner than the choice takes, and against one that sends something.
func TestExplanationMatchesChoice(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.Catalog = cs.NewCatalog(1, nil, map[cs.ServiceID]cs.RunnerGroup{"s": {ID: "s", Kind: cs.KindEngine}}, cs.CallerLimits{})
	for _, id := range []cs.RunnerID{"slow", "fast", "full", "leaving"} {
		vm.addRunner(id, "a")
	}
	vm.learn("fast", 20)
	vm.learn("slow", 60)
	vm.Runners.Get("full").Online = 10
	vm.Runners.Get("leaving").Spec.Leaving = true

	answer := vm.explain(c, resumableRoute)
	c.Check(answer.ByCost, qt.IsTrue)
	c.Assert(answer.Candidates, qt.HasLen, 4)
	c.Check(answer.Candidates[0].Runner, qt.Equals, cs.RunnerID("fast"))
	c.Check(answer.Candidates[1].Runner, qt.Equals, cs.RunnerID("slow"))
	c.Check(answer.Candidates[1].Pace > 1.2, qt.IsTrue)
	excluded := map[cs.RunnerID]string{answer.Candidates[2].Runner: answer.Candidates[2].Excluded, answer.Candidates[3].Runner: answer.Candidates[3].Excluded}
	c.Check(excluded, qt.DeepEquals, map[cs.RunnerID]string{"full": "it is full", "leaving": "it is leaving, ejected or on probation"})
	dispatches, _ := vm.tick(vm.arrival(1, resumableRoute))
	c.Assert(dispatches, qt.HasLen, 1)
	c.Check(dispatches[0].Runner, qt.Equals, cs.RunnerID("fast"))

	vm.tick(gateway.CallerDisconnected{ID: 1})
	item := vm.explain(c, cs.Route{Kind: cs.RouteBatch})
	c.Check(item.Candidates[0].Runner, qt.Equals, cs.RunnerID("fast"))
	c.Check(item.Candidates[3].Excluded, qt.Equals, "no free slot for items")
}
