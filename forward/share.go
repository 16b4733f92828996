package forward

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// lateRequestsPerClaim is the number of waiting requests that can no longer meet their target which
// together claim as much capacity as one that can.
const lateRequestsPerClaim = 5

// mayDispatch reports whether this VM may send another request to the runners of a service. While
// requests also wait on other VMs, the free capacity is divided in proportion to the waiting
// requests, because otherwise every VM would fill all of it. A division holds until the next peer
// reports are due.
func mayDispatch(t *gateway.Tables, id cs.ServiceID, now cs.Instant, out *gateway.Actions) bool {
	q := t.Queues.Get(id)
	if q == nil || q.Peers == 0 {
		return true
	}
	if nextRound := q.RoundAt.Add(t.MinReportInterval()); now < nextRound {
		out.WakeAt(nextRound)
		return q.Budget > 0
	}
	q.RoundAt, q.Budget = now, fairShare(t, freeCapacity(t, id, now), q.Own, q.Peers)
	out.WakeAt(now.Add(t.MinReportInterval()))
	return q.Budget > 0
}

// fairShare returns this VM's share of the free capacity. The fractional part is rounded up at
// random, with a probability equal to the fraction.
func fairShare(t *gateway.Tables, free, own, peers int) int {
	own = max(own, 1)
	share := float64(free) * float64(own) / float64(own+peers)
	n := int(share)
	if t.Rand.Float64() < share-float64(n) {
		n++
	}
	return n
}

// freeCapacity returns how many more requests the runners of a service may be sent, queued ones
// included.
func freeCapacity(t *gateway.Tables, id cs.ServiceID, now cs.Instant) int {
	n := 0
	for _, r := range t.Runners.All() {
		if r.Spec.Service == id && r.Usable(now) && t.Reach(r.Spec.DataCentre, now) != gateway.ReachCut {
			n += int(max(r.Spec.Slots+maxQueuedPerRunner-r.Online-r.PeerOnline, 0))
		}
	}
	return n
}

// spendBudget deducts one request from this VM's share of the free capacity.
func spendBudget(t *gateway.Tables, id cs.ServiceID) {
	if q := t.Queues.Get(id); q != nil {
		q.Budget--
	}
}

// updateClaims recomputes this VM's claim to the capacity of each service from its waiting
// requests.
func updateClaims(t *gateway.Tables, now cs.Instant) {
	for _, q := range t.Queues.All() {
		q.Own = 0
	}
	late := make(map[cs.ServiceID]int)
	for _, f := range t.Forwards.All() {
		if f.Phase != gateway.ForwardWaiting {
			continue
		}
		q := queueOf(t, f.Service)
		if canMeetTarget(f, now) {
			q.Own++
		} else {
			late[f.Service]++
		}
	}
	for id, n := range late {
		t.Queues.Get(id).Own += (n + lateRequestsPerClaim - 1) / lateRequestsPerClaim
	}
}
