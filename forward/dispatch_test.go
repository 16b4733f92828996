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

// testVM holds the tables of a VM in data centre "a" and a clock that the test advances.
type testVM struct {
	*gateway.Tables
	now cs.Instant
	out gateway.Actions
}

// newTestVM returns a VM without runners that has read the list of runners from the store.
func newTestVM() *testVM {
	now := cs.Instant(1_000_000)
	vm := &testVM{
		Tables: gateway.New(gateway.Config{}, cs.VM{ID: "vm-a", DataCentre: "a", Incarnation: 1}, now, 1), now: now,
	}
	vm.Feeds[gateway.FeedRunners].Loaded = true
	return vm
}

// addRunner adds a runner of service "s" with eight slots.
func (vm *testVM) addRunner(id cs.RunnerID, dc cs.DataCentreID) *gateway.Runner {
	return vm.Runners.Insert(id, gateway.Runner{Spec: cs.Runner{
		ID: id, Service: "s", DataCentre: dc, Address: cs.Address(id) + ":1", Slots: 8,
	}})
}

// arrival returns the arrival event of a request on the route, with a deadline in 5 s.
func (vm *testVM) arrival(id gateway.ForwardID, r cs.Route) gateway.Event {
	r.Shares = []cs.ServiceShare{{Service: "s", Weight: 1}}
	return gateway.ForwardArrived{Forward: gateway.Forward{
		ID: id, Route: r, Content: cs.ContentHash(id), Arrived: vm.now, Deadline: vm.now.Add(5 * cs.Second),
	}}
}

// tick runs all systems once over the events and returns the dispatches and refusals.
func (vm *testVM) tick(events ...gateway.Event) (dispatches []gateway.Dispatch, refusals []gateway.Refuse) {
	vm.Events = events
	vm.out.Reset()
	for _, system := range entry.Systems() {
		system(vm.Tables, vm.now, &vm.out)
	}
	for _, a := range vm.out.List {
		switch a := a.(type) {
		case gateway.Dispatch:
			dispatches = append(dispatches, a)
		case gateway.Refuse:
			refusals = append(refusals, a)
		default:
		}
	}
	return dispatches, refusals
}

var (
	onceRoute       = cs.Route{Kind: cs.RouteOnce, MaxAttempts: 3}
	idempotentRoute = cs.Route{Kind: cs.RouteIdempotent, MaxAttempts: 3, Target: 150}
	resumableRoute  = cs.Route{Kind: cs.RouteStreaming, Resumable: true, MaxAttempts: 2, Target: 300, GapTarget: 300}
)

// Guards against each VM finding each runner behind a network partition unreachable on its own, at
// the cost of one late request per runner. One failed attempt, in addition to VMs there that do not
// report, must mark the whole data centre as unreachable.
func TestOneFailureRevealsNetworkPartition(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	for _, id := range []cs.RunnerID{"b1", "b2", "b3"} {
		vm.addRunner(id, "b")
	}
	vm.addRunner("a1", "a").Online = 7
	vm.DataCentres.Insert("b", gateway.DataCentreState{LastReportAt: vm.now})
	dispatches, _ := vm.tick(vm.arrival(1, resumableRoute))
	c.Assert(dispatches, qt.HasLen, 1)
	c.Assert(dispatches[0].Runner, qt.Not(qt.Equals), cs.RunnerID("a1"))

	vm.now = vm.now.Add(cs.Second)
	vm.Runners.Get("a1").Online = 7 // more loaded than the runners of b, but reachable
	dispatches, _ = vm.tick(gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeInterrupted{TimedOut: true}})
	c.Assert(dispatches, qt.HasLen, 0)
	vm.now = vm.now.Add(100)
	dispatches, _ = vm.tick()
	c.Assert(dispatches, qt.HasLen, 1)
	c.Assert(dispatches[0].Runner, qt.Equals, cs.RunnerID("a1"))
}

// If all VMs of a data centre have stopped, its runners may still be up: they must be used once all
// others are full.
func TestDataCentreWithoutReportsServesWhenOthersAreFull(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a").Online = 8 + 2
	vm.addRunner("b1", "b")
	vm.DataCentres.Insert("b", gateway.DataCentreState{LastReportAt: vm.now.Add(-cs.Second)})
	dispatches, _ := vm.tick(vm.arrival(1, onceRoute))
	c.Assert(dispatches, qt.HasLen, 1)
	c.Assert(dispatches[0].Runner, qt.Equals, cs.RunnerID("b1"))
}

