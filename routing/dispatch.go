package routing

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
	"github.com/crocusstile/crocusstile/quarantine"
)

// Dispatch sends queued requests to runners in weighted fair order across tenants, refuses those
// whose deadline has passed, and hedges those whose first token is late.
func Dispatch(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	d := &dispatchPass{t: t, now: now, out: out}
	d.classifyPending()
	for _, id := range d.expired {
		refuse(t, t.Requests.Get(id), cs.ReasonExpired, "the deadline passed", now, out)
	}
	for _, id := range d.quarantined {
		refuse(t, t.Requests.Get(id), cs.ReasonQuarantined, quarantinedMessage, now, out)
	}
	slices.SortFunc(d.ready, func(a, b queuedRequest) int {
		return cmp.Or(cmp.Compare(a.virtualFinish, b.virtualFinish), cmp.Compare(a.id, b.id))
	})
	for _, queued := range d.ready {
		d.dispatch(t.Requests.Get(queued.id))
	}
	for _, id := range d.hedgeDue {
		d.hedge(t.Requests.Get(id))
	}
}

// queuedRequest is a request with its virtual finish time in the fair queue.
type queuedRequest struct {
	virtualFinish float64
	id            cs.RequestID
}

// dispatchPass is the state of one call of Dispatch.
type dispatchPass struct {
	t   *fleet.Tables
	now cs.Instant
	out *fleet.Actions
	// ready holds requests to dispatch, expired those past their deadline, quarantined those that
	// are running but have been quarantined since, and hedgeDue those to hedge.
	ready       []queuedRequest
	expired     []cs.RequestID
	quarantined []cs.RequestID
	hedgeDue    []cs.RequestID
	pools       []*pool
	// oldestUnanswered is the start of each runner's oldest run without a first token.
	oldestUnanswered map[cs.RunnerID]cs.Instant
}

// classifyPending classifies the requests without a first token and removes the others from the
// lists of pending requests.
func (d *dispatchPass) classifyPending() {
	for _, tenant := range d.t.Tenants.All() {
		kept := tenant.Pending[:0]
		for _, id := range tenant.Pending {
			q := d.t.Requests.Get(id)
			if q == nil || q.Phase == fleet.PhaseRunning && q.FirstTokenAt != 0 {
				continue
			}
			kept = append(kept, id)
			d.classify(q)
		}
		clear(tenant.Pending[len(kept):])
		tenant.Pending = kept
	}
}

// classify determines what to do with a request on this tick, or schedules the tick at which to
// check it again.
func (d *dispatchPass) classify(q *fleet.Request) {
	if d.now >= q.Deadline {
		d.expired = append(d.expired, q.ID)
		return
	}
	d.out.WakeAt(q.Deadline)
	switch q.Phase {
	case fleet.PhaseQueued:
		d.ready = append(d.ready, queuedRequest{q.VirtualFinish, q.ID})
	case fleet.PhaseBackoff:
		if d.now >= q.RetryAt {
			d.ready = append(d.ready, queuedRequest{q.VirtualFinish, q.ID})
			return
		}
		d.out.WakeAt(q.RetryAt)
	case fleet.PhaseRunning:
		for _, run := range q.Runs {
			d.noteUnanswered(run)
		}
		if quarantine.Refused(d.t, q.Hash, d.now) {
			d.quarantined = append(d.quarantined, q.ID)
			return
		}
		if q.HedgeAt == 0 {
			return
		}
		if d.now >= q.HedgeAt {
			d.hedgeDue = append(d.hedgeDue, q.ID)
			return
		}
		d.out.WakeAt(q.HedgeAt)
	}
}

// dispatch sends a request to a runner if one has room for it.
func (d *dispatchPass) dispatch(q *fleet.Request) {
	if quarantine.Refused(d.t, q.Hash, d.now) {
		refuse(d.t, q, cs.ReasonQuarantined, quarantinedMessage, d.now, d.out)
		return
	}
	p := d.pool(q.Target)
	c := d.chooseRunner(p, q)
	if c == nil {
		d.refuseIfUnreachable(p, q)
		return
	}
	if q.Attempt > 0 && !q.BudgetExempt {
		if !limit.TakeRetry(d.t, d.now) {
			d.out.Count(fleet.CountRetriesDenied, q.Tenant, 1)
			d.deferRetry(q)
			return
		}
		d.out.Count(fleet.CountRetries, q.Tenant, 1)
	}
	q.BudgetExempt = false
	q.Phase = fleet.PhaseRunning
	if !q.NonIdempotent && !d.t.Config.Policy.RoundRobin && !quarantine.Suspect(d.t, q.Hash, d.now) {
		q.HedgeAt = d.now.Add(d.hedgeDelay(p, c.row))
		d.out.WakeAt(q.HedgeAt)
	}
	d.startRun(q, c, false)
}

// refuseIfUnreachable refuses a request that has waited for maxWaitingTime without any usable
// runner, so that its caller need not wait for the deadline. While runners are usable but full, the
// request waits until its deadline.
func (d *dispatchPass) refuseIfUnreachable(p *pool, q *fleet.Request) {
	if len(p.localGroup.usable)+len(d.remote(p, q.Target).usable) > 0 {
		return
	}
	if d.now.Sub(q.WaitingSince) < maxWaitingTime {
		d.out.WakeAt(q.WaitingSince.Add(maxWaitingTime))
		return
	}
	if q.LastRefusal != nil {
		refuse(d.t, q, q.LastRefusal.Reason, q.LastRefusal.Message, d.now, d.out)
		return
	}
	refuse(d.t, q, cs.ReasonUnavailable, "no runner can be reached", d.now, d.out)
}

// deferRetry delays a retry that the retry budget does not allow, or refuses the request after
// maxWaitingTime.
func (d *dispatchPass) deferRetry(q *fleet.Request) {
	if d.now.Sub(q.WaitingSince) >= maxWaitingTime && q.LastRefusal != nil {
		refuse(d.t, q, q.LastRefusal.Reason, q.LastRefusal.Message, d.now, d.out)
		return
	}
	q.Phase, q.RetryAt = fleet.PhaseBackoff, d.now.Add(maxBackoff)
	d.out.WakeAt(q.RetryAt)
}

// startRun starts a run of a request on a runner.
func (d *dispatchPass) startRun(q *fleet.Request, c *candidate, hedge bool) {
	r := c.row
	q.Attempt++
	q.Runs = append(q.Runs, fleet.RequestAttempt{Runner: r.ID, Attempt: q.Attempt, Since: d.now, Hedge: hedge})
	limit.AddInFlight(r, cs.Online, 1, d.now)
	r.Dispatched++
	c.updateLoad(d.now)
	c.group.estimatedOnline++
	d.out.Add(fleet.Dispatch{ID: q.ID, Attempt: q.Attempt, Runner: r.ID, Address: r.Address, Hedge: hedge})
	d.notifySender(c)
}

// notifySender notifies the runner's batch sender of an online request, so that the sender preempts
// a batch run if no slot is free. It does so even if a slot looks free: other VMs may dispatch to
// the same slot, and batch may have filled the runner since its last report, which only the sender
// knows.
func (d *dispatchPass) notifySender(c *candidate) {
	if d.t.Config.Policy.NoClasses || c.online > c.slots {
		return
	}
	switch c.row.Sender {
	case "":
	case d.t.Self.ID:
		c.row.PreemptWanted++
	default:
		d.out.Add(fleet.Send{To: c.row.Sender, Message: cs.Preempt{Runner: c.row.ID, Slots: 1}})
	}
}
