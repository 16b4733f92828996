package membership

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const startTime cs.Instant = 1_000_000

// harness runs the systems of the package on one VM's tables in virtual time.
type harness struct {
	*fleet.Tables
	now  cs.Instant
	wake cs.Instant
}

func newHarness() *harness {
	self := cs.VM{ID: "self", Incarnation: 1, DataCentre: "a"}
	return &harness{Tables: fleet.New(fleet.DefaultConfig(), self, startTime, 1), now: startTime}
}

// tick runs one tick and returns its actions.
func (h *harness) tick(events ...fleet.Event) []fleet.Action {
	var out fleet.Actions
	h.Events = events
	for _, system := range []fleet.System{Track, Drain, AssignSenders, DialPeers, Broadcast} {
		system(h.Tables, h.now, &out)
	}
	h.wake = out.NextWake()
	return out.List
}

// advance moves time forward, with a tick at each due time, and returns the actions of all ticks.
func (h *harness) advance(s cs.Span) []fleet.Action {
	var all []fleet.Action
	for end := h.now.Add(s); h.now < end; {
		h.now = min(end, max(h.wake, h.now+2))
		all = append(all, h.tick()...)
	}
	return all
}

// vmOf returns a VM whose address is its ID.
func vmOf(id cs.VMID, n cs.Incarnation, dc cs.DataCentreID) cs.VM {
	return cs.VM{ID: id, Incarnation: n, DataCentre: dc, Address: cs.Address(id)}
}

// actionsOf returns the actions of type A.
func actionsOf[A fleet.Action](actions []fleet.Action) []A {
	var found []A
	for _, a := range actions {
		if x, ok := a.(A); ok {
			found = append(found, x)
		}
	}
	return found
}

// near is in the data centre of the VM under test; far and far2 are both in another one.
var (
	near = vmOf("near", 5, "a")
	far  = vmOf("far", 5, "b")
	far2 = vmOf("far2", 5, "b")
)

// listOf returns a platform list of the VMs and the VM under test.
func listOf(vms ...cs.VM) fleet.ListRead {
	return fleet.ListRead{VMs: append(vms, vmOf("self", 1, "a"))}
}

func heartbeatFrom(from cs.VMID) fleet.PeerMessageReceived {
	return fleet.PeerMessageReceived{From: from, Message: cs.Heartbeat{}}
}

