package membership

import (
	"fmt"
	"testing"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/wire"
)

// testVMs returns n VMs in 9 data centres.
func testVMs(n int) []cs.VM {
	vms := make([]cs.VM, n)
	for i := range vms {
		vms[i] = vmOf(cs.VMID(fmt.Sprintf("vm-%03d", i)), 1, cs.DataCentreID(fmt.Sprint("dc-", i%9)))
	}
	return vms
}

// inDataCentre returns the VMs of a data centre.
func inDataCentre(vms []cs.VM, dc cs.DataCentreID) []cs.VM {
	var in []cs.VM
	for _, vm := range vms {
		if vm.DataCentre == dc {
			in = append(in, vm)
		}
	}
	return in
}

func testRunners(n int) []cs.Runner {
	runners := make([]cs.Runner, n)
	for i := range runners {
		runners[i] = cs.Runner{ID: cs.RunnerID(fmt.Sprintf("runner-%04d", i)), Incarnation: 1, DataCentre: cs.DataCentreID(fmt.Sprint("dc-", i%9))}
	}
	return runners
}

// newLinkedHarness returns the first VM with links to all the peers that it selects, and those
// peers.
func newLinkedHarness(vms []cs.VM, runners []cs.Runner) (*harness, []cs.VMID) {
	h := &harness{Tables: fleet.New(fleet.DefaultConfig(), vms[0], startTime, 1), now: startTime}
	h.tick(fleet.ListRead{VMs: vms, Runners: runners})
	peers := Peers(vms[0], vms, h.Config.CrossLinks)
	for _, vm := range vms {
		if v := h.VMs.Get(vm.ID); v.Selected {
			h.tick(fleet.LinkOpened{VM: vm})
		}
	}
	return h, peers
}

// BenchmarkTrack measures a second of membership, with a list and a heartbeat of each peer, by the
// number of VMs and runners.
func BenchmarkTrack(b *testing.B) {
	for _, n := range []struct{ vms, runners int }{{20, 20}, {100, 400}, {390, 3700}} {
		b.Run(fmt.Sprintf("vms=%d/runners=%d", n.vms, n.runners), func(b *testing.B) {
			vms, runners := testVMs(n.vms), testRunners(n.runners)
			h, peers := newLinkedHarness(vms, runners)
			events := []fleet.Event{fleet.ListRead{VMs: vms, Runners: runners}}
			for _, id := range peers {
				events = append(events, heartbeatFrom(id))
			}
			b.ReportAllocs()
			for b.Loop() {
				h.now += 1000
				h.tick(events...)
			}
			b.ReportMetric(float64(len(peers)), "links")
		})
	}
}

// BenchmarkAssignSenders measures the assignment of batch senders after a VM of this VM's data
// centre has died.
func BenchmarkAssignSenders(b *testing.B) {
	for _, n := range []struct{ vms, runners int }{{20, 20}, {100, 400}, {390, 3700}} {
		b.Run(fmt.Sprintf("vms=%d/runners=%d", n.vms, n.runners), func(b *testing.B) {
			h, _ := newLinkedHarness(testVMs(n.vms), testRunners(n.runners))
			var out fleet.Actions
			for b.Loop() {
				h.now += 1000
				invalidateSenders(h.Tables, h.now, "dc-0")
				AssignSenders(h.Tables, h.now, &out)
				out.Reset()
			}
		})
	}
}

// BenchmarkIdle measures a tick without events at full scale.
func BenchmarkIdle(b *testing.B) {
	h, _ := newLinkedHarness(testVMs(390), testRunners(3700))
	h.advance(1000)
	b.ReportAllocs()
	for b.Loop() {
		h.tick()
	}
}

// BenchmarkBroadcast measures sending a heartbeat to all peers and the encoded size of one, by the
// number of owned shards.
func BenchmarkBroadcast(b *testing.B) {
	for _, n := range []int{0, 1, 4, 16} {
		b.Run(fmt.Sprintf("shards=%d", n), func(b *testing.B) {
			h, peers := newLinkedHarness(testVMs(390), testRunners(3700))
			h.Log.ReadAt, h.TicketLog.Highest = h.now, 1_000_000
			for i := range n {
				h.Shards.Insert(cs.ShardID(i), fleet.Shard{Owned: true, Claim: 1_000_000})
				h.Jobs.Insert(cs.JobID(fmt.Sprint(i)), fleet.Job{Shard: cs.ShardID(i), Counts: [cs.ItemUnknown + 1]cs.ItemIndex{cs.ItemWaiting: 130_000}})
			}
			var out fleet.Actions
			for b.Loop() {
				h.now += 1000
				out.Reset()
				sendHeartbeats(h.Tables, h.now, &out)
			}
			data, err := wire.EncodeMessage(h.Membership.Broadcast)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "bytes")
			b.ReportMetric(float64(len(peers)), "links")
		})
	}
}
