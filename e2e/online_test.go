package e2e

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
)

// askAll streams n answers through all VMs with the given number of concurrent workers and returns the
// number of complete answers.
func (c *caller) askAll(prefix string, n, workers, tokens int) int {
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		complete int
	)
	work := make(chan int)
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range work {
				v := c.cluster.vms()[i%len(c.cluster.vms())]
				if _, err := c.stream(v, "hebewerk", fmt.Sprintf("%s question %d", prefix, i), tokens); err == nil {
					mu.Lock()
					complete++
					mu.Unlock()
				}
			}
		}()
	}
	for i := range n {
		work <- i
	}
	close(work)
	wg.Wait()
	return complete
}

// TestRunnerKilledMidStream guards against a streamed answer that is truncated, or resumed with
// missing or repeated tokens, when its runner is killed.
func TestRunnerKilledMidStream(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	go func() {
		time.Sleep(700 * time.Millisecond)
		cl.dcs[0].runners[0].kill()
	}()
	qt.Assert(t, c.askAll("killed", 60, 12, 60), qt.Equals, 60)
	c.checkInvariants(false)
}

// TestMismatchedAndTruncatedResponses guards against a runner's response that is truncated or belongs
// to another request and is passed on to the caller as a complete answer.
func TestMismatchedAndTruncatedResponses(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	// 6 faults in 120 requests stay within the retry budget, which is 10% of the requests.
	for _, dc := range cl.dcs {
		setFaults(t, dc.runners[0].address, map[string]any{"crossNext": 1, "truncateNext": 1, "breakNext": 1})
	}
	qt.Assert(t, c.askAll("crossed", 120, 6, 20), qt.Equals, 120)
	c.checkInvariants(false)
}

// TestUnresponsiveRunner guards against a caller that waits for a runner that accepts requests but
// sends no response.
func TestUnresponsiveRunner(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	setFaults(t, cl.dcs[0].runners[0].address, map[string]any{"silent": true})
	qt.Assert(t, c.askAll("silent", 40, 8, 10), qt.Equals, 40)
	c.checkInvariants(false)
}

// TestLastRunnerKilled guards against a request that ran and is refused as not run, and against a
// caller that waits for ever, when the only runner is killed.
func TestLastRunnerKilled(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, clusterConfig{dataCentres: []string{"muc-a"}, vms: 2, runners: 1})
	c := newCaller(t, cl)
	c.setUp()
	go func() {
		time.Sleep(300 * time.Millisecond)
		cl.dcs[0].runners[0].kill()
	}()
	c.askAll("no runner", 24, 8, 60)
	c.checkInvariants(false)
}

// TestCrashingRequest guards against a request that crashes more than two runners of a data centre
// when sent repeatedly, and against the quarantine of other requests that ran beside it.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, clusterConfig{dataCentres: []string{"muc-a"}, vms: 3, runners: 5})
	c := newCaller(t, cl)
	c.setUp()
	var wg sync.WaitGroup
	wg.Add(1)
	otherAnswers := 0
	go func() {
		defer wg.Done()
		otherAnswers = c.askAll("neighbour", 80, 8, 30)
	}()
	time.Sleep(200 * time.Millisecond)
	for i := range 9 {
		err := c.answer(cl.vms()[i%3], "hebewerk", "please CRASH now", 10)
		qt.Assert(t, err, qt.IsNotNil)
		t.Logf("crashing request, send %d: %v", i, err)
	}
	wg.Wait()
	crashedRunners := 0
	for _, r := range cl.dcs[0].runners {
		if !r.running() {
			crashedRunners++
		}
	}
	qt.Assert(t, otherAnswers, qt.Equals, 80)
	qt.Assert(t, crashedRunners <= 2, qt.IsTrue, qt.Commentf("%d runners crashed", crashedRunners))
	err := c.answer(cl.vms()[0], "hebewerk", "please CRASH now", 10)
	qt.Assert(t, err, qt.ErrorMatches, ".*quarantined.*")
	c.checkInvariants(false)
}

