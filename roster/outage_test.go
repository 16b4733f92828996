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

// readNothingNew lets VMs apply a read of the registrations that brings no change.
func readNothingNew(now cs.Instant, vms ...*gateway.Tables) {
	for _, vm := range vms {
		tickMembership(vm, now, gateway.FeedRead{Feed: gateway.FeedRunners, Loaded: true, AsOf: now})
	}
}

// readChange lets VMs apply a read of the registrations that brings one change.
func readChange(now cs.Instant, change gateway.RunnerChange, vms ...*gateway.Tables) {
	for _, vm := range vms {
		tickMembership(vm, now, gateway.FeedRead{Feed: gateway.FeedRunners, Loaded: true, AsOf: now},
			gateway.RunnersRead{Changes: []gateway.RunnerChange{change}})
	}
}

// loseStore lets VMs apply a failed read of the registrations.
func loseStore(now cs.Instant, vms ...*gateway.Tables) {
	for _, vm := range vms {
		tickMembership(vm, now, gateway.FeedFailed{Feed: gateway.FeedRunners, Error: "no data received"})
	}
}

// someVMs returns the VMs with the given IDs.
func someVMs(vms map[cs.VMID]*gateway.Tables, ids ...cs.VMID) []*gateway.Tables {
	var some []*gateway.Tables
	for _, id := range ids {
		some = append(some, vms[id])
	}
	return some
}

// subset returns the table of the VMs with the given IDs.
func subset(vms map[cs.VMID]*gateway.Tables, ids ...cs.VMID) map[cs.VMID]*gateway.Tables {
	some := make(map[cs.VMID]*gateway.Tables)
	for _, id := range ids {
		some[id] = vms[id]
	}
	return some
}

// Guards against a VM that reaches its peers but not yet the store dropping live runners after an outage: it hears from its
// peers that their registrations had expired, and not that they are back.
func TestRunnerThatRegisteredAgainStaysInUseAtVMWithoutStore(t *testing.T) {
	c := qt.New(t)
	vms := newReaders(someRunner, "a", "b", "c", "d")
	all, withStore := someVMs(vms, "a", "b", "c", "d"), someVMs(vms, "b", "c", "d")
	now := startTime.Add(3 * cs.Second)
	readNothingNew(now, all...)
	exchangeAll(vms, now)
	loseStore(now.Add(200), all...)
	for until := now.Add(6 * cs.Second); now < until; now = now.Add(200) {
		exchangeAll(vms, now)
	}
	readChange(now, gateway.RunnerChange{ID: "r", Offset: 20}, withStore...) // expired in the outage
	for until := now.Add(1500); now < until; now = now.Add(100) {
		readNothingNew(now, withStore...)
		exchangeAll(vms, now)
	}
	readChange(now, registered(someRunner, 30), withStore...)
	for until := now.Add(3 * cs.Second); now < until; now = now.Add(100) {
		readNothingNew(now, withStore...)
		exchangeAll(vms, now)
		for id, vm := range vms {
			c.Assert(vm.Runners.Get("r"), qt.IsNotNil, qt.Commentf("VM %s, %d ms after the runner was back", id, now.Sub(until.Add(-3*cs.Second))))
		}
	}
}

// Guards against VMs of a data centre that drop its live runners when a network partition heals: these were cut off from the
// store like the VMs, so that their registrations have expired, and are back within 2 s.
func TestRunnersOfDataCentreStayInUseWhenNetworkPartitionHeals(t *testing.T) {
	c := qt.New(t)
	vms := newReaders(someRunner, "a", "b", "c", "d", "e", "f")
	inside, outside := someVMs(vms, "a", "b"), someVMs(vms, "c", "d", "e", "f")
	for _, vm := range outside {
		vm.Self.DataCentre = "y"
	}
	now := startTime.Add(3 * cs.Second)
	readNothingNew(now, append(inside, outside...)...)
	exchangeAll(vms, now)
	loseStore(now.Add(200), inside...)
	step := func() {
		readNothingNew(now, outside...)
		exchangeAll(subset(vms, "a", "b"), now)
		exchangeAll(subset(vms, "c", "d", "e", "f"), now)
		now = now.Add(200)
	}
	for until := now.Add(4 * cs.Second); now < until; {
		step()
	}
	readChange(now, gateway.RunnerChange{ID: "r", Offset: 20}, outside...)
	for until := now.Add(4 * cs.Second); now < until; {
		step()
	}
	for _, vm := range inside {
		c.Assert(vm.Runners.Get("r"), qt.IsNotNil)
	}
	readChange(now, gateway.RunnerChange{ID: "r", Offset: 20}, inside...)
	for until := now.Add(1900); now < until; now = now.Add(100) {
		readNothingNew(now, append(inside, outside...)...)
		exchangeAll(vms, now)
		for _, vm := range inside {
			c.Assert(vm.Runners.Get("r"), qt.IsNotNil, qt.Commentf("%d ms after the partition healed", now.Sub(until.Add(-1900))))
		}
	}
}

