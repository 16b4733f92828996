package gateway

import cs "github.com/crocusstile/crocusstile"

// Queue describes the online requests that wait for the runners of a service. While requests wait at
// several VMs, each VM takes a share of the service's free capacity in proportion to its demand.
type Queue struct {
	// Own and Peers are the demand of the requests that wait at this VM and at other VMs. A request that
	// can still be answered in time counts as one; late requests count for less.
	Own, Peers int
	// RoundAt is when the free capacity was last divided among the VMs, and Budget the number of requests
	// that this VM may still send of its share.
	RoundAt cs.Instant
	Budget  int
	// Took is the moving average of the time that a request spends at a runner, in milliseconds, or 0
	// before the first one has ended.
	Took float64
}

// QueueClaim is one VM's demand for the free capacity of a service, as reported to peers.
type QueueClaim struct {
	Service cs.ServiceID `cbor:"s"`
	Claim   int          `cbor:"n"`
}
