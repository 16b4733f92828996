package membership

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const start cs.Instant = 1_000_000

// world runs the systems of the package over one VM's tables.
type world struct {
	*fleet.Tables
	now  cs.Instant
	wake cs.Instant
}

func newWorld() *world {
	self := cs.VM{ID: "self", Incarnation: 1, DataCentre: "a"}
	return &world{Tables: fleet.New(fleet.DefaultConfig(), self, start, 1), now: start}
}

// tick runs one tick and returns its actions.
func (w *world) tick(events ...fleet.Event) []fleet.Action {
	var out fleet.Actions
	w.Events = events
	for _, system := range []fleet.System{Track, Drain, Senders, Connect, Beat} {
		system(w.Tables, w.now, &out)
	}
	w.wake = out.NextWake()
	return out.List
}

// pass lets time go by, with a tick at each instant asked for, and returns all actions.
func (w *world) pass(s cs.Span) []fleet.Action {
	var all []fleet.Action
	for end := w.now.Add(s); w.now < end; {
		w.now = min(end, max(w.wake, w.now+2))
		all = append(all, w.tick()...)
	}
	return all
}

func vmOf(id cs.VMID, n cs.Incarnation, centre cs.DataCentreID) cs.VM {
	return cs.VM{ID: id, Incarnation: n, DataCentre: centre, Address: cs.Address(id)}
}

func find[A fleet.Action](actions []fleet.Action) []A {
	var found []A
	for _, a := range actions {
		if x, ok := a.(A); ok {
			found = append(found, x)
		}
	}
	return found
}

var (
	near = vmOf("near", 5, "a")
	far  = vmOf("far", 5, "b")
	far2 = vmOf("far2", 5, "b")
)

func list(vms ...cs.VM) fleet.ListRead {
	return fleet.ListRead{VMs: append(vms, vmOf("self", 1, "a"))}
}

func beat(from cs.VMID) fleet.PeerSaid {
	return fleet.PeerSaid{From: from, Message: cs.Heartbeat{}}
}

// TestVerdict guards against VMs that count as live or dead against section 3.7 of the design page.
func TestVerdict(t *testing.T) {
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
		{"listed in the own data centre", []step{at(0, list(near))}, "near", "live"},
		{"listed, and the dial fails", []step{at(0, list(near)), at(2000, fleet.LinkClosed{VM: "near"}), at(1100)}, "near", "dead"},
		{"listed elsewhere with nobody to vouch", []step{at(0, list(far))}, "far", "dead"},
		{"listed elsewhere, vouched for", []step{at(0, list(far, far2)), at(100, fleet.LinkOpened{VM: far2})}, "far", "live"},
		{"vouched for but leaving", []step{at(0, list(leaving, far2)), at(100, fleet.LinkOpened{VM: far2})}, "far", "dead"},
		{"linked and not listed", []step{at(0, list()), at(0, fleet.LinkOpened{VM: near}), at(2000, beat("near"), list())}, "near", "live"},
		{"linked and silent", []step{at(0, list(near)), at(0, fleet.LinkOpened{VM: near}), at(3100)}, "near", "dead"},
		{"silent, then heard", []step{at(0, fleet.LinkOpened{VM: near}), at(3100), at(10, beat("near"))}, "near", "live"},
		{"broken for less than the timeout", []step{at(0, fleet.LinkOpened{VM: near}), at(0, fleet.LinkClosed{VM: "near", Incarnation: 5}), at(2800)}, "near", "live"},
		{"broken though listed", []step{at(0, fleet.LinkOpened{VM: near}), at(0, fleet.LinkClosed{VM: "near", Incarnation: 5}), at(2000, list(near)), at(1100)}, "near", "dead"},
		{"broken and opened again", []step{at(0, fleet.LinkOpened{VM: near}), at(0, fleet.LinkClosed{VM: "near", Incarnation: 5}), at(4000, fleet.LinkOpened{VM: near})}, "near", "live"},
		{"link of the earlier process breaks", []step{at(0, fleet.LinkOpened{VM: near}), at(0, fleet.LinkOpened{VM: newer}), at(0, fleet.LinkClosed{VM: "near", Incarnation: 5}), at(2000, beat("near")), at(2000)}, "near", "live"},
		{"link to an earlier process", []step{at(0, list(newer)), at(0, fleet.LinkOpened{VM: near}), at(10, fleet.LinkClosed{VM: "near", Incarnation: 5}), at(4000)}, "near", "live"},
		{"dial fails and nobody vouches", []step{at(0, list(far)), at(100, fleet.LinkClosed{VM: "far"})}, "far", "dead"},
		{"list shows an earlier process", []step{at(0, fleet.LinkOpened{VM: near}), at(2000, beat("near"), list(older)), at(100)}, "near", "live"},
		{"unlisted for a minute", []step{at(0, list(near)), at(10, list()), at(60_000)}, "near", "dead"},
		{"unlisted for two minutes", []step{at(0, list(near)), at(10, list()), at(121_000)}, "near", "none"},
		{"empty list", []step{at(0, list(near)), at(0, fleet.ListRead{}), at(1000)}, "near", "live"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			for _, s := range c.steps {
				w.pass(s.after)
				w.tick(s.events...)
			}
			w.pass(100) // a sweep may be due
			got := "none"
			if v := w.VMs.Get(c.vm); v != nil {
				got = map[bool]string{true: "live", false: "dead"}[v.Live]
			}
			qt.Assert(t, got, qt.Equals, c.want)
		})
	}
}

