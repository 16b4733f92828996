package slot_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/slot"
)

const startTime cs.Instant = 1_000_000

// newAllocator returns the tables of the only VM of a data centre, which has allocated the slots of a runner for long enough to
// know what VMs hold, and a peer of another data centre.
func newAllocator() *gateway.Tables {
	t := gateway.New(gateway.Config{}, cs.VM{ID: "a", DataCentre: "x", Incarnation: 1, Address: "a:1"}, startTime, 1)
	t.Runners.Insert("r", gateway.Runner{Spec: cs.Runner{ID: "r", Service: "s", DataCentre: "x", Slots: 8}})
	t.Peers.Insert("b", gateway.Peer{VM: cs.VM{ID: "b", DataCentre: "y", Incarnation: 1, Address: "b:1"}, LastReportAt: startTime})
	run(t, startTime)
	return t
}

// run runs the systems of the package over slot messages and returns those that are sent.
func run(t *gateway.Tables, now cs.Instant, messages ...gateway.SlotMessage) []gateway.SlotMessage {
	t.Events = nil
	for _, m := range messages {
		t.Events = append(t.Events, gateway.SlotsReceived{Message: m})
	}
	var out gateway.Actions
	slot.Allocate(t, now, &out)
	slot.Announce(t, now, &out)
	var sent []gateway.SlotMessage
	for _, a := range out.List {
		if a, ok := a.(gateway.SendSlots); ok {
			sent = append(sent, a.Message)
		}
	}
	return sent
}

// request returns a message of the peer that requests a slot.
func request(seq uint64, id gateway.SlotRequestID, use gateway.SlotUse, holdings ...gateway.SlotHolding) gateway.SlotMessage {
	return gateway.SlotMessage{
		From: "b", Incarnation: 1, Seq: seq, HasHoldings: true, Holdings: holdings, Outstanding: id,
		Requests: []gateway.SlotRequest{{Runner: "r", ID: id, Use: use}},
	}
}

// granted reports whether the only reply of the messages grants a slot.
func granted(c *qt.C, sent []gateway.SlotMessage) bool {
	c.Assert(sent, qt.HasLen, 1)
	c.Assert(sent[0].Replies, qt.HasLen, 1)
	return sent[0].Replies[0].Granted
}

// Guards against a slot that counts twice, or for ever, since the network delivers a message twice or late.
func TestRepeatedMessageCountsOnce(t *testing.T) {
	c := qt.New(t)
	a := newAllocator()
	now := startTime.Add(cs.Second)
	first := request(1, 1, gateway.SlotOnline)
	c.Assert(granted(c, run(a, now, first)), qt.IsTrue)
	c.Assert(run(a, now.Add(5), first), qt.HasLen, 0)
	c.Assert(a.Runners.Get("r").Load(), qt.Equals, cs.Slots(1))
	held := gateway.SlotMessage{
		From: "b", Incarnation: 1, Seq: 2, HasHoldings: true, Outstanding: 2, Holdings: []gateway.SlotHolding{{Runner: "r", Online: 1}},
	}
	run(a, now.Add(10), held)
	c.Assert(a.Runners.Get("r").Load(), qt.Equals, cs.Slots(1))
	run(a, now.Add(20), gateway.SlotMessage{From: "b", Incarnation: 1, Seq: 3, HasHoldings: true, Outstanding: 2})
	run(a, now.Add(30), held, first)
	c.Assert(a.Runners.Get("r").Load(), qt.Equals, cs.Slots(0))
}

// Guards against grants beyond the slots of a runner.
func TestSlotsAreGrantedUpToLimit(t *testing.T) {
	now := startTime.Add(cs.Second)
	for name, test := range map[string]struct {
		use           gateway.SlotUse
		online, batch cs.Slots
		granted       bool
		preempted     cs.Slots
	}{
		"an item in the last slot":                       {gateway.SlotBatch, 4, 3, true, 0},
		"an item without a free slot":                    {gateway.SlotBatch, 4, 4, false, 0},
		"a free slot":                                    {gateway.SlotFree, 4, 3, true, 0},
		"no free slot":                                   {gateway.SlotFree, 4, 4, false, 0},
		"the slot of an item":                            {gateway.SlotOnline, 4, 4, true, 1},
		"no slot, all are online":                        {gateway.SlotOnline, 8, 0, false, 0},
		"a place in the queue":                           {gateway.SlotQueued, 9, 0, true, 0},
		"no place in the queue":                          {gateway.SlotQueued, 10, 0, false, 0},
		"the slot of an item where others wait for one":  {gateway.SlotQueued, 8, 1, true, 1},
		"a runner that has more requests than it should": {gateway.SlotOnline, 7, 3, true, 3},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a := newAllocator()
			sent := run(a, now, request(1, 1, test.use, gateway.SlotHolding{Runner: "r", Online: test.online, Batch: test.batch}))
			c.Assert(granted(c, sent), qt.Equals, test.granted)
			preempted := cs.Slots(0)
			for _, p := range sent[0].Preemptions {
				preempted += p.Runs
			}
			c.Assert(preempted, qt.Equals, test.preempted)
		})
	}
}

// Guards against the stop of an item that is due soon while another VM has one that is due later.
func TestLeastUrgentItemIsPreempted(t *testing.T) {
	c := qt.New(t)
	a := newAllocator()
	a.Peers.Insert("d", gateway.Peer{VM: cs.VM{ID: "d", DataCentre: "y", Incarnation: 1, Address: "d:1"}, LastReportAt: startTime})
	now := startTime.Add(cs.Second)
	holds := func(vm cs.VMID, dueIn cs.Span) gateway.SlotMessage {
		return gateway.SlotMessage{
			From: vm, Incarnation: 1, Seq: 1, HasHoldings: true, Holdings: []gateway.SlotHolding{{Runner: "r", Batch: 4, DueIn: dueIn}},
		}
	}
	run(a, now, holds("b", 3*cs.Second), holds("d", 9*cs.Second))
	for _, m := range run(a, now.Add(5), request(2, 1, gateway.SlotOnline, gateway.SlotHolding{Runner: "r", Batch: 4, DueIn: 3 * cs.Second})) {
		if len(m.Replies) > 0 {
			c.Check(m.Preemptions, qt.HasLen, 0)
		} else {
			c.Check(m.Preemptions, qt.DeepEquals, []gateway.SlotPreemption{{Runner: "r", Runs: 1}})
		}
	}
}