// TestLeavingRunner guards against new work for a runner that reports itself as leaving while the list,
// which lags by 30 s, still shows it as live.
func TestLeavingRunner(t *testing.T) {
	t.Parallel()
	cfg := twoDataCentres()
	cfg.listArgs = []string{"-lag", "30s"}
	cl := newCluster(t, cfg)
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("beside-leaving", 300, 20)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	r := cl.dcs[0].runners[0]
	qt.Assert(t, sendJSON(t.Context(), "POST", r.address, "/standin/leaving", nil, nil), qt.IsNil)
	c.record(leavingObservation(r))
	qt.Assert(t, c.askAll("leaving", 150, 10, 20), qt.Equals, 150)
	assertAllDone(t, c.waitFinished(cl.vms()[0], j, 60*time.Second), j)
	c.checkInvariants(false)
}

// TestOnlineLatencyUnderBatchLoad guards against online requests that wait behind batch items.
func TestOnlineLatencyUnderBatchLoad(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("bulk", 600, 60)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(2 * time.Second)
	var slowest time.Duration
	for i := range 40 {
		first, err := c.stream(cl.vms()[i%4], "hebewerk", fmt.Sprintf("live question %d", i), 5)
		qt.Assert(t, err, qt.IsNil)
		slowest = max(slowest, first)
	}
	t.Logf("slowest first token under batch load: %v", slowest)
	qt.Assert(t, slowest < (1600*cs.Millisecond).Std(), qt.IsTrue, qt.Commentf("slowest first token after %v", slowest))
	c.checkInvariants(true)
}

// TestInvalidInput guards against unclear refusals of invalid requests: each has the right status,
// names the invalid field and says that nothing ran.
func TestInvalidInput(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, clusterConfig{dataCentres: []string{"muc-a"}, vms: 1, runners: 1})
	c := newCaller(t, cl)
	c.setUp()
	v := cl.vms()[0]
	long := strings.Repeat("x", 65<<20)
	for _, x := range []struct {
		name, path string
		in         any
		status     int
		field      string
	}{
		{"unknown model", "/v1/answer", map[string]any{"tenant": "a", "model": "none", "prompt": "x"}, 404, "model"},
		{"no prompt", "/v1/answer", map[string]any{"tenant": "a", "model": model}, 400, "prompt"},
		{"wrong type", "/v1/answer", map[string]any{"tenant": "a", "model": model, "prompt": 5}, 400, "prompt"},
		{"unknown field", "/v1/answer", map[string]any{"tenant": "a", "model": model, "prompt": "x", "colour": 1}, 400, "colour"},
		{"too many tokens", "/v1/answer", map[string]any{"tenant": "a", "model": model, "prompt": "x", "maxTokens": 99999}, 400, "maxTokens"},
		{"too large", "/v1/answer", map[string]any{"tenant": "a", "model": model, "prompt": long}, 413, ""},
		{"ticket without number", "/v1/tickets", map[string]any{"operator": "a", "tenant": map[string]any{"tenant": "x"}}, 400, "number"},
		{"ticket without state", "/v1/tickets", map[string]any{"operator": "a", "number": 9}, 400, "deployment"},
		{"unknown service", "/v1/services/none/x", map[string]any{"tenant": "a"}, 404, "service"},
		{"job without items", "/v1/jobs", map[string]any{"tenant": "a", "key": "k", "items": []any{}}, 400, "items"},
		{"item without prompt", "/v1/jobs", map[string]any{"tenant": "a", "key": "k", "items": []any{map[string]any{"model": model}}}, 400, "items[0].prompt"},
	} {
		err := sendJSON(t.Context(), "POST", v.address, x.path, x.in, nil)
		e, ok := err.(*refusalBody)
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s: %v", x.name, err))
		qt.Check(t, e.status, qt.Equals, x.status, qt.Commentf("%s: %v", x.name, e))
		qt.Check(t, e.Field, qt.Equals, x.field, qt.Commentf("%s: %v", x.name, e))
		qt.Check(t, e.Ran, qt.Equals, cs.RanNotRun, qt.Commentf("%s: %v", x.name, e))
	}
	c.checkInvariants(false)
}
