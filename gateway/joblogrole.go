package gateway

import (
	"cmp"

	cs "github.com/crocusstile/crocusstile"
)

//go:generate enumer -type JobLogRole -text -transform lower -trimprefix JobLog

// JobLogRole says whether a VM follows the job log.
type JobLogRole int

// The roles.
const (
	// JobLogFollower reads the job log, owns partitions of it and answers the calls of callers about jobs.
	JobLogFollower JobLogRole = iota
	// JobLogReader follows the log and answers callers, but has given up its partitions, since it cannot serve them.
	JobLogReader
	// JobLogResigning has given up its partitions and follows the log until its runs and appends have ended.
	JobLogResigning
	// JobLogNone does not read the job log, and passes the calls of callers about jobs to a follower.
	JobLogNone
)

// FollowerRank caches the rank of this VM among those that may follow the job log.
type FollowerRank struct {
	// Rank is the number of live VMs of the data centre that come before this one.
	Rank int
	// ComputedAt and liveChanges describe the state from which it was computed.
	ComputedAt  cs.Instant
	liveChanges uint64
	peers       int
}

const (
	// followerRankInterval is the time after which the rank is computed again although the VMs have not changed.
	followerRankInterval = 500 * cs.Millisecond
	// unheardVMTimeout is how long after the start of this VM a registered VM that has not reported counts as live.
	unheardVMTimeout = 2 * cs.Second
	// followerKey is the key of the order in which VMs follow the job log.
	followerKey = "jobLog"
)

// JobLogFollowerRank returns how many live VMs of this data centre come before this one in the order in which VMs follow the
// job log: those with more memory first, then by rendezvous hashing.
func (t *Tables) JobLogFollowerRank(now cs.Instant) int {
	r := &t.JobLog.Rank
	if r.ComputedAt != 0 && now.Sub(r.ComputedAt) < followerRankInterval && r.liveChanges == t.LiveChanges && r.peers == t.Peers.Len() {
		return r.Rank
	}
	*r = FollowerRank{ComputedAt: now, liveChanges: t.LiveChanges, peers: t.Peers.Len()}
	for _, p := range t.Peers.All() {
		isLive := p.LastReportAt != 0 || p.HeardAt == 0 && now.Sub(t.Started) < unheardVMTimeout
		if isLive && !p.VM.Leaving && p.VM.DataCentre == t.Self.DataCentre && followsBefore(p.VM, t.Self) {
			r.Rank++
		}
	}
	return r.Rank
}

// followsBefore reports whether a VM comes before another one in the order in which VMs follow the job log.
func followsBefore(a, b cs.VM) bool {
	return cmp.Or(
		cmp.Compare(a.Memory, b.Memory),
		cmp.Compare(cs.RendezvousWeight(followerKey, string(a.ID)), cs.RendezvousWeight(followerKey, string(b.ID))),
	) > 0
}
