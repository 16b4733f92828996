package routing

import (
	"math"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
	"github.com/crocusstile/crocusstile/quarantine"
)

const (
	// maxLoadRatio is the load relative to the mean up to which a runner is preferred for a
	// prompt's prefix, as in consistent hashing with bounded loads.
	maxLoadRatio = 1.25
	// cacheHitFactor scales the expected first-token time of the runner that is likely to have the
	// prefix in its cache.
	cacheHitFactor = 0.8
	// maxRunnerQueue is the number of online requests that may wait inside a runner. It covers the
	// time between the end of a run and the next dispatch; with more, requests would wait at one
	// runner while another has a free slot.
	maxRunnerQueue cs.Slots = 2
	// remotePenaltyMs is added to the expected first-token time of a runner in another data centre.
	remotePenaltyMs = 20.0
	// defaultFirstTokenMs is assumed while no first-token time has been measured.
	defaultFirstTokenMs = 100.0
	// maxFailureDoublings limits the consecutive failures that are counted; each doubles the
	// expected first-token time.
	maxFailureDoublings = 4
	// averageHalfLifeMs is the age at which the deviation of a runner's average from the median
	// counts half, so that a runner which was slow is tried again.
	averageHalfLifeMs = 10_000.0
)

// chooseRunner returns the runner for a request, or nil if none has room.
func (d *dispatchPass) chooseRunner(p *pool, q *fleet.Request) *candidate {
	if quarantine.Suspect(d.t, q.Hash, d.now) {
		return d.chooseSuspect(p, q)
	}
	if d.t.Config.Policy.RoundRobin {
		return d.leastDispatched(p, q)
	}
	if p.full && len(q.TriedRunners) == 0 {
		return nil
	}
	local := d.betterOfTwo(p, p.localGroup, q)
	tried := local != nil && attemptedOn(q, local.row.ID)
	if local != nil && local.online < local.slots && !tried && d.unansweredFor(local.row) < d.hedgeDelay(p, local.row) {
		return local
	}
	remote := d.betterOfTwo(p, d.remote(p, q.Target), q)
	if tried && remote != nil && !attemptedOn(q, remote.row.ID) {
		return remote // every local runner with room has been tried
	}
	if local == nil && remote == nil && len(q.TriedRunners) == 0 {
		p.full = true
	}
	if local == nil || remote != nil && d.expectedFirstToken(p, remote)+remotePenaltyMs < d.expectedFirstToken(p, local) {
		return remote
	}
	return local
}

// chooseSuspect returns the one runner on which a suspect may run, or nil if it has no room.
func (d *dispatchPass) chooseSuspect(p *pool, q *fleet.Request) *candidate {
	id, ok := quarantine.SuspectRunner(d.t, q.Hash, q.Target, d.now)
	if !ok {
		return nil
	}
	for _, g := range [...]*group{p.localGroup, d.remote(p, q.Target)} {
		for i := range g.usable {
			if c := &g.usable[i]; c.row.ID == id && c.hasRoom() {
				return c
			}
		}
	}
	return nil
}

// leastDispatched returns the runner with the fewest dispatches regardless of its load: the
// round-robin baseline that the policy is compared with.
func (d *dispatchPass) leastDispatched(p *pool, q *fleet.Request) *candidate {
	g := p.localGroup
	if len(g.usable) == 0 {
		g = d.remote(p, q.Target)
	}
	var fewest *candidate
	for i := range g.usable {
		c := &g.usable[i]
		if len(g.usable) > 1 && attemptedOn(q, c.row.ID) {
			continue
		}
		if fewest == nil || c.row.Dispatched < fewest.row.Dispatched {
			fewest = c
		}
	}
	return fewest
}

// betterOfTwo returns the better of two runners of a group, or nil if none has room. The first is
// the highest-ranked runner for the prompt's prefix, or for the content if the target has no
// prompt; the second is ranked by the content alone.
//
// Rendezvous hashing of the content replaces a random choice of two, so that all VMs choose from
// the same two for a request that is sent to several of them at the same time, and one that crashes
// runners reaches no third. Only if both are loaded far above the mean, as in a burst of requests
// with the same content, the runners ranked next are compared.
func (d *dispatchPass) betterOfTwo(p *pool, g *group, q *fleet.Request) *candidate {
	keys := [2]uint64{^uint64(q.Hash), uint64(q.Hash)}
	prefix, ok := limit.PrefixKey(q.Target)
	if ok {
		keys[0] = prefix
	}
	pair := g.topRanked(q, keys, math.Inf(1), 0)
	if pair[0] == nil {
		return nil
	}
	loadBound := g.loadBound()
	if pair[0].overloaded(loadBound, p.vmShare) && pair[1].overloaded(loadBound, p.vmShare) {
		if next := g.topRanked(q, keys, loadBound, p.vmShare); next[0] != nil {
			pair = next
		}
	}
	factor := 1.0
	if ok && !pair[0].overloaded(loadBound, p.vmShare) {
		factor = cacheHitFactor
	}
	if pair[0] == pair[1] || factor*d.expectedFirstToken(p, pair[0]) <= d.expectedFirstToken(p, pair[1]) {
		return pair[0]
	}
	return pair[1]
}

