package job

import (
	"fmt"
	"testing"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// claimBatch returns the first batch of a stream: a claim of the VM that benchTables returns.
func claimBatch() cs.LoggedBatch {
	return cs.LoggedBatch{Batch: cs.LogBatch{
		Writer: 1, VM: "vm0", Fence: cs.NoOffset, Seq: 1, Records: []cs.Record{cs.Claim{Previous: cs.NoOffset}},
	}}
}

// benchTables returns the tables of a VM that reads the shard and has sent a claim that is not read
// back yet.
func benchTables() *fleet.Tables {
	c := testConfig()
	c.MaxItems = 1 << 30
	t := fleet.New(c, cs.VM{ID: "vm0", Incarnation: 1, DataCentre: "a"}, 1_000_000, 1)
	claim := claimBatch().Batch
	t.Shards.Insert(0, fleet.Shard{
		Stream: cs.WorkStream(0), Claim: cs.NoOffset, SweepAt: 1 << 60, CaughtUp: true,
		Claiming: 1, Inflight: &claim,
	})
	return t
}

// jobBatches returns a claim and the batches that open a job of n items and end each item, with 100
// end records in a batch.
func jobBatches(n int) []cs.LoggedBatch {
	m := job("bench", n, false)
	all := []cs.LoggedBatch{claimBatch()}
	add := func(records ...cs.Record) {
		at := cs.Offset(len(all))
		all = append(all, cs.LoggedBatch{Offset: at, At: 1, Batch: cs.LogBatch{
			Writer: 1, VM: "vm0", Seq: cs.Seq(at + 1), Records: records,
		}})
	}
	add(cs.JobOpened{Job: m.Job}, cs.JobItems{Job: m.Job.ID, Items: m.Items}, cs.JobSealed{Job: m.Job.ID})
	for first := 0; first < n; first += 100 {
		var ends []cs.Record
		for i := first; i < min(n, first+100); i++ {
			ends = append(ends, cs.ItemEnded{Job: m.Job.ID, Result: cs.ItemResult{
				Index: cs.ItemIndex(i), State: cs.ItemDone, Output: "ok", Attempts: 1,
			}})
		}
		add(ends...)
	}
	return all
}

// BenchmarkFollowItems measures the cost per item of applying a job, from its opening to the end of
// its last item.
func BenchmarkFollowItems(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			log := jobBatches(n)
			var out fleet.Actions
			b.ReportAllocs()
			for b.Loop() {
				t := benchTables()
				t.Events = []fleet.Event{fleet.LogRead{Stream: cs.WorkStream(0), Next: cs.Offset(len(log)), End: true, Batches: log}}
				out.Reset()
				Follow(t, t.Started, &out)
				if t.Jobs.Get(log[1].Batch.Records[0].(cs.JobOpened).Job.ID).State != cs.JobFinished {
					b.Fatal("the job did not end")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/item")
		})
	}
}

// BenchmarkFollowBatch measures an empty batch, read in a tick of its own, on a shard with a job of
// n items.
func BenchmarkFollowBatch(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, out := ownerWithJobs(1, n)
			s := t.Shards.Get(0)
			for b.Loop() {
				batch := cs.LoggedBatch{Offset: s.Next, Batch: cs.LogBatch{Writer: 1, VM: "vm0", Seq: s.LastSeq + 1}}
				t.Events = []fleet.Event{fleet.LogRead{Stream: s.Stream, Next: s.Next + 1, End: true, Batches: []cs.LoggedBatch{batch}}}
				out.Reset()
				Follow(t, t.Started, out)
			}
		})
	}
}

// BenchmarkWholeJob measures a job from its submission to its last result, on three VMs.
func BenchmarkWholeJob(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := job("bench", n, false)
			for b.Loop() {
				c := newCluster(3)
				c.runUntil(cs.Minute, func() bool { return c.owner() != nil })
				c.ask(0, 1, m)
				if !c.finish(m.Job.ID, cs.Hour) {
					b.Fatal("the job did not end")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/item")
		})
	}
}

