package roster_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/roster"
)

// registered returns a change of the registrations in which a runner registers.
func registered(r cs.Runner, offset cs.Offset) gateway.RunnerChange {
	return gateway.RunnerChange{ID: r.ID, Offset: offset, Runner: &r}
}

// membershipSystems are the systems that decide which runners are in use, in the order of a tick.
var membershipSystems = []gateway.System{roster.Feeds, roster.Runners, roster.Peers}

// tickMembership runs the systems that decide which runners are in use once over the events.
func tickMembership(t *gateway.Tables, now cs.Instant, events ...gateway.Event) {
	for _, system := range membershipSystems {
		runSystem(t, now, system, events...)
	}
}

// newReaders returns VMs that have read the registration of a runner at offset 10 and know each other.
func newReaders(runner cs.Runner, ids ...cs.VMID) map[cs.VMID]*gateway.Tables {
	vms := make(map[cs.VMID]*gateway.Tables)
	for _, id := range ids {
		vm := gateway.New(gateway.Config{RegistrationGrace: 2500}, cs.VM{ID: id, DataCentre: "x", Incarnation: 1}, startTime, 1)
		tickMembership(vm, startTime,
			gateway.FeedRead{Feed: gateway.FeedRunners, Loaded: true, AsOf: startTime},
			gateway.RunnersRead{Snapshot: true, End: 11, Changes: []gateway.RunnerChange{registered(runner, 10)}})
		vms[id] = vm
	}
	return vms
}

// exchangeAll lets each VM report to each other one.
func exchangeAll(vms map[cs.VMID]*gateway.Tables, now cs.Instant) {
	reports := make(map[cs.VMID]*gateway.Report)
	for id, vm := range vms {
		reports[id] = reportOf(vm, now)
	}
	for id, vm := range vms {
		for from, r := range reports {
			if from != id && r != nil {
				tickMembership(vm, now, gateway.PeerReported{Address: cs.Address(from) + ":1", Report: *r})
			}
		}
	}
}

var someRunner = cs.Runner{ID: "r", Service: "s", DataCentre: "x", Address: "10.0.0.1:1", Slots: 8, Incarnation: 100}

// Guards against a VM that alone could not read the store taking the removal of a registration for one that expired in
// an outage of the store, and sending requests to a runner that had left for as long as live runners may be missing.
func TestRunnerThatLeftWhileOneVMWasCutOffIsRemovedAtItsReturn(t *testing.T) {
	c := qt.New(t)
	vms := newReaders(someRunner, "a", "b", "c", "d")
	now := startTime
	advance := func(until cs.Instant) {
		for ; now < until; now = now.Add(200) {
			for _, vm := range vms {
				if vm.Feeds[gateway.FeedRunners].FailingSince == 0 {
					tickMembership(vm, now, gateway.FeedRead{Feed: gateway.FeedRunners, Loaded: true, AsOf: now})
				}
			}
			exchangeAll(vms, now)
		}
	}
	advance(startTime.Add(cs.Second))
	a := vms["a"]
	tickMembership(a, now, gateway.FeedFailed{Feed: gateway.FeedRunners, Error: "no data received"})
	delete(vms, "a") // the VM is cut off from its peers too
	advance(now.Add(8 * cs.Second))
	removal := gateway.RunnersRead{Changes: []gateway.RunnerChange{{ID: "r", Offset: 20}}}
	for _, vm := range vms {
		tickMembership(vm, now, removal)
		c.Assert(vm.Runners.Len(), qt.Equals, 0)
	}
	vms["a"] = a
	tickMembership(a, now.Add(500), gateway.FeedRead{Feed: gateway.FeedRunners, Loaded: true, AsOf: now.Add(500)}, removal)
	advance(now.Add(800))
	c.Assert(a.Runners.Len(), qt.Equals, 0)
}

// Guards against removing the runners of a service whose registrations expired in an outage of the store, by VMs that have
// not heard yet that their peers could not read it either.
func TestRunnersStayInUseAfterOutageThatPeersHaveNotReported(t *testing.T) {
	c := qt.New(t)
	vms := newReaders(someRunner, "a", "b", "c", "d")
	now := startTime.Add(cs.Second)
	exchangeAll(vms, now)
	for _, vm := range vms {
		tickMembership(vm, now, gateway.FeedFailed{Feed: gateway.FeedRunners, Error: "no data received"})
	}
	now = now.Add(6 * cs.Second)
	for _, vm := range vms {
		tickMembership(vm, now, gateway.FeedRead{Feed: gateway.FeedRunners, Loaded: true, AsOf: now},
			gateway.RunnersRead{Changes: []gateway.RunnerChange{{ID: "r", Offset: 20}}})
	}
	for until := now.Add(2400); now < until; now = now.Add(200) {
		exchangeAll(vms, now)
		for _, vm := range vms {
			c.Assert(vm.Runners.Get("r"), qt.IsNotNil)
			c.Assert(vm.Runners.Get("r").Usable(now), qt.IsTrue)
		}
	}
	for _, vm := range vms {
		tickMembership(vm, now, gateway.RunnersRead{Changes: []gateway.RunnerChange{registered(someRunner, 21)}})
	}
	now = now.Add(cs.Second)
	exchangeAll(vms, now)
	c.Assert(vms["a"].Runners.Get("r").MissingSince, qt.Equals, cs.Instant(0))
}