// Guards against a non-idempotent request being sent again after a runner may have run it, and
// against a refusal that claims it has not run.
func TestNonIdempotentRequestIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a")
	vm.addRunner("a2", "a")
	dispatches, _ := vm.tick(vm.arrival(1, onceRoute))
	c.Assert(dispatches, qt.HasLen, 1)
	c.Assert(dispatches[0].NewConnection, qt.IsTrue)
	vm.now = vm.now.Add(50)
	dispatches, refusals := vm.tick(gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeInterrupted{Disconnected: true}})
	c.Assert(dispatches, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanUnknown)
}

// A runner that refuses a request because it is full has not run it, so the request must be sent to
// another runner on routes of every kind.
func TestRefusedRequestIsSentToAnotherRunner(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a")
	vm.addRunner("a2", "a")
	vm.tick(vm.arrival(1, onceRoute))
	vm.tick(gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeNotRun{Reason: "status 503"}})
	vm.now = vm.now.Add(50)
	dispatches, refusals := vm.tick()
	c.Assert(refusals, qt.HasLen, 0)
	c.Assert(dispatches, qt.HasLen, 1)
	c.Assert(dispatches[0].Attempt, qt.Equals, cs.Attempt(2))
}

// An idempotent request must not be sent more often than its route allows.
func TestAttemptsAreBounded(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	for _, id := range []cs.RunnerID{"a1", "a2", "a3", "a4", "a5"} {
		vm.addRunner(id, "a")
	}
	dispatches, _ := vm.tick(vm.arrival(1, idempotentRoute))
	var refusals []gateway.Refuse
	attempts := 0
	for len(dispatches) == 1 {
		attempts++
		vm.now = vm.now.Add(50)
		dispatches, refusals = vm.tick(gateway.ForwardEnded{ID: 1, Attempt: dispatches[0].Attempt, Outcome: gateway.OutcomeFailed{Status: 500}})
	}
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(attempts, qt.Equals, 3)
}

// A request that still waits at its deadline must be refused and reported as not run.
func TestWaitingRequestIsRefusedAtItsDeadline(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a").Online = 8 + 2
	dispatches, refusals := vm.tick(vm.arrival(1, onceRoute))
	c.Assert(dispatches, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 0)
	vm.now = vm.now.Add(5 * cs.Second)
	_, refusals = vm.tick()
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
	c.Assert(vm.Forwards.Len(), qt.Equals, 0)
}

// A runner that is leaving must not receive new requests.
func TestLeavingRunnerGetsNothing(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a").Spec.Leaving = true
	dispatches, _ := vm.tick(vm.arrival(1, onceRoute))
	c.Assert(dispatches, qt.HasLen, 0)
}

// Guards against a lost connection to a live runner being counted as a crash: a request that met two
// of them was refused for a minute on every VM.
func TestLostConnectionIsNoCrash(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	for _, id := range []cs.RunnerID{"a1", "a2", "a3"} {
		vm.addRunner(id, "a")
	}
	for id := range gateway.ForwardID(6) {
		e := vm.arrival(id, onceRoute)
		arrived := e.(gateway.ForwardArrived)
		arrived.Forward.Content = 7
		dispatches, refusals := vm.tick(arrived)
		c.Assert(refusals, qt.HasLen, 0)
		c.Assert(dispatches, qt.HasLen, 1)
		vm.tick(gateway.ForwardEnded{ID: id, Attempt: 1, Outcome: gateway.OutcomeInterrupted{Disconnected: true}})
		vm.now = vm.now.Add(5 * cs.Second)
	}
}

// A request content that has crashed two runners must be refused on every VM.
func TestContentThatCrashesRunnersIsRefused(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a")
	for id := range gateway.CrashID(2) {
		vm.RecordCrash(gateway.ContentKey(1), gateway.Crash{ID: id, At: vm.now, LearnedAt: vm.now})
	}
	dispatches, refusals := vm.tick(vm.arrival(1, resumableRoute))
	c.Assert(dispatches, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Reason, qt.Equals, cs.ReasonQuarantined)
}