// TestLiveness checks the rules of section 3.7 of docs/design.md: when a VM counts as live, dead or
// unknown after lists, links, heartbeats and timeouts. It guards against traffic and shards for
// dead VMs, and against live VMs that are dropped because the list lags behind, a link of a former
// process breaks or a dial fails.
func TestLiveness(t *testing.T) {
	leaving := far
	leaving.Leaving = true
	older, newer := near, near
	older.Incarnation, newer.Incarnation = 4, 6
	type step struct {
		after  cs.Span
		events []fleet.Event
	}
	at := func(after cs.Span, events ...fleet.Event) step { return step{after, events} }
	for _, c := range []struct {
		name  string
		steps []step
		vm    cs.VMID
		want  string // live, dead or none
	}{
		{"self", []step{at(0)}, "self", "live"},
		{"listed in the same data centre", []step{at(0, listOf(near))}, "near", "live"},
		{"listed but dial failed", []step{at(0, listOf(near)), at(2000, fleet.LinkClosed{VM: "near"}), at(1100)}, "near", "dead"},
		{"listed in an unreachable data centre", []step{at(0, listOf(far))}, "far", "dead"},
		{"listed in a reachable data centre", []step{at(0, listOf(far, far2)), at(100, fleet.LinkOpened{VM: far2})}, "far", "live"},
		{"leaving in a reachable data centre", []step{at(0, listOf(leaving, far2)), at(100, fleet.LinkOpened{VM: far2})}, "far", "dead"},
		{"linked but not listed", []step{at(0, listOf()), at(0, fleet.LinkOpened{VM: near}), at(2000, heartbeatFrom("near"), listOf())}, "near", "live"},
		{"linked and idle beyond the timeout", []step{at(0, listOf(near)), at(0, fleet.LinkOpened{VM: near}), at(3100)}, "near", "dead"},
		{"heard again after the idle timeout", []step{at(0, fleet.LinkOpened{VM: near}), at(3100), at(10, heartbeatFrom("near"))}, "near", "live"},
		{"link broken for less than the timeout", []step{at(0, fleet.LinkOpened{VM: near}), at(0, fleet.LinkClosed{VM: "near", Incarnation: 5}), at(2800)}, "near", "live"},
		{"link broken but listed", []step{at(0, fleet.LinkOpened{VM: near}), at(0, fleet.LinkClosed{VM: "near", Incarnation: 5}), at(2000, listOf(near)), at(1100)}, "near", "dead"},
		{"link broken and opened again", []step{at(0, fleet.LinkOpened{VM: near}), at(0, fleet.LinkClosed{VM: "near", Incarnation: 5}), at(4000, fleet.LinkOpened{VM: near})}, "near", "live"},
		{"link of the former process breaks", []step{at(0, fleet.LinkOpened{VM: near}), at(0, fleet.LinkOpened{VM: newer}), at(0, fleet.LinkClosed{VM: "near", Incarnation: 5}), at(2000, heartbeatFrom("near")), at(2000)}, "near", "live"},
		{"link to a former process", []step{at(0, listOf(newer)), at(0, fleet.LinkOpened{VM: near}), at(10, fleet.LinkClosed{VM: "near", Incarnation: 5}), at(4000)}, "near", "live"},
		{"dial failed in an unreachable data centre", []step{at(0, listOf(far)), at(100, fleet.LinkClosed{VM: "far"})}, "far", "dead"},
		{"list shows a former process", []step{at(0, fleet.LinkOpened{VM: near}), at(2000, heartbeatFrom("near"), listOf(older)), at(100)}, "near", "live"},
		{"unlisted for a minute", []step{at(0, listOf(near)), at(10, listOf()), at(60_000)}, "near", "dead"},
		{"unlisted for two minutes", []step{at(0, listOf(near)), at(10, listOf()), at(121_000)}, "near", "none"},
		{"empty list", []step{at(0, listOf(near)), at(0, fleet.ListRead{}), at(1000)}, "near", "live"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			for _, s := range c.steps {
				h.advance(s.after)
				h.tick(s.events...)
			}
			h.advance(100) // lets a sweep that is due run
			got := "none"
			if v := h.VMs.Get(c.vm); v != nil {
				got = map[bool]string{true: "live", false: "dead"}[v.Live]
			}
			qt.Assert(t, got, qt.Equals, c.want)
		})
	}
}

// TestLeavingIsNotReverted guards against a VM or runner that has stated that it is leaving, but no
// longer counts as leaving when a list that lags behind shows it as not leaving.
func TestLeavingIsNotReverted(t *testing.T) {
	h := newHarness()
	runner := cs.Runner{ID: "r", Incarnation: 1, DataCentre: "a"}
	h.tick(fleet.ListRead{VMs: []cs.VM{near}, Runners: []cs.Runner{runner}}, fleet.LinkOpened{VM: near})
	h.advance(200)
	h.tick(fleet.PeerMessageReceived{From: "near", Message: cs.Heartbeat{Leaving: true}}, fleet.LoadReceived{Runner: "r", Report: cs.LoadReport{Leaving: true}})
	h.advance(200)
	h.tick(fleet.ListRead{VMs: []cs.VM{near}, Runners: []cs.Runner{runner}})
	qt.Check(t, h.VMs.Get("near").Leaving, qt.IsTrue)
	qt.Check(t, h.Runners.Get("r").Leaving, qt.IsTrue)
	qt.Check(t, h.Runners.Get("r").Sender, qt.Equals, cs.VMID("self"))
}

