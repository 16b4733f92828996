package limit

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// TestOnlineDemandWithOldReports guards against counting batch runs as online requests of peers
// because the load report predates their end, and against an old report replacing the load of a
// newer response.
func TestOnlineDemandWithOldReports(t *testing.T) {
	for _, c := range []struct {
		name string
		// ended is the time since one of 8 batch runs ended; responded is the time since a response
		// reported the other 7.
		ended, responded cs.Span
		running          cs.Slots
		want             cs.Slots
	}{
		{"batch ended after the report", 250, 2000, 8, 0},
		{"batch ended before the report", 350, 2000, 8, 1},
		{"a response is newer", 350, 100, 8, 0},
	} {
		tb := newTables(1)
		r := tb.Runners.Get("r0")
		r.Batch, r.ResponseLoad, r.ResponseLoadAt, r.LoadBatch = 8, cs.Load{Running: 7}, testStart.Add(-c.responded), 7
		AddInFlight(r, cs.Batch, -1, testStart.Add(-c.ended))
		report := cs.LoadReport{Load: cs.Load{Running: c.running, Slots: 8}, At: testStart.Add(-300)}
		observeReport(tb, fleet.LoadReceived{Runner: "r0", Report: report}, testStart)
		qt.Check(t, OnlineDemand(r, testStart), qt.Equals, c.want, qt.Commentf(c.name))
	}
}

// TestAnnouncedRequestsOutlastOlderLoads guards against a load that the runner measured before an
// announced request arrived: it must not make the batch sender forget the request.
func TestAnnouncedRequestsOutlastOlderLoads(t *testing.T) {
	for age, want := range map[cs.Span]cs.Slots{10: 1, 29: 1, 31: 0} {
		tb := newTables(1)
		r := tb.Runners.Get("r0")
		r.AnnouncedOnline = []cs.Instant{testStart.Add(-age)}
		recordResponseLoad(r, cs.Load{Running: 1, Slots: 8}, cs.Online, testStart)
		qt.Check(t, cs.Slots(len(r.AnnouncedOnline)), qt.Equals, want, qt.Commentf("%v ago", age))
	}
}