// A runner that stops right after it was sent a request counts as crashed by its content, whether
// its address refuses connections, its registration is removed or a new incarnation registers.
func TestRunnerThatStopsCountsAsCrashed(t *testing.T) {
	for name, endRunner := range map[string]func(vm *testVM, r *gateway.Runner){
		"address refuses connections": func(vm *testVM, r *gateway.Runner) { r.RefusedAt = vm.now },
		"registration removed":        func(vm *testVM, r *gateway.Runner) { vm.Runners.Delete(r.Spec.ID) },
		"new incarnation registered":  func(_ *testVM, r *gateway.Runner) { r.Spec.Incarnation++ },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			vm := newTestVM()
			for id, r := range []cs.RunnerID{"a1", "a2"} {
				vm.addRunner(r, "a")
				arrived := vm.arrival(gateway.ForwardID(id), onceRoute).(gateway.ForwardArrived)
				arrived.Forward.Content = 7
				dispatches, _ := vm.tick(arrived)
				c.Assert(dispatches, qt.HasLen, 1)
				vm.tick(gateway.ForwardEnded{ID: dispatches[0].ID, Attempt: 1, Outcome: gateway.OutcomeInterrupted{Disconnected: true}})
				vm.now = vm.now.Add(100)
				endRunner(vm, vm.Runners.Get(dispatches[0].Runner))
				vm.tick()
				vm.now = vm.now.Add(5 * cs.Second)
			}
			c.Assert(vm.Suspects.Get(gateway.ContentKey(7)).Crashes, qt.HasLen, 2)
			vm.addRunner("a3", "a")
			arrived := vm.arrival(9, onceRoute).(gateway.ForwardArrived)
			arrived.Forward.Content = 7
			_, refusals := vm.tick(arrived)
			c.Assert(refusals, qt.HasLen, 1)
			c.Assert(refusals[0].Refusal.Reason, qt.Equals, cs.ReasonQuarantined)
		})
	}
}

// Guards against sending a request whose caller disconnected before the control loop admitted it,
// for example during a pause of the process. No session reported the end of such a request, and its
// slot at the runner stayed occupied for ever.
func TestRequestOfADisconnectedCallerIsNotAdmitted(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	r := vm.addRunner("a1", "a")
	dispatches, refusals := vm.tick(vm.arrival(1, onceRoute), gateway.CallerDisconnected{ID: 1}, vm.arrival(2, onceRoute))
	c.Assert(refusals, qt.HasLen, 0)
	c.Assert(dispatches, qt.HasLen, 1)
	c.Assert(dispatches[0].ID, qt.Equals, gateway.ForwardID(2))
	c.Assert(r.Online, qt.Equals, cs.Slots(1))
	c.Assert(vm.Forwards.Get(1), qt.IsNil)
}

// Guards against refusing requests as if the runners were full while all runners of a service are
// down for some seconds. Each request used up its attempts on addresses that refused connections;
// it must wait for a runner to come back.
func TestRequestOutlastsRunnersThatAreDown(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	r := vm.addRunner("a1", "a")
	dispatches, _ := vm.tick(vm.arrival(1, onceRoute))
	var refusals []gateway.Refuse
	failedAttempts := 0
	for end := vm.now.Add(4 * cs.Second); vm.now < end; {
		var events []gateway.Event
		for _, d := range dispatches {
			failedAttempts++
			events = append(events, gateway.ForwardEnded{
				ID: 1, Attempt: d.Attempt, Outcome: gateway.OutcomeNotRun{Unreachable: true, Refused: true},
			})
		}
		vm.now = vm.now.Add(20)
		r.EjectedUntil = 0 // stands for a VM with many runners, which always has another one to try
		dispatches, refusals = vm.tick(events...)
		c.Assert(refusals, qt.HasLen, 0, qt.Commentf("after %d failed attempts", failedAttempts))
	}
	c.Assert(failedAttempts > 20, qt.IsTrue)
	c.Assert(dispatches, qt.HasLen, 1)
}

