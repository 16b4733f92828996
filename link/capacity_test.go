package link

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkCapacityLink reports the memory of both ends of a link for several numbers of links.
func BenchmarkCapacityLink(b *testing.B) {
	for _, n := range []int{20, 50, 107} {
		b.Run(fmt.Sprint("links=", n), func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				bytes = linkMemory(b, n)
			}
			b.ReportMetric(bytes/float64(n), "B/link")
		})
	}
}

// linkMemory opens n links to one VM and returns the memory in use.
func linkMemory(b *testing.B, n int) float64 {
	opened := make(chan struct{}, 2*n)
	events := func(e fleet.Event) {
		if _, ok := e.(fleet.LinkOpened); ok {
			opened <- struct{}{}
		}
	}
	server := httptest.NewUnstartedServer(nil)
	hub := cs.VM{ID: "hub", Incarnation: 1, DataCentre: "a", Address: cs.Address(server.Listener.Addr().String())}
	links := New(Config{Self: hub, OnEvent: events})
	mux := http.NewServeMux()
	mux.Handle(Path, links.Handler())
	server.Config.Handler = mux
	server.Start()
	defer server.Close()
	defer links.Close()
	before := memoryInUse()
	for i := range n {
		vm := cs.VM{ID: cs.VMID(fmt.Sprintf("vm-%03d", i)), Incarnation: 1, DataCentre: "a", Address: "127.0.0.1:1"}
		peer := New(Config{Self: vm, OnEvent: events})
		defer peer.Close()
		peer.Dial(hub)
	}
	for range 2 * n {
		select {
		case <-opened:
		case <-time.After(10 * time.Second):
			b.Fatal("a link did not open")
		}
	}
	return memoryInUse() - before
}