// Guards against one way for the news that a runner leaves: a VM whose read of the registrations hangs must learn it
// from its peers.
func TestVMLearnsFromPeersThatRunnerLeaves(t *testing.T) {
	draining := someRunner
	draining.Leaving = true
	for name, event := range map[string]gateway.Event{
		"draining":  gateway.RunnersRead{Changes: []gateway.RunnerChange{registered(draining, 20)}},
		"removed":   gateway.RunnersRead{Changes: []gateway.RunnerChange{{ID: "r", Offset: 20}}},
		"announced": gateway.RunnerAnnouncedLeaving{Runner: "r", Incarnation: 100},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			vms := newReaders(someRunner, "a", "b", "c", "d")
			now := startTime.Add(3 * cs.Second)
			exchangeAll(vms, now)
			now = now.Add(200)
			tickMembership(vms["b"], now, event)
			exchangeAll(vms, now.Add(10))
			tickMembership(vms["a"], now.Add(20))
			tickMembership(vms["c"], now.Add(20))
			tickMembership(vms["d"], now.Add(20))
			for _, id := range []cs.VMID{"a", "c", "d"} {
				r := vms[id].Runners.Get("r")
				c.Assert(r == nil || !r.Usable(now), qt.IsTrue, qt.Commentf("VM %s", id))
			}
		})
	}
}

// Guards against a read that returns an older state than is known, as of a store that serves stale reads: a runner
// that is leaving or has left must not come back by it.
func TestStaleRegistrationDoesNotBringRunnerBack(t *testing.T) {
	c := qt.New(t)
	draining := someRunner
	draining.Leaving = true
	now := startTime.Add(cs.Second)
	stale := gateway.RunnersRead{Snapshot: true, End: 15, Changes: []gateway.RunnerChange{registered(someRunner, 14)}}

	a := newReaders(someRunner, "a")["a"]
	tickMembership(a, now, gateway.RunnersRead{Changes: []gateway.RunnerChange{registered(draining, 20)}})
	tickMembership(a, now, stale)
	c.Assert(a.Runners.Get("r").Leaving(), qt.IsTrue)
	tickMembership(a, now, gateway.RunnersRead{Changes: []gateway.RunnerChange{{ID: "r", Offset: 21}}})
	tickMembership(a, now, stale)
	c.Assert(a.Runners.Get("r"), qt.IsNil)

	// A snapshot that is older than a registration says nothing about it.
	b := newReaders(someRunner, "b")["b"]
	tickMembership(b, now, gateway.RunnersRead{Changes: []gateway.RunnerChange{registered(someRunner, 30)}})
	tickMembership(b, now, gateway.RunnersRead{Snapshot: true, End: 25})
	c.Assert(b.Runners.Get("r").MissingSince, qt.Equals, cs.Instant(0))
}

// Guards against news of a departure that VMs pass to each other for ever, and against such news about a runner that
// has started again since.
func TestRunnerThatStartsAgainIsUsed(t *testing.T) {
	c := qt.New(t)
	vms := newReaders(someRunner, "a", "b", "c")
	now := startTime.Add(3 * cs.Second)
	exchangeAll(vms, now)
	tickMembership(vms["a"], now, gateway.RunnerAnnouncedLeaving{Runner: "r", Incarnation: 100},
		gateway.RunnersRead{Changes: []gateway.RunnerChange{{ID: "r", Offset: 20}}})
	now = now.Add(200)
	exchangeAll(vms, now)
	restarted := someRunner
	restarted.Incarnation = 200
	for _, id := range []cs.VMID{"a", "b", "c"} { // one after the other, so that reports with the old state come in between
		now = now.Add(200)
		tickMembership(vms[id], now, gateway.RunnersRead{Changes: []gateway.RunnerChange{registered(restarted, 22)}})
		exchangeAll(vms, now)
		c.Assert(vms[id].Runners.Get("r").Usable(now), qt.IsTrue, qt.Commentf("VM %s", id))
	}
	for range 40 {
		now = now.Add(cs.Second)
		exchangeAll(vms, now)
	}
	for id, vm := range vms {
		c.Assert(vm.Runners.Get("r").Usable(now), qt.IsTrue, qt.Commentf("VM %s", id))
		c.Assert(vm.Departures.Len(), qt.Equals, 0, qt.Commentf("VM %s", id))
	}
}