// When the connections to all runners were reset at once, no runner was picked for 0.4 s and
// resumable streams were late. After one lost connection a runner must be tried again at once,
// after a second failure it must not.
func TestRunnerIsRetriedAfterLostConnections(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	for _, id := range []cs.RunnerID{"a1", "a2"} {
		vm.addRunner(id, "a")
	}
	for id := range gateway.ForwardID(4) {
		dispatches, _ := vm.tick(vm.arrival(id+1, resumableRoute))
		c.Assert(dispatches, qt.HasLen, 1)
	}
	var interrupted []gateway.Event
	for id := range gateway.ForwardID(4) {
		interrupted = append(interrupted, gateway.ForwardEnded{ID: id + 1, Attempt: 1, Outcome: gateway.OutcomeInterrupted{Disconnected: true}})
	}
	vm.tick(interrupted...)
	vm.now = vm.now.Add(40)
	dispatches, _ := vm.tick()
	c.Assert(dispatches, qt.HasLen, 2, qt.Commentf("one request at a time per runner"))
	vm.now = vm.now.Add(100)
	dispatches, _ = vm.tick(gateway.ForwardEnded{ID: dispatches[0].ID, Attempt: 2, Outcome: gateway.OutcomeInterrupted{Disconnected: true}})
	c.Assert(dispatches, qt.HasLen, 0, qt.Commentf("the runner has failed twice"))
}

// Guards against refusing waiting requests when the registrations of all crashed runners of a
// service expire, shortly before the runners are back.
func TestRequestOutlastsExpiredRegistrations(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a").EjectedUntil = vm.now.Add(10 * cs.Second)
	dispatches, refusals := vm.tick(vm.arrival(1, onceRoute))
	c.Assert(len(dispatches)+len(refusals), qt.Equals, 0)
	vm.now = vm.now.Add(3600)
	_, refusals = vm.tick(gateway.RunnersRead{Changes: []gateway.RunnerChange{{ID: "a1"}}})
	c.Assert(vm.Runners.Len(), qt.Equals, 0)
	c.Assert(refusals, qt.HasLen, 0)
	vm.now = vm.now.Add(500)
	restarted := cs.Runner{ID: "a2", Service: "s", DataCentre: "a", Address: "a2:1", Slots: 8}
	dispatches, _ = vm.tick(gateway.RunnersRead{Changes: []gateway.RunnerChange{{ID: "a2", Runner: &restarted}}})
	c.Assert(dispatches, qt.HasLen, 1)
}

// A service that has been without runners for longer than emptiedTimeout must refuse requests at
// once.
func TestServiceWithoutRunnersRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a")
	vm.tick(gateway.RunnersRead{Changes: []gateway.RunnerChange{{ID: "a1"}}})
	vm.now = vm.now.Add(4 * cs.Second)
	_, refusals := vm.tick(vm.arrival(1, onceRoute))
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
}

// Guards against sending the oldest request first in an overload, which made every request late by
// the time it was sent. Requests that can still meet their target go first, and only those may
// queue at a full runner.
func TestRequestsThatCanMeetTargetGoFirst(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	r := vm.addRunner("a1", "a")
	r.Online = 10
	vm.tick(vm.arrival(1, resumableRoute), vm.arrival(2, resumableRoute))
	vm.now = vm.now.Add(250)
	vm.tick(vm.arrival(3, resumableRoute))
	r.Online = 8 // two more may queue there
	dispatches, _ := vm.tick()
	c.Assert(dispatches, qt.HasLen, 1)
	c.Assert(dispatches[0].ID, qt.Equals, gateway.ForwardID(3))
	r.Online = 7
	dispatches, _ = vm.tick()
	c.Assert(dispatches, qt.HasLen, 1)
	c.Assert(dispatches[0].ID, qt.Equals, gateway.ForwardID(1))
}

// A stream that has begun must resume at once, however old it is, because the pause between its
// events has a target too.
func TestStartedStreamIsSentFirst(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a")
	dispatches, _ := vm.tick(vm.arrival(1, resumableRoute))
	c.Assert(dispatches, qt.HasLen, 1)
	r := vm.addRunner("a2", "a")
	r.Online = 10
	vm.now = vm.now.Add(2 * cs.Second)
	vm.Runners.Get("a1").Online = 10
	vm.tick(gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeInterrupted{LastEvent: 5}}, vm.arrival(2, resumableRoute))
	vm.now = vm.now.Add(50)
	r.Online = 9
	dispatches, _ = vm.tick()
	c.Assert(dispatches, qt.HasLen, 1)
	c.Assert(dispatches[0].ID, qt.Equals, gateway.ForwardID(1))
}

