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

// mixedSeeds are the seeds of the long run; CI takes the first mixedInCI of them.
var mixedSeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}

const mixedInCI = 2

// mixedShort is the length of the load in CI.
const mixedShort = 12 * time.Second

// TestMixedFailures mixes failures under load and ends in the checker. It guards against faults that
// only a combination of failures shows.
func TestMixedFailures(t *testing.T) {
	seeds, length := mixedSeeds[:mixedInCI], mixedShort
	if *longFlag != 0 {
		seeds, length = mixedSeeds, *longFlag
	}
	if *seedFlag != 0 {
		seeds = []uint64{*seedFlag}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("seed %d, length %v", seed, length)
			runMixed(t, seed, length)
		})
	}
}

// mixer injects failures one after the other.
type mixer struct {
	*site
	rng *rand.Rand
	// killed counts the VMs that were killed, whose callers are cut off.
	killed atomic.Int64
}

func runMixed(t *testing.T, seed uint64, length time.Duration) {
	s := newSite(t, siteConfig{
		dataCentres: []string{"muc-a", "nue-a"}, vms: 2, runners: 3,
		logArgs: []string{"-lose-rate", "0.05"},
	})
	c := newCaller(t, s)
	c.setUp()
	m := &mixer{site: s, rng: rand.New(rand.NewPCG(seed, 7))}
	end := time.Now().Add(length)
	var (
		wg   sync.WaitGroup
		jobs []*batchJob
	)
	for w := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.ask(c, w, end)
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		jobs = m.submit(c, end)
	}()
	for time.Now().Before(end) {
		m.fail(t)
	}
	wg.Wait()
	m.heal(t)
	for _, j := range jobs {
		c.waitFinished(s.vms()[0], j, 90*time.Second)
	}
	c.excuseKilled(m.killed.Load() > 0)
	c.check(false)
}

// ask sends questions and marks until the end.
func (m *mixer) ask(c *caller, w int, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		v := m.vms()[(w+i)%len(m.vms())]
		if i%4 == 3 {
			key := fmt.Sprintf("mixed-%d-%d", w, i)
			body := map[string]any{"w": w, "i": i}
			if _, err := c.mark(v, key, body); err != nil {
				_, _ = c.mark(m.vms()[(w+i+1)%len(m.vms())], key, body)
			}
			continue
		}
		_, _ = c.stream(v, "hebewerk", fmt.Sprintf("mixed %d %d", w, i), 15)
	}
}

// submit submits jobs until the end and returns those that were accepted.
func (m *mixer) submit(c *caller, end time.Time) []*batchJob {
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

// fail injects one failure and waits a little.
func (m *mixer) fail(t *testing.T) {
	dc := m.dcs[m.rng.IntN(len(m.dcs))]
	v := dc.vms[m.rng.IntN(len(dc.vms))]
	r := dc.runners[m.rng.IntN(len(dc.runners))]
	pause := time.Duration(500+m.rng.IntN(1500)) * time.Millisecond
	switch kind := m.rng.IntN(7); kind {
	case 0:
		t.Logf("kill and replace VM %s", v.id)
		m.killed.Add(1)
		v.kill()
		time.Sleep(pause)
		m.startVM(v)
	case 1:
		t.Logf("freeze VM %s", v.id)
		v.freeze()
		time.Sleep(4 * time.Second)
		v.wake()
	case 2:
		t.Logf("kill and replace runner %s", r.id)
		r.kill()
		time.Sleep(pause)
		m.startBackend(r)
	case 3:
		t.Logf("outage of the log")
		faults(t, m.log.address, map[string]any{"outage": true})
		time.Sleep(2 * pause)
		faults(t, m.log.address, map[string]any{"outage": false})
	case 4:
		t.Logf("cut %s off from the others", dc.name)
		m.cutOff(dc, true)
		time.Sleep(2 * pause)
		m.cutOff(dc, false)
	case 5:
		t.Logf("cut %s off from the log", dc.name)
		dc.toLog.set(standin.Cut{})
		time.Sleep(2 * pause)
		dc.toLog.set(standin.Pass{})
	case 6:
		t.Logf("truncated and crossed answers of %s", r.id)
		faults(t, r.address, map[string]any{"truncateNext": 2, "crossNext": 2, "breakNext": 1})
	}
	time.Sleep(pause)
}

// heal ends all failures and waits until all VMs see each other.
func (m *mixer) heal(t *testing.T) {
	t.Helper()
	faults(t, m.log.address, map[string]any{"outage": false})
	for _, dc := range m.dcs {
		m.cutOff(dc, false)
		dc.toLog.set(standin.Pass{})
	}
	m.waitReady()
}
