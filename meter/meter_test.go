package meter_test

import (
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/meter"
)

// TestTenantsAreBounded guards against callers that exhaust the memory with names of tenants, and
// against lost counts when the tenants beyond the bound are recorded together.
func TestTenantsAreBounded(t *testing.T) {
	m := meter.New(zerolog.Nop())
	const tenants = 20_000
	count := func(i int) {
		tenant := cs.TenantID(fmt.Sprint("t", i))
		m.Count(fleet.CounterAdded{Counter: fleet.CountRequests, Tenant: tenant, N: 1})
		m.Time(meter.QueueWait, tenant, cs.Online, cs.Millisecond)
	}
	for i := range 1000 {
		count(i)
	}
	before := heapInUse()
	for i := range tenants {
		count(1000 + i)
	}
	grown := int64(heapInUse() - before)
	qt.Check(t, grown < 1<<20, qt.IsTrue, qt.Commentf("%d bytes for %d tenants", grown, tenants))
	qt.Assert(t, m.Close(), qt.IsNil) // reports the remaining counts
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	counters, total := 0, 0
	for line := range strings.Lines(w.Body.String()) {
		if strings.HasPrefix(line, "crocusstile_requests_total{") {
			var n int
			_, err := fmt.Sscan(line[strings.LastIndexByte(line, ' ')+1:], &n)
			qt.Assert(t, err, qt.IsNil)
			counters, total = counters+1, total+n
		}
	}
	qt.Check(t, counters <= 201, qt.IsTrue, qt.Commentf("%d counters", counters))
	qt.Check(t, total, qt.Equals, 1000+tenants)
}

// heapInUse returns the bytes of heap in use after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