// Guards against counting a network partition as crashes: the runners behind it refuse connections
// or lose their registrations just as crashed ones do, and the content in flight there was refused
// on every VM.
func TestNetworkPartitionIsNoCrash(t *testing.T) {
	for name, endRunner := range map[string]func(vm *testVM, r *gateway.Runner){
		"address refuses connections": func(vm *testVM, r *gateway.Runner) { r.RefusedAt = vm.now },
		"registration removed":        func(vm *testVM, r *gateway.Runner) { vm.Runners.Delete(r.Spec.ID) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			vm := newTestVM()
			vm.addRunner("b1", "b")
			vm.DataCentres.Insert("b", gateway.DataCentreState{LastReportAt: vm.now})
			dispatches, _ := vm.tick(vm.arrival(7, onceRoute))
			c.Assert(dispatches, qt.HasLen, 1)
			vm.tick(gateway.ForwardEnded{ID: 7, Attempt: 1, Outcome: gateway.OutcomeInterrupted{Disconnected: true}})
			vm.now = vm.now.Add(5)
			if name == "registration removed" {
				vm.now = vm.now.Add(3600) // the registration expires
			}
			endRunner(vm, vm.Runners.Get("b1"))
			for range 70 {
				vm.now = vm.now.Add(100)
				vm.tick()
			}
			c.Assert(vm.Suspects.Len(), qt.Equals, 0)
		})
	}
}

// Guards against holding a request until its deadline when no runner is reachable, which kept the
// caller from trying another VM.
func TestRequestWithoutReachableRunnerIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("b1", "b")
	vm.DataCentres.Insert("b", gateway.DataCentreState{LastReportAt: vm.now.Add(-2 * cs.Second), FailedAt: vm.now.Add(-cs.Second)})
	_, refusals := vm.tick(vm.arrival(1, onceRoute))
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
	c.Assert(refusals[0].RetryAfter > 0, qt.IsTrue)
}

// An idempotent request may be sent again to the only runner of its service.
func TestOnlyRunnerIsRetried(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a")
	vm.tick(vm.arrival(1, idempotentRoute))
	vm.now = vm.now.Add(50)
	dispatches, _ := vm.tick(gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeFailed{Status: 500}})
	c.Assert(dispatches, qt.HasLen, 1)
}

// After a failure a runner must get one request at a time until it answers, so that a dead runner
// costs one request and not a burst of them.
func TestFailedRunnerGetsOneRequestAtATime(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	r := vm.addRunner("a1", "a")
	var out gateway.Actions
	vm.Eject(r, vm.now, "no answer", &out)
	vm.now = vm.now.Add(cs.Second)
	dispatches, _ := vm.tick(vm.arrival(1, onceRoute), vm.arrival(2, onceRoute))
	c.Assert(dispatches, qt.HasLen, 1)
	dispatches, _ = vm.tick(gateway.ForwardStarted{ID: 1, Attempt: 1})
	c.Assert(dispatches, qt.HasLen, 1)
}

// Guards against refusing requests on a VM that has just started and has not read the list of
// runners yet.
func TestRequestWaitsForRunnerList(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.Feeds[gateway.FeedRunners].Loaded = false
	_, refusals := vm.tick(vm.arrival(1, onceRoute))
	c.Assert(refusals, qt.HasLen, 0)
	vm.Feeds[gateway.FeedRunners].Loaded = true
	vm.addRunner("a1", "a")
	dispatches, _ := vm.tick()
	c.Assert(dispatches, qt.HasLen, 1)
}

