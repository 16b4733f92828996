package e2e

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusstile/crocusstile/standin"
)

// mixedSeeds are the seeds of the long form of TestMixedFailures. CI runs the first mixedSeedsInCI of
// them.
var mixedSeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}

const mixedSeedsInCI = 2

// mixedDurationInCI is the duration of the load in CI.
const mixedDurationInCI = 12 * time.Second

// TestMixedFailures guards against faults that only a combination of failures reveals: it injects
// random failures under load and then checks the invariants. A seed determines the order of failures.
func TestMixedFailures(t *testing.T) {
	seeds, duration := mixedSeeds[:mixedSeedsInCI], mixedDurationInCI
	if *mixedFlag != 0 {
		seeds, duration = mixedSeeds, *mixedFlag
	}
	if *seedFlag != 0 {
		seeds = []uint64{*seedFlag}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d, duration %v", seed, duration)
			runMixed(t, seed, duration)
		})
	}
}

// mixedRun sends requests and jobs to a cluster and meanwhile injects random failures, one after the
// other.
type mixedRun struct {
	*cluster
	rng *rand.Rand
	// killedVMs is the number of VMs killed so far; requests in flight at them end without response.
	killedVMs atomic.Int64
}

// runMixed runs TestMixedFailures with one seed.
func runMixed(t *testing.T, seed uint64, duration time.Duration) {
	cl := newCluster(t, clusterConfig{
		dataCentres: []string{"muc-a", "nue-a"}, vms: 2, runners: 3,
		logArgs: []string{"-lose-rate", "0.05"},
	})
	c := newCaller(t, cl)
	c.setUp()
	run := &mixedRun{cluster: cl, rng: rand.New(rand.NewPCG(seed, 7))}
	end := time.Now().Add(duration)
	var (
		wg   sync.WaitGroup
		jobs []*batchJob
	)
	for worker := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			run.sendRequests(c, worker, end)
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		jobs = run.submit(c, end)
	}()
	for time.Now().Before(end) {
		run.injectFailure(t)
	}
	wg.Wait()
	run.clearFailures(t)
	for _, j := range jobs {
		c.waitFinished(cl.vms()[0], j, 90*time.Second)
	}
	c.excuseNoResponse(run.killedVMs.Load() > 0)
	c.checkInvariants(false)
}

// sendRequests sends prompts and marks until the end; worker makes their contents unique.
func (m *mixedRun) sendRequests(c *caller, worker int, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		v := m.vms()[(worker+i)%len(m.vms())]
		if i%4 == 3 {
			key := fmt.Sprintf("mixed-%d-%d", worker, i)
			body := map[string]any{"w": worker, "i": i}
			if _, err := c.mark(v, key, body); err != nil {
				_, _ = c.mark(m.vms()[(worker+i+1)%len(m.vms())], key, body)
			}
			continue
		}
		_, _ = c.stream(v, "hebewerk", fmt.Sprintf("mixed %d %d", worker, i), 15)
	}
}

// submit submits jobs until the end, one a second, and returns those that were accepted.
func (m *mixedRun) submit(c *caller, end time.Time) []*batchJob {
	var jobs []*batchJob
	for i := 0; time.Now().Before(end); i++ {
		j := newJob(fmt.Sprintf("mixed-%d", i), 40, 15)
		for try := range 3 {
			if _, err := c.submit(m.vms()[(i+try)%len(m.vms())], j); err == nil {
				jobs = append(jobs, j)
				break
			}
		}
		time.Sleep(time.Second)
	}
	return jobs
}

// injectFailure injects one random failure, ends it unless it ends by itself, and pauses.
func (m *mixedRun) injectFailure(t *testing.T) {
	dc := m.dcs[m.rng.IntN(len(m.dcs))]
	v := dc.vms[m.rng.IntN(len(dc.vms))]
	r := dc.runners[m.rng.IntN(len(dc.runners))]
	pause := time.Duration(500+m.rng.IntN(1500)) * time.Millisecond
	switch kind := m.rng.IntN(7); kind {
	case 0:
		t.Logf("kill and replace VM %s", v.id)
		m.killedVMs.Add(1)
		v.kill()
		time.Sleep(pause)
		m.startVM(v)
	case 1:
		t.Logf("suspend and resume VM %s", v.id)
		v.suspend()
		time.Sleep(4 * time.Second)
		v.resume()
	case 2:
		t.Logf("kill and replace runner %s", r.id)
		r.kill()
		time.Sleep(pause)
		m.startBackend(r)
	case 3:
		t.Logf("outage of the log")
		setFaults(t, m.log.address, map[string]any{"outage": true})
		time.Sleep(2 * pause)
		setFaults(t, m.log.address, map[string]any{"outage": false})
	case 4:
		t.Logf("network partition between %s and the other data centres", dc.name)
		m.setPartitioned(dc, true)
		time.Sleep(2 * pause)
		m.setPartitioned(dc, false)
	case 5:
		t.Logf("network partition between %s and the log", dc.name)
		dc.logProxy.set(standin.Cut{})
		time.Sleep(2 * pause)
		dc.logProxy.set(standin.Pass{})
	case 6:
		t.Logf("truncated, mismatched and broken responses of runner %s", r.id)
		setFaults(t, r.address, map[string]any{"truncateNext": 2, "crossNext": 2, "breakNext": 1})
	}
	time.Sleep(pause)
}

// clearFailures ends the failures that may persist and waits until all VMs are connected again.
func (m *mixedRun) clearFailures(t *testing.T) {
	t.Helper()
	setFaults(t, m.log.address, map[string]any{"outage": false})
	for _, dc := range m.dcs {
		m.setPartitioned(dc, false)
		dc.logProxy.set(standin.Pass{})
	}
	m.waitReady()
}
