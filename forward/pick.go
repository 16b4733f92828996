package forward

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// pickRunner returns the least loaded runner of the request's service that has capacity, or nil.
// Among runners with free slots it prefers those of this data centre. A runner whose slots are
// occupied by batch items counts as having capacity, because batch items are stopped to make room
// for online requests. A request that can no longer meet its target is not queued at a runner,
// where it would delay requests that still can. If onlyLimited is set, it returns only runners that
// name a limit, which the VMs do not divide by their demand.
func pickRunner(t *gateway.Tables, f *gateway.Forward, now cs.Instant, onlyLimited bool) *gateway.Runner {
	c := newChoice(t, f, now, onlyLimited)
	if c.work.service != nil {
		return c.amongCandidates()
	}
	for id, r := range t.Runners.All() {
		c.consider(id, r)
	}
	return c.best
}

// choice is the choice of a runner for a request.
type choice struct {
	tables      *gateway.Tables
	forward     *gateway.Forward
	now         cs.Instant
	onlyLimited bool
	jitter      float64
	maxQueued   cs.Slots
	allTried    bool
	// work is what the request is expected to cost.
	work     requestCost
	best     *gateway.Runner
	bestCost float64
}

// newChoice returns the choice for a request before any runner is considered.
func newChoice(t *gateway.Tables, f *gateway.Forward, now cs.Instant, onlyLimited bool) choice {
	c := choice{tables: t, forward: f, now: now, onlyLimited: onlyLimited, jitter: pickJitter(t), allTried: triedAllReachable(t, f, now), work: costOf(t, f)}
	if canMeetTarget(f, now) {
		c.maxQueued = maxQueuedPerRunner
	}
	return c
}

// maxCandidates is the number of runners that can take a request among which one is chosen. Further ones would be chosen only if all of
// these were much slower or full, and looking at 3,700 runners takes 0.16 ms for each request.
const maxCandidates = 96

// amongCandidates returns the runner with the least cost among those that this VM prefers.
func (c *choice) amongCandidates() *gateway.Runner {
	considered := 0
	for _, id := range c.tables.CandidatesOf(c.forward.Service, remoteDistance) {
		if r := c.tables.Runners.Get(id); r != nil && c.consider(id, r) {
			if considered++; considered >= maxCandidates {
				break
			}
		}
	}
	return c.best
}

// consider takes a runner if it can take the request at a lower cost than the best one so far, and reports whether it can take it.
func (c *choice) consider(id cs.RunnerID, r *gateway.Runner) bool {
	if r.Spec.Service != c.forward.Service {
		return false
	}
	reach, excluded := c.exclusion(id, r)
	if excluded != "" {
		return false
	}
	if cost := c.cost(r, reach, c.tables.Rand.Float64()); c.best == nil || cost < c.bestCost {
		c.best, c.bestCost = r, cost
	}
	return true
}

// exclusion returns why a runner of the service cannot take the request, or an empty string and how it can be reached if it can.
func (c *choice) exclusion(id cs.RunnerID, r *gateway.Runner) (gateway.Reach, string) {
	t, f, now := c.tables, c.forward, c.now
	switch {
	case !r.Usable(now):
		return 0, "it is leaving, ejected or on probation"
	case mayHaveRunOn(f, id) && !c.allTried:
		return 0, "the request may have run there"
	case !r.WithinLimit(now):
		return 0, "the limit that it names"
	case c.onlyLimited && !r.Limit.Named && !t.HasAllocator(r, now):
		return 0, "the share of this VM is used up"
	case slices.Contains(f.DeniedBy, id):
		return 0, "its allocator has denied a slot"
	case r.OnlineLoad() >= r.Spec.Slots+c.maxQueued:
		return 0, "it is full"
	case c.work.service != nil && !r.HasOnlineMemory(c.work.limit, c.work.memory, c.work.meanMemory):
		return 0, "its memory would be exceeded"
	}
	reach := t.Reach(r.Spec.DataCentre, now)
	if reach == gateway.ReachCut && !mayProbe(t, f, r.Spec.DataCentre, now) {
		return reach, "its data centre is cut off"
	}
	return reach, ""
}

// cost returns the cost of a runner for the request, with a random number from 0 to 1.
func (c *choice) cost(r *gateway.Runner, reach gateway.Reach, draw float64) float64 {
	t, now := c.tables, c.now
	cost := loadCost(r, now) + preference(t, r, c.jitter, draw, now)
	if c.work.service != nil {
		cost += timeCost(c.forward, &c.work, r, now)
	}
	if now.Sub(r.DeniedAt) < deniedTime {
		cost += fullPenalty
	}
	if reach != gateway.ReachGood {
		cost += doubtfulPenalty
	}
	return cost
}

