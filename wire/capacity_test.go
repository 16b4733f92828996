package wire

import (
	"fmt"
	"strings"
	"testing"

	cs "github.com/crocusstile/crocusstile"
)

// Texts of an item in the benchmarks below, in bytes.
const (
	promptBytes = 400
	answerBytes = 400
)

// itemOf returns an item with its result.
func itemOf(i int) (cs.Item, cs.ItemResult) {
	return cs.Item{Target: cs.Generation{Model: "tutor", Prompt: strings.Repeat("x", promptBytes), MaxTokens: 100}},
		cs.ItemResult{Index: cs.ItemIndex(i), State: cs.ItemDone, Output: strings.Repeat("x", answerBytes), Attempts: 1}
}

const benchJob = cs.JobID("0123456789abcdef0123456789abcdef")

// messagesOf returns the messages between VMs that carry n entries each.
func messagesOf(n int) map[string]cs.PeerMessage {
	passed := cs.TicketsPassed{}
	granted := cs.ItemsGranted{Offer: 1 << 60, Runner: "runner-0000", Shard: 100}
	held := cs.ItemsHeld{}
	beat := cs.Heartbeat{LogAge: 100, Highest: 1_000_000, Tickets: 11_000}
	online := beat
	copied := cs.PendingCopied{Shard: 100, Fence: 1_000_000, Applied: 1_000_000}
	for i := range n {
		key := cs.ItemKey{Job: benchJob, Index: cs.ItemIndex(i)}
		item, result := itemOf(i)
		passed.Tickets = append(passed.Tickets, cs.PlacedTicket{Offset: 1_000_000, Ticket: cs.Ticket{
			Number: 1_000_000, Operator: "operator", State: cs.TenantLimits{Tenant: "workspace-00001", MaxOnline: 50, Weight: 1},
		}})
		granted.Items = append(granted.Items, cs.GrantedItem{Key: key, Tenant: "workspace-00001", Attempt: 1, Item: item})
		held.Items = append(held.Items, key)
		beat.Owned = append(beat.Owned, cs.OwnedShard{Shard: 100, Fence: 1_000_000, Waiting: 100_000})
		online.Online = append(online.Online, cs.RunnerCount{Runner: "runner-0000", Count: 10})
		copied.Records = append(copied.Records, cs.ItemEnded{Job: benchJob, Result: result})
	}
	return map[string]cs.PeerMessage{
		"beat-shards": beat, "beat-online": online, "tickets": passed, "grant": granted, "held": held, "copied": copied,
	}
}

// BenchmarkCapacityMessage reports the bytes of a message by its entries, and the time to encode and
// decode it.
func BenchmarkCapacityMessage(b *testing.B) {
	for _, n := range []int{0, 10, 100} {
		for _, name := range []string{"beat-shards", "beat-online", "tickets", "grant", "held", "copied"} {
			b.Run(fmt.Sprintf("%s/entries=%d", name, n), func(b *testing.B) { measureMessage(b, messagesOf(n)[name]) })
		}
	}
	for name, m := range map[string]cs.PeerMessage{
		"yield":    cs.Yield{Runner: "runner-0000", Slots: 1},
		"offer":    cs.SlotsOffered{Offer: 1 << 60, Runner: "runner-0000", Slots: 8, Loaded: []cs.LoadedModel{{Model: "tutor", Version: "2026-11"}}, Service: "tutor-models"},
		"returned": cs.ItemReturned{Key: cs.ItemKey{Job: benchJob, Index: 1}, Attempt: 1, Output: strings.Repeat("x", answerBytes), Tokens: 100},
	} {
		b.Run(name, func(b *testing.B) { measureMessage(b, m) })
	}
}

func measureMessage(b *testing.B, m cs.PeerMessage) {
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

// BenchmarkCapacityItemLog reports the bytes of the log's records of items, submission and end, and
// the time to encode and decode them, by the items in a batch.
func BenchmarkCapacityItemLog(b *testing.B) {
	for _, n := range []int{0, 1, 10, 100} {
		submitted, ended := cs.JobItems{Job: benchJob}, []cs.Record{}
		for i := range n {
			item, result := itemOf(i)
			submitted.Items = append(submitted.Items, item)
			ended = append(ended, cs.ItemEnded{Job: benchJob, Result: result})
		}
		for name, records := range map[string][]cs.Record{"submitted": {submitted}, "ended": ended} {
			b.Run(fmt.Sprintf("%s/items=%d", name, n), func(b *testing.B) {
				measureBatch(b, cs.LogBatch{Writer: 1 << 60, VM: "vm-muc-a-01", Fence: 1_000_000, Seq: 1_000_000, Records: records})
			})
		}
	}
}

func measureBatch(b *testing.B, batch cs.LogBatch) {
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
