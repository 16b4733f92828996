package allowance_test

import (
	"flag"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"testing"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

var (
	firstSeed = flag.Uint64("limits.seed", 1, "first seed of TestBoundHoldsInEveryOrder")
	orders    = flag.Uint64("limits.orders", 10_000, "number of seeds of TestBoundHoldsInEveryOrder")
)

// simGroupTimeout is the session timeout of the group in the simulations. It is short, so that limits move often in a window.
const simGroupTimeout = 500 * cs.Millisecond

// applyBound is the time in which all VMs learn of a version of the configuration.
const applyBound = 300 * cs.Millisecond

// randomOrder is a random order of events, and the limits in it.
type randomOrder struct {
	*sim
	before, after cs.Workspace
	loweredAt     cs.Instant
	// pause is the largest time between two disturbances.
	pause int
}

// newRandomOrder returns the order of a seed.
func newRandomOrder(seed uint64) *randomOrder {
	s := newSim(seed, 0, gateway.Config{}, nil)
	r := s.rand
	c := gateway.Config{
		PartitionCount: simPartitions, GroupTimeout: simGroupTimeout,
		Quota: gateway.Quota{Window: []cs.Span{300, 500, 1000}[r.IntN(3)], Overshoot: cs.Ratio(0.1), Slack: float64(2 + r.IntN(8))},
	}
	w := cs.Workspace{ID: "w", Rate: []cs.PerSecond{20, 50, 120}[r.IntN(3)], Burst: float64(r.IntN(40))}
	s = newSim(seed, 3+r.IntN(2), c, []cs.Workspace{w})
	s.rand = r
	s.late, s.lost, s.doubled = 0.1*r.Float64(), 0.1*r.Float64(), 0.1*r.Float64()
	return &randomOrder{sim: s, before: w, after: w, pause: []int{300, 600, 1500}[r.IntN(3)]}
}

// load lets requests arrive at one VM or several for a time, at up to three times the limit.
func (o *randomOrder) load() {
	length := cs.Span(100 + o.rand.IntN(500))
	perSecond := float64(o.before.Rate) * []float64{0, 0, 0.5, 3}[o.rand.IntN(4)]
	spread := 1 + o.rand.IntN(len(o.vms))
	offset := o.rand.IntN(len(o.vms))
	for range int(perSecond * float64(length) / 1000) {
		vm := (offset + o.rand.IntN(spread)) % len(o.vms)
		o.sim.after(cs.Span(o.rand.IntN(int(length))), func() { o.request(vm, "w") })
	}
	o.sim.after(length, o.load)
}

// disturb applies a random disturbance.
func (o *randomOrder) disturb() {
	o.sim.after(cs.Span(o.rand.IntN(o.pause)), o.disturb)
	i := o.rand.IntN(len(o.vms))
	v, d := o.vms[i], cs.Span(50+o.rand.IntN(1200))
	switch o.rand.IntN(14) {
	case 0, 1:
		o.freeze(i, d, o.rand.IntN(2) == 0)
	case 2:
		o.start(i)
	case 3:
		v.cut = true
		o.sim.after(d, func() { v.cut = false })
	case 4, 5:
		v.storeCut = true
		o.sim.after(d, func() { v.storeCut = false })
	case 6:
		o.group.shift++
		o.group.deal()
	case 10, 11, 12, 13:
		o.hoard(i)
	case 9:
		o.leaveGroup(i, d)
	case 7: // no runner can be reached, so that requests end without being sent
		v.tables.Runners.Get("r").EjectedUntil = v.local(o.now).Add(d / 4)
	case 8: // all slots are taken, so that requests wait
		v.tables.Runners.Get("r").Spec.Slots = 0
		o.sim.after(d/4, func() { v.tables.Runners.Get("r").Spec.Slots = 100_000 })
	}
}

// volley lets many requests arrive at a VM at once.
func (o *randomOrder) volley(i int) {
	for range int(o.before.Burst) + 3 {
		o.request(i, "w")
	}
}

// hoard lets a VM hold many permits that it cannot use, so that they end, often in a freeze. Later it has use for them.
func (o *randomOrder) hoard(i int) {
	runner := o.vms[i].tables.Runners.Get("r")
	if o.rand.IntN(2) == 0 {
		runner.EjectedUntil = o.vms[i].local(o.now).Add(25)
	} else {
		runner.Spec.Slots = 0
		o.sim.after(25, func() { runner.Spec.Slots = 100_000 })
	}
	o.volley(i)
	d := cs.Span(100 + o.rand.IntN(350))
	o.sim.after(12, func() {
		switch o.rand.IntN(3) {
		case 0:
			o.freeze(i, d, true)
		case 1:
			o.freeze(i, d, false)
		}
	})
	o.sim.after(12+d+cs.Span(o.rand.IntN(20)), func() {
		for j := range o.vms {
			o.volley(j)
		}
	})
}

// leaveGroup lets a VM give up its partitions for a time.
func (o *randomOrder) leaveGroup(i int, d cs.Span) {
	v := o.vms[i]
	v.tables.JobLog.Role = gateway.JobLogReader
	o.wake(i, o.now)
	incarnation := v.incarnation
	o.sim.after(o.storeDelay(), func() {
		o.group.remove(func(m *simMember) bool { return m.vm == i && m.incarnation == incarnation })
	})
	o.sim.after(d, func() {
		v.tables.JobLog.Role = gateway.JobLogFollower
		v.generation = 0
	})
}

// lower lowers the limit; each VM learns of it within applyBound.
func (o *randomOrder) lower() {
	o.after.Rate, o.after.Burst = o.before.Rate/2, o.before.Burst/3
	o.loweredAt = o.now
	o.addCatalog([]cs.Workspace{o.after})
	for i := range o.vms {
		o.sim.after(cs.Span(o.rand.IntN(int(applyBound))), func() {
			o.vms[i].tables.Catalog = o.catalogs[len(o.catalogs)-1]
			o.wake(i, o.now)
		})
	}
}

// bound returns the most requests of a workspace in a window.
func bound(w cs.Workspace, q gateway.Quota) float64 {
	return (float64(w.Rate)*float64(q.Window)/float64(cs.Second)+w.Burst)*(1+float64(q.Overshoot)) + q.Slack
}

// run returns the excess over the bound in the worst window.
func (o *randomOrder) run() float64 {
	q := o.config.Quota
	o.load()
	o.disturb()
	if o.rand.IntN(3) == 0 {
		o.sim.after(cs.Span(400+o.rand.IntN(600)), o.lower)
	}
	o.runUntil(simStart.Add(2 * cs.Second))
	worst := excess(o.sends["w"], q.Window, bound(o.before, q), 0)
	if o.loweredAt != 0 { // permits of the former limit end after their lifetime
		worst = max(worst, excess(o.sends["w"], q.Window, bound(o.after, q), o.loweredAt.Add(applyBound+q.PermitLifetime())))
	}
	return worst
}

// Guards against a window in which more requests of a workspace are sent than the bound allows, in any order of moves, cuts,
// restarts, freezes and lost, doubled and late messages.
func TestBoundHoldsInEveryOrder(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(800)) // the tables of an order live only for some milliseconds
	var next, failed, sent atomic.Uint64
	next.Store(*firstSeed)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			for {
				seed := next.Add(1) - 1
				if seed >= *firstSeed+*orders || failed.Load() > 10 {
					return
				}
				o := newRandomOrder(seed)
				if worst := o.run(); worst > 0 {
					failed.Add(1)
					t.Errorf("seed %d: %.1f requests beyond the bound", seed, worst)
				}
				sent.Add(uint64(len(o.sends["w"])))
			}
		})
	}
	wg.Wait()
	t.Log(fmt.Sprint(sent.Load(), " requests sent"))
	if sent.Load() < *orders*10 {
		t.Errorf("only %d requests were sent in %d orders", sent.Load(), *orders)
	}
}
