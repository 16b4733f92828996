package control_test

import (
	"fmt"
	"runtime"
	"testing"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// BenchmarkCapacityIdleTick measures a tick of all systems without events, minTick after the last one.
func BenchmarkCapacityIdleTick(b *testing.B) {
	for _, s := range append(fleetSizes, fleetSize{390, 411, 11_000}, fleetSize{43, 411, 11_000}) {
		b.Run(s.String(), func(b *testing.B) {
			sim := newSimulation(s)
			for n := 0; b.Loop(); n++ {
				sim.now = sim.now.Add(minTick)
				if n%500 != 0 {
					sim.tick()
					continue
				}
				b.StopTimer() // peers without a heartbeat for 3 s would count as dead
				for _, id := range sim.peers {
					sim.tick(sim.heartbeat(id))
				}
				b.StartTimer()
			}
		})
	}
}

// BenchmarkCapacitySecond measures a second of the control loop under each part of a VM's workload, by
// the size of the fleet.
func BenchmarkCapacitySecond(b *testing.B) {
	for _, part := range []struct {
		name string
		workload
	}{
		{"heartbeats", workload{}},
		{"lists", workload{listRead: true}},
		{"reports", workload{reports: 1}},
		{"requests", workload{requests: 82}},
		{"all", workload{requests: 82, reports: 1 / 0.3, listRead: true}},
	} {
		for _, s := range fleetSizes {
			b.Run(part.name+"/"+s.String(), func(b *testing.B) { newSimulation(s).measure(b, part.workload) })
		}
	}
}

// BenchmarkCapacityRequests measures a second at the target scale, by the rate of online requests.
func BenchmarkCapacityRequests(b *testing.B) {
	for _, n := range []int{20, 82, 200} {
		b.Run(fmt.Sprint("requests=", n), func(b *testing.B) { newSimulation(fleetSizes[2]).measure(b, workload{requests: n}) })
	}
}

// BenchmarkCapacityReports measures a second at the target scale, by the number of load reports of
// each runner of the VM's data centre.
func BenchmarkCapacityReports(b *testing.B) {
	for _, n := range []float64{0.1, 1, 3.3} {
		b.Run(fmt.Sprint("reports=", n), func(b *testing.B) { newSimulation(fleetSizes[2]).measure(b, workload{reports: n}) })
	}
}

// BenchmarkCapacityTickets measures a second at the target scale, by the number of tickets read in it.
func BenchmarkCapacityTickets(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("tickets=", n), func(b *testing.B) { newSimulation(fleetSizes[2]).measure(b, workload{tickets: n}) })
	}
}

// BenchmarkCapacityView measures the creation of a view, by the size of the fleet.
func BenchmarkCapacityView(b *testing.B) {
	for _, s := range append(fleetSizes, fleetSize{390, 18, 50}, fleetSize{21, 3700, 50}, fleetSize{21, 18, 11_000}) {
		b.Run(s.String(), func(b *testing.B) {
			sim := newSimulation(s)
			b.ReportAllocs()
			for b.Loop() {
				fleet.NewView(sim.Tables, sim.now)
			}
		})
	}
}

// heapInUse returns the bytes of live heap objects after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkCapacityMemory measures the memory of a VM's tables, by the number of VMs, runners and
// tenants.
func BenchmarkCapacityMemory(b *testing.B) {
	for _, s := range append(fleetSizes, fleetSize{390, 18, 50}, fleetSize{21, 3700, 50}, fleetSize{21, 18, 11_000}) {
		b.Run(s.String(), func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				before := heapInUse()
				sim := newSimulation(s)
				bytes = heapInUse() - before
				runtime.KeepAlive(sim)
			}
			b.ReportMetric(bytes, "bytes")
		})
	}
}

// BenchmarkCapacityRequestRow measures the memory per request in flight.
func BenchmarkCapacityRequestRow(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint("requests=", n), func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				t := fleet.New(fleet.DefaultConfig(), cs.VM{ID: "vm"}, startTime, 1)
				sim := &simulation{Tables: t, now: startTime}
				before := heapInUse()
				for i := range n {
					req := sim.request(i).Request
					t.Requests.Insert(req.ID, fleet.Request{Request: req, Runs: []fleet.RequestAttempt{{Runner: "r"}}})
				}
				bytes = heapInUse() - before
				runtime.KeepAlive(t)
			}
			b.ReportMetric(bytes/float64(n), "B/request")
		})
	}
}
