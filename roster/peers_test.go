package roster_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/roster"
)

const startTime = cs.Instant(1_000_000)

// newTables returns the tables of a VM that knows one runner, in data centre "x".
func newTables(id cs.VMID) *gateway.Tables {
	t := gateway.New(gateway.Config{RegistrationGrace: 2500}, cs.VM{ID: id, DataCentre: cs.DataCentreID(id), Incarnation: 1}, startTime, 1)
	t.Runners.Insert("r", gateway.Runner{Spec: cs.Runner{ID: "r", DataCentre: "x", Slots: 8, Service: "s"}})
	return t
}

// runSystem runs a system once over the events and returns its actions.
func runSystem(t *gateway.Tables, now cs.Instant, system gateway.System, events ...gateway.Event) []gateway.Action {
	var out gateway.Actions
	t.Events = events
	system(t, now, &out)
	return out.List
}

// reportOf returns the report that the VM sends at now, or nil if none is due.
func reportOf(t *gateway.Tables, now cs.Instant) *gateway.Report {
	for _, a := range runSystem(t, now, roster.Report) {
		if r, ok := a.(gateway.SendReport); ok {
			return &r.Report
		}
	}
	return nil
}

// Guards against two VMs that both failed to reach a runner reporting it as ejected to each other
// for ever, so that neither used it again. A VM must report only the failures that it found itself.
func TestEjectionReportsDoNotEcho(t *testing.T) {
	c := qt.New(t)
	a, b := newTables("a"), newTables("b")
	var out gateway.Actions
	for _, vm := range []*gateway.Tables{a, b} {
		vm.Eject(vm.Runners.Get("r"), startTime, "no answer", &out)
	}
	now := startTime
	for now < startTime.Add(10*cs.Second) {
		now = now.Add(200)
		reportA, reportB := reportOf(a, now), reportOf(b, now)
		c.Assert(reportA, qt.IsNotNil)
		c.Assert(reportB, qt.IsNotNil)
		runSystem(a, now, roster.Peers, gateway.PeerReported{Address: "b:1", Report: *reportB})
		runSystem(b, now, roster.Peers, gateway.PeerReported{Address: "a:1", Report: *reportA})
	}
	c.Assert(a.Runners.Get("r").Usable(now), qt.IsTrue)
	c.Assert(b.Runners.Get("r").Usable(now), qt.IsTrue)
}

// Guards against ejecting the runners of a data centre for seconds after a network partition has
// healed.
func TestRunnersAreUsedWhenNetworkPartitionHeals(t *testing.T) {
	c := qt.New(t)
	a := newTables("a")
	report := gateway.Report{From: "x1", Incarnation: 5, DataCentre: "x", Seq: 1}
	runSystem(a, startTime, roster.Peers, gateway.PeerReported{Address: "x1:1", Report: report})
	now := startTime.Add(cs.Second)
	var out gateway.Actions
	for range 4 {
		a.Eject(a.Runners.Get("r"), now, "no answer", &out)
		now = a.Runners.Get("r").EjectedUntil
	}
	a.Eject(a.Runners.Get("r"), now, "no answer", &out)
	c.Assert(a.Reach("x", now), qt.Equals, gateway.ReachCut)
	report.Seq++
	runSystem(a, now.Add(10), roster.Peers, gateway.PeerReported{Address: "x1:1", Report: report})
	c.Assert(a.Reach("x", now.Add(10)), qt.Equals, gateway.ReachGood)
	c.Assert(a.Runners.Get("r").Usable(now.Add(10)), qt.IsTrue)
}

// A datagram that arrives late must not restore a load that a newer report has replaced.
func TestOutOfOrderReportIsIgnored(t *testing.T) {
	c := qt.New(t)
	a := newTables("a")
	newer := gateway.Report{From: "b", Incarnation: 5, Seq: 2, Loads: []gateway.RunnerLoad{{Runner: "r", Online: 1}}}
	older := gateway.Report{From: "b", Incarnation: 5, Seq: 1, Loads: []gateway.RunnerLoad{{Runner: "r", Online: 7}}}
	runSystem(a, startTime, roster.Peers, gateway.PeerReported{Address: "b:1", Report: newer}, gateway.PeerReported{Address: "b:1", Report: older})
	c.Assert(a.Runners.Get("r").Load(), qt.Equals, cs.Slots(1))
}

// The load of a VM that has died must stop counting once its reports cease.
func TestLoadOfTimedOutPeerExpires(t *testing.T) {
	c := qt.New(t)
	a := newTables("a")
	r := gateway.Report{From: "b", Incarnation: 5, Seq: 2, Loads: []gateway.RunnerLoad{{Runner: "r", Batch: 3}}}
	runSystem(a, startTime, roster.Peers, gateway.PeerReported{Address: "b:1", Report: r})
	c.Assert(a.Runners.Get("r").Load(), qt.Equals, cs.Slots(3))
	runSystem(a, startTime.Add(3*cs.Second), roster.Peers)
	c.Assert(a.Runners.Get("r").Load(), qt.Equals, cs.Slots(0))
}

// Guards against reporting to every peer 40 times a second regardless of their number: among 120
// VMs that is 4,800 datagrams a second sent and as many received per VM, more than the link of a
// small VM carries.
func TestReportRateIsBounded(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ peers, minRate, maxRate int }{{20, 600, 800}, {120, 600, 800}, {390, 600, 800}} {
		vm := newTables("vm")
		for i := range test.peers {
			vm.Peers.Insert(cs.VMID(fmt.Sprint("p", i)), gateway.Peer{LastReportAt: startTime, VM: cs.VM{Address: "1:1"}})
		}
		sent := 0
		const seconds = 20
		for now := startTime; now < startTime.Add(seconds*cs.Second); now = now.Add(1) {
			vm.Runners.Get("r").Online = cs.Slots(now % 7) // the load changes with every tick
			var out gateway.Actions
			roster.Report(vm, now, &out)
			for _, a := range out.List {
				if report, ok := a.(gateway.SendReport); ok && now > startTime {
					sent += len(report.To)
				}
			}
		}
		c.Assert(sent/seconds >= test.minRate && sent/seconds <= test.maxRate, qt.IsTrue, qt.Commentf("%d peers: %d datagrams per second", test.peers, sent/seconds))
	}
}
