package routing

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
	"github.com/crocusstile/crocusstile/quarantine"
)

const (
	// longestWait is the deadline of a request that names none.
	longestWait = cs.Minute
	// quarantined is the message of a refusal by quarantine.
	quarantined = "failed, quarantined: this request has crashed runners"
)

// Admit queues new requests or refuses them, and drops those whose callers are gone.
func Admit(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	var q *queueState
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.RequestArrived:
			if q == nil {
				q = queued(t)
			}
			admit(t, e.Request, q, now, out)
		case fleet.CallerGone:
			drop(t, e.ID, now, out)
		default:
		}
	}
}

// queueState is what admission needs to know about the queue.
type queueState struct {
	length int
	// virtual is the virtual time: the place of the request that is served next.
	virtual float64
}

// queued counts the queue and resets the tenants' virtual times if nobody waits, so that a tenant
// is not held back for what it used while there was room for all.
func queued(t *fleet.Tables) *queueState {
	s := &queueState{}
	for _, tenant := range t.Tenants.All() {
		for _, id := range tenant.Pending {
			q := t.Requests.Get(id)
			if q == nil || q.Phase != fleet.PhaseQueued && q.Phase != fleet.PhaseBackoff {
				continue
			}
			if s.length == 0 || q.Order < s.virtual {
				s.virtual = q.Order
			}
			s.length++
		}
	}
	if s.length == 0 {
		for _, tenant := range t.Tenants.All() {
			tenant.Virtual = 0
		}
	}
	return s
}

func admit(t *fleet.Tables, r cs.Request, s *queueState, now cs.Instant, out *fleet.Actions) {
	if t.Requests.Get(r.ID) != nil {
		return
	}
	out.Count(fleet.CountRequests, r.Tenant, 1)
	limit.Earn(t, now)
	complete(t, &r, now)
	limits := limitsOf(t, r.Tenant)
	refusal := check(t, r, now)
	if refusal == nil {
		refusal = checkLoad(t, r.Tenant, limits, s)
	}
	if refusal != nil {
		out.Count(fleet.CountRefusedNotRun, r.Tenant, 1)
		out.Add(fleet.Finish{ID: r.ID, Refusal: refusal})
		return
	}
	tenant := t.Tenants.Get(r.Tenant)
	if tenant == nil {
		tenant = t.Tenants.Insert(r.Tenant, fleet.Tenant{})
	}
	tenant.Limits = limits
	tenant.Online++
	tenant.Virtual = max(tenant.Virtual, s.virtual) + 1/weight(limits)
	tenant.Pending = append(tenant.Pending, r.ID)
	s.length++
	t.Requests.Insert(r.ID, fleet.Request{Request: r, Arrived: now, StuckSince: now, Phase: fleet.PhaseQueued, Order: tenant.Virtual})
}

// complete fills in what the caller left open and what tickets say about the request.
func complete(t *fleet.Tables, r *cs.Request, now cs.Instant) {
	if r.Hash == 0 {
		r.Hash = cs.HashTarget(r.Target)
	}
	if r.Deadline == 0 {
		r.Deadline = now.Add(longestWait)
	}
	call, ok := r.Target.(cs.ServiceCall)
	if !ok {
		return
	}
	if k := t.Tickets.Get(cs.Service{Name: call.Service}.Scope()); k != nil {
		s, isService := k.Ticket.State.(cs.Service)
		r.NonIdempotent = r.NonIdempotent || isService && slices.Contains(s.NonIdempotent, call.Method)
		if s.Timeout > 0 {
			r.Deadline = min(r.Deadline, now.Add(s.Timeout))
		}
	}
}

// check returns why a request cannot be taken whatever the load, or nil.
func check(t *fleet.Tables, r cs.Request, now cs.Instant) *cs.Refusal {
	switch {
	case t.Drain.Phase >= fleet.DrainFinishing:
		return cs.Refuse(cs.ReasonLeaving, "VM %s is leaving", t.Self.ID)
	case now >= r.Deadline:
		return cs.Refuse(cs.ReasonExpired, "the deadline passed before the request arrived")
	case quarantine.Blocked(t, r.Hash, now):
		return quarantine.Refusal()
	}
	return checkTarget(t, r.Target)
}

// checkTarget returns a refusal if nothing serves the target and no deployment names it.
func checkTarget(t *fleet.Tables, target cs.Target) *cs.Refusal {
	for _, r := range t.Runners.All() {
		if limit.Serves(r, target) {
			return nil
		}
	}
	switch x := target.(type) {
	case cs.Generation:
		if deployed(t, x.Model) {
			return nil
		}
		return &cs.Refusal{Reason: cs.ReasonNotFound, Field: "model", Message: "no deployment or runner has model " + string(x.Model)}
	case cs.ServiceCall:
		return &cs.Refusal{Reason: cs.ReasonNotFound, Field: "service", Message: "no runner belongs to service " + string(x.Service)}
	}
	return cs.Invalid("target", "names a model or a service")
}

// deployed reports whether a deployment in force names the model.
func deployed(t *fleet.Tables, m cs.ModelID) bool {
	for _, k := range t.Tickets.All() {
		if d, ok := k.Ticket.State.(cs.Deployment); ok && d.Model == m {
			return true
		}
	}
	return false
}

// checkLoad returns a refusal if the queue is full or the tenant has reached its limit.
func checkLoad(t *fleet.Tables, id cs.TenantID, l cs.TenantLimits, s *queueState) *cs.Refusal {
	tenant := t.Tenants.Get(id)
	if tenant != nil && l.MaxOnline > 0 && tenant.Online >= l.MaxOnline {
		return cs.Refuse(cs.ReasonOverloaded, "tenant %s has %d requests in flight, its limit", id, tenant.Online)
	}
	if s.length >= t.Config.MaxQueued {
		return cs.Refuse(cs.ReasonOverloaded, "%d requests wait already", s.length)
	}
	return nil
}

func limitsOf(t *fleet.Tables, id cs.TenantID) cs.TenantLimits {
	if k := t.Tickets.Get(cs.TenantLimits{Tenant: id}.Scope()); k != nil {
		if l, ok := k.Ticket.State.(cs.TenantLimits); ok {
			return l
		}
	}
	return cs.TenantLimits{Tenant: id}
}

func weight(l cs.TenantLimits) float64 {
	if l.Weight <= 0 {
		return 1
	}
	return float64(l.Weight)
}
