package membership

import (
	"fmt"
	"testing"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/wire"
)

// fleetOf returns n VMs in 9 data centres.
func fleetOf(n int) []cs.VM {
	vms := make([]cs.VM, n)
	for i := range vms {
		vms[i] = vmOf(cs.VMID(fmt.Sprintf("vm-%03d", i)), 1, cs.DataCentreID(fmt.Sprint("dc-", i%9)))
	}
	return vms
}

func centreOf(vms []cs.VM, centre cs.DataCentreID) []cs.VM {
	var in []cs.VM
	for _, vm := range vms {
		if vm.DataCentre == centre {
			in = append(in, vm)
		}
	}
	return in
}

func runnersOf(n int) []cs.Runner {
	runners := make([]cs.Runner, n)
	for i := range runners {
		runners[i] = cs.Runner{ID: cs.RunnerID(fmt.Sprintf("runner-%04d", i)), Incarnation: 1, DataCentre: cs.DataCentreID(fmt.Sprint("dc-", i%9))}
	}
	return runners
}

// linkedWorld returns the first VM's world with links to the peers it chooses.
func linkedWorld(vms []cs.VM, runners []cs.Runner) (*world, []cs.VMID) {
	w := &world{Tables: fleet.New(fleet.DefaultConfig(), vms[0], start, 1), now: start}
	w.tick(fleet.ListRead{VMs: vms, Runners: runners})
	peers := Peers(vms[0], vms, w.Config.CrossLinks)
	for _, vm := range vms {
		if v := w.VMs.Get(vm.ID); v.Wanted {
			w.tick(fleet.LinkOpened{VM: vm})
		}
	}
	return w, peers
}

// BenchmarkTrack measures a second of membership by the number of VMs: a list and a heartbeat of each
// peer.
func BenchmarkTrack(b *testing.B) {
	for _, n := range []struct{ vms, runners int }{{20, 20}, {100, 400}, {390, 3700}} {
		b.Run(fmt.Sprintf("vms=%d/runners=%d", n.vms, n.runners), func(b *testing.B) {
			vms, runners := fleetOf(n.vms), runnersOf(n.runners)
			w, peers := linkedWorld(vms, runners)
			events := []fleet.Event{fleet.ListRead{VMs: vms, Runners: runners}}
			for _, id := range peers {
				events = append(events, beat(id))
			}
			b.ReportAllocs()
			for b.Loop() {
				w.now += 1000
				w.tick(events...)
			}
			b.ReportMetric(float64(len(peers)), "links")
		})
	}
}

// BenchmarkSenders measures the choice of senders after a VM of the own data centre died.
func BenchmarkSenders(b *testing.B) {
	for _, n := range []struct{ vms, runners int }{{20, 20}, {100, 400}, {390, 3700}} {
		b.Run(fmt.Sprintf("vms=%d/runners=%d", n.vms, n.runners), func(b *testing.B) {
			w, _ := linkedWorld(fleetOf(n.vms), runnersOf(n.runners))
			var out fleet.Actions
			for b.Loop() {
				w.now += 1000
				markSenders(w.Tables, w.now, "dc-0")
				Senders(w.Tables, w.now, &out)
				out.Reset()
			}
		})
	}
}

// BenchmarkIdle measures a tick without events.
func BenchmarkIdle(b *testing.B) {
	w, _ := linkedWorld(fleetOf(390), runnersOf(3700))
	w.pass(1000)
	b.ReportAllocs()
	for b.Loop() {
		w.tick()
	}
}

// BenchmarkBeat measures a round of heartbeats and the length of one, by the number of owned shards.
func BenchmarkBeat(b *testing.B) {
	for _, n := range []int{0, 1, 4, 16} {
		b.Run(fmt.Sprintf("shards=%d", n), func(b *testing.B) {
			w, peers := linkedWorld(fleetOf(390), runnersOf(3700))
			w.Log.ReadAt, w.TicketLog.Highest = w.now, 1_000_000
			for i := range n {
				w.Shards.Insert(cs.ShardID(i), fleet.Shard{Owned: true, Claim: 1_000_000})
				w.Jobs.Insert(cs.JobID(fmt.Sprint(i)), fleet.Job{Shard: cs.ShardID(i), Counts: [cs.ItemUnknown + 1]cs.ItemIndex{cs.ItemWaiting: 130_000}})
			}
			var out fleet.Actions
			for b.Loop() {
				w.now += 1000
				out.Reset()
				beatAll(w.Tables, w.now, &out)
			}
			data, err := wire.EncodeMessage(w.Membership.Beat)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "bytes")
			b.ReportMetric(float64(len(peers)), "links")
		})
	}
}
