package routing

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
	"github.com/crocusstile/crocusstile/quarantine"
)

// Dispatch sends queued requests to runners in weighted fair order across tenants, ends those whose
// deadline has passed, and hedges those without a first token.
func Dispatch(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	d := &round{t: t, now: now, out: out}
	d.collect()
	for _, id := range d.expired {
		refuse(t, t.Requests.Get(id), cs.ReasonExpired, "the deadline passed", now, out)
	}
	for _, id := range d.barred {
		refuse(t, t.Requests.Get(id), cs.ReasonQuarantined, quarantined, now, out)
	}
	slices.SortFunc(d.ready, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.id, b.id))
	})
	for _, p := range d.ready {
		d.send(t.Requests.Get(p.id))
	}
	for _, id := range d.slow {
		d.hedge(t.Requests.Get(id))
	}
}

// place is a request's place in the fair queue.
type place struct {
	order float64
	id    cs.RequestID
}

// round is the state of one pass of Dispatch.
type round struct {
	t   *fleet.Tables
	now cs.Instant
	out *fleet.Actions
	// ready waits for a runner, expired is past its deadline, barred runs though it is quarantined,
	// and slow may be hedged.
	ready   []place
	expired []cs.RequestID
	barred  []cs.RequestID
	slow    []cs.RequestID
	pools   []*pool
	// oldest holds the start of the oldest run without a first token by runner.
	oldest map[cs.RunnerID]cs.Instant
}

// collect walks the requests without a first token.
func (d *round) collect() {
	for _, tenant := range d.t.Tenants.All() {
		kept := tenant.Pending[:0]
		for _, id := range tenant.Pending {
			q := d.t.Requests.Get(id)
			if q == nil || q.Phase == fleet.PhaseRunning && q.FirstTokenAt != 0 {
				continue
			}
			kept = append(kept, id)
			d.sort(q)
		}
		clear(tenant.Pending[len(kept):])
		tenant.Pending = kept
	}
}

// sort decides what to do with one request on this tick, or when to look at it again.
func (d *round) sort(q *fleet.Request) {
	if d.now >= q.Deadline {
		d.expired = append(d.expired, q.ID)
		return
	}
	d.out.WakeAt(q.Deadline)
	switch q.Phase {
	case fleet.PhaseQueued:
		d.ready = append(d.ready, place{q.Order, q.ID})
	case fleet.PhaseBackoff:
		if d.now >= q.RetryAt {
			d.ready = append(d.ready, place{q.Order, q.ID})
			return
		}
		d.out.WakeAt(q.RetryAt)
	case fleet.PhaseRunning:
		for _, run := range q.Runs {
			d.unanswered(run)
		}
		if quarantine.Blocked(d.t, q.Hash, d.now) {
			d.barred = append(d.barred, q.ID)
			return
		}
		if q.HedgeAt == 0 {
			return
		}
		if d.now >= q.HedgeAt {
			d.slow = append(d.slow, q.ID)
			return
		}
		d.out.WakeAt(q.HedgeAt)
	}
}

// send dispatches a request if a runner has room for it.
func (d *round) send(q *fleet.Request) {
	if quarantine.Blocked(d.t, q.Hash, d.now) {
		refuse(d.t, q, cs.ReasonQuarantined, quarantined, d.now, d.out)
		return
	}
	p := d.pool(q.Target)
	c := d.choose(p, q)
	if c == nil {
		d.giveUp(p, q)
		return
	}
	if q.Attempt > 0 && !q.Free {
		if !limit.Spend(d.t, d.now) {
			d.out.Count(fleet.CountRetriesDenied, q.Tenant, 1)
			d.postpone(q)
			return
		}
		d.out.Count(fleet.CountRetries, q.Tenant, 1)
	}
	q.Free = false
	q.Phase = fleet.PhaseRunning
	if !q.NonIdempotent && !d.t.Config.Policy.RoundRobin && !quarantine.Suspect(d.t, q.Hash, d.now) {
		q.HedgeAt = d.now.Add(d.hedgeAfter(p, c.row))
		d.out.WakeAt(q.HedgeAt)
	}
	d.start(q, c, false)
}

// giveUp ends a request that has waited long although no runner is usable: its caller had better
// know. While runners are merely full the request waits to its deadline.
func (d *round) giveUp(p *pool, q *fleet.Request) {
	if len(p.local.list)+len(d.far(p, q.Target).list) > 0 {
		return
	}
	if d.now.Sub(q.StuckSince) < longestStuck {
		d.out.WakeAt(q.StuckSince.Add(longestStuck))
		return
	}
	if q.Last != nil {
		refuse(d.t, q, q.Last.Reason, q.Last.Message, d.now, d.out)
		return
	}
	refuse(d.t, q, cs.ReasonUnavailable, "no runner can be reached", d.now, d.out)
}

// postpone puts off a retry that the budget does not allow, or ends its request if that lasts.
func (d *round) postpone(q *fleet.Request) {
	if d.now.Sub(q.StuckSince) >= longestStuck && q.Last != nil {
		refuse(d.t, q, q.Last.Reason, q.Last.Message, d.now, d.out)
		return
	}
	q.Phase, q.RetryAt = fleet.PhaseBackoff, d.now.Add(backoffLongest)
	d.out.WakeAt(q.RetryAt)
}

// start dispatches a request to a runner.
func (d *round) start(q *fleet.Request, c *candidate, hedge bool) {
	r := c.row
	q.Attempt++
	q.Runs = append(q.Runs, fleet.RequestRun{Runner: r.ID, Attempt: q.Attempt, Since: d.now, Hedge: hedge})
	limit.Occupy(r, cs.Online, 1, d.now)
	r.Dispatched++
	c.measure(d.now)
	c.group.seen++
	d.out.Add(fleet.Dispatch{ID: q.ID, Attempt: q.Attempt, Runner: r.ID, Address: r.Address, Hedge: hedge})
	d.claim(c)
}

// claim tells the runner's batch sender of a request, so that the sender stops a batch run if the
// request has no free slot. Other VMs may count on the same free slot, and batch may have filled the
// runner since its last report, which only the sender knows.
func (d *round) claim(c *candidate) {
	if d.t.Config.Policy.NoClasses || c.online > c.slots {
		return
	}
	switch c.row.Sender {
	case "":
	case d.t.Self.ID:
		c.row.YieldWanted++
	default:
		d.out.Add(fleet.Send{To: c.row.Sender, Message: cs.Yield{Runner: c.row.ID, Slots: 1}})
	}
}
