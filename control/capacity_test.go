package control_test

import (
	"fmt"
	"runtime"
	"testing"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// BenchmarkCapacityIdleTick measures a tick of all systems without an event, 2 ms after the last one.
func BenchmarkCapacityIdleTick(b *testing.B) {
	for _, s := range append(sizes, size{390, 411, 11_000}, size{43, 411, 11_000}) {
		b.Run(s.String(), func(b *testing.B) {
			w := newWorld(s)
			for n := 0; b.Loop(); n++ {
				w.now = w.now.Add(minTick)
				if n%500 != 0 {
					w.tick()
					continue
				}
				b.StopTimer() // peers that are silent for 3 s would count as dead
				for _, id := range w.peers {
					w.tick(w.beat(id))
				}
				b.StartTimer()
			}
		})
	}
}

// BenchmarkCapacitySecond measures a second of the control loop under each part of the load of a VM,
// by the size of the fleet.
func BenchmarkCapacitySecond(b *testing.B) {
	for _, part := range []struct {
		name string
		load
	}{
		{"beats", load{}},
		{"lists", load{lists: true}},
		{"reports", load{reports: 1}},
		{"requests", load{requests: 82}},
		{"all", load{requests: 82, reports: 1 / 0.3, lists: true}},
	} {
		for _, s := range sizes {
			b.Run(part.name+"/"+s.String(), func(b *testing.B) { newWorld(s).measure(b, part.load) })
		}
	}
}

// BenchmarkCapacityRequests measures a second by the rate of online requests at the target scale.
func BenchmarkCapacityRequests(b *testing.B) {
	for _, n := range []int{20, 82, 200} {
		b.Run(fmt.Sprint("requests=", n), func(b *testing.B) { newWorld(sizes[2]).measure(b, load{requests: n}) })
	}
}

// BenchmarkCapacityReports measures a second by the number of load reports of each near runner.
func BenchmarkCapacityReports(b *testing.B) {
	for _, n := range []float64{0.1, 1, 3.3} {
		b.Run(fmt.Sprint("reports=", n), func(b *testing.B) { newWorld(sizes[2]).measure(b, load{reports: n}) })
	}
}

// BenchmarkCapacityTickets measures a second by the number of tickets read in it.
func BenchmarkCapacityTickets(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("tickets=", n), func(b *testing.B) { newWorld(sizes[2]).measure(b, load{tickets: n}) })
	}
}

// BenchmarkCapacityView measures the publication of the view.
func BenchmarkCapacityView(b *testing.B) {
	for _, s := range append(sizes, size{390, 18, 50}, size{21, 3700, 50}, size{21, 18, 11_000}) {
		b.Run(s.String(), func(b *testing.B) {
			w := newWorld(s)
			b.ReportAllocs()
			for b.Loop() {
				fleet.NewView(w.Tables, w.now)
			}
		})
	}
}

// heapInUse returns the bytes in use after a collection.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkCapacityMemory measures the memory of a VM's tables, by VMs, runners and tenants.
func BenchmarkCapacityMemory(b *testing.B) {
	for _, s := range append(sizes, size{390, 18, 50}, size{21, 3700, 50}, size{21, 18, 11_000}) {
		b.Run(s.String(), func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				before := heapInUse()
				w := newWorld(s)
				bytes = heapInUse() - before
				runtime.KeepAlive(w)
			}
			b.ReportMetric(bytes, "bytes")
		})
	}
}

// BenchmarkCapacityRequestRow measures the memory of requests in flight.
func BenchmarkCapacityRequestRow(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint("requests=", n), func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				t := fleet.New(fleet.DefaultConfig(), cs.VM{ID: "vm"}, started, 1)
				w := &world{Tables: t, now: started}
				before := heapInUse()
				for i := range n {
					q := w.request(i).Request
					t.Requests.Insert(q.ID, fleet.Request{Request: q, Runs: []fleet.RequestRun{{Runner: "r"}}})
				}
				bytes = heapInUse() - before
				runtime.KeepAlive(t)
			}
			b.ReportMetric(bytes/float64(n), "B/request")
		})
	}
}
