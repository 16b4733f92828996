package e2e

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/audit"
	"github.com/crocusstile/crocusstile/standin"
)

// everywhere waits until a number is in force for a scope on the given VMs.
func (c *caller) everywhere(vms []*vm, scope string, number int) time.Duration {
	c.t.Helper()
	return c.site.eventually(audit.TicketLimit.Std(), "ticket in force everywhere", func() bool {
		for _, v := range vms {
			if c.inForce(v, scope, true) != number {
				return false
			}
		}
		return true
	})
}

// TestTicketInForceEverywhere guards against a slow or partial spread of tickets.
func TestTicketInForceEverywhere(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	var slowest time.Duration
	for n := 10; n < 20; n++ {
		qt.Assert(t, c.fileDeployment(s.vms()[n%4], n, "tutor", n), qt.IsNil)
		slowest = max(slowest, c.everywhere(s.vms(), "deployment/tutor", n))
	}
	t.Logf("ticket in force everywhere: %v at most", slowest)
	c.check(false)
}

// TestOperatorsRace guards against two operators who both hold a number, or a lower number that
// replaces a higher one.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	for round := range 6 {
		n := 10 * (round + 1)
		var (
			wg       sync.WaitGroup
			mu       sync.Mutex
			accepted int
		)
		for i, v := range s.vms() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				err := c.fileDeployment(v, n, "tutor", 100+i) // the same number, other content
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					accepted++
					return
				}
				e, ok := err.(*refusalBody)
				qt.Check(t, ok, qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, e.Name == "conflict" || e.Name == "stale", qt.IsTrue, qt.Commentf("%v", err))
			}()
		}
		wg.Wait()
		qt.Assert(t, accepted, qt.Equals, 1)
		c.everywhere(s.vms(), "deployment/tutor", n)
		err := c.fileDeployment(s.vms()[0], n-1, "tutor", 7)
		e, ok := err.(*refusalBody)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, e.Name, qt.Equals, "stale")
	}
	c.check(false)
}

// TestTicketAcrossCut guards against a side that reverts or never learns of a ticket that was filed
// while it was cut off.
func TestTicketAcrossCut(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	near, far := s.dcs[0], s.dcs[1]
	s.cutOff(far, true)
	far.toLog.set(standin.Cut{})
	qt.Assert(t, c.fileDeployment(near.vms[0], 20, "tutor", 1), qt.IsNil)
	err := c.fileDeployment(far.vms[0], 21, "tutor", 2)
	qt.Assert(t, err, qt.IsNotNil)
	c.everywhere(near.vms, "deployment/tutor", 20)
	for _, v := range far.vms {
		qt.Assert(t, c.inForce(v, "deployment/tutor", false), qt.Equals, 1)
	}
	s.cutOff(far, false)
	far.toLog.set(standin.Pass{})
	s.eventually(audit.TicketLimit.Std(), "the ticket on the side that was cut off", func() bool {
		for _, v := range far.vms {
			if c.inForce(v, "deployment/tutor", false) < 20 {
				return false
			}
		}
		return true
	})
	c.check(false)
}

// TestTicketThroughPeers guards against a data centre that cannot read the log and misses a ticket
// that its peers know.
func TestTicketThroughPeers(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	s.dcs[1].toLog.set(standin.Cut{})
	qt.Assert(t, c.fileDeployment(s.dcs[0].vms[0], 30, "tutor", 1), qt.IsNil)
	t.Logf("through peers: %v", c.everywhere(s.vms(), "deployment/tutor", 30))
	c.check(false)
}

// TestNewVMDuringOutage guards against a VM without tickets when it starts during an outage of the
// log.
func TestNewVMDuringOutage(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	faults(t, s.log.address, map[string]any{"outage": true})
	time.Sleep(time.Second)
	v := s.vms()[0]
	v.kill()
	s.startVM(v)
	s.eventually(audit.TicketLimit.Std(), "tickets on the new VM", func() bool {
		return c.inForce(v, "deployment/tutor", false) == 1 && c.inForce(v, "service/"+recordsS, false) == 2
	})
	qt.Assert(t, c.answer(v, "hebewerk", "question to the new VM", 10), qt.IsNil)
	faults(t, s.log.address, map[string]any{"outage": false})
	c.check(false)
}
