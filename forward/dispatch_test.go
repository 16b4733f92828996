package forward_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/entry"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

// world is the tables of a VM in data centre "a", with a clock that the test moves.
type world struct {
	*gateway.Tables
	now cs.Instant
	out gateway.Actions
}

func newWorld() *world {
	now := cs.Instant(1_000_000)
	w := &world{
		Tables: gateway.New(gateway.Config{}, cs.VM{ID: "vm-a", DataCentre: "a", Incarnation: 1}, now, 1), now: now,
	}
	w.Feeds[gateway.FeedRunners].Loaded = true
	return w
}

// runner adds a runner of service "s" with eight slots.
func (w *world) runner(id cs.RunnerID, dc cs.DataCentreID) *gateway.Runner {
	return w.Runners.Insert(id, gateway.Runner{Spec: cs.Runner{
		ID: id, Service: "s", DataCentre: dc, Address: cs.Address(id) + ":1", Slots: 8,
	}})
}

// arrival is a request of a route.
func (w *world) arrival(id gateway.ForwardID, r cs.Route) gateway.Event {
	r.Shares = []cs.ServiceShare{{Service: "s", Weight: 1}}
	return gateway.ForwardArrived{Forward: gateway.Forward{
		ID: id, Route: r, Content: cs.ContentHash(id), Arrived: w.now, Deadline: w.now.Add(5 * cs.Second),
	}}
}

// tick runs the systems of online requests over the events and returns the sends and refusals.
func (w *world) tick(events ...gateway.Event) (sends []gateway.Send, refusals []gateway.Refuse) {
	w.Events = events
	w.out.Reset()
	for _, system := range entry.Systems() {
		system(w.Tables, w.now, &w.out)
	}
	for _, a := range w.out.List {
		switch a := a.(type) {
		case gateway.Send:
			sends = append(sends, a)
		case gateway.Refuse:
			refusals = append(refusals, a)
		default:
		}
	}
	return sends, refusals
}

var (
	once       = cs.Route{Kind: cs.RouteOnce, MaxAttempts: 3}
	idempotent = cs.Route{Kind: cs.RouteIdempotent, MaxAttempts: 3, Target: 150}
	resumable  = cs.Route{Kind: cs.RouteStreaming, Resumable: true, MaxAttempts: 2, Target: 300, GapTarget: 300}
)

// After a cut between data centres each VM found out about each runner behind it alone, at the price
// of a late request for each: one failure beside silent VMs must be enough.
func TestOneFailureShowsACutDataCentre(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	for _, id := range []cs.RunnerID{"b1", "b2", "b3"} {
		w.runner(id, "b")
	}
	w.runner("a1", "a").Online = 7
	w.Zones.Insert("b", gateway.Zone{HeardAt: w.now})
	sends, _ := w.tick(w.arrival(1, resumable))
	c.Assert(sends, qt.HasLen, 1)
	c.Assert(sends[0].Runner, qt.Not(qt.Equals), cs.RunnerID("a1"))

	w.now = w.now.Add(cs.Second)
	w.Runners.Get("a1").Online = 7 // busier than the others, but reachable
	sends, _ = w.tick(gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeBroken{Silent: true}})
	c.Assert(sends, qt.HasLen, 0)
	w.now = w.now.Add(100)
	sends, _ = w.tick()
	c.Assert(sends, qt.HasLen, 1)
	c.Assert(sends[0].Runner, qt.Equals, cs.RunnerID("a1"))
}

// A data centre whose VMs have ended still has runners: they serve when all others are full.
func TestSilentDataCentreServesWhenOthersAreFull(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.runner("a1", "a").Online = 8 + 2
	w.runner("b1", "b")
	w.Zones.Insert("b", gateway.Zone{HeardAt: w.now.Add(-cs.Second)})
	sends, _ := w.tick(w.arrival(1, once))
	c.Assert(sends, qt.HasLen, 1)
	c.Assert(sends[0].Runner, qt.Equals, cs.RunnerID("b1"))
}

// A request that may run once must not be sent again after a runner may have run it, and its refusal
// must not say that it has not run.
func TestRequestThatMayRunOnceIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.runner("a1", "a")
	w.runner("a2", "a")
	sends, _ := w.tick(w.arrival(1, once))
	c.Assert(sends, qt.HasLen, 1)
	c.Assert(sends[0].Fresh, qt.IsTrue)
	w.now = w.now.Add(50)
	sends, refusals := w.tick(gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeBroken{Disconnected: true}})
	c.Assert(sends, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanUnknown)
}

