package routing

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
)

const (
	// hedgeFactor is the multiple of the usual first-token time after which a request is hedged.
	hedgeFactor = 3
	// hedgeSoonest is the shortest wait before a hedge.
	hedgeSoonest = 200 * cs.Millisecond
)

// hedgeAfter returns the wait before a hedge. Until the pool's first-token time is known, the target
// stands in for it. A request that tries a slow or ejected runner again is hedged after half the usual
// time, since each VM tries the runner and these requests would determine the tail.
func (d *round) hedgeAfter(p *pool, r *fleet.Runner) cs.Span {
	usual := cs.Span(p.usual())
	switch {
	case usual == 0:
		return max(d.t.Config.FirstToken, hedgeSoonest)
	case r.Ejections > 0 || r.FirstToken > limit.EjectSlow*p.usual():
		return usual / 2
	}
	return max(hedgeFactor*usual, hedgeSoonest)
}

// hedge dispatches a request without a first token a second time, once, within the retry budget.
func (d *round) hedge(q *fleet.Request) {
	q.HedgeAt = 0
	if len(q.Runs) != 1 {
		return
	}
	first := q.Runs[0]
	slow := d.t.Runners.Get(first.Runner)
	if slow != nil && slow.Ejections == 0 {
		limit.Hung(d.t, slow, first.Since, d.now, d.out)
	}
	c := d.choose(d.pool(q.Target), q)
	if c == nil || c.row.ID == first.Runner || c.online >= c.slots || !limit.SpendHedge(d.t, d.now) {
		return
	}
	d.out.Count(fleet.CountHedges, q.Tenant, 1)
	d.start(q, c, true)
}
