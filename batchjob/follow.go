package batchjob

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// resignDelay is how long a VM must have come after the followers before it stops following: VMs that restart in turn
	// come back within seconds.
	resignDelay = 10 * cs.Second
	// listTimeout is how long after its start a VM waits for the list of VMs before it decides by the VMs that report.
	listTimeout = cs.Second
	// followerSilence is the time without a report after which other followers are asked first.
	followerSilence = 600 * cs.Millisecond
	// maxFollowerAge is the age of a peer's view of the job log up to which it is asked first.
	maxFollowerAge = 2 * cs.Second
)

// FollowJobLog decides whether this VM follows the job log, and selects a follower for the calls that this VM passes on. Only the
// first few VMs of each data centre follow it, so that what all VMs together read from the store does not grow with their number.
func FollowJobLog(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		if e, ok := e.(gateway.JobPeerRequested); ok {
			answer := gateway.AnswerJobPeer{Query: e.Query}
			if p := randomFollower(t, e.Tried, now); p != nil {
				answer.Peer, answer.Address = p.VM.ID, p.VM.Address
			}
			out.Add(answer)
		}
	}
	if t.Config.JobLogFollowers == 0 || t.Drain.Phase != fleet.DrainNone {
		return
	}
	switch l := &t.JobLog; l.Role {
	case gateway.JobLogNone:
		if listed := t.Started.Add(listTimeout); !t.Feeds[gateway.FeedVMs].Loaded && now < listed {
			out.WakeAt(listed)
			return
		}
		if t.JobLogFollowerRank(now) < t.Config.JobLogFollowers {
			setRole(t, gateway.JobLogFollower, out)
		}
	case gateway.JobLogFollower:
		resignIfSurplus(t, now, out)
	case gateway.JobLogResigning:
		if hasNoJobWork(t) {
			forgetJobLog(t)
			setRole(t, gateway.JobLogNone, out)
		}
	}
}

// resignIfSurplus gives up the partitions of a VM that has come after the followers for resignDelay.
func resignIfSurplus(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	l := &t.JobLog
	switch {
	case t.JobLogFollowerRank(now) < t.Config.JobLogFollowers || t.StoreUnreadable():
		l.SurplusSince = 0
	case l.SurplusSince == 0:
		l.SurplusSince = now
	case now.Sub(l.SurplusSince) >= resignDelay:
		l.SurplusSince = 0
		setRole(t, gateway.JobLogResigning, out)
	}
}

// setRole changes the role of this VM.
func setRole(t *gateway.Tables, role gateway.JobLogRole, out *gateway.Actions) {
	t.JobLog.Role = role
	out.Add(gateway.SetJobLogRole{Role: role})
	out.Note(gateway.Note{Kind: gateway.NoteJobLogRoleChanged, Outcome: role.String(), Count: t.JobLog.Rank.Rank, Offset: t.JobLog.End})
}

// hasNoJobWork reports whether this VM owns no partition, and no run, append or call of a caller needs the job log.
func hasNoJobWork(t *gateway.Tables) bool {
	if len(t.Partitions.Owned) > 0 || t.HasPendingChanges() || t.ResultsQueries.Len() > 0 || t.BodyQueries.Len() > 0 {
		return false
	}
	for _, j := range t.Jobs.All() {
		if slices.ContainsFunc(j.ItemWork, func(w gateway.ItemWork) bool {
			return w.Phase == gateway.ItemRunning || w.Phase == gateway.ItemStopping
		}) {
			return false
		}
	}
	return true
}

// forgetJobLog removes what this VM knows of the job log.
func forgetJobLog(t *gateway.Tables) {
	t.Jobs.DeleteFunc(func(cs.JobID, *gateway.Job) bool { return true })
	t.UnreadableJobs.DeleteFunc(func(cs.JobID, *gateway.UnreadableJob) bool { return true })
	l := &t.JobLog
	l.Synced, l.End, l.PartialChunks, l.RequiredEnd = false, 0, 0, 0
	*t.Feeds[gateway.FeedJobs] = gateway.FeedState{}
	t.Partitions.BatchDemand = 0
}

// randomFollower returns a random peer that follows the job log, other than those that were tried, or nil. Those of this data
// centre that have reported lately come first, then those elsewhere, then the others. The choice within them is uniform
// (reservoir sampling).
func randomFollower(t *gateway.Tables, tried []cs.VMID, now cs.Instant) *gateway.Peer {
	var picked *gateway.Peer
	best, n := 0, 0
	for id, p := range t.Peers.All() {
		if p.LastReportAt == 0 || p.VM.Leaving || p.JobLogAsOf == 0 || slices.Contains(tried, id) {
			continue
		}
		preference := 1
		if now.Sub(p.LastReportAt) <= followerSilence && now.Sub(p.JobLogAsOf) <= maxFollowerAge && t.Reach(p.VM.DataCentre, now) == gateway.ReachGood {
			preference++
			if p.VM.DataCentre == t.Self.DataCentre {
				preference++
			}
		}
		if preference < best {
			continue
		}
		if preference > best {
			best, n = preference, 0
		}
		if n++; t.Rand.IntN(n) == 0 {
			picked = p
		}
	}
	return picked
}
