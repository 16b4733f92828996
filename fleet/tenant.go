package fleet

import cs "github.com/crocusstile/crocusstile"

// Tenant is the row of a tenant with requests in flight or with limits.
type Tenant struct {
	Limits cs.TenantLimits
	// Online counts requests queued or running.
	Online cs.Slots
	// Virtual is the finish time of the tenant's last request in the fair queue.
	Virtual float64
	// Pending lists the tenant's requests without a first token, in order of arrival.
	Pending []cs.RequestID
	// Deficit is the tenant's credit in the round over batch items.
	Deficit float64
}
