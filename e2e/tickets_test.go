package e2e

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/audit"
	"github.com/crocusstile/crocusstile/standin"
)

// waitInForce waits until the ticket with a number is in force for a scope on the given VMs, and
// returns how long that took.
func (c *caller) waitInForce(vms []*vm, scope string, number int) time.Duration {
	c.t.Helper()
	return c.cluster.eventually(audit.TicketLimit.Std(), "ticket in force on all given VMs", func() bool {
		for _, v := range vms {
			if c.inForce(v, scope, true) != number {
				return false
			}
		}
		return true
	})
}

// TestTicketInForceEverywhere guards against tickets that reach some VMs late or not at all.
func TestTicketInForceEverywhere(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	var slowest time.Duration
	for n := 10; n < 20; n++ {
		qt.Assert(t, c.submitDeployment(cl.vms()[n%4], n, "tutor", n), qt.IsNil)
		slowest = max(slowest, c.waitInForce(cl.vms(), "deployment/tutor", n))
	}
	t.Logf("time until a ticket was in force on all VMs: %v at most", slowest)
	c.checkInvariants(false)
}

// TestConcurrentOperators guards against two operators whose different tickets are both accepted with
// one number, and against a ticket that replaces one with a higher number.
func TestConcurrentOperators(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	for round := range 6 {
		n := 10 * (round + 1)
		var (
			wg       sync.WaitGroup
			mu       sync.Mutex
			accepted int
		)
		for i, v := range cl.vms() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				err := c.submitDeployment(v, n, "tutor", 100+i) // the same number, other content
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
		c.waitInForce(cl.vms(), "deployment/tutor", n)
		err := c.submitDeployment(cl.vms()[0], n-1, "tutor", 7)
		e, ok := err.(*refusalBody)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, e.Name, qt.Equals, "stale")
	}
	c.checkInvariants(false)
}

// TestTicketAcrossNetworkPartition guards against a data centre that falls back to an older ticket, or
// never learns of one that was submitted elsewhere during a network partition.
func TestTicketAcrossNetworkPartition(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	near, far := cl.dcs[0], cl.dcs[1]
	cl.setPartitioned(far, true)
	far.logProxy.set(standin.Cut{})
	qt.Assert(t, c.submitDeployment(near.vms[0], 20, "tutor", 1), qt.IsNil)
	err := c.submitDeployment(far.vms[0], 21, "tutor", 2)
	qt.Assert(t, err, qt.IsNotNil)
	c.waitInForce(near.vms, "deployment/tutor", 20)
	for _, v := range far.vms {
		qt.Assert(t, c.inForce(v, "deployment/tutor", false), qt.Equals, 1)
	}
	cl.setPartitioned(far, false)
	far.logProxy.set(standin.Pass{})
	cl.eventually(audit.TicketLimit.Std(), "ticket in force in the data centre that was partitioned off", func() bool {
		for _, v := range far.vms {
			if c.inForce(v, "deployment/tutor", false) < 20 {
				return false
			}
		}
		return true
	})
	c.checkInvariants(false)
}

// TestTicketThroughPeers guards against a data centre that cannot reach the log and misses a ticket
// that VMs in other data centres know.
func TestTicketThroughPeers(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	cl.dcs[1].logProxy.set(standin.Cut{})
	qt.Assert(t, c.submitDeployment(cl.dcs[0].vms[0], 30, "tutor", 1), qt.IsNil)
	t.Logf("time until a ticket was in force on all VMs, through peers: %v", c.waitInForce(cl.vms(), "deployment/tutor", 30))
	c.checkInvariants(false)
}

// TestVMStartsDuringLogOutage guards against a VM that starts during an outage of the log and has no
// tickets in force.
func TestVMStartsDuringLogOutage(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	setFaults(t, cl.log.address, map[string]any{"outage": true})
	time.Sleep(time.Second)
	v := cl.vms()[0]
	v.kill()
	cl.startVM(v)
	cl.eventually(audit.TicketLimit.Std(), "tickets in force on the new VM", func() bool {
		return c.inForce(v, "deployment/tutor", false) == 1 && c.inForce(v, "service/"+recordsService, false) == 2
	})
	qt.Assert(t, c.answer(v, "hebewerk", "question to the new VM", 10), qt.IsNil)
	setFaults(t, cl.log.address, map[string]any{"outage": false})
	c.checkInvariants(false)
}
