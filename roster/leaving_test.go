package roster_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/roster"
)

const (
	// contactTime is how long after the end of a fault on its links a VM must comply with the platform's
	// time bounds again (contact_ms).
	contactTime = 3 * cs.Second
	// drainTime is how long a runner may get requests after the store has acknowledged that it leaves
	// (drain_ms).
	drainTime = 2 * cs.Second
	// reportStep is the time between two exchanges of reports.
	reportStep = 100 * cs.Millisecond
)

// readRunners lets a VM apply a read of the registrations.
func readRunners(t *gateway.Tables, now cs.Instant, changes ...gateway.RunnerChange) {
	runSystem(t, now, func(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
		roster.Feeds(t, now, out)
		roster.Runners(t, now, out)
	}, gateway.RunnersRead{Changes: changes}, gateway.FeedRead{Feed: gateway.FeedRunners, Loaded: true, AsOf: now})
}

// failRead lets a VM apply a failed read of the registrations.
func failRead(t *gateway.Tables, now cs.Instant) {
	runSystem(t, now, roster.Feeds, gateway.FeedFailed{Feed: gateway.FeedRunners, Error: "no data received within the time limit"})
}

// exchangeUntil lets two VMs exchange reports and apply their registrations until an instant.
func exchangeUntil(a, b *gateway.Tables, from, until cs.Instant) {
	for now := from; now <= until; now = now.Add(reportStep) {
		exchange(a, b, now)
		runSystem(a, now, roster.Runners)
		runSystem(b, now, roster.Runners)
	}
	runSystem(a, until, roster.Runners)
}

// isUsable reports whether the VM may send a new request to runner "r".
func isUsable(t *gateway.Tables, now cs.Instant) bool {
	r := t.Runners.Get("r")
	return r != nil && r.Usable(now)
}

// Guards against a VM that was cut off from the store, reads after its return that a runner is gone, and still sends
// requests to it when it must comply with the bounds again, although its peers read the store throughout.
func TestVMThatReturnsDoesNotUseRunnerThatHasLeft(t *testing.T) {
	c := qt.New(t)
	a, b := newTables("a"), newTables("b")
	readRunners(a, startTime)
	readRunners(b, startTime)
	failRead(a, startTime.Add(2*cs.Second))
	left := startTime.Add(12 * cs.Second)
	readRunners(b, left, gateway.RunnerChange{ID: "r"})
	c.Assert(isUsable(b, left), qt.IsFalse)

	back := left.Add(472 * cs.Millisecond)
	firstRead := back.Add(534 * cs.Millisecond)
	exchangeUntil(a, b, back, firstRead)
	readRunners(a, firstRead, gateway.RunnerChange{ID: "r"})
	exchangeUntil(a, b, firstRead, back.Add(contactTime))

	c.Assert(a.Peers.Get("b"), qt.IsNotNil)
	c.Assert(isUsable(a, back.Add(contactTime)), qt.IsFalse)
}

// Guards against a single failed read, while the store is up, that keeps a runner in use for longer than it may get
// requests after its registration was removed.
func TestRunnerIsNotUsedAfterSingleFailedRead(t *testing.T) {
	c := qt.New(t)
	a, b := newTables("a"), newTables("b")
	readRunners(a, startTime)
	readRunners(b, startTime)
	failed := startTime.Add(7700 * cs.Millisecond)
	failRead(a, failed)
	readRunners(a, failed.Add(160*cs.Millisecond))

	left := failed.Add(300 * cs.Millisecond)
	readRunners(b, left, gateway.RunnerChange{ID: "r"})
	readRunners(a, left, gateway.RunnerChange{ID: "r"})
	exchangeUntil(a, b, left, left.Add(drainTime))

	c.Assert(isUsable(b, left.Add(drainTime)), qt.IsFalse)
	c.Assert(isUsable(a, left.Add(drainTime)), qt.IsFalse)
}

// Guards against a VM that still sends requests to a draining runner when drain_ms has passed, since its own read of
// the registrations is late, although a peer that reports to it has read that the runner leaves.
func TestPeersTellOfRunnerThatLeaves(t *testing.T) {
	c := qt.New(t)
	a, b := newTables("a"), newTables("b")
	readRunners(a, startTime)
	readRunners(b, startTime)
	spec := b.Runners.Get("r").Spec
	spec.Leaving = true
	left := startTime.Add(cs.Second)
	readRunners(b, left, gateway.RunnerChange{ID: "r", Runner: &spec})
	exchangeUntil(a, b, left, left.Add(drainTime))

	c.Assert(a.Peers.Get("b"), qt.IsNotNil)
	c.Assert(isUsable(b, left.Add(drainTime)), qt.IsFalse)
	c.Assert(isUsable(a, left.Add(drainTime)), qt.IsFalse)
}

// Guards against VMs that drop live runners after an outage of the store, whose registrations expired meanwhile and are
// written again within about two seconds of its return.
func TestRunnersStayInUseAfterOutageOfStore(t *testing.T) {
	c := qt.New(t)
	a, b := newTables("a"), newTables("b")
	readRunners(a, startTime)
	readRunners(b, startTime)
	failed := startTime.Add(2 * cs.Second)
	failRead(a, failed)
	failRead(b, failed)
	back := failed.Add(6 * cs.Second)
	exchangeUntil(a, b, failed, back)
	readRunners(a, back, gateway.RunnerChange{ID: "r"})
	readRunners(b, back, gateway.RunnerChange{ID: "r"})
	exchangeUntil(a, b, back, back.Add(1900*cs.Millisecond))

	c.Assert(isUsable(a, back.Add(1900*cs.Millisecond)), qt.IsTrue)
	c.Assert(isUsable(b, back.Add(1900*cs.Millisecond)), qt.IsTrue)
}
