package meter

import (
	"fmt"
	"net/http/httptest"
	"runtime"
	"testing"

	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// heapInUse returns the bytes of heap in use after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// recordRequest records the metrics of one request as the relay and the control loop do.
func recordRequest(m *Meter, tenant cs.TenantID) {
	m.Count(fleet.CounterAdded{Counter: fleet.CountRequests, Tenant: tenant, N: 1})
	m.Count(fleet.CounterAdded{Counter: fleet.CountAnswered, Tenant: tenant, N: 1})
	for _, timing := range []Timing{QueueWait, FirstToken, TokenGap, Request} {
		m.Time(timing, tenant, cs.Online, 100)
	}
}

// BenchmarkCapacityTenants measures the time to record the metrics of a request and to serve a scrape,
// and the bytes that they take in memory and in the response, for several numbers of tenants.
func BenchmarkCapacityTenants(b *testing.B) {
	for _, n := range []int{10, 100, 200, 11_000} {
		tenants := make([]cs.TenantID, n)
		for i := range tenants {
			tenants[i] = cs.TenantID(fmt.Sprintf("workspace-%05d", i))
		}
		b.Run(fmt.Sprint("request/tenants=", n), func(b *testing.B) {
			before := heapInUse()
			m := New(zerolog.Nop())
			defer func() { _ = m.Close() }()
			for _, t := range tenants {
				recordRequest(m, t)
			}
			bytes := heapInUse() - before
			for i := 0; b.Loop(); i++ {
				recordRequest(m, tenants[i%n])
			}
			b.ReportMetric(bytes, "bytes")
		})
		b.Run(fmt.Sprint("scrape/tenants=", n), func(b *testing.B) {
			m := New(zerolog.Nop())
			defer func() { _ = m.Close() }()
			for _, t := range tenants {
				recordRequest(m, t)
			}
			var size int
			for b.Loop() {
				w := httptest.NewRecorder()
				m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
				size = w.Body.Len()
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