// TestLeavingStays guards against a list that lags behind and brings a leaving VM or runner back.
func TestLeavingStays(t *testing.T) {
	w := newWorld()
	runner := cs.Runner{ID: "r", Incarnation: 1, DataCentre: "a"}
	w.tick(fleet.ListRead{VMs: []cs.VM{near}, Runners: []cs.Runner{runner}}, fleet.LinkOpened{VM: near})
	w.pass(200)
	w.tick(fleet.PeerSaid{From: "near", Message: cs.Heartbeat{Leaving: true}}, fleet.LoadReported{Runner: "r", Report: cs.LoadReport{Leaving: true}})
	w.pass(200)
	w.tick(fleet.ListRead{VMs: []cs.VM{near}, Runners: []cs.Runner{runner}})
	qt.Check(t, w.VMs.Get("near").Leaving, qt.IsTrue)
	qt.Check(t, w.Runners.Get("r").Leaving, qt.IsTrue)
	qt.Check(t, w.Runners.Get("r").Sender, qt.Equals, cs.VMID("self"))
}

// TestRunners guards against lost in-flight counts, stale statistics and polls of wrong runners.
func TestRunners(t *testing.T) {
	w := newWorld()
	own := cs.Runner{ID: "own", Incarnation: 1, DataCentre: "a", Address: "1"}
	served := cs.Runner{ID: "served", Incarnation: 1, DataCentre: "b", Address: "2"}
	orphan := cs.Runner{ID: "orphan", Incarnation: 1, DataCentre: "c", Address: "3"}
	show := func(runners ...cs.Runner) []fleet.Action {
		w.now += 500
		return w.tick(fleet.ListRead{VMs: []cs.VM{far}, Runners: runners})
	}
	qt.Assert(t, find[fleet.Watch](show(own, served, orphan)), qt.DeepEquals,
		[]fleet.Watch{{Runner: "own", Address: "1"}, {Runner: "orphan", Address: "3"}})
	r := w.Runners.Get("own")
	r.Online, r.Failures, r.EjectedUntil = 2, 3, w.now+1000
	own.Incarnation, own.Address = 2, "4"
	qt.Assert(t, find[fleet.Watch](show(own, served, orphan)), qt.DeepEquals,
		[]fleet.Watch{{Runner: "own", Address: "1", Off: true}, {Runner: "own", Address: "4"}})
	r = w.Runners.Get("own")
	qt.Assert(t, r.Online, qt.Equals, cs.Slots(2))
	qt.Assert(t, r.Failures == 0 && r.EjectedUntil == 0, qt.IsTrue)

	show(served, orphan)
	w.pass(1000)
	r = w.Runners.Get("own")
	qt.Assert(t, r.Gone && r.Leaving && !r.Watched, qt.IsTrue)
	show(own, served, orphan)
	qt.Assert(t, w.Runners.Get("own").Leaving, qt.IsFalse)
	w.Runners.Get("own").Online = 0
	show(served, orphan)
	w.pass(200)
	qt.Assert(t, w.Runners.Get("own"), qt.IsNil)
	qt.Assert(t, w.Membership.GoneRunners, qt.Equals, 0)
}

// TestSenders guards against VMs that disagree about a runner's sender, and a sender that is dead.
func TestSenders(t *testing.T) {
	w := newWorld()
	runners := make([]cs.Runner, 50)
	for i := range runners {
		runners[i] = cs.Runner{ID: cs.RunnerID(fmt.Sprint("r", i)), Incarnation: 1, DataCentre: "a"}
	}
	w.tick(fleet.ListRead{VMs: []cs.VM{near}, Runners: runners}, fleet.LinkOpened{VM: near})
	count := map[cs.VMID]int{}
	for id, r := range w.Runners.All() {
		qt.Assert(t, r.Sender, qt.Equals, first(string(id), []cs.VMID{"near", "self"}))
		qt.Assert(t, r.SenderSince, qt.Equals, w.now)
		count[r.Sender]++
	}
	qt.Assert(t, count["self"] > 10 && count["near"] > 10, qt.IsTrue)
	w.pass(200)
	w.tick(fleet.LinkClosed{VM: "near", Incarnation: 5})
	w.pass(3200)
	for _, r := range w.Runners.All() {
		qt.Assert(t, r.Sender, qt.Equals, cs.VMID("self"))
	}
}