// loadBound returns the number of online requests up to which a runner is preferred for a prefix.
func (g *group) loadBound() float64 {
	return math.Ceil(maxLoadRatio * (g.estimatedOnline + 1) / float64(len(g.usable)))
}

// overloaded reports whether a runner has reached a load. A runner of which this VM has not used
// its own share counts as below it, since all VMs together cannot fill it then.
func (c *candidate) overloaded(load, share float64) bool {
	return float64(c.row.Online+1) > share*float64(c.slots) && c.estimatedOnline() >= load
}

// topRanked returns the highest-ranked runner for each of two keys among the runners that are not
// overloaded. The second differs from the first if there is another one, so that there is always an
// alternative to a slow or unresponsive runner. Runners with a free slot for online requests rank
// before runners with room in their queue, and these before runners already tried. Both results are
// nil if no runner has room.
func (g *group) topRanked(q *fleet.Request, keys [2]uint64, load, share float64) (best [2]*candidate) {
	top := 1
	for i := range g.usable {
		if c := &g.usable[i]; !c.overloaded(load, share) {
			top = max(top, c.availability(q))
		}
	}
	for k, rankKey := range keys {
		var highest uint64
		for i := range g.usable {
			c := &g.usable[i]
			if k == 1 && c == best[0] || c.availability(q) != top || c.overloaded(load, share) {
				continue
			}
			if w := limit.RunnerWeight(rankKey, c.rankKey); best[k] == nil || w > highest {
				best[k], highest = c, w
			}
		}
	}
	if best[1] == nil {
		best[1] = best[0]
	}
	return best
}

// availability grades a runner for a request: 0 if it has no room or runs the request already, 1 if
// the request was tried there before, 2 if it would wait in the runner's queue, 3 if a slot is
// free.
func (c *candidate) availability(q *fleet.Request) int {
	switch {
	case !c.hasRoom() || len(q.Runs) > 0 && runsOn(q, c.row.ID):
		return 0
	case len(q.TriedRunners) > 0 && slices.Contains(q.TriedRunners, c.row.ID):
		return 1
	case c.online >= c.slots:
		return 2
	}
	return 3
}

// expectedFirstToken estimates the first-token time on a runner in milliseconds.
func (d *dispatchPass) expectedFirstToken(p *pool, c *candidate) float64 {
	medianFirstToken := p.medianFirstToken()
	if medianFirstToken == 0 {
		medianFirstToken = defaultFirstTokenMs
	}
	runnerTime := medianFirstToken
	if c.row.FirstToken > 0 {
		age := float64(d.now.Sub(c.row.SampledAt))
		runnerTime += (c.row.FirstToken - medianFirstToken) * math.Exp2(-age/averageHalfLifeMs)
	}
	// The average of a runner that has stopped answering gets no new samples, so the time that it
	// has sent nothing is a lower bound.
	runnerTime = max(runnerTime, float64(d.unansweredFor(c.row)))
	// A runner that fails every request immediately looks idle and would attract all traffic.
	runnerTime *= math.Exp2(float64(min(c.row.Failures, maxFailureDoublings)))
	slots := float64(c.slots)
	// Batch runs count half, since they are preempted for online requests.
	estimatedOnline := c.estimatedOnline()
	expected := runnerTime * (1 + min((estimatedOnline+c.totalLoad)/2/slots, 1))
	if c.totalLoad < slots {
		return expected
	}
	// The runner looks full. Batch frees a slot within milliseconds, but the slots may hold online
	// requests of other VMs, and then the request waits until the next of these ends.
	return expected + (max(estimatedOnline-slots, 0)+1)*max(c.row.Duration, runnerTime)/slots
}

// estimatedOnline estimates the online requests on the runner from its load report. It is used only
// to compare runners, because it counts batch runs as online if the runner does not report them
// separately.
func (c *candidate) estimatedOnline() float64 {
	return max(float64(c.online), c.totalLoad-float64(c.row.Report.Batch))
}

// hasRoom reports whether the runner takes another online request. A runner on trial after an
// ejection takes one at a time.
func (c *candidate) hasRoom() bool {
	return c.online < c.slots+maxRunnerQueue && (!c.onTrial || c.row.Online == 0)
}

// runsOn reports whether a request has a run in flight on the runner.
func runsOn(q *fleet.Request, id cs.RunnerID) bool {
	return slices.ContainsFunc(q.Runs, func(run fleet.RequestAttempt) bool { return run.Runner == id })
}

// attemptedOn reports whether a request runs or has run on the runner.
func attemptedOn(q *fleet.Request, id cs.RunnerID) bool {
	return runsOn(q, id) || slices.Contains(q.TriedRunners, id)
}
