package batch

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/quarantine"
)

const testNow cs.Instant = 1_000_000

// newTables returns the tables of VM vm0, which is the batch sender of n runners with 8 slots each,
// and two peers that own shards with waiting items.
func newTables(n int) *fleet.Tables {
	self := cs.VM{ID: "vm0", DataCentre: "a"}
	t := fleet.New(fleet.DefaultConfig(), self, testNow, 1)
	t.VMs.Insert(self.ID, fleet.VM{VM: self, Live: true})
	for _, id := range []cs.VMID{"vm1", "vm2"} {
		t.VMs.Insert(id, fleet.VM{
			VM: cs.VM{ID: id, DataCentre: "a"}, Live: true, Linked: true, Backlog: map[cs.ShardID]cs.ItemIndex{1: 1 << 20},
		})
	}
	for i := range n {
		id := cs.RunnerID(fmt.Sprint("r", i))
		t.Runners.Insert(id, fleet.Runner{
			Runner: cs.Runner{ID: id, DataCentre: "a", Slots: 8}, Sender: "vm0", BatchLimit: 8, ReportAt: testNow,
			Report: cs.LoadReport{Loaded: []cs.LoadedModel{{Model: "m"}}},
		})
	}
	return t
}

func runSystems(t *fleet.Tables, events ...fleet.Event) []fleet.Action {
	var out fleet.Actions
	t.Events = events
	quarantine.Watch(t, testNow, &out)
	Settle(t, testNow, &out)
	Preempt(t, testNow, &out)
	Offer(t, testNow, &out)
	return out.List
}

func sentMessages[M cs.PeerMessage](list []fleet.Action) (found []M) {
	for _, a := range list {
		if s, ok := a.(fleet.Send); ok {
			if m, ok := s.Message.(M); ok {
				found = append(found, m)
			}
		}
	}
	return found
}

func countStops(list []fleet.Action) (n int) {
	for _, a := range list {
		if _, ok := a.(fleet.StopItem); ok {
			n++
		}
	}
	return n
}

func grantMessage(offer uint64, n int) fleet.PeerMessageReceived {
	m := cs.ItemsGranted{Offer: offer, Runner: "r0", Shard: 1}
	for i := range n {
		item := cs.Item{Target: cs.Generation{Model: "m", Prompt: fmt.Sprint(i), MaxTokens: 100}}
		m.Items = append(m.Items, cs.GrantedItem{Key: cs.ItemKey{Job: "j", Index: cs.ItemIndex(i)}, Attempt: 1, Item: item})
	}
	return fleet.PeerMessageReceived{From: "vm1", Message: m}
}

// TestOfferedSlots guards against batch runs that take slots which online requests need.
func TestOfferedSlots(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*fleet.Tables, *fleet.Runner)
		want   cs.Slots
	}{
		"idle":     {func(*fleet.Tables, *fleet.Runner) {}, 7},
		"weight 0": {func(t *fleet.Tables, _ *fleet.Runner) { t.Config.Weight = 0 }, 8},
		"online":   {func(_ *fleet.Tables, r *fleet.Runner) { r.Online, r.PeerOnline = 2, 1; r.ReportAt = 0 }, 4},
		"limit":    {func(_ *fleet.Tables, r *fleet.Runner) { r.BatchLimit = 3.9 }, 3},
		"preempt":  {func(_ *fleet.Tables, r *fleet.Runner) { r.BatchPausedUntil = testNow + 1 }, 0},
		"draining": {func(t *fleet.Tables, _ *fleet.Runner) { t.Drain.Phase = fleet.DrainWaiting }, 0},
		"paced":    {func(_ *fleet.Tables, r *fleet.Runner) { r.OnlineAt = testNow - 500 }, 1},
		"paced a moment ago": {func(_ *fleet.Tables, r *fleet.Runner) {
			r.OnlineAt, r.PacedOfferAt, r.MeanTokenGap = testNow-500, testNow-20, 40
		}, 0},
		"online long ago": {func(_ *fleet.Tables, r *fleet.Runner) { r.OnlineAt, r.PacedOfferAt = testNow-1500, testNow }, 7},
		"another sender":  {func(_ *fleet.Tables, r *fleet.Runner) { r.Sender = "vm1" }, 0},
		"down":            {func(_ *fleet.Tables, r *fleet.Runner) { r.DownSince = testNow }, 0},
		"no batch":        {func(t *fleet.Tables, _ *fleet.Runner) { t.Config.Policy.NoBatch = true }, 0},
	} {
		tb := newTables(1)
		c.change(tb, tb.Runners.Get("r0"))
		var total cs.Slots
		for _, o := range sentMessages[cs.SlotsOffered](runSystems(tb)) {
			total += o.Slots
		}
		qt.Check(t, total, qt.Equals, c.want, qt.Commentf(name))
	}
}

