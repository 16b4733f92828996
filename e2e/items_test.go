package e2e

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/standin"
)

// twoDataCentres configures two data centres with two VMs, two runners and a service each.
func twoDataCentres() clusterConfig {
	return clusterConfig{dataCentres: []string{"muc-a", "nue-a"}, vms: 2, runners: 2}
}

// owner waits until a VM owns the shard of a job, and returns it and a running VM that does not own it.
func (cl *cluster) owner(j *batchJob) (owner, other *vm) {
	cl.t.Helper()
	cl.eventually(15*time.Second, "the job's shard has an owner", func() bool {
		owner, other = nil, nil
		for _, v := range cl.vms() {
			var jobs []struct {
				ID string `json:"id"`
			}
			if !v.running() || getJSON(v.address, "/v1/jobs", &jobs) != nil {
				continue
			}
			for _, x := range jobs {
				if x.ID == string(j.id) {
					owner = v
				}
			}
			if v != owner {
				other = v
			}
		}
		return owner != nil && other != nil
	})
	return owner, other
}

// assertAllDone fails the test unless all items of a job are done with the expected output.
func assertAllDone(t *testing.T, results []cs.ItemResult, j *batchJob) {
	t.Helper()
	qt.Assert(t, results, qt.HasLen, len(j.items))
	for i, r := range results {
		qt.Assert(t, int(r.Index), qt.Equals, i)
		qt.Assert(t, r.State, qt.Equals, cs.ItemDone, qt.Commentf("item %d: %s", i, r.Error))
		qt.Assert(t, r.Output, qt.Equals, j.want[i])
	}
}

// TestOwnerKilledAfterAcknowledging guards against a job that is acknowledged while only the owner's
// memory holds it: the owner is killed right after the acknowledgement.
func TestOwnerKilledAfterAcknowledging(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("killed-owner", 120, 20)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, other := cl.owner(j)
	owner.kill()
	began := time.Now()
	newOwner, _ := cl.owner(j)
	t.Logf("takeover after a kill: %v", time.Since(began))
	qt.Assert(t, newOwner.id, qt.Not(qt.Equals), owner.id)
	assertAllDone(t, c.waitFinished(other, j, 60*time.Second), j)
	c.checkInvariants(false)
}

// TestOwnerSuspendedAndResumed guards against an owner that is suspended, loses its lease and goes on
// as owner when resumed: records that it appends then must be ignored.
func TestOwnerSuspendedAndResumed(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("frozen-owner", 200, 30)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, other := cl.owner(j)
	time.Sleep(300 * time.Millisecond)
	owner.suspend()
	began := time.Now()
	cl.eventually(20*time.Second, "another VM owns the job's shard", func() bool {
		for _, v := range cl.vms() {
			var jobs []jobBody
			if v == owner || getJSON(v.address, "/v1/jobs", &jobs) != nil {
				continue
			}
			for _, x := range jobs {
				if x.ID == string(j.id) {
					return true
				}
			}
		}
		return false
	})
	t.Logf("takeover after a suspension: %v", time.Since(began))
	time.Sleep(time.Second)
	owner.resume()
	assertAllDone(t, c.waitFinished(other, j, 60*time.Second), j)
	c.checkInvariants(false)
}

// TestRunnerKilledWithItemsInFlight guards against items in flight that are lost with a killed runner
// or stay in state running for ever.
func TestRunnerKilledWithItemsInFlight(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("killed-runner", 160, 30)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(500 * time.Millisecond)
	cl.dcs[0].runners[0].kill()
	assertAllDone(t, c.waitFinished(cl.vms()[0], j, 60*time.Second), j)
	c.checkInvariants(false)
}

// TestItemIsOwedAfterRunnersCrashed guards against a sound item that ends as failed because one runner
// after the other crashed under it: quarantined after two crashes, or out of attempts after three.
func TestItemIsOwedAfterRunnersCrashed(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, clusterConfig{
		dataCentres: []string{"muc-a"}, vms: 2, runners: 2, runnerArgs: []string{"-step-base", "30ms"},
	})
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("crash-burst", 1, 100)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	defer func() {
		if t.Failed() {
			cl.logState()
		}
	}()
	for i := range 4 {
		busy := cl.busyRunner(i)
		t.Logf("crash %d: runner %s", i+1, busy.id)
		busy.kill()
		time.Sleep(400 * time.Millisecond)
		cl.startBackend(busy)
	}
	assertAllDone(t, c.waitFinished(cl.vms()[0], j, 60*time.Second), j)
	c.checkInvariants(false)
}

