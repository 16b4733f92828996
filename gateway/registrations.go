package gateway

import cs "github.com/crocusstile/crocusstile"

// RegistrationsSettled reports whether a registration that is missing is that of a runner which is gone. Registrations expire
// while the store is unavailable, and those of live runners are back within Config.RegistrationGrace of its return. That this
// VM could not read the store says nothing about that if at least half of the VMs that report could meanwhile.
func (t *Tables) RegistrationsSettled(now cs.Instant, out *Actions) bool {
	grace, feed := t.Config.RegistrationGrace, t.Feeds[FeedRunners]
	if feed.FailingSince == 0 {
		settledAt := feed.RecoveredAt.Add(grace)
		if feed.RecoveredAt == 0 || now >= settledAt {
			return true
		}
		out.WakeAt(settledAt)
	}
	able, reporting := 0, 1
	for _, p := range t.Peers.All() {
		if p.LastReportAt == 0 {
			continue
		}
		reporting++
		if reads := p.Registrations; reads.Since != 0 && now.Sub(reads.Since) >= grace && reads.AsOf >= feed.FailedAt {
			able++
		}
	}
	return 2*able >= reporting
}