// TestPreemptionAndOutcomeDelivery guards against runs that are not stopped in the tick in which a
// peer asks for slots, and against outcomes that are lost when the owner of the item dies.
func TestPreemptionAndOutcomeDelivery(t *testing.T) {
	tb := newTables(1)
	offers := sentMessages[cs.SlotsOffered](runSystems(tb))
	runSystems(tb, grantMessage(offers[0].Offer, 6))
	r := tb.Runners.Get("r0")
	qt.Assert(t, r.Batch, qt.Equals, cs.Slots(6))
	preempted := runSystems(tb, fleet.PeerMessageReceived{From: "vm2", Message: cs.Preempt{Runner: "r0", Slots: 3}})
	qt.Assert(t, countStops(preempted), qt.Equals, 2) // 6 runs + 3 requested - 8 slots, and one slot of margin
	qt.Check(t, r.BatchLimit, qt.Equals, 8.0)         // preemption alone must not change the runner's batch limit
	tb.VMs.Get("vm1").Live = false
	end := fleet.ItemRunEnded{Key: cs.ItemKey{Job: "j"}, Attempt: 1, Output: "ab", Tokens: 2, Result: fleet.RunCancelled{}}
	qt.Assert(t, sentMessages[cs.ItemOutcome](runSystems(tb, end)), qt.HasLen, 0)
	tb.VMs.Get("vm2").LastHeartbeat.Owned = []cs.OwnedShard{{Shard: 1}}
	tb.Runs.Get(end.Key).RetryAt = testNow
	qt.Check(t, sentMessages[cs.ItemOutcome](runSystems(tb)), qt.DeepEquals,
		[]cs.ItemOutcome{{Key: end.Key, Attempt: 1, Stopped: true, Output: "ab", Tokens: 2}})
	r.Sender = "vm2"
	tb.VMs.Get("vm0").AssignedRunnersAt = 0
	qt.Check(t, countStops(runSystems(tb)), qt.Equals, 4)
}

// TestOutcomeGoesToNewestClaim guards against a batch sender that cannot read the log, still takes
// itself for the owner of the shard and keeps the outcome of a run that the new owner granted. The
// new owner then waited for the outcome until the run's limit.
func TestOutcomeGoesToNewestClaim(t *testing.T) {
	key := cs.ItemKey{Job: "j"}
	for name, c := range map[string]struct {
		claims map[cs.VMID]cs.Offset // in heartbeats
		result fleet.RunResult
		change func(vm2 *fleet.VM)
		want   []cs.VMID
	}{
		"granting owner, done":      {map[cs.VMID]cs.Offset{"vm1": 7}, fleet.RunCompleted{}, nil, []cs.VMID{"vm1"}},
		"granting owner, preempted": {map[cs.VMID]cs.Offset{"vm1": 7}, fleet.RunCancelled{}, nil, []cs.VMID{"vm1"}},
		"later owner":               {map[cs.VMID]cs.Offset{"vm1": 7, "vm2": 9}, fleet.RunCompleted{}, nil, []cs.VMID{"vm2"}},
		"former owner":              {map[cs.VMID]cs.Offset{"vm1": 7, "vm2": 2}, fleet.RunCompleted{}, nil, []cs.VMID{"vm1"}},
		"no heartbeat yet":          {nil, fleet.RunCompleted{}, nil, []cs.VMID{"vm1"}},
		"no link to the later owner": {
			map[cs.VMID]cs.Offset{"vm2": 9}, fleet.RunCompleted{}, func(vm2 *fleet.VM) { vm2.Linked = false }, []cs.VMID{"vm1"},
		},
		"later owner is dead": {
			map[cs.VMID]cs.Offset{"vm2": 9}, fleet.RunCompleted{}, func(vm2 *fleet.VM) { vm2.Live, vm2.Linked = false, false }, nil,
		},
	} {
		tb := newTables(1)
		tb.Shards.Insert(1, fleet.Shard{Stream: cs.WorkStream(1), Claim: 3, VM: "vm0", Owned: true})
		for id, fence := range c.claims {
			tb.VMs.Get(id).LastHeartbeat.Owned = []cs.OwnedShard{{Shard: 1, Fence: fence}}
		}
		if c.change != nil {
			c.change(tb.VMs.Get("vm2"))
		}
		grant := grantMessage(1, 1)
		granted := grant.Message.(cs.ItemsGranted)
		granted.Fence = 7
		grant.Message = granted
		runSystems(tb, grant)
		granted.Fence = 3
		runSystems(tb, fleet.PeerMessageReceived{From: "vm0", Message: granted}) // must not take the run over
		var to []cs.VMID
		for _, a := range runSystems(tb, fleet.ItemRunEnded{Key: key, Attempt: 1, Result: c.result}) {
			if s, ok := a.(fleet.Send); ok {
				if _, ok := s.Message.(cs.ItemOutcome); ok {
					to = append(to, s.To)
				}
			}
		}
		qt.Check(t, to, qt.DeepEquals, c.want, qt.Commentf(name))
	}
}

