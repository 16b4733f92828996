package forward

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// meanDraw stands for the random number of a choice where it is explained.
const meanDraw = 0.5

// ExplainChoices answers where requests would go now. Nothing is sent.
func ExplainChoices(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		asked, ok := e.(gateway.PlacementRequested)
		if !ok || asked.Forward.Route.Kind == cs.RouteBatch {
			continue
		}
		f := asked.Forward
		f.Service = pickService(t, &f)
		out.Add(gateway.AnswerPlacement{Query: asked.Query, Service: f.Service, ByCost: t.Costs.Service(f.Service) != nil, Candidates: explainChoice(t, &f, now)})
	}
}

// explainChoice returns all runners of the service of a request, in the order of their cost.
func explainChoice(t *gateway.Tables, f *gateway.Forward, now cs.Instant) []gateway.PlacementCandidate {
	c := newChoice(t, f, now, false)
	var candidates []gateway.PlacementCandidate
	for id, r := range t.Runners.All() {
		if r.Spec.Service != f.Service {
			continue
		}
		reach, excluded := c.exclusion(id, r)
		candidate := gateway.PlacementCandidate{
			Runner: id, DataCentre: r.Spec.DataCentre, Load: r.Load(), Slots: r.Spec.Slots, Excluded: excluded,
			Pace: r.Cost.Pace(), Excess: r.Cost.Excess(now), Read: r.Cost.TokensToRead(f.Parts, f.Size),
		}
		if excluded == "" {
			candidate.Cost = c.cost(r, reach, meanDraw)
		}
		candidates = append(candidates, candidate)
	}
	slices.SortFunc(candidates, gateway.PlacementCandidate.Compare)
	return candidates
}
