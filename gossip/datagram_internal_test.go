package gossip

import (
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against a datagram that ends a process, and against an event for one that no VM can have sent.
func FuzzDatagram(f *testing.F) {
	messages := []any{
		gateway.Report{From: "a", Incarnation: 1, Seq: 1, Allocated: []gateway.RunnerLoad{{Runner: "r", Online: 1}}},
		gateway.SlotMessage{
			From: "a", Incarnation: 1, Seq: 1, HasHoldings: true, Holdings: []gateway.SlotHolding{{Runner: "r", Online: 1, Batch: 2, DueIn: 3}},
			Requests: []gateway.SlotRequest{{Runner: "r", ID: 1, Use: gateway.SlotBatch}}, Replies: []gateway.SlotReply{{Runner: "r", ID: 1}},
			Preemptions: []gateway.SlotPreemption{{Runner: "r", Runs: 1}},
		},
	}
	for _, m := range messages {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	allowance, err := encodeAllowance(gateway.AllowanceMessage{
		From: "a", Incarnation: 1, For: 2, Requests: []gateway.AllowanceRequest{{ID: 1, Workspace: "w", Permits: 2}},
		Replies: []gateway.AllowanceReply{{ID: 1, Granted: 1, Next: 20, Retry: 40}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(allowance)
	f.Add(allowance[:len(allowance)/2])
	f.Add([]byte{})
	f.Add([]byte{0x9f, 0xff})
	g := Gossip{malformed: zerolog.Nop()}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, isReport := g.decode(data, netip.AddrPort{})
		switch e := e.(type) {
		case nil:
		case gateway.PeerReported:
			if !isReport || e.Report.From == "" || e.Report.Validate() != nil {
				t.Fatalf("report %+v", e)
			}
		case gateway.AllowanceReceived:
			if isReport || e.Message.From == "" || e.Message.Validate() != nil {
				t.Fatalf("allowance message %+v", e)
			}
		case gateway.SlotsReceived:
			if isReport || e.Message.From == "" || e.Message.Validate() != nil {
				t.Fatalf("slot message %+v", e)
			}
		default:
			t.Fatalf("event %T", e)
		}
	})
}

// Guards against a message about limits that is taken for another kind, or that no VM can have sent.
func TestAllowanceDatagram(t *testing.T) {
	request := gateway.AllowanceRequest{ID: 1, Workspace: "w", Permits: 2}
	reply := gateway.AllowanceReply{ID: 1, Granted: 1, Next: 20, Retry: 40}
	g := Gossip{malformed: zerolog.Nop()}
	for name, test := range map[string]struct {
		message gateway.AllowanceMessage
		valid   bool
	}{
		"request and reply":  {gateway.AllowanceMessage{From: "a", Incarnation: 1, For: 2, Requests: []gateway.AllowanceRequest{request}, Replies: []gateway.AllowanceReply{reply}}, true},
		"no sender":          {gateway.AllowanceMessage{Requests: []gateway.AllowanceRequest{request}}, false},
		"no workspace":       {gateway.AllowanceMessage{From: "a", Requests: []gateway.AllowanceRequest{{ID: 1, Permits: 1}}}, false},
		"no permits":         {gateway.AllowanceMessage{From: "a", Requests: []gateway.AllowanceRequest{{ID: 1, Workspace: "w"}}}, false},
		"negative grant":     {gateway.AllowanceMessage{From: "a", Replies: []gateway.AllowanceReply{{ID: 1, Granted: -1}}}, false},
		"negative time":      {gateway.AllowanceMessage{From: "a", Replies: []gateway.AllowanceReply{{ID: 1, Next: -1}}}, false},
		"too many requests":  {gateway.AllowanceMessage{From: "a", Requests: slices.Repeat([]gateway.AllowanceRequest{request}, 200)}, false},
		"too large a grant":  {gateway.AllowanceMessage{From: "a", Replies: []gateway.AllowanceReply{{ID: 1, Granted: 1 << 20}}}, false},
		"too large a demand": {gateway.AllowanceMessage{From: "a", Requests: []gateway.AllowanceRequest{{ID: 1, Workspace: "w", Permits: 1 << 20}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			data, err := encodeAllowance(test.message)
			c.Assert(err, qt.IsNil)
			e, isReport := g.decode(data, netip.MustParseAddrPort("10.0.0.1:80"))
			c.Check(isReport, qt.IsFalse)
			if !test.valid {
				c.Check(e, qt.IsNil)
				return
			}
			received, ok := e.(gateway.AllowanceReceived)
			c.Assert(ok, qt.IsTrue)
			c.Check(received.Address, qt.Equals, cs.Address("10.0.0.1:80"))
			c.Check(received.Message.Requests, qt.DeepEquals, test.message.Requests)
			c.Check(received.Message.Replies, qt.DeepEquals, test.message.Replies)
		})
	}
}
