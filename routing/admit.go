package routing

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
	"github.com/crocusstile/crocusstile/quarantine"
)

const (
	// defaultTimeout is the deadline, counted from arrival, of a request that names none.
	defaultTimeout = cs.Minute
	// quarantinedMessage is the message of a refusal of a quarantined request.
	quarantinedMessage = "failed, quarantined: this request has crashed runners"
)

// Admit queues or refuses new requests, and removes those whose callers have disconnected.
func Admit(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	var queue *queueStatus
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.RequestArrived:
			if queue == nil {
				queue = scanQueue(t)
			}
			admitRequest(t, e.Request, queue, now, out)
		case fleet.CallerDisconnected:
			removeRequest(t, e.ID, now, out)
		default:
		}
	}
}

// queueStatus is the state of the fair queue that admission needs.
type queueStatus struct {
	length int
	// virtualTime is the virtual finish time of the request that is served next.
	virtualTime float64
}

// scanQueue counts the queued requests. If there are none, it resets the tenants' virtual times, so
// that a tenant is not put at a disadvantage for what it used while there was capacity for all.
func scanQueue(t *fleet.Tables) *queueStatus {
	queue := &queueStatus{}
	for _, tenant := range t.Tenants.All() {
		for _, id := range tenant.Pending {
			q := t.Requests.Get(id)
			if q == nil || q.Phase != fleet.PhaseQueued && q.Phase != fleet.PhaseBackoff {
				continue
			}
			if queue.length == 0 || q.VirtualFinish < queue.virtualTime {
				queue.virtualTime = q.VirtualFinish
			}
			queue.length++
		}
	}
	if queue.length == 0 {
		for _, tenant := range t.Tenants.All() {
			tenant.VirtualTime = 0
		}
	}
	return queue
}

// admitRequest queues a request under its tenant, or refuses it.
func admitRequest(t *fleet.Tables, r cs.Request, queue *queueStatus, now cs.Instant, out *fleet.Actions) {
	if t.Requests.Get(r.ID) != nil {
		return
	}
	out.Count(fleet.CountRequests, r.Tenant, 1)
	limit.CreditRetryBudget(t, now)
	fillDefaults(t, &r, now)
	limits := tenantLimits(t, r.Tenant)
	refusal := checkRequest(t, r, now)
	if refusal == nil {
		refusal = checkLoad(t, r.Tenant, limits, queue)
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
	tenant.VirtualTime = max(tenant.VirtualTime, queue.virtualTime) + 1/fairWeight(limits)
	tenant.Pending = append(tenant.Pending, r.ID)
	queue.length++
	t.Requests.Insert(r.ID, fleet.Request{Request: r, Arrived: now, WaitingSince: now, Phase: fleet.PhaseQueued, VirtualFinish: tenant.VirtualTime})
}

// fillDefaults sets the fields that the caller left empty, and those that the ticket of the called
// service determines.
func fillDefaults(t *fleet.Tables, r *cs.Request, now cs.Instant) {
	if r.Hash == 0 {
		r.Hash = cs.HashTarget(r.Target)
	}
	if r.Deadline == 0 {
		r.Deadline = now.Add(defaultTimeout)
	}
	call, ok := r.Target.(cs.ServiceCall)
	if !ok {
		return
	}
	if ticket := t.Tickets.Get(cs.Service{Name: call.Service}.Scope()); ticket != nil {
		service, isService := ticket.Ticket.State.(cs.Service)
		r.NonIdempotent = r.NonIdempotent || isService && slices.Contains(service.NonIdempotent, call.Method)
		if service.Timeout > 0 {
			r.Deadline = min(r.Deadline, now.Add(service.Timeout))
		}
	}
}

// checkRequest returns the refusal of a request that cannot be accepted whatever the load, or nil.
func checkRequest(t *fleet.Tables, r cs.Request, now cs.Instant) *cs.Refusal {
	switch {
	case t.Drain.Phase >= fleet.DrainFinishing:
		return cs.Refuse(cs.ReasonLeaving, "VM %s is leaving", t.Self.ID)
	case now >= r.Deadline:
		return cs.Refuse(cs.ReasonExpired, "the deadline passed before the request arrived")
	case quarantine.Refused(t, r.Hash, now):
		return quarantine.Refusal()
	}
	return checkTarget(t, r.Target)
}

// checkTarget returns a refusal if no runner serves the target and no deployment names its model.
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
	for _, ticket := range t.Tickets.All() {
		if d, ok := ticket.Ticket.State.(cs.Deployment); ok && d.Model == m {
			return true
		}
	}
	return false
}

// checkLoad returns a refusal if the queue is full or the tenant has reached its limit of online
// requests.
func checkLoad(t *fleet.Tables, id cs.TenantID, limits cs.TenantLimits, queue *queueStatus) *cs.Refusal {
	tenant := t.Tenants.Get(id)
	if tenant != nil && limits.MaxOnline > 0 && tenant.Online >= limits.MaxOnline {
		return cs.Refuse(cs.ReasonOverloaded, "tenant %s has %d requests in flight, its limit", id, tenant.Online)
	}
	if queue.length >= t.Config.MaxQueued {
		return cs.Refuse(cs.ReasonOverloaded, "%d requests wait already", queue.length)
	}
	return nil
}

// tenantLimits returns the limits in force for a tenant, or none.
func tenantLimits(t *fleet.Tables, id cs.TenantID) cs.TenantLimits {
	if ticket := t.Tickets.Get(cs.TenantLimits{Tenant: id}.Scope()); ticket != nil {
		if l, ok := ticket.Ticket.State.(cs.TenantLimits); ok {
			return l
		}
	}
	return cs.TenantLimits{Tenant: id}
}

// fairWeight returns the tenant's weight in the fair queue, 1 unless its limits set one.
func fairWeight(limits cs.TenantLimits) float64 {
	if limits.Weight <= 0 {
		return 1
	}
	return float64(limits.Weight)
}
