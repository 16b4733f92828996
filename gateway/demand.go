package gateway

import cs "github.com/crocusstile/crocusstile"

// ServiceDemand describes the online requests that wait for the runners of a service. While requests wait at
// several VMs, each VM takes a share of the service's free capacity in proportion to its demand.
type ServiceDemand struct {
	// Own and Peers are the demand of the requests that wait at this VM and at other VMs. A request that
	// can still meet its target counts as one; late requests count for less.
	Own, Peers int
	// AllocatedAt is when the free capacity was last divided among the VMs, and Allowance the number of
	// requests that this VM may still send of its share.
	AllocatedAt cs.Instant
	Allowance   int
	// ServiceTimeMs is the moving average of the time that a request spends at a runner, in milliseconds, or
	// 0 before the first one has ended.
	ServiceTimeMs float64
}

// DemandReport is one VM's demand for the free capacity of a service, as reported to peers.
type DemandReport struct {
	Service cs.ServiceID `cbor:"s"`
	Demand  int          `cbor:"n"`
}