// busyRunner waits until a runner runs a request again after the given number of crashes, and returns it.
func (cl *cluster) busyRunner(crashes int) (busy *backend) {
	cl.t.Helper()
	cl.eventually(20*time.Second, fmt.Sprintf("a run is in progress after %d crashes", crashes), func() bool {
		for _, dc := range cl.dcs {
			for _, r := range dc.runners {
				var load struct {
					Running int `json:"running"`
				}
				if getJSON(r.address, "/v1/load", &load) == nil && load.Running > 0 {
					busy = r
				}
			}
		}
		return busy != nil
	})
	return busy
}

// TestLogOutageWhileJobRuns guards against work lost or duplicated by an outage of the log, and
// against a job that is refused as not run during the outage and runs later.
func TestLogOutageWhileJobRuns(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("log-down", 200, 20)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	setFaults(t, cl.log.address, map[string]any{"outage": true})
	time.Sleep(7 * time.Second)
	outageJob := newJob("during-outage", 5, 5)
	_, err = c.submit(cl.vms()[1], outageJob)
	refusal, ok := err.(*refusalBody)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
	t.Logf("submission during the outage: %v", refusal)
	qt.Assert(t, c.answer(cl.vms()[2], "hebewerk", "question during the outage", 10), qt.IsNil)
	setFaults(t, cl.log.address, map[string]any{"outage": false})
	assertAllDone(t, c.waitFinished(cl.vms()[0], j, 60*time.Second), j)
	if refusal.Ran == cs.RanNotRun {
		time.Sleep(2 * time.Second)
		_, err := c.status(cl.vms()[0], outageJob)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("a job refused as not run exists"))
	}
	c.checkInvariants(false)
}

// TestAppendResponsesLost guards against an append that takes effect twice because the response to the
// first try was lost.
func TestAppendResponsesLost(t *testing.T) {
	t.Parallel()
	cfg := twoDataCentres()
	cfg.logArgs = []string{"-lose-rate", "0.3"}
	cl := newCluster(t, cfg)
	c := newCaller(t, cl)
	c.setUp()
	for i := range 4 {
		j := newJob(fmt.Sprintf("lost-answers-%d", i), 40, 10)
		_, err := c.submit(cl.vms()[i], j)
		qt.Assert(t, err, qt.IsNil)
		assertAllDone(t, c.waitFinished(cl.vms()[0], j, 60*time.Second), j)
	}
	c.checkInvariants(false)
}

// TestJobResubmittedDuringTakeover guards against a second job when a caller submits a job again with
// the same idempotency key while its shard changes owner.
func TestJobResubmittedDuringTakeover(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("resent", 120, 20)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, other := cl.owner(j)
	owner.kill()
	cl.eventually(20*time.Second, "resubmitted job joined to the first one", func() bool {
		got, err := c.submit(other, j)
		return err == nil && got.Joined
	})
	assertAllDone(t, c.waitFinished(other, j, 60*time.Second), j)
	changed := newJob("resent", 3, 20)
	_, err = c.submit(other, changed)
	refusal, ok := err.(*refusalBody)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, refusal.Name, qt.Equals, "conflict")
	c.checkInvariants(false)
}

// TestCancelledJobStops guards against items that still run after the cancellation of their job was
// acknowledged, also when the owner is killed right after it.
func TestCancelledJobStops(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("cancelled", 2000, 60)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, other := cl.owner(j)
	time.Sleep(time.Second)
	qt.Assert(t, c.cancel(other, j), qt.IsNil)
	owner.kill()
	time.Sleep(12 * time.Second)
	got, err := c.status(other, j)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.State, qt.Equals, cs.JobCancelled)
	qt.Assert(t, got.Cancelled > 0, qt.IsTrue)
	c.checkInvariants(false)
}

