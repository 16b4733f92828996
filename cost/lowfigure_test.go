package cost_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/cost"
)

// Guards against a runner that is always preferred since it states a figure far below that of its machine: its responses show that
// it is as slow as the others.
func TestFalseLowFigureLosesItsWeight(t *testing.T) {
	e := cost.New()
	e.Activate("s")
	var liar, honest cost.Runner
	now := cs.Instant(1_000_000)
	for range 400 {
		now = now.Add(100)
		liar.ReadFigure(1, now)
		honest.ReadFigure(100, now)
		for _, r := range []*cost.Runner{&liar, &honest} {
			total, slowdown := cs.Span(700), 1
			if r == &liar {
				slowdown = 2
			}
			e.Observe(r, cost.Response{
				Route: "r", Service: "s", Size: cs.RequestSize{Prompt: 100}, Stream: true, Units: 20, First: cs.Span(35 * slowdown),
				Total: total * cs.Span(slowdown), Expected: cs.Span(e.Service("s").StreamMs(r, 20, 0)), Excess: r.Excess(now),
			})
		}
	}
	s := e.Service("s")
	t.Logf("liar: pace %.2f slowness %.2f; honest: pace %.2f slowness %.2f", liar.Pace(), s.Slowness(&liar, now), honest.Pace(), s.Slowness(&honest, now))
	qt.Check(t, s.Slowness(&liar, now) > s.Slowness(&honest, now), qt.IsTrue)
}