// TestRunnerList guards against counts of work in flight that are reset when a runner restarts or
// leaves the list, against statistics that outlive a restart, and against polling the wrong runners
// or addresses.
func TestRunnerList(t *testing.T) {
	h := newHarness()
	own := cs.Runner{ID: "own", Incarnation: 1, DataCentre: "a", Address: "1"}
	served := cs.Runner{ID: "served", Incarnation: 1, DataCentre: "b", Address: "2"} // polled by far
	orphan := cs.Runner{ID: "orphan", Incarnation: 1, DataCentre: "c", Address: "3"} // no VM in its data centre
	tickWithRunners := func(runners ...cs.Runner) []fleet.Action {
		h.now += 500
		return h.tick(fleet.ListRead{VMs: []cs.VM{far}, Runners: runners})
	}
	qt.Assert(t, actionsOf[fleet.PollLoad](tickWithRunners(own, served, orphan)), qt.DeepEquals,
		[]fleet.PollLoad{{Runner: "own", Address: "1"}, {Runner: "orphan", Address: "3"}})
	r := h.Runners.Get("own")
	r.Online, r.Failures, r.EjectedUntil = 2, 3, h.now+1000
	own.Incarnation, own.Address = 2, "4"
	qt.Assert(t, actionsOf[fleet.PollLoad](tickWithRunners(own, served, orphan)), qt.DeepEquals,
		[]fleet.PollLoad{{Runner: "own", Address: "1", Stop: true}, {Runner: "own", Address: "4"}})
	r = h.Runners.Get("own")
	qt.Assert(t, r.Online, qt.Equals, cs.Slots(2))
	qt.Assert(t, r.Failures == 0 && r.EjectedUntil == 0, qt.IsTrue)

	tickWithRunners(served, orphan)
	h.advance(1000)
	r = h.Runners.Get("own")
	qt.Assert(t, r.Unlisted && r.Leaving && !r.Polled, qt.IsTrue)
	tickWithRunners(own, served, orphan)
	qt.Assert(t, h.Runners.Get("own").Leaving, qt.IsFalse)
	h.Runners.Get("own").Online = 0
	tickWithRunners(served, orphan)
	h.advance(200)
	qt.Assert(t, h.Runners.Get("own"), qt.IsNil)
	qt.Assert(t, h.Membership.UnlistedRunners, qt.Equals, 0)
}

// TestAssignSenders guards against VMs that disagree about a runner's batch sender, and against
// dead batch senders.
func TestAssignSenders(t *testing.T) {
	h := newHarness()
	runners := make([]cs.Runner, 50)
	for i := range runners {
		runners[i] = cs.Runner{ID: cs.RunnerID(fmt.Sprint("r", i)), Incarnation: 1, DataCentre: "a"}
	}
	h.tick(fleet.ListRead{VMs: []cs.VM{near}, Runners: runners}, fleet.LinkOpened{VM: near})
	count := map[cs.VMID]int{}
	for id, r := range h.Runners.All() {
		qt.Assert(t, r.Sender, qt.Equals, highestRanked(string(id), []cs.VMID{"near", "self"}))
		qt.Assert(t, r.SenderSince, qt.Equals, h.now)
		count[r.Sender]++
	}
	qt.Assert(t, count["self"] > 10 && count["near"] > 10, qt.IsTrue)
	h.advance(200)
	h.tick(fleet.LinkClosed{VM: "near", Incarnation: 5})
	h.advance(3200)
	for _, r := range h.Runners.All() {
		qt.Assert(t, r.Sender, qt.Equals, cs.VMID("self"))
	}
}

// TestDialBackoff guards against dials without backoff, and against VMs that are never dialled
// again.
func TestDialBackoff(t *testing.T) {
	h := newHarness()
	qt.Assert(t, actionsOf[fleet.Dial](h.tick(listOf(near, far))), qt.HasLen, 2)
	qt.Assert(t, actionsOf[fleet.Dial](h.advance(1000)), qt.HasLen, 0)
	h.tick(fleet.LinkOpened{VM: far})
	dials := 0
	for range 600 { // one minute of failing dials
		h.now += 100
		dials += len(actionsOf[fleet.Dial](h.tick(fleet.LinkClosed{VM: "near"}, heartbeatFrom("far"))))
	}
	qt.Assert(t, dials >= 12 && dials <= 40, qt.IsTrue, qt.Commentf("%d dials", dials))
	h.advance(6000)
	h.tick(fleet.LinkOpened{VM: near})
	h.advance(6000)
	qt.Assert(t, actionsOf[fleet.Dial](h.tick(fleet.LinkClosed{VM: "near", Incarnation: 5})), qt.HasLen, 1)
	h.tick(fleet.LinkOpened{VM: far2}) // not listed
	h.advance(6000)
	qt.Assert(t, actionsOf[fleet.Dial](h.tick(fleet.LinkClosed{VM: "far2", Incarnation: 5})), qt.HasLen, 1)
	h.tick(listOf(far))
	qt.Assert(t, actionsOf[fleet.CloseLink](h.advance(130_000)), qt.Contains, fleet.CloseLink{VM: "near"})
}

