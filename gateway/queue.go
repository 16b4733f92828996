package gateway

import cs "github.com/crocusstile/crocusstile"

// Queue is the online requests that wait for the runners of a service.
type Queue struct {
	// Own and Peers are the claims to free places of the requests that wait at this VM and at others.
	Own, Peers int
	// RoundAt is when the free places were last divided, and Budget what is left of this VM's part.
	RoundAt cs.Instant
	Budget  int
	// Took is the moving average of the time of a request at a runner, in milliseconds, or 0.
	Took float64
}

// QueueClaim is one VM's claim to the free places of a service.
type QueueClaim struct {
	Service cs.ServiceID `cbor:"s"`
	Claim   int          `cbor:"n"`
}
