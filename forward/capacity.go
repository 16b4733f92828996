package forward

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// lateRequestsPerDemandUnit is the number of waiting requests that can no longer meet their target
// which together count as much in the demand as one that can.
const lateRequestsPerDemandUnit = 5

// mayDispatch reports whether this VM may send another request to the runners of a service. While
// requests also wait on other VMs, the free capacity is divided in proportion to the waiting
// requests, because otherwise every VM would fill all of it. A division holds until the next peer
// reports are due.
func mayDispatch(t *gateway.Tables, id cs.ServiceID, now cs.Instant, out *gateway.Actions) bool {
	demand := t.Demands.Get(id)
	if demand == nil || demand.Peers == 0 {
		return true
	}
	if nextRound := demand.AllocatedAt.Add(t.SpreadTime()); now < nextRound {
		out.WakeAt(nextRound)
		return demand.Allowance > 0
	}
	demand.AllocatedAt, demand.Allowance = now, fairShare(t, freeCapacity(t, id, now), demand.Own, demand.Peers)
	out.WakeAt(now.Add(t.SpreadTime()))
	return demand.Allowance > 0
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
// included. Runners that name a limit are left out, since their limits are shared in another way.
func freeCapacity(t *gateway.Tables, id cs.ServiceID, now cs.Instant) int {
	n := 0
	for _, r := range t.Runners.All() {
		if r.Spec.Service == id && !r.Limit.Named && r.Usable(now) && t.Reach(r.Spec.DataCentre, now) != gateway.ReachCut {
			n += int(max(r.Spec.Slots+maxQueuedPerRunner-r.OnlineLoad(), 0))
		}
	}
	return n
}

// spendAllowance deducts one request from this VM's share of the free capacity.
func spendAllowance(t *gateway.Tables, id cs.ServiceID) {
	if demand := t.Demands.Get(id); demand != nil {
		demand.Allowance--
	}
}

// updateDemand recomputes this VM's demand for the capacity of each service from its waiting
// requests.
func updateDemand(t *gateway.Tables, now cs.Instant) {
	for _, demand := range t.Demands.All() {
		demand.Own = 0
	}
	late := make(map[cs.ServiceID]int)
	for _, f := range t.Forwards.All() {
		if f.Phase != gateway.ForwardWaiting {
			continue
		}
		demand := demandOf(t, f.Service)
		if canMeetTarget(f, now) {
			demand.Own++
		} else {
			late[f.Service]++
		}
	}
	for id, n := range late {
		t.Demands.Get(id).Own += (n + lateRequestsPerDemandUnit - 1) / lateRequestsPerDemandUnit
	}
}
