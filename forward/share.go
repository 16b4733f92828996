package forward

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// lateClaim is the number of requests that will be late whose claim to free places equals that of one
// that can be in time.
const lateClaim = 5

// mayTake reports whether this VM may take a free place of a service now. While requests wait at other
// VMs too, the places are divided by what waits, since each VM would send to all of them otherwise. A
// division holds until the next reports.
func mayTake(t *gateway.Tables, id cs.ServiceID, now cs.Instant, out *gateway.Actions) bool {
	q := t.Queues.Get(id)
	if q == nil || q.Peers == 0 {
		return true
	}
	if next := q.RoundAt.Add(t.ReportGap()); now < next {
		out.WakeAt(next)
		return q.Budget > 0
	}
	q.RoundAt, q.Budget = now, part(t, places(t, id, now), q.Own, q.Peers)
	out.WakeAt(now.Add(t.ReportGap()))
	return q.Budget > 0
}

// part returns a VM's part of the free places; a fraction is drawn by chance.
func part(t *gateway.Tables, free, own, peers int) int {
	own = max(own, 1)
	p := float64(free) * float64(own) / float64(own+peers)
	n := int(p)
	if t.Rand.Float64() < p-float64(n) {
		n++
	}
	return n
}

// places counts the requests that the runners of a service may still be given.
func places(t *gateway.Tables, id cs.ServiceID, now cs.Instant) int {
	n := 0
	for _, r := range t.Runners.All() {
		if r.Spec.Service == id && r.Usable(now) && t.Reach(r.Spec.DataCentre, now) != gateway.ReachCut {
			n += int(max(r.Spec.Slots+queueDepth-r.Online-r.PeerOnline, 0))
		}
	}
	return n
}

// take notes that this VM has taken a place.
func take(t *gateway.Tables, id cs.ServiceID) {
	if q := t.Queues.Get(id); q != nil {
		q.Budget--
	}
}

// claim notes what waits at this VM for each service.
func claim(t *gateway.Tables, now cs.Instant) {
	for _, q := range t.Queues.All() {
		q.Own = 0
	}
	late := make(map[cs.ServiceID]int)
	for _, f := range t.Forwards.All() {
		if f.Phase != gateway.ForwardWaiting {
			continue
		}
		q := queueOf(t, f.Service)
		if fresh(f, now) {
			q.Own++
		} else {
			late[f.Service]++
		}
	}
	for id, n := range late {
		t.Queues.Get(id).Own += (n + lateClaim - 1) / lateClaim
	}
}