// A runner that is full has not run the request: it must go elsewhere, whatever its kind.
func TestRefusedRequestGoesElsewhere(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.runner("a1", "a")
	w.runner("a2", "a")
	w.tick(w.arrival(1, once))
	w.tick(gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeNotRun{Reason: "status 503"}})
	w.now = w.now.Add(50)
	sends, refusals := w.tick()
	c.Assert(refusals, qt.HasLen, 0)
	c.Assert(sends, qt.HasLen, 1)
	c.Assert(sends[0].Attempt, qt.Equals, cs.Attempt(2))
}

// An idempotent request reaches at most the runners that its route allows.
func TestAttemptsAreBounded(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	for _, id := range []cs.RunnerID{"a1", "a2", "a3", "a4", "a5"} {
		w.runner(id, "a")
	}
	sends, _ := w.tick(w.arrival(1, idempotent))
	var refusals []gateway.Refuse
	attempts := 0
	for len(sends) == 1 {
		attempts++
		w.now = w.now.Add(50)
		sends, refusals = w.tick(gateway.ForwardEnded{ID: 1, Attempt: sends[0].Attempt, Outcome: gateway.OutcomeFailed{Status: 500}})
	}
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(attempts, qt.Equals, 3)
}

// A request that waits past its deadline is refused, and truly as not run.
func TestWaitingRequestIsRefusedAtItsDeadline(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.runner("a1", "a").Online = 8 + 2
	sends, refusals := w.tick(w.arrival(1, once))
	c.Assert(sends, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 0)
	w.now = w.now.Add(5 * cs.Second)
	_, refusals = w.tick()
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
	c.Assert(w.Forwards.Len(), qt.Equals, 0)
}

// A runner that is leaving gets no new request.
func TestLeavingRunnerGetsNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.runner("a1", "a").Spec.Leaving = true
	sends, _ := w.tick(w.arrival(1, once))
	c.Assert(sends, qt.HasLen, 0)
}

// Connections that broke while their runners lived on were taken for crashes: a request that met two
// of them was refused for a minute wherever it was sent again.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	for _, id := range []cs.RunnerID{"a1", "a2", "a3"} {
		w.runner(id, "a")
	}
	for id := range gateway.ForwardID(6) {
		e := w.arrival(id, once)
		arrived := e.(gateway.ForwardArrived)
		arrived.Forward.Content = 7
		sends, refusals := w.tick(arrived)
		c.Assert(refusals, qt.HasLen, 0)
		c.Assert(sends, qt.HasLen, 1)
		w.tick(gateway.ForwardEnded{ID: id, Attempt: 1, Outcome: gateway.OutcomeBroken{Disconnected: true}})
		w.now = w.now.Add(5 * cs.Second)
	}
}

// A content that has crashed two runners is refused wherever it is sent again.
func TestContentThatCrashesRunnersIsRefused(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.runner("a1", "a")
	w.Suspects.Insert(1, gateway.Suspect{Crashes: 2, Seen: w.now})
	sends, refusals := w.tick(w.arrival(1, resumable))
	c.Assert(sends, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Reason, qt.Equals, cs.ReasonQuarantined)
}

// A content whose runners end right after it was sent to them crashes them: it must be suspected,
// whether the address refuses connections, the entry goes or another start of the runner appears.
func TestRunnerThatEndsWasCrashed(t *testing.T) {
	for name, end := range map[string]func(w *world, r *gateway.Runner){
		"address refuses": func(w *world, r *gateway.Runner) { r.RefusedAt = w.now },
		"entry is gone":   func(w *world, r *gateway.Runner) { w.Runners.Delete(r.Spec.ID) },
		"started again":   func(_ *world, r *gateway.Runner) { r.Spec.Incarnation++ },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld()
			for id, r := range []cs.RunnerID{"a1", "a2"} {
				w.runner(r, "a")
				arrived := w.arrival(gateway.ForwardID(id), once).(gateway.ForwardArrived)
				arrived.Forward.Content = 7
				sends, _ := w.tick(arrived)
				c.Assert(sends, qt.HasLen, 1)
				w.tick(gateway.ForwardEnded{ID: sends[0].ID, Attempt: 1, Outcome: gateway.OutcomeBroken{Disconnected: true}})
				w.now = w.now.Add(100)
				end(w, w.Runners.Get(sends[0].Runner))
				w.tick()
				w.now = w.now.Add(5 * cs.Second)
			}
			c.Assert(w.Suspects.Get(7).Crashes, qt.Equals, 2)
			w.runner("a3", "a")
			arrived := w.arrival(9, once).(gateway.ForwardArrived)
			arrived.Forward.Content = 7
			_, refusals := w.tick(arrived)
			c.Assert(refusals, qt.HasLen, 1)
			c.Assert(refusals[0].Refusal.Reason, qt.Equals, cs.ReasonQuarantined)
		})
	}
}

