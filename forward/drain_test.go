package forward_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	drainGrace = 8 * cs.Second
	// drainWork is the longest time that a VM with drainGrace works after the request to drain.
	drainWork = drainGrace - 500*cs.Millisecond
	// drainLimit is the time after the request to drain by which the time limit of a request must end for it to be sent.
	drainLimit = drainGrace - 600*cs.Millisecond
)

// newDrainingVM returns a VM with a runner that has served requests on the route "r", each within the given time if it is
// not 0, and that has been draining for the other time.
func newDrainingVM(served, draining cs.Span) *testVM {
	vm := newTestVM()
	vm.Config.Grace = drainGrace
	vm.addRunner("a1", "a")
	if served > 0 {
		for range 30 {
			vm.serve("r", served)
		}
	}
	vm.tick(gateway.DrainRequested{})
	vm.now = vm.now.Add(draining)
	vm.tick()
	return vm
}

// serve serves a request on a route, which takes the given time at the runner.
func (vm *testVM) serve(route cs.RouteName, taken cs.Span) {
	r := onceRoute
	r.Name = route
	dispatches, _ := vm.tick(vm.arrival(100, r))
	vm.now = vm.now.Add(taken)
	for _, d := range dispatches {
		vm.tick(gateway.ForwardStarted{ID: d.ID, Attempt: d.Attempt}, gateway.ForwardEnded{ID: d.ID, Attempt: d.Attempt, Outcome: gateway.OutcomeAnswered{Status: 200}})
	}
}

// Guards against requests that are sent to a runner in a drain although they may not end before the process exits, so that
// they are cut, and against refusals of requests that must. How long others took is no bound.
func TestRequestThatMayOutlastDrainIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		// served is how long requests of the route take, or 0 if none has ended.
		served, draining, timeLimit cs.Span
		sent                        bool
	}{
		"others were short":                  {200, 3900, 12_000, false},
		"others were short, at once":         {200, 0, 12_000, false},
		"others were short, limit just long": {200, 3200, drainLimit - 3200 + 1, false},
		"limit just short":                   {200, 3200, drainLimit - 3200, true},
		"ends by its time limit":             {5000, 3900, 3000, true},
		"no duration known, ends by limit":   {0, 3900, 3000, true},
		"no duration known, limit too long":  {0, 3900, 4000, false},
		"long, early":                        {5000, 1000, 12_000, false},
		"long, early, ends by its limit":     {5000, 1000, 6000, true},
		"long, late":                         {5000, 3000, 12_000, false},
		"long, at the end of the admissions": {4000, 3900, 12_000, false},
		"longer than the grace period":       {9000, 0, 12_000, false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, kind := range []cs.Route{onceRoute, idempotentRoute, resumableRoute} {
				c := qt.New(t)
				vm := newDrainingVM(test.served, test.draining)
				kind.Name = "r"
				e := vm.arrival(1, kind).(gateway.ForwardArrived)
				e.Forward.Deadline = vm.now.Add(test.timeLimit)
				dispatches, refusals := vm.tick(e)
				c.Assert(len(dispatches) == 1, qt.Equals, test.sent)
				c.Assert(len(refusals) == 1, qt.Equals, !test.sent)
				if !test.sent {
					c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
					c.Assert(refusals[0].Refusal.Reason, qt.Equals, cs.ReasonLeaving)
					c.Assert(refusals[0].RetryAfter > 0 && refusals[0].RetryAfter < 100, qt.IsTrue)
				}
			}
		})
	}
}

// Guards against a request that waits for a runner when the drain begins, and is sent although it may not end before the process
// exits. Its caller must learn at once that another VM can serve it.
func TestRequestThatWaitsAtDrainIsRefused(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.Config.Grace = drainGrace
	vm.addRunner("a1", "a").Online = 10 // full
	e := vm.arrival(1, onceRoute).(gateway.ForwardArrived)
	e.Forward.Deadline = vm.now.Add(12 * cs.Second)
	dispatches, refusals := vm.tick(e)
	c.Assert(dispatches, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 0)
	dispatches, refusals = vm.tick(gateway.DrainRequested{})
	c.Assert(dispatches, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
	c.Assert(refusals[0].Refusal.Reason, qt.Equals, cs.ReasonLeaving)
}

// Guards against requests that wait for a runner in a drain and are sent so late that they may not end before the process exits.
func TestRequestThatWaitsInDrainEndsByItsLimit(t *testing.T) {
	c := qt.New(t)
	vm := newDrainingVM(3000, 1000)
	vm.Runners.Get("a1").Online = 10 // full
	e := vm.arrival(1, onceRoute).(gateway.ForwardArrived)
	e.Forward.Deadline = vm.now.Add(4400)
	dispatches, refusals := vm.tick(e)
	c.Assert(dispatches, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 0)
	vm.now = vm.now.Add(4500)
	vm.Runners.Get("a1").Online = 0
	dispatches, refusals = vm.tick()
	c.Assert(dispatches, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
}

// Guards against requests in flight that are cut without an answer when the process exits. A caller must not be told that
// a request has not run which a runner may have run.
func TestRequestsInFlightAreAnsweredBeforeExit(t *testing.T) {
	for name, test := range map[string]struct {
		outcome gateway.Outcome
		ran     cs.Ran
	}{
		"interrupted": {gateway.OutcomeInterrupted{Error: "context canceled"}, cs.RanUnknown},
		"not sent":    {gateway.OutcomeNotRun{Reason: "context canceled"}, cs.RanNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			vm := newTestVM()
			vm.Config.Grace = drainGrace
			vm.addRunner("a1", "a")
			vm.addRunner("a2", "a")
			e := vm.arrival(1, idempotentRoute).(gateway.ForwardArrived)
			e.Forward.Deadline = vm.now.Add(30 * cs.Second)
			dispatches, _ := vm.tick(e)
			c.Assert(dispatches, qt.HasLen, 1)
			vm.tick(gateway.DrainRequested{})
			vm.now = vm.now.Add(7 * cs.Second)
			vm.tick()
			c.Assert(stopsOf(vm), qt.HasLen, 0)
			vm.now = vm.now.Add(drainWork - 7*cs.Second)
			vm.tick()
			c.Assert(stopsOf(vm), qt.DeepEquals, []gateway.ForwardID{1})
			vm.now = vm.now.Add(5)
			dispatches, refusals := vm.tick(gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: test.outcome})
			c.Assert(dispatches, qt.HasLen, 0)
			c.Assert(refusals, qt.HasLen, 1)
			c.Assert(refusals[0].Refusal.Ran, qt.Equals, test.ran)
			vm.now = vm.now.Add(5)
			vm.tick()
			c.Assert(vm.Drain.Phase, qt.Equals, fleet.DrainDone)
		})
	}
}

// stopsOf returns the requests whose attempts were cancelled in the last tick.
func stopsOf(vm *testVM) []gateway.ForwardID {
	var stopped []gateway.ForwardID
	for _, a := range vm.out.List {
		if s, ok := a.(gateway.StopForward); ok {
			stopped = append(stopped, s.ID)
		}
	}
	return stopped
}
