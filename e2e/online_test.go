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

// askAll streams n answers through all VMs, w at a time, and returns how many were whole.
func (c *caller) askAll(prefix string, n, w, tokens int) int {
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		whole int
	)
	work := make(chan int)
	for range w {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range work {
				v := c.site.vms()[i%len(c.site.vms())]
				if _, err := c.stream(v, "hebewerk", fmt.Sprintf("%s question %d", prefix, i), tokens); err == nil {
					mu.Lock()
					whole++
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
	return whole
}

// TestRunnerKilledMidStream guards against an answer that is cut off or put together wrongly when
// its runner dies.
func TestRunnerKilledMidStream(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	go func() {
		time.Sleep(700 * time.Millisecond)
		s.dcs[0].runners[0].kill()
	}()
	qt.Assert(t, c.askAll("killed", 60, 12, 60), qt.Equals, 60)
	c.check(false)
}

// TestCrossedAndTruncatedAnswers guards against an answer of another request, or a part of one, that
// is passed on as whole.
func TestCrossedAndTruncatedAnswers(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	// 6 faults for 120 requests stay within the retry budget of 10%.
	for _, dc := range s.dcs {
		faults(t, dc.runners[0].address, map[string]any{"crossNext": 1, "truncateNext": 1, "breakNext": 1})
	}
	qt.Assert(t, c.askAll("crossed", 120, 6, 20), qt.Equals, 120)
	c.check(false)
}

// TestSilentRunner guards against a caller that waits for a runner that takes requests and says
// nothing.
func TestSilentRunner(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	faults(t, s.dcs[0].runners[0].address, map[string]any{"silent": true})
	qt.Assert(t, c.askAll("silent", 40, 8, 10), qt.Equals, 40)
	c.check(false)
}

// TestNoRunnerLeft guards against a refusal that says "not run" about a request that ran, and against
// a caller that waits for ever.
func TestNoRunnerLeft(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteConfig{dataCentres: []string{"muc-a"}, vms: 2, runners: 1})
	c := newCaller(t, s)
	c.setUp()
	go func() {
		time.Sleep(300 * time.Millisecond)
		s.dcs[0].runners[0].kill()
	}()
	c.askAll("no runner", 24, 8, 60)
	c.check(false)
}

// TestCrashingRequest guards against a request that takes down more than two runners of a data
// centre however often it is sent, and against blaming its neighbours.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteConfig{dataCentres: []string{"muc-a"}, vms: 3, runners: 5})
	c := newCaller(t, s)
	c.setUp()
	var wg sync.WaitGroup
	wg.Add(1)
	neighbours := 0
	go func() {
		defer wg.Done()
		neighbours = c.askAll("neighbour", 80, 8, 30)
	}()
	time.Sleep(200 * time.Millisecond)
	for i := range 9 {
		err := c.answer(s.vms()[i%3], "hebewerk", "please CRASH now", 10)
		qt.Assert(t, err, qt.IsNotNil)
		t.Logf("send %d: %v", i, err)
	}
	wg.Wait()
	down := 0
	for _, r := range s.dcs[0].runners {
		if !r.running() {
			down++
		}
	}
	qt.Assert(t, neighbours, qt.Equals, 80)
	qt.Assert(t, down <= 2, qt.IsTrue, qt.Commentf("%d runners crashed", down))
	err := c.answer(s.vms()[0], "hebewerk", "please CRASH now", 10)
	qt.Assert(t, err, qt.ErrorMatches, ".*quarantined.*")
	c.check(false)
}

// TestLeavingRunner guards against new work for a runner that is leaving, whether it says so itself
// or the list does, 5 s behind.
func TestLeavingRunner(t *testing.T) {
	t.Parallel()
	cfg := twoSites()
	cfg.listArgs = []string{"-lag", "30s"}
	s := newSite(t, cfg)
	c := newCaller(t, s)
	c.setUp()
	j := newJob("beside-leaving", 300, 20)
	_, err := c.submit(s.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	r := s.dcs[0].runners[0]
	qt.Assert(t, sendJSON(t.Context(), "POST", r.address, "/standin/leaving", nil, nil), qt.IsNil)
	c.note(leaving(r))
	qt.Assert(t, c.askAll("leaving", 150, 10, 20), qt.Equals, 150)
	allDone(t, c.waitFinished(s.vms()[0], j, 60*time.Second), j)
	c.check(false)
}

// TestOnlineBesideBatch guards against online requests that wait behind batch items.
func TestOnlineBesideBatch(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	j := newJob("bulk", 600, 60)
	_, err := c.submit(s.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(2 * time.Second)
	var slowest time.Duration
	for i := range 40 {
		first, err := c.stream(s.vms()[i%4], "hebewerk", fmt.Sprintf("live question %d", i), 5)
		qt.Assert(t, err, qt.IsNil)
		slowest = max(slowest, first)
	}
	t.Logf("slowest first token beside batch: %v", slowest)
	qt.Assert(t, slowest < (1600*cs.Millisecond).Std(), qt.IsTrue, qt.Commentf("%v", slowest))
	c.check(true)
}

// TestBadInput guards against unclear errors: each names the field and says that nothing ran.
func TestBadInput(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteConfig{dataCentres: []string{"muc-a"}, vms: 1, runners: 1})
	c := newCaller(t, s)
	c.setUp()
	v := s.vms()[0]
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
	c.check(false)
}
