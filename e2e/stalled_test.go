package e2e

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/audit"
	"github.com/crocusstile/crocusstile/standin"
)

// TestStalledConnections guards against requests that wait on connections that have stalled for good
// while new ones work: those in the pool, those in use and those between VMs.
func TestStalledConnections(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	near, far := cl.dcs[0], cl.dcs[1]
	for _, r := range near.runners {
		r.kill() // so that the VMs of this data centre use runners of the other one, through proxies
	}
	ask := func(prefix string, n int) {
		t.Helper()
		for i := range n {
			_, err := c.stream(near.vms[i%2], "hebewerk", fmt.Sprintf("%s %d", prefix, i), 10)
			qt.Assert(t, err, qt.IsNil)
		}
	}
	ask("before", 12)
	for _, dc := range cl.dcs {
		for _, p := range dc.remoteProxies {
			p.set(standin.Freeze{PassNewConnections: true})
		}
	}
	ask("after", 12)
	qt.Assert(t, c.submitDeployment(far.vms[0], 40, "tutor", 1), qt.IsNil)
	c.waitInForce(cl.vms(), "deployment/tutor", 40)
	c.checkInvariants(false)
}

// TestDataCentreReplacedDuringLogOutage guards against VMs that start without tickets or lose accepted
// work when all VMs of a data centre are replaced while the log is down.
func TestDataCentreReplacedDuringLogOutage(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("replaced-in-outage", 300, 20)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, _ := cl.owner(j)
	setFaults(t, cl.log.address, map[string]any{"outage": true})
	for _, v := range owner.dc.vms {
		v.kill()
		cl.startVM(v)
		cl.eventually(audit.TicketLimit.Std(), "tickets in force on the replaced VM", func() bool {
			return c.inForce(v, "deployment/tutor", false) == 1
		})
		qt.Assert(t, c.answer(v, "hebewerk", "question to "+v.id, 10), qt.IsNil)
	}
	time.Sleep(2 * time.Second)
	setFaults(t, cl.log.address, map[string]any{"outage": false})
	assertAllDone(t, c.waitFinished(cl.vms()[0], j, 60*time.Second), j)
	c.checkInvariants(false)
}
