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

// leavingObservation says that a runner is shown as leaving from now on.
func leavingObservation(b *backend) audit.Observation {
	return audit.Leaving{At: now(), Runner: cs.RunnerID(b.id)}
}

// TestMarkSentThroughAllVMs guards against a mark that is registered twice when its caller sends it
// through all VMs at once with one idempotency key.
func TestMarkSentThroughAllVMs(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	for m := range 10 {
		var wg sync.WaitGroup
		for _, v := range cl.vms() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, _ = c.mark(v, fmt.Sprintf("mark-%d", m), map[string]any{"trainee": m})
			}()
		}
		wg.Wait()
		joined, err := c.mark(cl.vms()[m%4], fmt.Sprintf("mark-%d", m), map[string]any{"trainee": m})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, joined, qt.IsTrue)
	}
	c.checkInvariants(false)
}

// TestMarkWhileOwnerIsKilled guards against a mark that is registered again after the VM that had
// authorised it as owner of the shard was killed, and against a retry that gets another outcome than
// the first call.
func TestMarkWhileOwnerIsKilled(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	var wg sync.WaitGroup
	for m := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for try := range 4 {
				v := cl.vms()[1+(m+try)%3]
				if _, err := c.mark(v, fmt.Sprintf("dying-%d", m), map[string]any{"dying": m}); err == nil {
					return
				}
				time.Sleep(time.Second)
			}
		}()
		time.Sleep(20 * time.Millisecond)
		if m == 20 {
			cl.vms()[0].kill()
		}
	}
	wg.Wait()
	c.checkInvariants(false)
}

// TestServiceKilledWithCallsInFlight guards against a retry of non-idempotent calls that were in
// flight when the service was killed: their outcome is unknown.
func TestServiceKilledWithCallsInFlight(t *testing.T) {
	t.Parallel()
	cfg := twoDataCentres()
	cfg.recordsArgs = []string{"-work", "400ms"}
	cl := newCluster(t, cfg)
	c := newCaller(t, cl)
	c.setUp()
	go func() {
		time.Sleep(500 * time.Millisecond)
		cl.dcs[0].records.kill()
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
			_, _ = c.mark(cl.vms()[m%4], key, map[string]any{"service": m})
		}()
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	c.checkInvariants(false)
}

// TestMarkDuringLogOutage guards against a mark with an idempotency key that runs although its start
// cannot be recorded. It must be refused as not run; a mark without a key must still be registered.
func TestMarkDuringLogOutage(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	setFaults(t, cl.log.address, map[string]any{"outage": true})
	time.Sleep(9 * time.Second) // a poll of up to 2 s may still succeed; the log counts as unavailable 5 s after that
	_, err := c.mark(cl.vms()[0], "outage", map[string]any{"outage": 1})
	refusal, ok := err.(*refusalBody)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, refusal.Ran, qt.Equals, cs.RanNotRun, qt.Commentf("%v", refusal))
	_, err = c.mark(cl.vms()[1], "", map[string]any{"outage": 2})
	qt.Assert(t, err, qt.IsNil)
	setFaults(t, cl.log.address, map[string]any{"outage": false})
	cl.eventually(20*time.Second, "mark registered after the outage", func() bool {
		_, err := c.mark(cl.vms()[0], "outage", map[string]any{"outage": 1})
		return err == nil
	})
	c.checkInvariants(false)
}

// TestMarkWithLostAppendResponses guards against a mark that runs twice when the log has recorded its
// start but the response to the append was lost.
func TestMarkWithLostAppendResponses(t *testing.T) {
	t.Parallel()
	cfg := twoDataCentres()
	cfg.logArgs = []string{"-lose-rate", "0.3"}
	cl := newCluster(t, cfg)
	c := newCaller(t, cl)
	c.setUp()
	for m := range 12 {
		key := fmt.Sprintf("lost-%d", m)
		_, err := c.mark(cl.vms()[m%4], key, map[string]any{"lost": m})
		qt.Assert(t, err, qt.IsNil)
		joined, err := c.mark(cl.vms()[(m+1)%4], key, map[string]any{"lost": m})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, joined, qt.IsTrue)
	}
	c.checkInvariants(false)
}

// TestNonIdempotentItems guards against non-idempotent items that run again after the owner of their
// job was killed: those in flight must end as unknown or with the outcome of their only run.
func TestNonIdempotentItems(t *testing.T) {
	t.Parallel()
	cfg := twoDataCentres()
	cfg.recordsArgs = []string{"-work", "60ms"}
	cl := newCluster(t, cfg)
	c := newCaller(t, cl)
	c.setUp()
	j := &batchJob{key: "marks", id: cs.NewJobID("verein", "marks")}
	for i := range 150 {
		body := fmt.Sprintf(`{"item":%d}`, i)
		h := cs.HashTarget(cs.ServiceCall{Service: recordsService, Method: markMethod, Body: []byte(body)})
		j.items = append(j.items, map[string]any{"service": recordsService, "method": markMethod, "body": map[string]any{"item": i}, "nonIdempotent": true})
		j.hashes, j.want = append(j.hashes, h), append(j.want, "")
		c.nonIdempotent[h] = true
	}
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, other := cl.owner(j)
	time.Sleep(400 * time.Millisecond)
	owner.kill()
	results := c.waitFinished(other, j, 60*time.Second)
	counts := map[cs.ItemState]int{}
	for _, r := range results {
		counts[r.State]++
	}
	t.Logf("number of items by state: %v", counts)
	qt.Assert(t, counts[cs.ItemDone]+counts[cs.ItemUnknown], qt.Equals, len(j.items))
	c.checkInvariants(false)
}
