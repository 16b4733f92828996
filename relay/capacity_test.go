package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
)

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkCapacityStream reports the memory of an open stream for several numbers of streams. It
// includes the runner's end of the connection, but not the caller's connection.
func BenchmarkCapacityStream(b *testing.B) {
	for _, n := range []int{100, 400, 1200} {
		b.Run(fmt.Sprint("streams=", n), func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				bytes = streamMemory(b, n)
			}
			b.ReportMetric(bytes/float64(n), "B/stream")
		})
	}
}

// streamMemory opens n streams, reads a part of the first token of each and returns the memory in use.
func streamMemory(b *testing.B, n int) float64 {
	release := make(chan struct{})
	runner := httptest.NewServer(http.HandlerFunc(func(h http.ResponseWriter, r *http.Request) {
		var body [1 << 10]byte
		read, _ := r.Body.Read(body[:])
		var id string
		_, _ = fmt.Sscanf(string(body[:read]), `{"id":%q`, &id)
		_, _ = fmt.Fprintf(h, "data: {\"id\":%q,\"n\":1,\"text\":\" token\"}\n\n", id)
		_ = http.NewResponseController(h).Flush()
		<-release
	}))
	h := newHarness(b, cs.Address(runner.Listener.Addr().String()))
	before := memoryInUse()
	for range n {
		body, err := h.relay.Stream(b.Context(), h.request(100))
		qt.Assert(b, err, qt.IsNil)
		defer func() { _ = body.Close() }()
		var first [16]byte
		_, err = io.ReadFull(body, first[:])
		qt.Assert(b, err, qt.IsNil)
	}
	used := memoryInUse() - before
	close(release)
	runner.Close()
	return used
}