// A request whose caller had left before the control loop took it, as after a pause of the process, was
// sent all the same: nobody reported its end, and its place at the runner was counted for ever.
func TestRequestOfACallerWhoLeftIsNotAdmitted(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	r := w.runner("a1", "a")
	sends, refusals := w.tick(w.arrival(1, once), gateway.CallerLeft{ID: 1}, w.arrival(2, once))
	c.Assert(refusals, qt.HasLen, 0)
	c.Assert(sends, qt.HasLen, 1)
	c.Assert(sends[0].ID, qt.Equals, gateway.ForwardID(2))
	c.Assert(r.Online, qt.Equals, cs.Slots(1))
	c.Assert(w.Forwards.Get(1), qt.IsNil)
}

// While all runners of a service were down for seconds, each request spent its sends on addresses that
// refused connections and was refused as if the runners were full: it must wait for one to come back.
func TestRequestOutlastsRunnersThatAreDown(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	r := w.runner("a1", "a")
	sends, _ := w.tick(w.arrival(1, once))
	var refusals []gateway.Refuse
	failed := 0
	for end := w.now.Add(4 * cs.Second); w.now < end; {
		var events []gateway.Event
		for _, s := range sends {
			failed++
			events = append(events, gateway.ForwardEnded{
				ID: 1, Attempt: s.Attempt, Outcome: gateway.OutcomeNotRun{Unreachable: true, Refused: true},
			})
		}
		w.now = w.now.Add(20)
		r.AvoidUntil = 0 // as for a VM with many runners
		sends, refusals = w.tick(events...)
		c.Assert(refusals, qt.HasLen, 0, qt.Commentf("after %d sends", failed))
	}
	c.Assert(failed > 20, qt.IsTrue)
	c.Assert(sends, qt.HasLen, 1)
}

// When the connections to all runners were reset at once, none was chosen for 0.4 s and streams that could
// go on were late. One broken connection must not keep its runner from being tried at once, while a
// second failure must.
func TestRunnerIsTriedAfterItsConnectionsBroke(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	for _, id := range []cs.RunnerID{"a1", "a2"} {
		w.runner(id, "a")
	}
	for id := range gateway.ForwardID(4) {
		sends, _ := w.tick(w.arrival(id+1, resumable))
		c.Assert(sends, qt.HasLen, 1)
	}
	var broken []gateway.Event
	for id := range gateway.ForwardID(4) {
		broken = append(broken, gateway.ForwardEnded{ID: id + 1, Attempt: 1, Outcome: gateway.OutcomeBroken{Disconnected: true}})
	}
	w.tick(broken...)
	w.now = w.now.Add(40)
	sends, _ := w.tick()
	c.Assert(sends, qt.HasLen, 2, qt.Commentf("one at a time at each runner"))
	w.now = w.now.Add(100)
	sends, _ = w.tick(gateway.ForwardEnded{ID: sends[0].ID, Attempt: 2, Outcome: gateway.OutcomeBroken{Disconnected: true}})
	c.Assert(sends, qt.HasLen, 0, qt.Commentf("failed twice"))
}

// When all runners of a service had crashed, the requests that waited for them were refused at the moment
// at which the entries lapsed, shortly before the runners were back.
func TestRequestOutlastsEntriesThatLapse(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.runner("a1", "a").AvoidUntil = w.now.Add(10 * cs.Second)
	sends, refusals := w.tick(w.arrival(1, once))
	c.Assert(len(sends)+len(refusals), qt.Equals, 0)
	w.now = w.now.Add(3600)
	_, refusals = w.tick(gateway.RunnersRead{Changes: []gateway.RunnerChange{{ID: "a1"}}})
	c.Assert(w.Runners.Len(), qt.Equals, 0)
	c.Assert(refusals, qt.HasLen, 0)
	w.now = w.now.Add(500)
	back := cs.Runner{ID: "a2", Service: "s", DataCentre: "a", Address: "a2:1", Slots: 8}
	sends, _ = w.tick(gateway.RunnersRead{Changes: []gateway.RunnerChange{{ID: "a2", Runner: &back}}})
	c.Assert(sends, qt.HasLen, 1)
}

// A service that has had no runner for a while has none to wait for.
func TestServiceWithoutRunnersRefuses(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.runner("a1", "a")
	w.tick(gateway.RunnersRead{Changes: []gateway.RunnerChange{{ID: "a1"}}})
	w.now = w.now.Add(4 * cs.Second)
	_, refusals := w.tick(w.arrival(1, once))
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
}

