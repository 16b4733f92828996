package batchjob

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// ExplainChoices answers where items would go now. Nothing is sent.
func ExplainChoices(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		asked, ok := e.(gateway.PlacementRequested)
		if !ok || asked.Forward.Route.Kind != cs.RouteBatch || t.Catalog == nil {
			continue
		}
		route := &asked.Forward.Route
		answer := gateway.AnswerPlacement{Query: asked.Query}
		item := gateway.Item{Tokens: asked.Forward.Size.Tokens()}
		weigh := weighing{t: t, item: &item}
		for id, r := range t.Runners.All() {
			if !routeUsesService(route, r.Spec.Service) {
				continue
			}
			answer.Service = r.Spec.Service
			answer.ByCost = answer.ByCost || t.Costs.Service(r.Spec.Service) != nil
			candidate := gateway.PlacementCandidate{
				Runner: id, DataCentre: r.Spec.DataCentre, Load: r.Load(), Slots: r.Spec.Slots, Pace: r.Cost.Pace(), Excess: r.Cost.Excess(now),
			}
			free := batchSlots(t, r, now)
			weight := weigh.weight(r, free, now)
			switch {
			case free == 0:
				candidate.Excluded = "no free slot for items"
			case weight == 0:
				candidate.Excluded = "its memory would be exceeded"
			}
			candidate.Cost = -float64(weight)
			answer.Candidates = append(answer.Candidates, candidate)
		}
		slices.SortFunc(answer.Candidates, gateway.PlacementCandidate.Compare)
		out.Add(answer)
	}
}
