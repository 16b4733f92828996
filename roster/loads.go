package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Loads applies the figures by which runners state how long work takes on their machines. From the first one of a service on, its
// requests are placed by what they cost.
func Loads(t *gateway.Tables, now cs.Instant, _ *gateway.Actions) {
	for _, e := range t.Events {
		read, ok := e.(gateway.RunnerLoadRead)
		if !ok {
			continue
		}
		if r := t.Runners.Get(read.Runner); r != nil {
			t.Costs.Activate(r.Spec.Service)
			r.Cost.ReadFigure(read.Figure, now)
		}
	}
}