// TestGrantLeavesMarginFree guards against granted items that start in the slot which the next
// online request needs, so that they are stopped right after their prefill.
func TestGrantLeavesMarginFree(t *testing.T) {
	for online, want := range map[cs.Slots]cs.Slots{0: 6, 1: 6, 2: 5, 4: 3} {
		tb := newTables(1)
		offers := sentMessages[cs.SlotsOffered](runSystems(tb))
		tb.Runners.Get("r0").Online = online
		runSystems(tb, grantMessage(offers[0].Offer, 6))
		qt.Check(t, tb.Runners.Get("r0").Batch, qt.Equals, want, qt.Commentf("%d online", online))
	}
}

func BenchmarkOffer(b *testing.B) {
	for _, n := range []int{12, 100, 400} {
		b.Run(fmt.Sprint("runners=", n), func(b *testing.B) {
			tb := newTables(n)
			var out fleet.Actions
			for b.Loop() {
				out.Reset()
				Offer(tb, testNow, &out)
				for _, r := range tb.Runners.All() {
					r.Offers, r.Offered = r.Offers[:0], 0
				}
			}
		})
	}
}

// startedOn returns the runners on which the actions start items.
func startedOn(list []fleet.Action) (on []cs.RunnerID) {
	for _, a := range list {
		if x, ok := a.(fleet.RunItem); ok {
			on = append(on, x.Runner)
		}
	}
	return on
}

// TestItemIsOwedAfterRunnersCrashed guards against a sound item that is refused as quarantined, and
// so ends as failed, because several runners crashed under it.
func TestItemIsOwedAfterRunnersCrashed(t *testing.T) {
	tb := newTables(3)
	for i := range 6 {
		g := grantMessage(uint64(i+1), 1)
		items := g.Message.(cs.ItemsGranted)
		items.Runner = cs.RunnerID(fmt.Sprint("r", i%3))
		items.Items[0].Attempt = cs.Attempt(i + 1)
		g.Message = items
		list := runSystems(tb, g)
		qt.Assert(t, sentMessages[cs.ItemOutcome](list), qt.HasLen, 0, qt.Commentf("returned after %d crashes", i))
		qt.Assert(t, startedOn(list), qt.HasLen, 1, qt.Commentf("after %d crashes", i))
		list = runSystems(tb, fleet.ItemRunEnded{
			Key: items.Items[0].Key, Attempt: cs.Attempt(i + 1), Result: fleet.RunInterrupted{Sent: true, Crashed: true},
		})
		outcomes := sentMessages[cs.ItemOutcome](list)
		qt.Assert(t, outcomes, qt.HasLen, 1)
		qt.Check(t, outcomes[0].Refusal.Reason, qt.Equals, cs.ReasonBroken)
		qt.Check(t, outcomes[0].Crashed, qt.IsTrue)
	}
	qt.Check(t, tb.Suspects.Len(), qt.Equals, 0)
}

// TestItemRunsWhereOffered guards against an item that is returned, moved or stopped because online
// requests with the same content are suspects: it runs at once on the runner that was offered.
func TestItemRunsWhereOffered(t *testing.T) {
	for name, suspect := range map[string]fleet.Suspect{
		"crashed this runner": {Crashes: 1, Runners: []cs.RunnerID{"r0"}},
		"crashed another":     {Crashes: 1, Runners: []cs.RunnerID{"r1"}},
		"crashed two":         {Crashes: 2, Runners: []cs.RunnerID{"r0", "r1"}},
		"quarantined":         {Crashes: 2, Runners: []cs.RunnerID{"r0", "r1"}, Quarantined: true},
	} {
		suspect.CrashedAt, suspect.Until = testNow, testNow+60_000
		for i := range 20 {
			tb := newTables(3)
			g := grantMessage(1, i+1)
			items := g.Message.(cs.ItemsGranted)
			items.Items = items.Items[i:]
			g.Message = items
			tb.Suspects.Insert(cs.HashTarget(items.Items[0].Item.Target), suspect)
			list := runSystems(tb, g)
			qt.Assert(t, startedOn(list), qt.DeepEquals, []cs.RunnerID{"r0"}, qt.Commentf("%s, content %d", name, i))
			tb.VMs.Get("vm0").AssignedRunnersAt = 0 // the runs are checked again
			qt.Assert(t, countStops(runSystems(tb)), qt.Equals, 0, qt.Commentf("%s, content %d", name, i))
		}
	}
}
