package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// maxReportedLimits bounds the limits of a report. Of more than these each report lists others, by chance.
const maxReportedLimits = 16

// Limits applies the limits on requests that runners name to this VM, and decides to which of these runners this VM may send.
func Limits(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		if read, ok := e.(gateway.RunnerLimitRead); ok {
			t.RecordLimit(t.Runners.Get(read.Runner), read.Named, read.Limit, now, now, out)
		}
	}
	t.AssignSenders(now)
}

// limitsToReport returns the limits for a report to peers: those that have changed or, for a full report, all.
func limitsToReport(t *gateway.Tables, now cs.Instant, full bool) []gateway.LimitReport {
	var reports []gateway.LimitReport
	for id, r := range t.Runners.All() {
		if r.HasLimitNews(now) || full && r.Limit.Named {
			reports = append(reports, gateway.LimitReport{Runner: id, Named: r.Limit.Named, Rate: r.Limit.Rate, Age: now.Sub(r.Limit.AsOf), Sent: r.Limit.Sent})
		}
	}
	t.Rand.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
	return reports[:min(len(reports), maxReportedLimits)]
}

// hasLimitNews reports whether a limit has changed since the last report.
func hasLimitNews(t *gateway.Tables) bool {
	for _, r := range t.Runners.All() {
		if r.Limit.ChangedAt != 0 && r.Limit.ChangedAt >= t.Gossip.SentAt {
			return true
		}
	}
	return false
}
