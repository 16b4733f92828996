package roster

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// departureNewsPeriod is how long each report lists a departure of which its sender has learned. It covers the loss of
	// a datagram.
	departureNewsPeriod = 600 * cs.Millisecond
	// allDeparturesInterval is the time between two reports that list departures that are known for longer, for peers that
	// have started or were cut off since.
	allDeparturesInterval = cs.Second
	// maxReportedDepartures bounds the departures of a report, of which each takes up to 33 bytes, so that a report fits into a
	// datagram of 1,500 bytes.
	maxReportedDepartures = 10
)

// applyDepartures applies what a peer reports of runners that are leaving or have left.
func applyDepartures(t *gateway.Tables, now cs.Instant, r gateway.RelayedReport, out *gateway.Actions) {
	reads := r.Report.Registrations
	canRead := reads != nil && reads.Since >= t.Config.RegistrationGrace
	for _, d := range r.Report.Departures {
		for _, n := range d.Notices() {
			t.RecordDeparture(d.Runner, n, now.Add(-d.Age-r.Age), now, gateway.SourcePeer+string(r.Report.From), out)
		}
		if d.Removed && canRead {
			t.ConfirmRemoval(d.Runner, now)
		}
	}
}

// hasDepartureNews reports whether this VM has learned of a departure since its last report.
func hasDepartureNews(t *gateway.Tables) bool {
	for _, d := range t.Departures.All() {
		if d.ChangedAt >= t.Gossip.SentAt {
			return true
		}
	}
	return false
}

// departuresToReport returns the departures for a report to peers: the news and, at intervals, the others. If they are too
// many, the newest come first, and others by chance.
func departuresToReport(t *gateway.Tables, now cs.Instant) []gateway.DepartureReport {
	all := now.Sub(t.Gossip.AllDeparturesAt) >= allDeparturesInterval
	if all {
		t.Gossip.AllDeparturesAt = now
	}
	var news, others []gateway.DepartureReport
	for id, d := range t.Departures.All() {
		report := gateway.DepartureReport{
			Runner: id, Offset: d.Offset, Removed: d.Removed, Announced: d.Announced, Incarnation: d.Incarnation, Age: now.Sub(d.At),
		}
		switch {
		case now.Sub(d.ChangedAt) <= departureNewsPeriod:
			news = append(news, report)
		case all:
			others = append(others, report)
		}
	}
	for _, list := range [][]gateway.DepartureReport{news, others} {
		t.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	reports := slices.Concat(news, others)
	return reports[:min(len(reports), maxReportedDepartures)]
}
