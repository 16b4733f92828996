package routing

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
)

const (
	// hedgeFactor is the multiple of the median first-token time after which a request is hedged.
	hedgeFactor = 3
	// minHedgeDelay is the shortest delay before a hedge.
	minHedgeDelay = 200 * cs.Millisecond
)

// hedgeDelay returns the delay before a request is hedged. While the pool's median first-token time
// is unknown, the target for the first token is used. A request to a slow runner, or to one on
// trial after an ejection, is hedged after half the median: each VM tries such runners, and their
// requests would determine the tail latency.
func (d *dispatchPass) hedgeDelay(p *pool, r *fleet.Runner) cs.Span {
	medianFirstToken := cs.Span(p.medianFirstToken())
	switch {
	case medianFirstToken == 0:
		return max(d.t.Config.FirstToken, minHedgeDelay)
	case r.Ejections > 0 || r.FirstToken > limit.SlowEjectionRatio*p.medianFirstToken():
		return medianFirstToken / 2
	}
	return max(hedgeFactor*medianFirstToken, minHedgeDelay)
}

// hedge dispatches a request without a first token to a second runner, at most once and within the
// retry budget.
func (d *dispatchPass) hedge(q *fleet.Request) {
	q.HedgeAt = 0
	if len(q.Runs) != 1 {
		return
	}
	first := q.Runs[0]
	slow := d.t.Runners.Get(first.Runner)
	if slow != nil && slow.Ejections == 0 {
		limit.EjectIfHung(d.t, slow, first.Since, d.now, d.out)
	}
	c := d.chooseRunner(d.pool(q.Target), q)
	if c == nil || c.row.ID == first.Runner || c.online >= c.slots || !limit.TakeHedge(d.t, d.now) {
		return
	}
	d.out.Count(fleet.CountHedges, q.Tenant, 1)
	d.startRun(q, c, true)
}