// Guards against one failed read at most VMs at about the same time, in which no registration can expire, keeping a runner in
// use for longer than it may get requests after its registration was removed.
func TestRunnerIsNotUsedAfterSingleFailedReadOfAllVMs(t *testing.T) {
	c := qt.New(t)
	vms := newReaders(someRunner, "a", "b", "c", "d")
	all := someVMs(vms, "a", "b", "c", "d")
	now := startTime
	for until := startTime.Add(7700); now < until; now = now.Add(100) {
		readNothingNew(now, all...)
		exchangeAll(vms, now)
	}
	loseStore(now, all...)
	now = now.Add(160)
	readNothingNew(now, all...)
	now = now.Add(140)
	left := now
	readChange(now, gateway.RunnerChange{ID: "r", Offset: 20}, all...)
	for ; now < left.Add(drainTime); now = now.Add(100) {
		readNothingNew(now, all...)
		exchangeAll(vms, now)
	}
	for id, vm := range vms {
		c.Check(isUsable(vm, now), qt.IsFalse, qt.Commentf("VM %s, %d ms after the removal", id, now.Sub(left)))
	}
}

// Guards against a VM that was frozen during an outage of the store taking live runners, whose registrations expired
// meanwhile, for gone since none of its own reads failed, and making its peers believe that there was no outage.
func TestRunnersStayInUseAfterOutageDuringFreezeOfVM(t *testing.T) {
	c := qt.New(t)
	vms := newReaders(someRunner, "a", "b")
	a, b := vms["a"], vms["b"]
	now := startTime.Add(3 * cs.Second)
	readNothingNew(now, a, b)
	exchangeAll(vms, now)
	loseStore(now.Add(200), b) // a is frozen
	a.DueAt = now.Add(200)
	now = now.Add(8 * cs.Second)
	runSystem(a, now, roster.Delay)
	for range 2 { // the reports of the first round tell of the state before the reads
		readChange(now, gateway.RunnerChange{ID: "r", Offset: 20}, b, a)
		exchangeAll(vms, now)
		now = now.Add(300)
	}
	exchangeAll(vms, now)
	tickMembership(a, now)
	tickMembership(b, now)
	for id, vm := range vms {
		c.Check(vm.Runners.Get("r"), qt.IsNotNil, qt.Commentf("VM %s", id))
	}
}

// Guards against a runner that has said that it is leaving and is used again, since an entry that does not name its
// incarnation, or that of an earlier start, was read meanwhile.
func TestAnnouncedLeaveOutlastsRegistrationOfEarlierIncarnation(t *testing.T) {
	c := qt.New(t)
	a := newReaders(someRunner, "a")["a"]
	now := startTime.Add(cs.Second)
	tickMembership(a, now, gateway.RunnerAnnouncedLeaving{Runner: "r", Incarnation: someRunner.Incarnation})
	foreign := someRunner
	foreign.Incarnation = 0
	readChange(now.Add(100), registered(foreign, 20), a)
	c.Assert(isUsable(a, now.Add(100)), qt.IsFalse)
	readChange(now.Add(200), registered(someRunner, 21), a)
	c.Assert(isUsable(a, now.Add(200)), qt.IsFalse)
}

// Guards against a VM that started while the store was away not using live runners of which it adopted the registrations from
// a peer, since another peer still reported that these had expired.
func TestAdoptedRunnerThatRegisteredAgainIsUsed(t *testing.T) {
	c := qt.New(t)
	vms := newReaders(someRunner, "b", "c")
	b, d := vms["b"], vms["c"]
	now := startTime.Add(3 * cs.Second)
	readChange(now, gateway.RunnerChange{ID: "r", Offset: 20}, b, d)
	readChange(now.Add(10), registered(someRunner, 30), b)
	a := gateway.New(gateway.Config{RegistrationGrace: 2500}, cs.VM{ID: "a", DataCentre: "x", Incarnation: 1}, now, 1)
	loseStore(now, a)
	tickMembership(a, now.Add(20), gateway.PeerReported{Address: "c:1", Report: *reportOf(d, now.Add(20))})
	answers := runSystem(b, now.Add(30), roster.Bootstrap, gateway.PeerStateRequested{Query: 1})
	state := answers[0].(gateway.AnswerPeerState).State
	state.Catalog = &cs.Catalog{Version: 1}
	runSystem(a, now.Add(40), roster.Bootstrap, gateway.PeerStateRead{Peer: "b", State: state})
	c.Assert(isUsable(a, now.Add(40)), qt.IsTrue)
}

