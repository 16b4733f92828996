package gateway

import cs "github.com/crocusstile/crocusstile"

// RegistrationsSettled reports whether a missing registration of a runner in a data centre is that of a runner which is gone.
// Registrations expire while the store is unavailable, and those of live runners are back within Config.RegistrationGrace of
// its return. That this VM could not read the store says nothing about that if at least half of the VMs that report could
// meanwhile, among them one in the data centre of the runner: a network partition may have cut it off from the store with all
// VMs there.
func (t *Tables) RegistrationsSettled(dc cs.DataCentreID, now cs.Instant, out *Actions) bool {
	grace, feed := t.Config.RegistrationGrace, t.Feeds[FeedRunners]
	if feed.FailingSince == 0 {
		settledAt := feed.RecoveredAt.Add(grace)
		if feed.RecoveredAt == 0 || now >= settledAt {
			return true
		}
		out.WakeAt(settledAt)
	}
	able, reporting := 0, 1
	isNear, nearAble := t.Self.DataCentre == dc, false
	for _, p := range t.Peers.All() {
		if p.LastReportAt == 0 {
			continue
		}
		reporting++
		isNear = isNear || p.VM.DataCentre == dc
		if reads := p.Registrations; reads.Since != 0 && now.Sub(reads.Since) >= grace && reads.AsOf >= feed.FailedAt {
			able++
			nearAble = nearAble || p.VM.DataCentre == dc
		}
	}
	return 2*able >= reporting && (nearAble || !isNear)
}
