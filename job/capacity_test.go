package job

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// heapInUse returns the bytes in use after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// capacityBatch returns a batch that opens a job of n items with prompts of 400 bytes, each a
// separate string, and, if ended is set, ends them with outputs of 400 bytes.
func capacityBatch(seq, n int, ended bool) cs.LoggedBatch {
	m := job(fmt.Sprint("capacity", seq), n, false)
	records := []cs.Record{cs.JobOpened{Job: m.Job}}
	for i := range m.Items {
		m.Items[i].Target = cs.Generation{Model: "tutor", Prompt: strings.Repeat("x", 400), MaxTokens: 100}
	}
	records = append(records, cs.JobItems{Job: m.Job.ID, Items: m.Items}, cs.JobSealed{Job: m.Job.ID})
	if ended {
		for i := range n {
			records = append(records, cs.ItemEnded{Job: m.Job.ID, Result: cs.ItemResult{
				Index: cs.ItemIndex(i), State: cs.ItemDone, Output: strings.Repeat("x", 400), Attempts: 1,
			}})
		}
	}
	return cs.LoggedBatch{Offset: cs.Offset(seq), At: 1, Batch: cs.LogBatch{Writer: 1, VM: "vm0", Seq: cs.Seq(seq + 1), Records: records}}
}

// BenchmarkCapacityItemMemory reports the memory of an item with a prompt of 400 bytes, waiting or
// ended with an output of 400 bytes, by the number of items in a job; and the memory of a job of
// one item, by the number of jobs.
func BenchmarkCapacityItemMemory(b *testing.B) {
	for _, ended := range []bool{false, true} {
		for _, n := range []int{1000, 10_000, 130_000} {
			b.Run(fmt.Sprintf("ended=%t/items=%d", ended, n), func(b *testing.B) { measureRows(b, 1, n, ended) })
		}
		for _, n := range []int{100, 1000, 10_000} {
			b.Run(fmt.Sprintf("ended=%t/jobs=%d", ended, n), func(b *testing.B) { measureRows(b, n, 1, ended) })
		}
	}
}

// measureRows reports the bytes per item of a number of jobs that were read from the log.
func measureRows(b *testing.B, jobs, items int, ended bool) {
	var bytes float64
	for b.Loop() {
		before := heapInUse()
		t, out := benchTables(), &fleet.Actions{}
		read := fleet.LogRead{Stream: cs.WorkStream(0), Next: cs.Offset(jobs + 1), End: true, Batches: []cs.LoggedBatch{claimBatch()}}
		for i := range jobs {
			read.Batches = append(read.Batches, capacityBatch(i+1, items, ended))
		}
		t.Events = []fleet.Event{read}
		Follow(t, t.Started, out)
		t.Events = nil
		bytes = heapInUse() - before
		runtime.KeepAlive(t)
	}
	b.ReportMetric(bytes/float64(jobs*items), "B/item")
}

// BenchmarkCapacityAppends reports the appends per 1,000 items, by the number of items in a job:
// group commit puts all records queued between two appends into one batch.
func BenchmarkCapacityAppends(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint("items=", n), func(b *testing.B) {
			m, appends := job("capacity", n, false), 0
			for b.Loop() {
				c := newCluster(3)
				c.runUntil(cs.Minute, func() bool { return c.owner() != nil })
				before := len(c.log)
				c.ask(0, 1, m)
				if !c.finish(m.Job.ID, cs.Hour) {
					b.Fatal("the job did not end")
				}
				appends = len(c.log) - before
			}
			b.ReportMetric(float64(appends)/float64(n)*1000, "appends/1000items")
		})
	}
}
