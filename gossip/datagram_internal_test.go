package gossip

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

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
