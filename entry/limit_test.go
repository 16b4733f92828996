package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
)

const (
	// limitedSince and limitedUntil are when runners name limits on a cappedDay.
	limitedSince = 4 * cs.Second
	limitedUntil = 20 * cs.Second
	cappedLength = 26 * cs.Second
	// limitWindow is the time over which the users' platform counts the requests of a limited runner.
	limitWindow = 4 * cs.Second
)

// cappedDay is a simulated day on which some runners name a limit on the requests of all VMs together.
type cappedDay struct {
	vms, runners, limited int
	limit                 cs.PerSecond
	// perSecond is the number of requests a second.
	perSecond float64
	seed      uint64
	// disturb is called in each step with the time since the beginning.
	disturb func(f *simFleet, at cs.Span)
}

// play plays the day and returns the fleet and when the day began.
func (d cappedDay) play() (*simFleet, cs.Instant) {
	f := newSimFleet(d.seed, d.vms, d.runners)
	begin := f.now
	for f.now < begin.Add(cappedLength) {
		at := f.now.Sub(begin)
		if at == limitedSince || at == limitedUntil {
			for _, r := range f.runners[:d.limited] {
				r.limit = d.limit
				if at == limitedUntil {
					r.limit = 0
				}
			}
		}
		if d.disturb != nil {
			d.disturb(f, at)
		}
		for expected := d.perSecond * float64(simStep) / 1000; expected > 0; expected-- {
			if f.rand.Float64() < expected {
				f.send(f.anyVM())
			}
		}
		f.step()
	}
	return f, begin
}

// mostInWindow returns the largest number of arrivals in any limitWindow between two times.
func mostInWindow(arrivals []cs.Instant, from, to cs.Instant) int {
	most := 0
	for i, first := range arrivals {
		if first < from || first.Add(limitWindow) > to {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at < first.Add(limitWindow) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// checkLimits checks that no limited runner gets more than one and a half times its limit, and five requests, in any
// window from contactTime after it first named the limit.
func checkLimits(c *qt.C, d cappedDay, f *simFleet, begin cs.Instant) {
	allowed := int(1.5*float64(d.limit)*float64(limitWindow)/1000) + 5
	for _, r := range f.runners[:d.limited] {
		most := mostInWindow(r.arrivals, begin.Add(limitedSince+contactTime), begin.Add(limitedUntil))
		c.Check(most <= allowed, qt.IsTrue, qt.Commentf("runner %s got %d requests in 4 s, %d are allowed", r.spec.ID, most, allowed))
	}
}

// arrivalsBetween counts the requests that reached runners between two times of the day.
func arrivalsBetween(runners []*simRunner, begin cs.Instant, from, to cs.Span) int {
	n := 0
	for _, r := range runners {
		for _, at := range r.arrivals {
			if at >= begin.Add(from) && at < begin.Add(to) {
				n++
			}
		}
	}
	return n
}

// Guards against VMs that send, each on its own, more to a runner than the limit that it names for all of them, and
// against refusing or delaying requests that other runners can take.
func TestLimitOfRunnerHoldsForAllVMs(t *testing.T) {
	for name, d := range map[string]cappedDay{
		"few VMs":   {vms: 21, runners: 12, limited: 8, limit: 1.5, perSecond: 48},
		"low limit": {vms: 21, runners: 12, limited: 6, limit: 0.5, perSecond: 48},
		"many VMs":  {vms: 121, runners: 90, limited: 63, limit: 1.2, perSecond: 325},
	} {
		seeds := uint64(3)
		if d.vms > 21 {
			seeds = 1 // a day of many VMs takes seconds
		}
		for seed := range seeds {
			d.seed = seed
			t.Run(name, func(t *testing.T) {
				c := qt.New(t)
				f, begin := d.play()
				checkLimits(c, d, f, begin)
				c.Check(f.refusals, qt.HasLen, 0)
			})
		}
	}
}

// Guards against a limit that is exceeded because the VM that may send to the runner dies, is cut off from the others,
// restarts or joins, and others send in its place.
func TestLimitHoldsWhileVMsComeAndGo(t *testing.T) {
	for name, disturb := range map[string]func(f *simFleet, at cs.Span){
		"VMs are killed": func(f *simFleet, at cs.Span) {
			if at >= 8*cs.Second && at < 18*cs.Second && at%cs.Second == 0 {
				f.vms[at/cs.Second].stopped = true
			}
		},
		"VMs restart": func(f *simFleet, at cs.Span) {
			if at >= 6*cs.Second && at < 18*cs.Second && at%(500*cs.Millisecond) == 0 {
				f.restart(int(at/500) % len(f.vms))
			}
		},
		"all VMs restart": func(f *simFleet, at cs.Span) {
			if at == 10*cs.Second {
				for i := range f.vms {
					f.restart(i)
				}
			}
		},
		"VMs are cut off": func(f *simFleet, at cs.Span) {
			if at == 9*cs.Second {
				for _, v := range f.vms[:4] {
					v.cutUntil = f.now.Add(6 * cs.Second)
				}
			}
		},
		"VMs join": func(f *simFleet, at cs.Span) {
			if at >= 8*cs.Second && at < 16*cs.Second && at%cs.Second == 0 {
				f.vms = append(f.vms, f.newVM(len(f.vms), 1))
			}
		},
	} {
		for seed := range uint64(3) {
			t.Run(name, func(t *testing.T) {
				c := qt.New(t)
				d := cappedDay{vms: 21, runners: 12, limited: 8, limit: 1.5, perSecond: 48, seed: seed, disturb: disturb}
				f, begin := d.play()
				checkLimits(c, d, f, begin)
			})
		}
	}
}

// Guards against holding requests until their deadlines when all runners are limited below the load, and against using
// little of what they take.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	for seed := range uint64(3) {
		c := qt.New(t)
		d := cappedDay{vms: 21, runners: 12, limited: 12, limit: 2.5, perSecond: 60, seed: seed}
		f, begin := d.play()
		checkLimits(c, d, f, begin)
		const from, to = limitedSince + contactTime, limitedUntil
		taken := float64(arrivalsBetween(f.runners, begin, from, to)) / (float64(to-from) / 1000)
		c.Check(taken >= 0.8*12*2.5, qt.IsTrue, qt.Commentf("the runners got %.1f requests a second of 30", taken))
		late := 0
		for _, r := range f.refusals {
			if r.waited > f.route.Target {
				late++
			}
		}
		c.Check(late, qt.Equals, 0, qt.Commentf("refused after the target, of %d refusals", len(f.refusals)))
	}
}

// Guards against a limit that VMs still hold after the runner has stopped to name it.
func TestLimitEndsWhenRunnerNamesNone(t *testing.T) {
	for seed := range uint64(3) {
		c := qt.New(t)
		d := cappedDay{vms: 21, runners: 12, limited: 8, limit: 1.5, perSecond: 48, seed: seed}
		f, begin := d.play()
		const from, to = limitedUntil + contactTime, cappedLength
		got := float64(arrivalsBetween(f.runners[:8], begin, from, to)) / (float64(to-from) / 1000)
		// Without limits each of the 12 runners gets a twelfth.
		c.Check(got >= 0.8*48*8/12, qt.IsTrue, qt.Commentf("the runners got %.1f requests a second", got))
	}
}
