package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/audit"
)

func leaving(b *backend) audit.Observation {
	return audit.Leaving{At: now(), Runner: cs.RunnerID(b.id)}
}

// TestMarkResentThroughAllVMs guards against a mark that is registered twice when its caller sends it
// through several VMs at once.
func TestMarkResentThroughAllVMs(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	for m := range 10 {
		var wg sync.WaitGroup
		for _, v := range s.vms() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, _ = c.mark(v, fmt.Sprintf("mark-%d", m), map[string]any{"trainee": m})
			}()
		}
		wg.Wait()
		joined, err := c.mark(s.vms()[m%4], fmt.Sprintf("mark-%d", m), map[string]any{"trainee": m})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, joined, qt.IsTrue)
	}
	c.check(false)
}

// TestMarkWhileOwnerDies guards against a mark that is registered again after the VM that had given
// leave for it was killed, and against a resend that gets another answer than the first call.
func TestMarkWhileOwnerDies(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	var wg sync.WaitGroup
	for m := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for try := range 4 {
				v := s.vms()[1+(m+try)%3]
				if _, err := c.mark(v, fmt.Sprintf("dying-%d", m), map[string]any{"dying": m}); err == nil {
					return
				}
				time.Sleep(time.Second)
			}
		}()
		time.Sleep(20 * time.Millisecond)
		if m == 20 {
			s.vms()[0].kill()
		}
	}
	wg.Wait()
	c.check(false)
}

// TestServiceKilledWithCalls guards against a repeated call when the service dies with calls in
// flight: they end as unknown and are not sent again.
func TestServiceKilledWithCalls(t *testing.T) {
	t.Parallel()
	cfg := twoSites()
	cfg.recordsArgs = []string{"-work", "400ms"}
	s := newSite(t, cfg)
	c := newCaller(t, s)
	c.setUp()
	go func() {
		time.Sleep(500 * time.Millisecond)
		s.dcs[0].records.kill()
	}()
	var wg sync.WaitGroup
	for m := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			key := ""
			if m%2 == 0 {
				key = fmt.Sprintf("service-%d", m)
			}
			_, _ = c.mark(s.vms()[m%4], key, map[string]any{"service": m})
		}()
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	c.check(false)
}

// TestMarkDuringLogOutage guards against a keyed mark that runs although no record can say so: it is
// refused as not run, and one without a key still goes through.
func TestMarkDuringLogOutage(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	c.setUp()
	faults(t, s.log.address, map[string]any{"outage": true})
	time.Sleep(9 * time.Second) // a poll of 2 s may still succeed, and the log counts as down after 5 s
	_, err := c.mark(s.vms()[0], "outage", map[string]any{"outage": 1})
	refusal, ok := err.(*refusalBody)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, refusal.Ran, qt.Equals, cs.RanNotRun, qt.Commentf("%v", refusal))
	_, err = c.mark(s.vms()[1], "", map[string]any{"outage": 2})
	qt.Assert(t, err, qt.IsNil)
	faults(t, s.log.address, map[string]any{"outage": false})
	s.eventually(20*time.Second, "marks after the outage", func() bool {
		_, err := c.mark(s.vms()[0], "outage", map[string]any{"outage": 1})
		return err == nil
	})
	c.check(false)
}

// TestMarkWithLostAppends guards against a second run of a mark whose start was recorded and whose
// append got no answer.
func TestMarkWithLostAppends(t *testing.T) {
	t.Parallel()
	cfg := twoSites()
	cfg.logArgs = []string{"-lose-rate", "0.3"}
	s := newSite(t, cfg)
	c := newCaller(t, s)
	c.setUp()
	for m := range 12 {
		key := fmt.Sprintf("lost-%d", m)
		_, err := c.mark(s.vms()[m%4], key, map[string]any{"lost": m})
		qt.Assert(t, err, qt.IsNil)
		joined, err := c.mark(s.vms()[(m+1)%4], key, map[string]any{"lost": m})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, joined, qt.IsTrue)
	}
	c.check(false)
}

// TestNonIdempotentItems guards against items that must not be repeated and are, when the owner of
// their job dies: those in flight end as unknown or keep the outcome of their one run.
func TestNonIdempotentItems(t *testing.T) {
	t.Parallel()
	cfg := twoSites()
	cfg.recordsArgs = []string{"-work", "60ms"}
	s := newSite(t, cfg)
	c := newCaller(t, s)
	c.setUp()
	j := &batchJob{key: "marks", id: cs.NewJobID("verein", "marks")}
	for i := range 150 {
		body := fmt.Sprintf(`{"item":%d}`, i)
		h := cs.HashTarget(cs.ServiceCall{Service: recordsS, Method: markCall, Body: []byte(body)})
		j.items = append(j.items, map[string]any{"service": recordsS, "method": markCall, "body": map[string]any{"item": i}, "nonIdempotent": true})
		j.hash, j.want = append(j.hash, h), append(j.want, "")
		c.once[h] = true
	}
	_, err := c.submit(s.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, other := s.owner(j)
	time.Sleep(400 * time.Millisecond)
	owner.kill()
	results := c.waitFinished(other, j, 60*time.Second)
	counts := map[cs.ItemState]int{}
	for _, r := range results {
		counts[r.State]++
	}
	t.Logf("items by state: %v", counts)
	qt.Assert(t, counts[cs.ItemDone]+counts[cs.ItemUnknown], qt.Equals, len(j.items))
	c.check(false)
}