// TestPeers guards against data centres without links between them, and against too many links.
func TestPeers(t *testing.T) {
	vms := testVMs(390)
	most := 0
	for _, vm := range vms {
		peers := Peers(vm, vms, 8)
		qt.Assert(t, len(peers), qt.Equals, len(inDataCentre(vms, vm.DataCentre))-1+8*8)
		most = max(most, len(peers))
	}
	qt.Assert(t, Peers(vms[0], vms[:1], 8), qt.HasLen, 0)
	qt.Assert(t, most <= 107, qt.IsTrue)
}

// TestHeartbeats guards against heartbeats that are late after a drain begins or the owned shards
// change, and against heartbeats that are longer than needed because they contain counts that only
// another VM needs.
func TestHeartbeats(t *testing.T) {
	h := newHarness()
	h.tick(fleet.LinkOpened{VM: near}, fleet.LinkOpened{VM: far})
	sent := func(actions []fleet.Action) int { return len(actionsOf[fleet.Send](actions)) }
	qt.Assert(t, sent(h.advance(10_000)), qt.Equals, 20)
	h.Shards.Insert(3, fleet.Shard{Owned: true, Claim: 7})
	h.Jobs.Insert("j", fleet.Job{Shard: 3, Counts: [cs.ItemUnknown + 1]cs.ItemIndex{cs.ItemWaiting: 9}})
	h.Runners.Insert("r", fleet.Runner{Online: 4, Sender: "near"})
	for _, s := range actionsOf[fleet.Send](h.tick()) {
		heartbeat := s.Message.(cs.Heartbeat)
		qt.Check(t, heartbeat.Owned, qt.DeepEquals, []cs.OwnedShard{{Shard: 3, Fence: 7, Waiting: 9}})
		qt.Check(t, len(heartbeat.Online) == 1, qt.Equals, s.To == "near")
	}
	qt.Assert(t, sent(h.tick()), qt.Equals, 0)
	qt.Assert(t, sent(h.tick(fleet.DrainRequested{})), qt.Equals, 2)
}

// TestDrain guards against a VM that leaves with work in flight, leaves twice or never leaves.
func TestDrain(t *testing.T) {
	for _, c := range []struct {
		name string
		busy func(*fleet.Tables)
		want cs.Span // from the drain command to leaving
	}{
		{"idle", func(*fleet.Tables) {}, 3000},
		{"with a request", func(t *fleet.Tables) { t.Requests.Insert("q", fleet.Request{}) }, 63_000},
		{"with a run", func(t *fleet.Tables) { t.Runs.Insert(cs.ItemKey{}, fleet.Run{}) }, 63_000},
		{"with a query", func(t *fleet.Tables) { t.Queries.Insert(1, fleet.Query{}) }, 63_000},
		{"with a shard", func(t *fleet.Tables) { t.Shards.Insert(1, fleet.Shard{Owned: true}) }, 63_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			c.busy(h.Tables)
			h.tick(fleet.DrainRequested{})
			before := h.advance(c.want - 1)
			h.tick(fleet.DrainRequested{})
			qt.Check(t, actionsOf[fleet.Exit](before), qt.HasLen, 0)
			after := h.advance(10_000)
			qt.Check(t, actionsOf[fleet.Exit](after), qt.HasLen, 1)
			qt.Check(t, h.Drain.Phase, qt.Equals, fleet.DrainDone)
		})
	}
}

// TestLogState guards against a log that counts as fresh while reads fail.
func TestLogState(t *testing.T) {
	h := newHarness()
	h.tick(fleet.LogRead{})
	h.now += 100
	h.tick(fleet.LogReadFailed{})
	h.now += 100
	h.tick(fleet.LogRead{})
	h.now += 100
	h.tick(fleet.LogRead{})
	qt.Assert(t, h.Log, qt.Equals, fleet.LogState{ReadAt: startTime + 300, FailedAt: startTime + 100, FreshSince: startTime + 200})
}
