package fleet

import cs "github.com/crocusstile/crocusstile"

// Tenant is the row of a tenant that has requests in flight or limits.
type Tenant struct {
	Limits cs.TenantLimits
	// Online counts the tenant's online requests, queued or running.
	Online cs.Slots
	// VirtualTime is the virtual finish time of the tenant's last request in the fair queue.
	VirtualTime float64
	// Pending lists the tenant's requests without a first token, in order of arrival.
	Pending []cs.RequestID
	// Deficit is the tenant's credit in the deficit round robin over batch items, in items.
	Deficit float64
}