// Guards against admitting a request late in a drain and cutting it off when the process exits: it
// must be refused as not run while there is time to use another VM.
func TestRequestLateInADrainIsRefused(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a")
	vm.Drain = gateway.Drain{Phase: fleet.DrainWaiting, Since: vm.now}
	dispatches, _ := vm.tick(vm.arrival(1, onceRoute))
	c.Assert(dispatches, qt.HasLen, 1, qt.Commentf("the platform may not have noticed that the VM is not ready"))
	for _, phase := range []fleet.DrainPhase{fleet.DrainFinishing, fleet.DrainDone} {
		vm.Drain.Phase = phase
		dispatches, refusals := vm.tick(vm.arrival(2, onceRoute))
		c.Assert(dispatches, qt.HasLen, 0, qt.Commentf("%s", phase))
		c.Assert(refusals, qt.HasLen, 1)
		c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
	}
}

// Guards against every VM with waiting requests sending one to each slot that becomes free: runners
// with capacity for 10 requests got more than 20, and all of them were late.
func TestVMsShareFreeCapacity(t *testing.T) {
	c := qt.New(t)
	sent := 0
	rng := rand.New(rand.NewPCG(1, 3))
	const vms = 20
	for range vms {
		vm := newTestVM()
		vm.Rand = rng
		for _, id := range []cs.RunnerID{"a1", "a2", "a3"} {
			vm.addRunner(id, "a").PeerOnline = 9 // capacity for one more request at each
		}
		vm.Demands.Insert("s", gateway.ServiceDemand{Peers: 3 * (vms - 1)})
		dispatches, _ := vm.tick(vm.arrival(1, resumableRoute), vm.arrival(2, resumableRoute), vm.arrival(3, resumableRoute))
		sent += len(dispatches)
	}
	c.Assert(sent >= 1 && sent <= 8, qt.IsTrue, qt.Commentf("%d dispatches for a free capacity of 3", sent))
}

// If requests wait on one VM only, that VM must use all free capacity at once.
func TestOnlyWaitingVMUsesAllFreeCapacity(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a").PeerOnline = 7
	dispatches, _ := vm.tick(vm.arrival(1, resumableRoute), vm.arrival(2, resumableRoute), vm.arrival(3, resumableRoute), vm.arrival(4, resumableRoute))
	c.Assert(dispatches, qt.HasLen, 3)
}

// Guards against holding every request in an overload and answering it late. A request that cannot
// be sent in time by the wait estimate must be refused at once with a retry delay; the request of a
// caller that has used part of its time, and may have been refused before, is held.
func TestOverloadIsRefusedAtOnceOrHeld(t *testing.T) {
	timedRoute := resumableRoute
	timedRoute.Timeout = 5 * cs.Second
	for name, test := range map[string]struct {
		timeLeft   cs.Span
		peerDemand int
		refused    bool
	}{
		"long queue":                   {5 * cs.Second, 40, true},
		"short queue":                  {5 * cs.Second, 1, false},
		"caller with little time left": {3 * cs.Second, 40, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			vm := newTestVM()
			for _, id := range []cs.RunnerID{"a1", "a2", "a3"} {
				vm.addRunner(id, "a").PeerOnline = 10
			}
			vm.Demands.Insert("s", gateway.ServiceDemand{Peers: test.peerDemand, ServiceTimeMs: 500})
			arrived := vm.arrival(1, timedRoute).(gateway.ForwardArrived)
			arrived.Forward.Deadline = vm.now.Add(test.timeLeft)
			_, refusals := vm.tick(arrived)
			c.Assert(len(refusals) == 1, qt.Equals, test.refused)
			if test.refused {
				c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
				c.Assert(refusals[0].RetryAfter > 0, qt.IsTrue)
			}
		})
	}
}

// Guards against waiting two targets for the first event of a stream from a crashed runner that
// does not answer, although it had free slots and would have begun at once: the stream was late
// when it was sent to another runner.
func TestTimeoutIsShorterAtRunnerWithFreeSlot(t *testing.T) {
	c := qt.New(t)
	for name, test := range map[string]struct {
		online cs.Slots
		early  bool
	}{"free": {3, true}, "full": {8, false}} {
		vm := newTestVM()
		vm.addRunner("a1", "a").Online = test.online
		dispatches, _ := vm.tick(vm.arrival(1, resumableRoute))
		c.Assert(dispatches, qt.HasLen, 1)
		c.Assert(dispatches[0].FirstByteTimeout < resumableRoute.Target, qt.Equals, test.early, qt.Commentf("%s: %d ms", name, dispatches[0].FirstByteTimeout))
	}
	vm := newTestVM()
	vm.addRunner("a1", "a")
	dispatches, _ := vm.tick(vm.arrival(1, idempotentRoute))
	c.Assert(dispatches[0].FirstByteTimeout, qt.Equals, 2*idempotentRoute.Target, qt.Commentf("a response that is not a stream begins only once its work is done"))
}