// mayProbe reports whether a request may be sent to a data centre that seems to be unreachable. One that may run only once is
// not risked there as long as a VM is listed whose next report shows that the path is up again.
func mayProbe(t *gateway.Tables, f *gateway.Forward, dc cs.DataCentreID, now cs.Instant) bool {
	return t.IsProbeDue(dc, now) && (f.Route.Repeatable() || !t.HasListedVM(dc))
}

// triedAllReachable reports whether the request has been sent to every reachable runner of its
// service, in which case it may be sent to one of them again.
func triedAllReachable(t *gateway.Tables, f *gateway.Forward, now cs.Instant) bool {
	if len(f.Tried) == 0 {
		return false
	}
	for id, r := range t.Runners.All() {
		if r.Spec.Service == f.Service && !r.Leaving() && r.MayEverSend() && !mayHaveRunOn(f, id) && t.Reach(r.Spec.DataCentre, now) != gateway.ReachCut {
			return false
		}
	}
	return true
}

// Penalties of the runner choice, as shares of a runner's slots.
const (
	// tieBreakJitter is the upper bound of a random amount added to each cost, so that VMs that see
	// the same loads do not all pick the same runner. See pickJitter.
	tieBreakJitter = 0.12
	// maxJitter is the largest such bound. With a larger one the loads would hardly matter.
	maxJitter = 0.6
	// affinityWeight is the weight of a VM's own preference among runners with an allocator. The loads that it knows are old, and
	// other VMs know the same, so that the preferences spread the VMs; an allocator denies a slot where the load is higher.
	affinityWeight = 2.5
	// remoteDistance is how much later a runner of another data centre comes in the order of preference, on the scale of the affinity.
	remoteDistance = 0.5
	// remotePenalty is added for a runner in another data centre: its load must be lower than that
	// of a local runner by this share to be picked instead.
	remotePenalty = 0.1
	// doubtfulPenalty is added for a data centre that may be partitioned from this one, so that its
	// runners are picked only when all others are full.
	doubtfulPenalty = 10.0
	// limitedPenalty is added for a runner that names a limit, so that it is picked when half of the
	// slots of the others are occupied: the requests that it takes are few.
	limitedPenalty = 0.5
	// missingPenalty is added for a runner whose registration is missing, so that it is picked only when all others
	// are full: it may have left.
	missingPenalty = 10.0
	// deniedTime is how long a runner that has denied a slot counts as full.
	deniedTime = 40 * cs.Millisecond
	// fullPenalty is added for a runner without a free slot: a request sent there waits until a
	// running request ends or a batch item is stopped.
	fullPenalty = 1.0
)

// pickJitter returns the upper bound of the random amount that is added to each cost. It grows with the time for which
// VMs do not know of each other's latest requests, since all of them pick the runners that seemed to be free before.
func pickJitter(t *gateway.Tables) float64 {
	return min(tieBreakJitter*float64(t.SpreadTime())/float64(gateway.MinReportInterval), maxJitter)
}

// preference returns what is added to the cost of a runner so that VMs which know the same old loads do not all pick the same
// one, with a random number from 0 to 1. Runners of this data centre stay preferred whatever it is.
func preference(t *gateway.Tables, r *gateway.Runner, jitter, draw float64, now cs.Instant) float64 {
	isRemote := r.Spec.DataCentre != t.Self.DataCentre
	if jitter <= tieBreakJitter || !t.HasAllocator(r, now) {
		p := draw * jitter
		if jitter > tieBreakJitter {
			p += affinityWeight / 2 // as others have on average
		}
		if isRemote {
			p += max(remotePenalty, jitter/3)
		}
		return p
	}
	p := t.Affinity(r)*affinityWeight + draw*tieBreakJitter
	if r.Load() >= r.Spec.Slots {
		p += affinityWeight // full runners stay behind those with free slots
	}
	if isRemote {
		p += affinityWeight * remoteDistance
	}
	return p
}

// limitRefreshInterval is the time without a response to any VM after which limitedPenalty does not apply:
// only a response shows whether the limit still holds.
const limitRefreshInterval = cs.Second

// loadCost returns a runner's load as a share of its slots, plus the penalties that apply.
func loadCost(r *gateway.Runner, now cs.Instant) float64 {
	slots := float64(r.Spec.Slots)
	total := float64(r.Load()) / slots
	if r.Load() >= r.Spec.Slots {
		total = fullPenalty + float64(r.OnlineLoad())/slots
	}
	if r.MissingSince != 0 {
		total += missingPenalty
	}
	if r.Limit.Named && now.Sub(r.Limit.AsOf) < limitRefreshInterval {
		total += limitedPenalty
	}
	return total
}
