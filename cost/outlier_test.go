package cost_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/cost"
)

// Guards against one stream whose caller read slowly and that changes what is expected of a whole service.
func TestSlowReaderHardlyChangesServiceMean(t *testing.T) {
	e := cost.New()
	e.Activate("s")
	var r cost.Runner
	stream := cost.Response{Route: "r", Service: "s", Size: cs.RequestSize{Prompt: 100}, Stream: true, Units: 20, First: 35, Total: 700}
	for range 300 {
		e.Observe(&r, stream)
	}
	before := e.Service("s").UnitMs()
	stream.Total = 10 * 60 * cs.Second
	e.Observe(&r, stream)
	after := e.Service("s").UnitMs()
	qt.Check(t, after < 1.1*before, qt.IsTrue, qt.Commentf("%.0f ms before, %.0f ms after", before, after))
}
