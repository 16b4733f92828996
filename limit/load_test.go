package limit

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// TestNeededWithOldReports guards against batch runs that count as online requests of others because
// a report is older than their end, and against old reports that replace a newer answer.
func TestNeededWithOldReports(t *testing.T) {
	for _, c := range []struct {
		name string
		// ended is how long ago a batch run ended, answered how long ago an answer showed 1 request.
		ended, answered cs.Span
		running         cs.Slots
		want            cs.Slots
	}{
		{"batch ended after the report", 250, 2000, 8, 0},
		{"batch ended before the report", 350, 2000, 8, 1},
		{"an answer is newer", 350, 100, 8, 0},
	} {
		tb := tables(1)
		r := tb.Runners.Get("r0")
		r.Batch, r.Answer, r.AnswerAt, r.LoadBatch = 8, cs.Load{Running: 7}, at.Add(-c.answered), 7
		Occupy(r, cs.Batch, -1, at.Add(-c.ended))
		report := cs.LoadReport{Load: cs.Load{Running: c.running, Slots: 8}, At: at.Add(-300)}
		observeReport(tb, fleet.LoadReported{Runner: "r0", Report: report}, at)
		qt.Check(t, Needed(r, at), qt.Equals, c.want, qt.Commentf(c.name))
	}
}

// TestClaimsOutlastLoads guards against a load that was told before an announced request arrived and
// makes the batch sender forget it.
func TestClaimsOutlastLoads(t *testing.T) {
	for age, want := range map[cs.Span]cs.Slots{10: 1, 29: 1, 31: 0} {
		tb := tables(1)
		r := tb.Runners.Get("r0")
		r.Claims = []cs.Instant{at.Add(-age)}
		answered(r, cs.Load{Running: 1, Slots: 8}, cs.Online, at)
		qt.Check(t, cs.Slots(len(r.Claims)), qt.Equals, want, qt.Commentf("%v ago", age))
	}
}