// Guards against holding requests until their deadlines that the limits of all runners do not allow by then. Callers that
// come back after a refusal have little time left and are not refused for a long wait otherwise.
func TestRequestsBeyondLimitAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a")
	vm.tick(gateway.RunnerLimitRead{Runner: "a1", Named: true, Limit: 1})
	vm.now = vm.now.Add(5 * cs.Second)
	route := resumableRoute
	route.Timeout = 5 * cs.Second
	var events []gateway.Event
	for id := range gateway.ForwardID(10) {
		arrived := vm.arrival(id, route).(gateway.ForwardArrived)
		arrived.Forward.Deadline = vm.now.Add(3 * cs.Second)
		events = append(events, arrived)
	}
	dispatches, refusals := vm.tick(events...)
	c.Assert(dispatches, qt.HasLen, 1)
	// Three more can be sent in 3 s; one may be held in vain, since the time of the next is not known exactly.
	c.Assert(len(refusals) >= 5 && len(refusals) <= 6, qt.IsTrue, qt.Commentf("%d of 10 refused", len(refusals)))
	for _, r := range refusals {
		c.Assert(r.Refusal.Ran, qt.Equals, cs.RanNotRun)
		c.Assert(r.RetryAfter > 0, qt.IsTrue)
	}
}

// Guards against holding requests at a VM that may not send to any runner of the service, since all name limits: the
// caller may reach a runner through another VM.
func TestRequestAtVMThatMayNotSendIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a")
	vm.tick(gateway.RunnerLimitRead{Runner: "a1", Named: true, Limit: 1})
	vm.Runners.Get("a1").Limit.Sender = false
	dispatches, refusals := vm.tick(vm.arrival(1, onceRoute))
	c.Assert(dispatches, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
	c.Assert(refusals[0].RetryAfter > 0, qt.IsTrue)

	vm.addRunner("a2", "a") // names no limit
	dispatches, refusals = vm.tick(vm.arrival(2, onceRoute))
	c.Assert(refusals, qt.HasLen, 0)
	c.Assert(dispatches[0].Runner, qt.Equals, cs.RunnerID("a2"))
}

// Guards against refusing requests by the limits of some runners while others, which name none, are only ejected for a
// moment.
func TestRequestsWaitForUnlimitedRunnerThatIsEjected(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a")
	vm.addRunner("a2", "a").EjectedUntil = vm.now.Add(400)
	vm.tick(gateway.RunnerLimitRead{Runner: "a1", Named: true, Limit: 0.5})
	var events []gateway.Event
	for id := range gateway.ForwardID(6) {
		arrived := vm.arrival(id, idempotentRoute).(gateway.ForwardArrived)
		arrived.Forward.Deadline = vm.now.Add(2 * cs.Second)
		events = append(events, arrived)
	}
	_, refusals := vm.tick(events...)
	c.Assert(refusals, qt.HasLen, 0)
	vm.now = vm.now.Add(400)
	dispatches, refusals := vm.tick()
	c.Assert(refusals, qt.HasLen, 0)
	c.Assert(len(dispatches) >= 1, qt.IsTrue)
}

// Guards against refusing all requests of a service whose runner names a limit that no integer can hold.
func TestHugeLimitDoesNotKeepRequestsFromRunner(t *testing.T) {
	for _, limit := range []cs.PerSecond{1e4, 1e19, 1e300} {
		c := qt.New(t)
		vm := newTestVM()
		vm.addRunner("r", "a")
		vm.tick(gateway.RunnerLimitRead{Runner: "r", Named: true, Limit: limit})
		vm.now = vm.now.Add(2 * cs.Second) // the bucket fills, and the senders are determined again
		dispatches, refusals := vm.tick(vm.arrival(1, idempotentRoute))
		c.Check(dispatches, qt.HasLen, 1, qt.Commentf("limit %g", limit))
		c.Check(refusals, qt.HasLen, 0, qt.Commentf("limit %g", limit))
	}
}
