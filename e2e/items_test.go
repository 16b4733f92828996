package e2e

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/standin"
)

// twoSites is two data centres with two VMs and two runners each.
func twoSites() siteConfig {
	return siteConfig{dataCentres: []string{"muc-a", "nue-a"}, vms: 2, runners: 2}
}

// owner returns the VM that owns the shard of a job, and some VM that does not.
func (s *site) owner(j *batchJob) (owner, other *vm) {
	s.t.Helper()
	s.eventually(15*time.Second, "an owner of the job's shard", func() bool {
		owner, other = nil, nil
		for _, v := range s.vms() {
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

// allDone requires that all items of a job are done.
func allDone(t *testing.T, results []cs.ItemResult, j *batchJob) {
	t.Helper()
	qt.Assert(t, results, qt.HasLen, len(j.items))
	for i, r := range results {
		qt.Assert(t, int(r.Index), qt.Equals, i)
		qt.Assert(t, r.State, qt.Equals, cs.ItemDone, qt.Commentf("item %d: %s", i, r.Error))
		qt.Assert(t, r.Output, qt.Equals, j.want[i])
	}
}

// TestOwnerKilledAfterAcknowledging guards against a job that only its owner's memory holds: the
// owner is killed right after it has accepted the job.
func TestOwnerKilledAfterAcknowledging(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	j := newJob("killed-owner", 120, 20)
	_, err := c.submit(s.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, other := s.owner(j)
	owner.kill()
	began := time.Now()
	next, _ := s.owner(j)
	t.Logf("takeover after a kill: %v", time.Since(began))
	qt.Assert(t, next.id, qt.Not(qt.Equals), owner.id)
	allDone(t, c.waitFinished(other, j, 60*time.Second), j)
	c.check(false)
}

// TestOwnerFrozenAndWoken guards against a paused owner that goes on as if it were the owner: its
// late records must not count.
func TestOwnerFrozenAndWoken(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	j := newJob("frozen-owner", 200, 30)
	_, err := c.submit(s.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, other := s.owner(j)
	time.Sleep(300 * time.Millisecond)
	owner.freeze()
	began := time.Now()
	s.eventually(20*time.Second, "another owner", func() bool {
		for _, v := range s.vms() {
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
	t.Logf("takeover after a freeze: %v", time.Since(began))
	time.Sleep(time.Second)
	owner.wake()
	allDone(t, c.waitFinished(other, j, 60*time.Second), j)
	c.check(false)
}

// TestRunnerKilledWithItems guards against items that are lost or run without end with their runner.
func TestRunnerKilledWithItems(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	j := newJob("killed-runner", 160, 30)
	_, err := c.submit(s.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(500 * time.Millisecond)
	s.dcs[0].runners[0].kill()
	allDone(t, c.waitFinished(s.vms()[0], j, 60*time.Second), j)
	c.check(false)
}

// TestLogDownWhileJobRuns guards against work that is lost or done twice for an outage of the log,
// and against a submission during the outage that says "not run" and runs later.
func TestLogDownWhileJobRuns(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	j := newJob("log-down", 200, 20)
	_, err := c.submit(s.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	faults(t, s.log.address, map[string]any{"outage": true})
	time.Sleep(7 * time.Second)
	late := newJob("during-outage", 5, 5)
	_, err = c.submit(s.vms()[1], late)
	refusal, ok := err.(*refusalBody)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
	t.Logf("submission during the outage: %v", refusal)
	qt.Assert(t, c.answer(s.vms()[2], "hebewerk", "question during the outage", 10), qt.IsNil)
	faults(t, s.log.address, map[string]any{"outage": false})
	allDone(t, c.waitFinished(s.vms()[0], j, 60*time.Second), j)
	if refusal.Ran == cs.RanNotRun {
		time.Sleep(2 * time.Second)
		_, err := c.status(s.vms()[0], late)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("a job refused as not run exists"))
	}
	c.check(false)
}

// TestLogAnswersLost guards against a second effect of an append whose answer was lost.
func TestLogAnswersLost(t *testing.T) {
	t.Parallel()
	cfg := twoSites()
	cfg.logArgs = []string{"-lose-rate", "0.3"}
	s := newSite(t, cfg)
	c := newCaller(t, s)
	c.setUp()
	for i := range 4 {
		j := newJob(fmt.Sprintf("lost-answers-%d", i), 40, 10)
		_, err := c.submit(s.vms()[i], j)
		qt.Assert(t, err, qt.IsNil)
		allDone(t, c.waitFinished(s.vms()[0], j, 60*time.Second), j)
	}
	c.check(false)
}

// TestJobResentDuringTakeover guards against a resent job that becomes a second one.
func TestJobResentDuringTakeover(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	j := newJob("resent", 120, 20)
	_, err := c.submit(s.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, other := s.owner(j)
	owner.kill()
	s.eventually(20*time.Second, "the resent job joined", func() bool {
		got, err := c.submit(other, j)
		return err == nil && got.Joined
	})
	allDone(t, c.waitFinished(other, j, 60*time.Second), j)
	changed := newJob("resent", 3, 20)
	_, err = c.submit(other, changed)
	refusal, ok := err.(*refusalBody)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, refusal.Name, qt.Equals, "conflict")
	c.check(false)
}

// TestCancelledJobStops guards against items that run on after the cancellation was acknowledged,
// also when the owner dies just then.
func TestCancelledJobStops(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	j := newJob("cancelled", 2000, 60)
	_, err := c.submit(s.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, other := s.owner(j)
	time.Sleep(time.Second)
	qt.Assert(t, c.cancel(other, j), qt.IsNil)
	owner.kill()
	time.Sleep(12 * time.Second)
	got, err := c.status(other, j)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.State, qt.Equals, cs.JobCancelled)
	qt.Assert(t, got.Cancelled > 0, qt.IsTrue)
	c.check(false)
}

// TestImpossibleItems guards against items that can never be done and hold up or crash the rest.
func TestImpossibleItems(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	j := newJob("impossible", 60, 10)
	for _, i := range []int{7, 33} {
		j.items[i]["prompt"] = fmt.Sprintf("POISON %d", i)
		j.hash[i], j.want[i] = hashPrompt(fmt.Sprintf("POISON %d", i)), ""
	}
	_, err := c.submit(s.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	results := c.waitFinished(s.vms()[1], j, 60*time.Second)
	qt.Assert(t, results, qt.HasLen, len(j.items))
	for i, r := range results {
		want := cs.ItemDone
		if i == 7 || i == 33 {
			want = cs.ItemFailed
		}
		qt.Assert(t, r.State, qt.Equals, want, qt.Commentf("item %d: %s", i, r.Error))
	}
	c.check(false)
}

// TestCutOffFromLog guards against a data centre that keeps its shards although it cannot write.
func TestCutOffFromLog(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	j := newJob("cut-off-from-log", 400, 20)
	_, err := c.submit(s.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, _ := s.owner(j)
	far := s.dcs[0]
	if owner.dc == far {
		far = s.dcs[1]
	}
	owner.dc.toLog.set(standin.Cut{})
	allDone(t, c.waitFinished(far.vms[0], j, 90*time.Second), j)
	qt.Assert(t, c.answer(owner, "hebewerk", "question from the cut-off side", 10), qt.IsNil)
	owner.dc.toLog.set(standin.Pass{})
	c.check(false)
}

// TestDataCentreCutOff guards against lost or doubled work, and against a side that stops serving,
// when a data centre is cut off from the others and from the log, and comes back.
func TestDataCentreCutOff(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	j := newJob("data-centre-cut-off", 400, 20)
	_, err := c.submit(s.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, _ := s.owner(j)
	far := s.dcs[0]
	if owner.dc == far {
		far = s.dcs[1]
	}
	s.cutOff(owner.dc, true)
	owner.dc.toLog.set(standin.Cut{})
	qt.Assert(t, c.answer(owner, "hebewerk", "question from the cut-off side", 10), qt.IsNil)
	qt.Assert(t, c.answer(far.vms[1], "hebewerk", "question from the other side", 10), qt.IsNil)
	allDone(t, c.waitFinished(far.vms[0], j, 90*time.Second), j)
	s.cutOff(owner.dc, false)
	owner.dc.toLog.set(standin.Pass{})
	time.Sleep(3 * time.Second)
	allDone(t, c.waitFinished(owner, j, 30*time.Second), j)
	c.check(false)
}

// TestAllVMsReplaced guards against state that only VMs hold: all are replaced, one after the other,
// while a job runs and its results are read afterwards.
func TestAllVMsReplaced(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	j := newJob("all-replaced", 300, 20)
	_, err := c.submit(s.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	for _, v := range s.vms() {
		v.kill()
		s.startVM(v)
		s.waitReady()
	}
	allDone(t, c.waitFinished(s.vms()[0], j, 60*time.Second), j)
	for _, v := range s.vms() {
		s.eventually(10*time.Second, "tickets on the replacement", func() bool {
			return c.inForce(v, "deployment/tutor", false) == 1
		})
	}
	c.check(false)
}

// TestRetentionPassesOverJob guards against an accepted job that the log forgets: its records expire
// while it waits, and its owner is replaced afterwards.
func TestRetentionPassesOverJob(t *testing.T) {
	t.Parallel()
	cfg := twoSites()
	cfg.logArgs = []string{"-retention", "8s"}
	cfg.control = map[string]any{"retention": "8s", "policy": map[string]any{"noBatch": true}}
	s := newSite(t, cfg)
	c := newCaller(t, s)
	c.setUp()
	j := newJob("retained", 50, 10)
	_, err := c.submit(s.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(14 * time.Second)
	s.cfg.control["policy"] = map[string]any{}
	for _, v := range s.vms() {
		v.kill()
		s.startVM(v)
		s.waitReady()
	}
	allDone(t, c.waitFinished(s.vms()[0], j, 60*time.Second), j)
	for _, v := range s.vms() {
		qt.Assert(t, c.inForce(v, "deployment/tutor", false), qt.Equals, 1)
	}
	c.check(false)
}