// Guards against reports of more than one datagram when many runners leave at once, as in a release, while others are
// suspected of crashes and name limits: such a report is lost if a part of it is.
func TestReportOfDeparturesFitsIntoDatagram(t *testing.T) {
	const maxDatagram = 1500
	c := qt.New(t)
	vm := newTables("a")
	var out gateway.Actions
	for i := range 30 {
		id := cs.RunnerID(fmt.Sprintf("i-7f3a91c2%02d", i))
		vm.Runners.Insert(id, gateway.Runner{Spec: cs.Runner{ID: id, DataCentre: "x", Slots: 8, Incarnation: 1_780_000_000_000}})
		if i < 12 {
			vm.Runners.Get(id).Online, vm.Runners.Get(id).Batch = 3, 3
		}
		vm.RecordDeparture(id, gateway.Announced{Incarnation: 1_780_000_000_000}, startTime, startTime, gateway.SourceResponse, &out)
		vm.RecordDeparture(id, gateway.Removed{Offset: cs.Offset(1_000_000 + i)}, startTime, startTime, gateway.SourceRegistration, &out)
	}
	data, err := cbor.Marshal(reportOf(vm, startTime.Add(200)))
	c.Assert(err, qt.IsNil)
	c.Check(len(data) <= maxDatagram, qt.IsTrue, qt.Commentf("%d bytes with departures and loads", len(data)))
	for i := range 500 {
		for id := range gateway.CrashID(20) {
			crash := gateway.Crash{ID: 1<<31 + id, At: startTime.Add(-cs.Minute), LearnedAt: startTime}
			vm.RecordCrash(gateway.PartKey(cs.PromptPart(1<<61+i)), crash)
			vm.RecordCrash(gateway.ContentKey(cs.ContentHash(1<<62+i)), crash)
		}
	}
	data, err = cbor.Marshal(reportOf(vm, startTime.Add(400)))
	c.Assert(err, qt.IsNil)
	c.Check(len(data) <= maxDatagram, qt.IsTrue, qt.Commentf("%d bytes with departures, loads and suspects", len(data)))
}

// Guards against a VM that reaches its peers but not the store keeping a runner that has left in use, although all peers read
// the removal of its registration.
func TestRunnerThatLeftIsRemovedAtVMWithoutStore(t *testing.T) {
	c := qt.New(t)
	vms := newReaders(someRunner, "a", "b", "c", "d")
	withStore := someVMs(vms, "b", "c", "d")
	now := startTime.Add(3 * cs.Second)
	readNothingNew(now, someVMs(vms, "a", "b", "c", "d")...)
	exchangeAll(vms, now)
	loseStore(now.Add(200), vms["a"])
	for until := now.Add(4 * cs.Second); now < until; now = now.Add(200) {
		readNothingNew(now, withStore...)
		exchangeAll(vms, now)
	}
	readChange(now, gateway.RunnerChange{ID: "r", Offset: 20}, withStore...)
	exchangeAll(vms, now.Add(100))
	tickMembership(vms["a"], now.Add(110))
	c.Assert(vms["a"].Runners.Len(), qt.Equals, 0)
}

// Guards against one VM that could read the store outvoting all others, which could not: in an outage of a part of the store
// the registrations of live runners expire, too.
func TestMinorityThatReadsStoreDoesNotSettleOutage(t *testing.T) {
	c := qt.New(t)
	vms := newReaders(someRunner, "a", "b", "c", "d")
	now := startTime.Add(3 * cs.Second)
	readNothingNew(now, someVMs(vms, "a", "b", "c", "d")...)
	exchangeAll(vms, now)
	loseStore(now.Add(200), someVMs(vms, "a", "b", "c")...)
	for until := now.Add(4 * cs.Second); now < until; now = now.Add(200) {
		readNothingNew(now, vms["d"])
		exchangeAll(vms, now)
	}
	readChange(now, gateway.RunnerChange{ID: "r", Offset: 20}, vms["d"])
	for until := now.Add(2 * cs.Second); now < until; now = now.Add(200) {
		readNothingNew(now, vms["d"])
		exchangeAll(vms, now)
	}
	for _, vm := range someVMs(vms, "a", "b", "c") {
		tickMembership(vm, now)
		c.Assert(vm.Runners.Get("r"), qt.IsNotNil)
	}
}
