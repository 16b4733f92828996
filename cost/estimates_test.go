package cost_test

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/cost"
)

// response returns a response with a number of events, at a runner that takes so long for each.
func response(events, unitMs float64, hint cs.Tokens) cost.Response {
	return cost.Response{
		Route: "r", Service: "s", Size: cs.RequestSize{Prompt: 500, Maximum: 420, Hint: hint}, Read: 500, Units: events, Stream: true, Prompt: true,
		First: cs.Span(50 + unitMs), Total: cs.Span(50 + events*unitMs), Expected: cs.Span(50 + events*30),
	}
}

// Guards against a service that is served differently although none of its runners states the fourth figure.
func TestServiceWithoutFigureHasNoEstimates(t *testing.T) {
	c := qt.New(t)
	e := cost.New()
	var r cost.Runner
	e.Observe(&r, response(20, 60, 300))
	e.ObserveRun(&r, "s", 500, 100, 6000)
	c.Check(e.Service("s"), qt.IsNil)
	c.Check(r, qt.Equals, cost.Runner{})
}

// Guards against a runner that is taken for slow or fast by a single response, and against one that stays at the mean although all of
// its responses are alike.
func TestPaceIsWeightedByErrors(t *testing.T) {
	c := qt.New(t)
	e := cost.New()
	e.Activate("s")
	var mean, slow, erratic cost.Runner
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		e.Observe(&mean, response(20, 30, 300))
	}
	e.Observe(&slow, response(20, 60, 300))
	c.Check(slow.Pace() < 1.4, qt.IsTrue, qt.Commentf("pace %g after one response", slow.Pace()))
	for range 20 {
		e.Observe(&slow, response(20, 60, 300))
		e.Observe(&mean, response(20, 30, 300))
		e.Observe(&erratic, response(20, 10+80*random.Float64(), 300))
	}
	c.Check(slow.Pace() > 1.5, qt.IsTrue, qt.Commentf("pace %g after 21 responses", slow.Pace()))
	c.Check(math.Abs(erratic.Pace()-1) < math.Abs(slow.Pace()-1), qt.IsTrue)
}

// Guards against a figure that outlives the episode of which it tells, and against one that responses do not confirm.
func TestFigureReturnsToMean(t *testing.T) {
	c := qt.New(t)
	e := cost.New()
	e.Activate("s")
	var r cost.Runner
	now := cs.Instant(1_000_000)
	s := e.Service("s")
	r.ReadFigure(250, now)
	c.Check(s.Slowness(&r, now), qt.Equals, 2.5)
	c.Check(math.Abs(s.Slowness(&r, now.Add(300))-1.75) < 1e-9, qt.IsTrue)
	c.Check(s.Slowness(&r, now.Add(3*cs.Second)) < 1.01, qt.IsTrue)
	for range 100 {
		lying := response(20, 30, 300)
		lying.Excess = 1.5
		e.Observe(&r, lying)
	}
	c.Check(e.Service("s").Slowness(&r, now) < 1.1, qt.IsTrue)
	r.ReadFigure(1e12, now)
	c.Check(s.Slowness(&r, now) <= 10, qt.IsTrue)
}

// Guards against hints that are taken as they are: they are off by a factor that differs between routes.
func TestHintsAreCorrected(t *testing.T) {
	c := qt.New(t)
	e := cost.New()
	e.Activate("s")
	var r cost.Runner
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		events := 5 + float64(random.IntN(24))
		e.Observe(&r, response(events, 30, cs.Tokens(events*30))) // twice the tokens
	}
	for _, events := range []float64{6, 28} {
		units := e.Units("r", cs.RequestSize{Hint: cs.Tokens(events * 30)})
		c.Check(math.Abs(units-events) < 0.2*events, qt.IsTrue, qt.Commentf("%g units expected of %g", units, events))
	}
	without := e.Units("r", cs.RequestSize{})
	c.Check(without > 14 && without < 19, qt.IsTrue, qt.Commentf("%g units without a hint", without))
}

// Guards against the time of plain calls that is mixed with that of the events of streams, and against calls of a slow route by which a
// runner is taken for slow.
func TestCallsAreTimedByRoute(t *testing.T) {
	c := qt.New(t)
	e := cost.New()
	e.Activate("s")
	var r cost.Runner
	for range 100 {
		e.Observe(&r, response(20, 30, 300))
		e.Observe(&r, cost.Response{Route: "quick", Service: "s", Units: 1, First: 30, Total: 30})
		e.Observe(&r, cost.Response{Route: "slow", Service: "s", Units: 1, First: 300, Total: 300})
	}
	c.Check(math.Abs(e.CallMs(&r, "quick")-30) < 1, qt.IsTrue)
	c.Check(math.Abs(e.CallMs(&r, "slow")-300) < 1, qt.IsTrue)
	c.Check(math.Abs(e.Service("s").UnitMs()-30) < 1, qt.IsTrue)
	c.Check(math.Abs(r.Pace()-1) < 0.01, qt.IsTrue)
}

// Guards against prompt parts that count as held although an earlier part of the prompt is not.
func TestTokensToRead(t *testing.T) {
	c := qt.New(t)
	var r cost.Runner
	size := cs.RequestSize{Prompt: 600, Parts: []cs.Tokens{300, 200}}
	parts := []cs.PromptPart{1, 2}
	c.Check(r.TokensToRead(parts, size), qt.Equals, cs.Tokens(600))
	r.Send([]cs.PromptPart{2})
	c.Check(r.TokensToRead(parts, size), qt.Equals, cs.Tokens(600))
	r.Send(parts)
	c.Check(r.TokensToRead(parts, size), qt.Equals, cs.Tokens(100))
	for p := range cs.PromptPart(30) {
		r.Send([]cs.PromptPart{p + 10})
	}
	c.Check(r.TokensToRead(parts, size), qt.Equals, cs.Tokens(600))
}
