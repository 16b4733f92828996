package wire

import (
	"fmt"
	"strings"
	"testing"

	cs "github.com/crocusstile/crocusstile"
)

// Sizes of the texts of an item in the benchmarks below.
const (
	promptBytes = 400
	outputBytes = 400
)

// newItem returns an item and its result.
func newItem(i int) (cs.Item, cs.ItemResult) {
	return cs.Item{Target: cs.Generation{Model: "tutor", Prompt: strings.Repeat("x", promptBytes), MaxTokens: 100}},
		cs.ItemResult{Index: cs.ItemIndex(i), State: cs.ItemDone, Output: strings.Repeat("x", outputBytes), Attempts: 1}
}

const benchJobID = cs.JobID("0123456789abcdef0123456789abcdef")

// newMessages returns one peer message of each kind that contains a list, with n elements in the list.
func newMessages(n int) map[string]cs.PeerMessage {
	tickets := cs.TicketsReply{}
	granted := cs.ItemsGranted{Offer: 1 << 60, Runner: "runner-0000", Shard: 100}
	held := cs.ItemsHeld{}
	shardsHeartbeat := cs.Heartbeat{LogAge: 100, Highest: 1_000_000, Tickets: 11_000}
	onlineHeartbeat := shardsHeartbeat
	pending := cs.PendingRecords{Shard: 100, Fence: 1_000_000, Applied: 1_000_000}
	for i := range n {
		key := cs.ItemKey{Job: benchJobID, Index: cs.ItemIndex(i)}
		item, result := newItem(i)
		tickets.Tickets = append(tickets.Tickets, cs.LoggedTicket{Offset: 1_000_000, Ticket: cs.Ticket{
			Number: 1_000_000, Operator: "operator", State: cs.TenantLimits{Tenant: "workspace-00001", MaxOnline: 50, Weight: 1},
		}})
		granted.Items = append(granted.Items, cs.GrantedItem{Key: key, Tenant: "workspace-00001", Attempt: 1, Item: item})
		held.Items = append(held.Items, key)
		shardsHeartbeat.Owned = append(shardsHeartbeat.Owned, cs.OwnedShard{Shard: 100, Fence: 1_000_000, Waiting: 100_000})
		onlineHeartbeat.Online = append(onlineHeartbeat.Online, cs.RunnerCount{Runner: "runner-0000", Count: 10})
		pending.Records = append(pending.Records, cs.ItemEnded{Job: benchJobID, Result: result})
	}
	return map[string]cs.PeerMessage{
		"heartbeat-shards": shardsHeartbeat, "heartbeat-online": onlineHeartbeat, "tickets": tickets, "grant": granted, "held": held, "pending": pending,
	}
}

// BenchmarkCapacityMessage reports the encoded size of peer messages, and the time to encode and decode
// them, by the number of list elements.
func BenchmarkCapacityMessage(b *testing.B) {
	for _, n := range []int{0, 10, 100} {
		for _, name := range []string{"heartbeat-shards", "heartbeat-online", "tickets", "grant", "held", "pending"} {
			b.Run(fmt.Sprintf("%s/entries=%d", name, n), func(b *testing.B) { benchmarkMessage(b, newMessages(n)[name]) })
		}
	}
	for name, m := range map[string]cs.PeerMessage{
		"preempt":  cs.Preempt{Runner: "runner-0000", Slots: 1},
		"offer":    cs.SlotsOffered{Offer: 1 << 60, Runner: "runner-0000", Slots: 8, Loaded: []cs.LoadedModel{{Model: "tutor", Version: "2026-11"}}, Service: "tutor-models"},
		"returned": cs.ItemOutcome{Key: cs.ItemKey{Job: benchJobID, Index: 1}, Attempt: 1, Output: strings.Repeat("x", outputBytes), Tokens: 100},
	} {
		b.Run(name, func(b *testing.B) { benchmarkMessage(b, m) })
	}
}

func benchmarkMessage(b *testing.B, m cs.PeerMessage) {
	var size int
	for b.Loop() {
		data, err := EncodeMessage(m)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := DecodeMessage(data); err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkCapacityItemLog reports the encoded size of the log records of submitted and of ended items,
// and the time to encode and decode them, by the number of items in a batch.
func BenchmarkCapacityItemLog(b *testing.B) {
	for _, n := range []int{0, 1, 10, 100} {
		submitted, ended := cs.JobItems{Job: benchJobID}, []cs.Record{}
		for i := range n {
			item, result := newItem(i)
			submitted.Items = append(submitted.Items, item)
			ended = append(ended, cs.ItemEnded{Job: benchJobID, Result: result})
		}
		for name, records := range map[string][]cs.Record{"submitted": {submitted}, "ended": ended} {
			b.Run(fmt.Sprintf("%s/items=%d", name, n), func(b *testing.B) {
				benchmarkBatch(b, cs.LogBatch{Writer: 1 << 60, VM: "vm-muc-a-01", Fence: 1_000_000, Seq: 1_000_000, Records: records})
			})
		}
	}
}

func benchmarkBatch(b *testing.B, batch cs.LogBatch) {
	var size int
	for b.Loop() {
		data, err := EncodeBatch(batch)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := DecodeBatch(data); err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}
