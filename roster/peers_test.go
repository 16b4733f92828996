package roster_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

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

// Guards against a crash that is proved only when the runner starts again, since the VM that lost the connection avoids a
// runner that its peers could not reach.
func TestRefusedConnectionOfPeerProvesCrash(t *testing.T) {
	c := qt.New(t)
	a, b := newTables("a"), newTables("b")
	for _, vm := range []*gateway.Tables{a, b} {
		runSystem(vm, startTime, roster.Peers, gateway.PeerReported{Address: "x:1", Report: gateway.Report{From: "x", DataCentre: "x", Seq: 1}})
	}
	a.RecordPossibleCrash(a.Runners.Get("r"), gateway.PossibleCrash{Parts: []cs.PromptPart{7}, At: startTime})
	now := startTime.Add(20)
	var out gateway.Actions
	b.RecordUnreachable(b.Runners.Get("r"), true, now, "connection refused", &out)
	report := reportOf(b, now.Add(200))
	c.Assert(report, qt.IsNotNil)
	now = now.Add(210)
	runSystem(a, now, roster.Peers,
		gateway.PeerReported{Address: "x:1", Report: gateway.Report{From: "x", DataCentre: "x", Seq: 2}},
		gateway.PeerReported{Address: "b:1", Report: *report})
	runSystem(a, now, roster.Crashes)
	c.Assert(a.Suspects.Get(gateway.PartKey(7)).Crashes, qt.HasLen, 1)
}

// Guards against two VMs that report an old suspect to each other in each report, since the time on the network makes it
// look newer to the other one.
func TestReportsOfSuspectsDoNotEcho(t *testing.T) {
	c := qt.New(t)
	a, b := newTables("a"), newTables("b")
	var out gateway.Actions
	for id := range gateway.CrashID(3) {
		a.RecordCrash(gateway.PartKey(7), gateway.Crash{ID: id, At: startTime, LearnedAt: startTime})
	}
	now := startTime
	withSuspects := 0
	for range 150 { // 30 s, with 3 ms on the network
		now = now.Add(200)
		if now == startTime.Add(20*cs.Second) {
			a.Quarantine.Parts = []cs.PromptPart{7}
			c.Assert(a.ClaimProbe(7, now), qt.IsTrue)
			a.RecordProbe(7, now, &out)
		}
		reportA, reportB := reportOf(a, now), reportOf(b, now)
		c.Assert(reportA, qt.IsNotNil)
		c.Assert(reportB, qt.IsNotNil)
		if len(reportA.Suspects) > 0 {
			withSuspects++
		}
		runSystem(a, now.Add(3), roster.Peers, gateway.PeerReported{Address: "b:1", Report: *reportB})
		runSystem(b, now.Add(3), roster.Peers, gateway.PeerReported{Address: "a:1", Report: *reportA})
	}
	// One report a second lists all suspects, and a few more the news of the crashes and of the probe.
	c.Assert(withSuspects <= 30+10, qt.IsTrue, qt.Commentf("%d of 150 reports", withSuspects))
	c.Assert(b.Suspects.Get(gateway.PartKey(7)).LastCrashAt < startTime.Add(cs.Second), qt.IsTrue)
}

