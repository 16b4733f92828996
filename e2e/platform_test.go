package e2e

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/standin"
)

// TestSlowLog guards against lost or duplicated work and delayed online requests while each request
// to the log takes one second.
func TestSlowLog(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	setFaults(t, cl.log.address, map[string]any{"delay": "1s"})
	j := newJob("slow-log", 60, 10)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	for i := range 8 {
		first, err := c.stream(cl.vms()[i%4], "hebewerk", fmt.Sprintf("question %d beside a slow log", i), 5)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, first < time.Second, qt.IsTrue, qt.Commentf("first token after %v", first))
	}
	_, err = c.mark(cl.vms()[1], "slow", map[string]any{"slow": 1})
	qt.Assert(t, err, qt.IsNil)
	assertAllDone(t, c.waitFinished(cl.vms()[0], j, 60*time.Second), j)
	c.checkInvariants(false)
}

// TestRunnerListedAsLeaving guards against new work for a runner that is leaving according to the
// list but does not report so itself.
func TestRunnerListedAsLeaving(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("list-leaving", 300, 20)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	r := cl.dcs[0].runners[0]
	for _, dc := range cl.dcs {
		for _, e := range cl.registrations(dc) {
			if e.ID == r.id {
				e.State = standin.StateLeaving
				body := map[string]any{"vms": []standin.Registration{e}}
				qt.Assert(t, sendJSON(t.Context(), http.MethodPost, dc.list.address, "/standin/vms", body, nil), qt.IsNil)
			}
		}
	}
	c.record(leavingObservation(r))
	qt.Assert(t, c.askAll("list leaving", 200, 8, 20), qt.Equals, 200)
	assertAllDone(t, c.waitFinished(cl.vms()[0], j, 60*time.Second), j)
	c.checkInvariants(false)
}

// TestServiceResponsesLost guards against a mark that is registered again because the service's
// response was lost in the network.
func TestServiceResponsesLost(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	near := cl.dcs[0]
	near.records.kill() // so that the VMs of this data centre call the other one's service, through a proxy
	p := near.remoteProxies[cl.dcs[1].records.address]
	p.set(standin.DropResponses{})
	for m := range 2 {
		key := ""
		if m%2 == 0 {
			key = fmt.Sprintf("dropped-%d", m)
		}
		for _, v := range near.vms {
			_, err := c.mark(v, key, map[string]any{"dropped": m, "vm": key == "" && v == near.vms[0]})
			qt.Assert(t, err, qt.IsNotNil)
		}
	}
	p.set(standin.Pass{})
	c.checkInvariants(false)
}

// TestDrainDuringLogOutage guards against a graceful shutdown that hangs or interrupts a request
// while the log is down, and against items lost in it.
func TestDrainDuringLogOutage(t *testing.T) {
	t.Parallel()
	cfg := twoDataCentres()
	cfg.control = map[string]any{"drainLimit": "8s"}
	cl := newCluster(t, cfg)
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("drained-in-outage", 200, 20)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, other := cl.owner(j)
	setFaults(t, cl.log.address, map[string]any{"outage": true})
	done := make(chan error, 1)
	go func() {
		_, err := c.stream(owner, "hebewerk", "question while the log is down", 100)
		done <- err
	}()
	time.Sleep(200 * time.Millisecond)
	took, err := owner.terminate(40 * time.Second)
	qt.Check(t, err, qt.IsNil)
	t.Logf("drain during the log outage took %v", took)
	qt.Check(t, <-done, qt.IsNil)
	setFaults(t, cl.log.address, map[string]any{"outage": false})
	assertAllDone(t, c.waitFinished(other, j, 60*time.Second), j)
	c.checkInvariants(false)
}

// TestCancelDuringLogOutage guards against a cancellation that is acknowledged during an outage of the
// log and has no effect afterwards: it may be acknowledged only once it is durable.
func TestCancelDuringLogOutage(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("cancelled-in-outage", 2000, 60)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	setFaults(t, cl.log.address, map[string]any{"outage": true})
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	err = sendJSON(ctx, http.MethodDelete, cl.vms()[0].address, "/v1/jobs/"+string(j.id)+"?tenant=verein", nil, nil)
	qt.Assert(t, err, qt.IsNotNil)
	setFaults(t, cl.log.address, map[string]any{"outage": false})
	cl.eventually(30*time.Second, "cancellation acknowledged after the outage", func() bool { return c.cancel(cl.vms()[1], j) == nil })
	time.Sleep(8 * time.Second)
	c.checkInvariants(false)
}