// In an overload the oldest request went first, so that each was late by the time it was sent. Requests
// that can still be in time go first, and only those wait at a full runner.
func TestRequestsThatCanBeInTimeGoFirst(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	r := w.runner("a1", "a")
	r.Online = 10
	w.tick(w.arrival(1, resumable), w.arrival(2, resumable))
	w.now = w.now.Add(250)
	w.tick(w.arrival(3, resumable))
	r.Online = 8 // two may wait there
	sends, _ := w.tick()
	c.Assert(sends, qt.HasLen, 1)
	c.Assert(sends[0].ID, qt.Equals, gateway.ForwardID(3))
	r.Online = 7
	sends, _ = w.tick()
	c.Assert(sends, qt.HasLen, 1)
	c.Assert(sends[0].ID, qt.Equals, gateway.ForwardID(1))
}

// A stream that has begun must go on at once, however old it is: a pause makes it late.
func TestStreamThatHasBegunGoesFirst(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.runner("a1", "a")
	sends, _ := w.tick(w.arrival(1, resumable))
	c.Assert(sends, qt.HasLen, 1)
	r := w.runner("a2", "a")
	r.Online = 10
	w.now = w.now.Add(2 * cs.Second)
	w.Runners.Get("a1").Online = 10
	w.tick(gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeBroken{LastEvent: 5}}, w.arrival(2, resumable))
	w.now = w.now.Add(50)
	r.Online = 9
	sends, _ = w.tick()
	c.Assert(sends, qt.HasLen, 1)
	c.Assert(sends[0].ID, qt.Equals, gateway.ForwardID(1))
}

// When a data centre is cut off, its runners refuse connections or lose their entries like crashed ones:
// what was in flight there was refused wherever it was sent again.
func TestCutDataCentreIsNoCrash(t *testing.T) {
	for name, end := range map[string]func(w *world, r *gateway.Runner){
		"address refuses": func(w *world, r *gateway.Runner) { r.RefusedAt = w.now },
		"entry is gone":   func(w *world, r *gateway.Runner) { w.Runners.Delete(r.Spec.ID) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld()
			w.runner("b1", "b")
			w.Zones.Insert("b", gateway.Zone{HeardAt: w.now})
			sends, _ := w.tick(w.arrival(7, once))
			c.Assert(sends, qt.HasLen, 1)
			w.tick(gateway.ForwardEnded{ID: 7, Attempt: 1, Outcome: gateway.OutcomeBroken{Disconnected: true}})
			w.now = w.now.Add(5)
			if name == "entry is gone" {
				w.now = w.now.Add(3600) // an entry lapses
			}
			end(w, w.Runners.Get("b1"))
			for range 70 {
				w.now = w.now.Add(100)
				w.tick()
			}
			c.Assert(w.Suspects.Len(), qt.Equals, 0)
		})
	}
}

// A request that no runner can take was held until its deadline, so that its caller could not try
// another VM.
func TestRequestWithoutAnyRunnerIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.runner("b1", "b")
	w.Zones.Insert("b", gateway.Zone{HeardAt: w.now.Add(-2 * cs.Second), FailedAt: w.now.Add(-cs.Second)})
	_, refusals := w.tick(w.arrival(1, once))
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
	c.Assert(refusals[0].RetryAfter > 0, qt.IsTrue)
}

// An idempotent request may go to the only runner of its service again.
func TestOnlyRunnerIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.runner("a1", "a")
	w.tick(w.arrival(1, idempotent))
	w.now = w.now.Add(50)
	sends, _ := w.tick(gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeFailed{Status: 500}})
	c.Assert(sends, qt.HasLen, 1)
}

// After a failure a runner gets one request at a time until it answers, so that one that is dead
// costs one request and not a burst.
func TestDoubtedRunnerGetsOneRequestAtATime(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	r := w.runner("a1", "a")
	var out gateway.Actions
	w.Avoid(r, w.now, "no answer", &out)
	w.now = w.now.Add(cs.Second)
	sends, _ := w.tick(w.arrival(1, once), w.arrival(2, once))
	c.Assert(sends, qt.HasLen, 1)
	sends, _ = w.tick(gateway.ForwardBegan{ID: 1, Attempt: 1})
	c.Assert(sends, qt.HasLen, 1)
}

// A VM that has just started refused requests before it had read which runners there are.
func TestRequestWaitsForTheRunnersToBeRead(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.Feeds[gateway.FeedRunners].Loaded = false
	_, refusals := w.tick(w.arrival(1, once))
	c.Assert(refusals, qt.HasLen, 0)
	w.Feeds[gateway.FeedRunners].Loaded = true
	w.runner("a1", "a")
	sends, _ := w.tick()
	c.Assert(sends, qt.HasLen, 1)
}