// TestDial guards against dials without backoff, and against VMs that are never dialled again.
func TestDial(t *testing.T) {
	w := newWorld()
	qt.Assert(t, find[fleet.Dial](w.tick(list(near, far))), qt.HasLen, 2)
	qt.Assert(t, find[fleet.Dial](w.pass(1000)), qt.HasLen, 0)
	w.tick(fleet.LinkOpened{VM: far})
	dials := 0
	for range 600 { // one minute of failing dials
		w.now += 100
		dials += len(find[fleet.Dial](w.tick(fleet.LinkClosed{VM: "near"}, beat("far"))))
	}
	qt.Assert(t, dials >= 12 && dials <= 40, qt.IsTrue, qt.Commentf("%d dials", dials))
	w.pass(6000)
	w.tick(fleet.LinkOpened{VM: near})
	w.pass(6000)
	qt.Assert(t, find[fleet.Dial](w.tick(fleet.LinkClosed{VM: "near", Incarnation: 5})), qt.HasLen, 1)
	w.tick(fleet.LinkOpened{VM: far2}) // not listed
	w.pass(6000)
	qt.Assert(t, find[fleet.Dial](w.tick(fleet.LinkClosed{VM: "far2", Incarnation: 5})), qt.HasLen, 1)
	w.tick(list(far))
	qt.Assert(t, find[fleet.HangUp](w.pass(130_000)), qt.Contains, fleet.HangUp{VM: "near"})
}

// TestPeers guards against data centres without links between them and against too many links.
func TestPeers(t *testing.T) {
	vms := fleetOf(390)
	most := 0
	for _, vm := range vms {
		peers := Peers(vm, vms, 8)
		qt.Assert(t, len(peers), qt.Equals, len(centreOf(vms, vm.DataCentre))-1+8*8)
		most = max(most, len(peers))
	}
	qt.Assert(t, Peers(vms[0], vms[:1], 8), qt.HasLen, 0)
	qt.Assert(t, most <= 107, qt.IsTrue)
}

// TestBeat guards against late news of leaving or shards, and against heartbeats that are too long.
func TestBeat(t *testing.T) {
	w := newWorld()
	w.tick(fleet.LinkOpened{VM: near}, fleet.LinkOpened{VM: far})
	sent := func(actions []fleet.Action) int { return len(find[fleet.Send](actions)) }
	qt.Assert(t, sent(w.pass(10_000)), qt.Equals, 20)
	w.Shards.Insert(3, fleet.Shard{Owned: true, Claim: 7})
	w.Jobs.Insert("j", fleet.Job{Shard: 3, Counts: [cs.ItemUnknown + 1]cs.ItemIndex{cs.ItemWaiting: 9}})
	w.Runners.Insert("r", fleet.Runner{Online: 4, Sender: "near"})
	for _, s := range find[fleet.Send](w.tick()) {
		b := s.Message.(cs.Heartbeat)
		qt.Check(t, b.Owned, qt.DeepEquals, []cs.OwnedShard{{Shard: 3, Fence: 7, Waiting: 9}})
		qt.Check(t, len(b.Online) == 1, qt.Equals, s.To == "near")
	}
	qt.Assert(t, sent(w.tick()), qt.Equals, 0)
	qt.Assert(t, sent(w.tick(fleet.DrainAsked{})), qt.Equals, 2)
}

// TestDrain guards against a VM that leaves early, twice or never.
func TestDrain(t *testing.T) {
	for _, c := range []struct {
		name string
		busy func(*fleet.Tables)
		want cs.Span // from the request to leaving
	}{
		{"idle", func(*fleet.Tables) {}, 3000},
		{"with a request", func(t *fleet.Tables) { t.Requests.Insert("q", fleet.Request{}) }, 63_000},
		{"with a run", func(t *fleet.Tables) { t.Runs.Insert(cs.ItemKey{}, fleet.Run{}) }, 63_000},
		{"with a query", func(t *fleet.Tables) { t.Queries.Insert(1, fleet.Query{}) }, 63_000},
		{"with a shard", func(t *fleet.Tables) { t.Shards.Insert(1, fleet.Shard{Owned: true}) }, 63_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			c.busy(w.Tables)
			w.tick(fleet.DrainAsked{})
			before := w.pass(c.want - 1)
			w.tick(fleet.DrainAsked{})
			qt.Check(t, find[fleet.Leave](before), qt.HasLen, 0)
			after := w.pass(10_000)
			qt.Check(t, find[fleet.Leave](after), qt.HasLen, 1)
			qt.Check(t, w.Drain.Phase, qt.Equals, fleet.DrainDone)
		})
	}
}

// TestLogState guards against a log that counts as fresh while reads fail.
func TestLogState(t *testing.T) {
	w := newWorld()
	w.tick(fleet.LogRead{})
	w.now += 100
	w.tick(fleet.LogFailed{})
	w.now += 100
	w.tick(fleet.LogRead{})
	w.now += 100
	w.tick(fleet.LogRead{})
	qt.Assert(t, w.Log, qt.Equals, fleet.LogState{ReadAt: start + 300, FailedAt: start + 100, FreshSince: start + 200})
}