// Guards against a report that callers make larger than a datagram, by making up parts and contents: it is lost if a part
// of it is.
func TestReportOfSuspectsFitsIntoDatagram(t *testing.T) {
	const maxDatagram = 1500
	c := qt.New(t)
	vm := newTables("a")
	for i := range 12 {
		id := cs.RunnerID(fmt.Sprintf("i-7f3a91c2%02d", i))
		vm.Runners.Insert(id, gateway.Runner{Spec: cs.Runner{ID: id, DataCentre: "x", Slots: 8}, Online: 3, Batch: 3})
	}
	for i := range 500 {
		vm.RecordBegun([]cs.PromptPart{cs.PromptPart(1<<60 + i)}, startTime, startTime)
		for id := range gateway.CrashID(20) {
			crash := gateway.Crash{ID: 1<<31 + id, At: startTime.Add(-cs.Minute), LearnedAt: startTime}
			vm.RecordCrash(gateway.PartKey(cs.PromptPart(1<<61+i)), crash)
			vm.RecordCrash(gateway.ContentKey(cs.ContentHash(1<<62+i)), crash)
		}
		acquitted := gateway.SuspectReport{Key: gateway.PartKey(cs.PromptPart(1<<60 + i)), Crashes: []gateway.CrashReport{{ID: 1}}}
		vm.MergeSuspect(acquitted, startTime)
	}
	report := reportOf(vm, startTime.Add(200))
	c.Assert(len(report.Suspects) > 20, qt.IsTrue)
	data, err := cbor.Marshal(report)
	c.Assert(err, qt.IsNil)
	c.Assert(len(data) <= maxDatagram, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
}

// exchange lets two VMs send their reports to each other once, if any are due.
func exchange(a, b *gateway.Tables, now cs.Instant) {
	reportA, reportB := reportOf(a, now), reportOf(b, now)
	if reportB != nil {
		runSystem(a, now.Add(3), roster.Peers, gateway.PeerReported{Address: "b:1", Report: *reportB})
	}
	if reportA != nil {
		runSystem(b, now.Add(3), roster.Peers, gateway.PeerReported{Address: "a:1", Report: *reportA})
	}
}

// Guards against a VM that holds a limit for ever, since it was cut off when the other VMs learned that it had ended, and
// against its old knowledge bringing the limit back at the others.
func TestVMThatReturnsLearnsThatLimitHasEnded(t *testing.T) {
	c := qt.New(t)
	a, b := newTables("a"), newTables("b")
	now := startTime
	runSystem(a, now, roster.Limits, gateway.RunnerLimitRead{Runner: "r", Named: true, Limit: 2.5})
	for range 10 {
		now = now.Add(200)
		exchange(a, b, now)
	}
	c.Assert(b.Runners.Get("r").Limit.Named, qt.IsTrue)
	now = now.Add(10 * cs.Second) // b is cut off meanwhile
	runSystem(a, now, roster.Limits, gateway.RunnerLimitRead{Runner: "r"})
	now = now.Add(20 * cs.Second)
	for range 15 { // contact_ms
		now = now.Add(200)
		exchange(a, b, now)
	}
	c.Assert(a.Runners.Get("r").Limit.Named, qt.IsFalse)
	c.Assert(b.Runners.Get("r").Limit.Named, qt.IsFalse)
}

// Guards against VMs on both sides of a network partition that each use the whole limit of a runner that both reach.
func TestLimitIsSharedAcrossNetworkPartition(t *testing.T) {
	c := qt.New(t)
	rates := 0.0
	for _, live := range []int{5, 15} {
		vm := newTables("a")
		for i := range 19 {
			id := cs.VMID(fmt.Sprintf("vm%d", i))
			runSystem(vm, startTime, roster.Peers, gateway.PeerReported{Address: "p:1", Report: gateway.Report{From: id, Seq: 1}})
		}
		runSystem(vm, startTime, roster.Limits, gateway.RunnerLimitRead{Runner: "r", Named: true, Limit: 4})
		now := startTime
		for seq := range uint64(20) { // 4 s, in which only some VMs are heard
			now = now.Add(200)
			for i := range live - 1 {
				id := cs.VMID(fmt.Sprintf("vm%d", i))
				runSystem(vm, now, roster.Peers, gateway.PeerReported{Address: "p:1", Report: gateway.Report{From: id, Seq: seq + 2}})
			}
			runSystem(vm, now, roster.Peers)
			runSystem(vm, now, roster.Limits)
		}
		rates += float64(vm.Runners.Get("r").Limit.Bucket.Rate)
	}
	c.Assert(rates <= 4.01 && rates >= 3.99, qt.IsTrue, qt.Commentf("%.2f requests a second on both sides", rates))
}
