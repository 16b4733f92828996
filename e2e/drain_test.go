package e2e

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDrainUnderLoad guards against a graceful shutdown that interrupts a request or loses an item.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("drained", 200, 20)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, other := cl.owner(j)
	var wg sync.WaitGroup
	errs := make(chan error, 40)
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := c.stream(owner, "hebewerk", "long question "+string(rune('a'+i)), 100)
			errs <- err
		}()
	}
	time.Sleep(100 * time.Millisecond)
	took, err := owner.terminate(40 * time.Second)
	qt.Assert(t, err, qt.IsNil)
	t.Logf("drain took %v", took)
	wg.Wait()
	close(errs)
	for err := range errs {
		qt.Check(t, err, qt.IsNil)
	}
	assertAllDone(t, c.waitFinished(other, j, 60*time.Second), j)
	c.checkInvariants(false)
}

// TestDrainHandsOverShards guards against a drained VM whose shards stay without an owner until its
// lease expires.
func TestDrainHandsOverShards(t *testing.T) {
	t.Parallel()
	cfg := twoDataCentres()
	cfg.control = map[string]any{"lease": "20s"}
	cl := newCluster(t, cfg)
	c := newCaller(t, cl)
	c.setUp()
	j := newJob("handed-over", 400, 20)
	_, err := c.submit(cl.vms()[0], j)
	qt.Assert(t, err, qt.IsNil)
	owner, other := cl.owner(j)
	_, err = owner.terminate(40 * time.Second)
	qt.Assert(t, err, qt.IsNil)
	began := time.Now()
	cl.owner(j)
	took := time.Since(began)
	t.Logf("shard had an owner again %v after the drain", took)
	qt.Assert(t, took < 5*time.Second, qt.IsTrue)
	assertAllDone(t, c.waitFinished(other, j, 60*time.Second), j)
	c.checkInvariants(false)
}