// A request that comes late in a drain was taken and cut off when the process ended: it must be
// refused as not run while there is time to go elsewhere.
func TestRequestLateInADrainIsRefused(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.runner("a1", "a")
	w.Drain = gateway.Drain{Phase: fleet.DrainWaiting, Since: w.now}
	sends, _ := w.tick(w.arrival(1, once))
	c.Assert(sends, qt.HasLen, 1, qt.Commentf("the platform may not have noticed yet"))
	for _, phase := range []fleet.DrainPhase{fleet.DrainFinishing, fleet.DrainDone} {
		w.Drain.Phase = phase
		sends, refusals := w.tick(w.arrival(2, once))
		c.Assert(sends, qt.HasLen, 0, qt.Commentf("%s", phase))
		c.Assert(refusals, qt.HasLen, 1)
		c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
	}
}

// VMs whose requests waited all sent one to each place that became free: runners with room for ten had
// more than twenty, and everything there was late.
func TestVMsShareFreePlaces(t *testing.T) {
	c := qt.New(t)
	sent := 0
	rng := rand.New(rand.NewPCG(1, 3))
	const vms = 20
	for range vms {
		w := newWorld()
		w.Rand = rng
		for _, id := range []cs.RunnerID{"a1", "a2", "a3"} {
			w.runner(id, "a").PeerOnline = 9 // one place at each
		}
		w.Queues.Insert("s", gateway.Queue{Peers: 3 * (vms - 1)})
		sends, _ := w.tick(w.arrival(1, resumable), w.arrival(2, resumable), w.arrival(3, resumable))
		sent += len(sends)
	}
	c.Assert(sent >= 1 && sent <= 8, qt.IsTrue, qt.Commentf("%d sends for 3 places", sent))
}

// A VM that alone has requests waiting takes all free places at once.
func TestVMAloneTakesAllFreePlaces(t *testing.T) {
	c := qt.New(t)
	w := newWorld()
	w.runner("a1", "a").PeerOnline = 7
	sends, _ := w.tick(w.arrival(1, resumable), w.arrival(2, resumable), w.arrival(3, resumable), w.arrival(4, resumable))
	c.Assert(sends, qt.HasLen, 3)
}

// In an overload each request was held and answered late. One that cannot be sent in time by the estimate
// must be refused at once with a time at which to come back; a caller that has used part of its time,
// and may have been refused before, is held.
func TestOverloadIsRefusedAtOnceOrHeld(t *testing.T) {
	patient := resumable
	patient.Timeout = 5 * cs.Second
	for name, test := range map[string]struct {
		left    cs.Span
		waiting int
		refused bool
	}{
		"long queue":              {5 * cs.Second, 40, true},
		"short queue":             {5 * cs.Second, 1, false},
		"caller with little time": {3 * cs.Second, 40, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld()
			for _, id := range []cs.RunnerID{"a1", "a2", "a3"} {
				w.runner(id, "a").PeerOnline = 10
			}
			w.Queues.Insert("s", gateway.Queue{Peers: test.waiting, Took: 500})
			arrived := w.arrival(1, patient).(gateway.ForwardArrived)
			arrived.Forward.Deadline = w.now.Add(test.left)
			_, refusals := w.tick(arrived)
			c.Assert(len(refusals) == 1, qt.Equals, test.refused)
			if test.refused {
				c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
				c.Assert(refusals[0].RetryAfter > 0, qt.IsTrue)
			}
		})
	}
}

// A stream sent to a runner that had crashed silently waited two targets for its first event, although the
// runner had free slots and would have begun at once: it was late when it went elsewhere.
func TestFreeRunnerIsGivenUpEarly(t *testing.T) {
	c := qt.New(t)
	for name, test := range map[string]struct {
		online cs.Slots
		early  bool
	}{"free": {3, true}, "full": {8, false}} {
		w := newWorld()
		w.runner("a1", "a").Online = test.online
		sends, _ := w.tick(w.arrival(1, resumable))
		c.Assert(sends, qt.HasLen, 1)
		c.Assert(sends[0].FirstByte < resumable.Target, qt.Equals, test.early, qt.Commentf("%s: %d ms", name, sends[0].FirstByte))
	}
	w := newWorld()
	w.runner("a1", "a")
	sends, _ := w.tick(w.arrival(1, idempotent))
	c.Assert(sends[0].FirstByte, qt.Equals, 2*idempotent.Target, qt.Commentf("the work of a request that is not a stream takes its time"))
}