// ownerWithJobs returns the tables of an owner with open jobs of n items each.
func ownerWithJobs(jobs, n int) (*fleet.Tables, *fleet.Actions) {
	t, out := benchTables(), &fleet.Actions{}
	log := []cs.LoggedBatch{claimBatch()}
	for i := range jobs {
		m := job(fmt.Sprint("job", i), n, false)
		m.Job.Tenant = cs.TenantID(fmt.Sprint("tenant", i%50))
		log = append(log, cs.LoggedBatch{Offset: cs.Offset(i + 1), Batch: cs.LogBatch{
			Writer: 1, VM: "vm0", Seq: cs.Seq(i + 2), Records: []cs.Record{
				cs.JobOpened{Job: m.Job}, cs.JobItems{Job: m.Job.ID, Items: m.Items}, cs.JobSealed{Job: m.Job.ID},
			},
		}})
	}
	t.Events = []fleet.Event{fleet.LogRead{Stream: cs.WorkStream(0), Next: cs.Offset(len(log)), End: true, Batches: log}}
	Follow(t, t.Started, out)
	t.Events = nil
	return t, out
}

// BenchmarkGrant measures an offer of 8 slots and the return of 8 items, by the number of jobs.
func BenchmarkGrant(b *testing.B) {
	for _, jobs := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			t, out := ownerWithJobs(jobs, 200_000/jobs)
			offer := fleet.PeerMessageReceived{From: "vm0", Message: cs.SlotsOffered{
				Runner: "r", Slots: 8, Loaded: []cs.LoadedModel{{Model: "m", Version: "1"}},
			}}
			for b.Loop() {
				out.Reset()
				t.Events = append(t.Events[:0], offer)
				Grant(t, t.Started, out)
				t.Events = t.Events[:0]
				for _, a := range out.List {
					if s, ok := a.(fleet.Send); ok {
						if g, ok := s.Message.(cs.ItemsGranted); ok {
							for _, it := range g.Items {
								t.Events = append(t.Events, fleet.PeerMessageReceived{From: "vm0", Message: cs.ItemOutcome{
									Key: it.Key, Attempt: it.Attempt, Stopped: true,
								}})
							}
						}
					}
				}
				Grant(t, t.Started, out)
			}
		})
	}
}

// BenchmarkRank measures the ranking that each VM repeats every 250 ms, in the largest installation
// (21 VMs) and in the target fleet of 9 data centres.
func BenchmarkRank(b *testing.B) {
	for _, size := range []struct{ shards, vms, dcs int }{{16, 21, 4}, {390, 390, 9}} {
		b.Run(fmt.Sprintf("%d/%d", size.shards, size.vms), func(b *testing.B) {
			t, out := benchTables(), &fleet.Actions{}
			t.Config.Shards = size.shards
			for i := range size.vms {
				id := cs.VMID(fmt.Sprint("vm", i))
				dc := cs.DataCentreID(fmt.Sprint("dc", i%size.dcs))
				t.VMs.Insert(id, fleet.VM{VM: cs.VM{ID: id, DataCentre: dc}, Live: true, Linked: true})
			}
			for b.Loop() {
				out.Reset()
				followShards(t, t.Started, out)
			}
		})
	}
}

// BenchmarkIdleTick measures a tick without events or due work, and one with a sweep, by the number
// of jobs.
func BenchmarkIdleTick(b *testing.B) {
	for _, sweeps := range []bool{false, true} {
		for _, jobs := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("sweep=%t/%d", sweeps, jobs), func(b *testing.B) {
				t, out := ownerWithJobs(jobs, 10)
				tick := func() {
					out.Reset()
					for _, system := range []fleet.System{Follow, Serve, Grant, Commit} {
						system(t, t.Started, out)
					}
				}
				tick()
				for b.Loop() {
					if sweeps {
						t.Shards.Get(0).SweepAt = 0
					}
					tick()
				}
			})
		}
	}
}