// TestPermanentlyFailingItems guards against items that fail on each attempt and block or fail the
// other items of their job.
func TestPermanentlyFailingItems(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("impossible", 60, 10)
	for _, i := range []int{7, 33} {
		j.items[i]["prompt"] = fmt.Sprintf("POISON %d", i)
		j.hashes[i], j.want[i] = hashPrompt(fmt.Sprintf("POISON %d", i)), ""
	}
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	results := c.waitFinished(cl.vms()[1], j, 60*time.Second)
	qt.Assert(t, results, qt.HasLen, len(j.items))
	for i, r := range results {
		want := cs.ItemDone
		if i == 7 || i == 33 {
			want = cs.ItemFailed
		}
		qt.Assert(t, r.State, qt.Equals, want, qt.Commentf("item %d: %s", i, r.Error))
	}
	c.checkInvariants(false)
}

// TestDataCentreLosesLog guards against VMs that keep their shards although their data centre cannot
// reach the log.
func TestDataCentreLosesLog(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("cut-off-from-log", 400, 20)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, _ := cl.owner(j)
	far := cl.dcs[0]
	if owner.dc == far {
		far = cl.dcs[1]
	}
	owner.dc.logProxy.set(standin.Cut{})
	assertAllDone(t, c.waitFinished(far.vms[0], j, 90*time.Second), j)
	qt.Assert(t, c.answer(owner, "hebewerk", "question from the cut-off side", 10), qt.IsNil)
	owner.dc.logProxy.set(standin.Pass{})
	c.checkInvariants(false)
}

// TestNetworkPartition guards against lost or duplicated work, and against a side that stops serving
// online requests, when a network partition separates a data centre from the others and from the log
// and ends again.
func TestNetworkPartition(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("data-centre-cut-off", 400, 20)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, _ := cl.owner(j)
	far := cl.dcs[0]
	if owner.dc == far {
		far = cl.dcs[1]
	}
	cl.setPartitioned(owner.dc, true)
	owner.dc.logProxy.set(standin.Cut{})
	qt.Assert(t, c.answer(owner, "hebewerk", "question from the cut-off side", 10), qt.IsNil)
	qt.Assert(t, c.answer(far.vms[1], "hebewerk", "question from the other side", 10), qt.IsNil)
	assertAllDone(t, c.waitFinished(far.vms[0], j, 90*time.Second), j)
	cl.setPartitioned(owner.dc, false)
	owner.dc.logProxy.set(standin.Pass{})
	time.Sleep(3 * time.Second)
	assertAllDone(t, c.waitFinished(owner, j, 30*time.Second), j)
	c.checkInvariants(false)
}

// TestAllVMsReplaced guards against state that exists only in the memory of VMs: all are replaced one
// by one while a job runs, and its results must be readable afterwards.
func TestAllVMsReplaced(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("all-replaced", 300, 20)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	for _, v := range cl.vms() {
		v.kill()
		cl.startVM(v)
		cl.waitReady()
	}
	assertAllDone(t, c.waitFinished(cl.vms()[0], j, 60*time.Second), j)
	for _, v := range cl.vms() {
		cl.eventually(10*time.Second, "tickets in force on the replaced VM", func() bool {
			return c.inForce(v, "deployment/tutor", false) == 1
		})
	}
	c.checkInvariants(false)
}

// TestJobOutlivesLogRetention guards against the loss of an accepted job whose records pass the log's
// retention while it waits, before all VMs are replaced and have to read it from the log.
func TestJobOutlivesLogRetention(t *testing.T) {
	t.Parallel()
	cfg := twoDataCentres()
	cfg.logArgs = []string{"-retention", "8s"}
	cfg.control = map[string]any{"retention": "8s", "policy": map[string]any{"noBatch": true}}
	cl := newCluster(t, cfg)
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("retained", 50, 10)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(14 * time.Second) // longer than the retention of 8 s
	cl.cfg.control["policy"] = map[string]any{}
	for _, v := range cl.vms() {
		v.kill()
		cl.startVM(v)
		cl.waitReady()
	}
	assertAllDone(t, c.waitFinished(cl.vms()[0], j, 60*time.Second), j)
	for _, v := range cl.vms() {
		qt.Assert(t, c.inForce(v, "deployment/tutor", false), qt.Equals, 1)
	}
	c.checkInvariants(false)
}
