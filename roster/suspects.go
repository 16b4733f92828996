package roster

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Bounds on the suspects of a report, so that they fit into a datagram of 1,500 bytes beside the loads.
const (
	maxReportedContents   = 6
	maxReportedParts      = 6
	maxReportedAcquittals = 10
)

// hasSuspectNews reports whether this VM has learned something new of a suspect since its last report.
func hasSuspectNews(t *gateway.Tables) bool {
	for _, s := range t.Suspects.All() {
		if s.ChangedAt >= t.Gossip.SentAt {
			return true
		}
	}
	return false
}

// suspectsToReport returns the suspects for a report to peers: those of which this VM has learned something new or, for a
// full report, all. Of too many contents or parts those with the most crashes are reported.
func suspectsToReport(t *gateway.Tables, now cs.Instant, full bool) []gateway.SuspectReport {
	var contents, parts, acquitted []gateway.SuspectKey
	for k, s := range t.Suspects.All() {
		switch {
		case !full && now.Sub(s.ChangedAt) > gateway.NewsPeriod:
		case k.Kind == gateway.SuspectContent:
			contents = append(contents, k)
		case len(s.Crashes) > 0:
			parts = append(parts, k)
		default:
			acquitted = append(acquitted, k)
		}
	}
	var reports []gateway.SuspectReport
	for _, k := range slices.Concat(
		mostCrashes(t, contents, maxReportedContents), mostCrashes(t, parts, maxReportedParts),
		mostCrashes(t, acquitted, maxReportedAcquittals),
	) {
		reports = append(reports, suspectReport(t, now, k))
	}
	return reports
}

// mostCrashes returns up to n of the suspects, those with the most crashes. Suspects of equal rank take turns by chance.
func mostCrashes(t *gateway.Tables, keys []gateway.SuspectKey, n int) []gateway.SuspectKey {
	t.Rand.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	slices.SortStableFunc(keys, func(a, b gateway.SuspectKey) int {
		return cmp.Compare(len(t.Suspects.Get(b).Crashes), len(t.Suspects.Get(a).Crashes))
	})
	return keys[:min(len(keys), n)]
}

// suspectReport returns the report on one suspect.
func suspectReport(t *gateway.Tables, now cs.Instant, k gateway.SuspectKey) gateway.SuspectReport {
	s := t.Suspects.Get(k)
	r := gateway.SuspectReport{Key: k}
	if len(s.Crashes) > 0 {
		r.FirstCrashAge, r.LastCrashAge = now.Sub(s.FirstCrashAt), now.Sub(s.LastCrashAt)
	}
	if s.ProbedAt != 0 {
		r.Probed, r.ProbeAge = true, now.Sub(s.ProbedAt)
	}
	if k.Kind == gateway.SuspectPart {
		if begun := t.BegunParts.Get(cs.PromptPart(k.Hash)); begun != nil {
			r.Begun, r.BegunAge = true, now.Sub(*begun)
		}
	}
	for _, c := range s.Crashes[:min(len(s.Crashes), gateway.MaxReportedCrashes)] {
		r.Crashes = append(r.Crashes, gateway.CrashReport{ID: c.ID, Age: now.Sub(c.At)})
	}
	return r
}
