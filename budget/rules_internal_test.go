package budget

import (
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
)

// ruleTest runs the rules on tables with small limits.
type ruleTest struct {
	*qt.C
	t   *Tables
	now cs.Instant
	out Actions
}

func newRuleTest(t *testing.T) *ruleTest {
	l := Limits{Window: DefaultWindow, ProgressBytes: DefaultProgressBytes}
	l.Shares = [shareCount]cs.Bytes{Bodies: 8 << 20, Headers: 1 << 20, Responses: 4 << 20}
	l.Connections = [poolCount]int{Callers: 4, Checks: 2}
	return &ruleTest{C: qt.New(t), t: newTables(l), now: 1_000_000}
}

// open adds a connection of an address in a phase.
func (r *ruleTest) open(address string, p Phase) *Holder {
	h := &Holder{Pool: Callers, Address: netip.MustParseAddr(address)}
	h.Enter(p, r.now)
	r.t.add(h)
	return h
}

// take takes bytes of a share for a connection.
func (r *ruleTest) take(h *Holder, s Share, n cs.Bytes) bool {
	_, ok := r.t.reserve(h, s, n, n, r.now, &r.out)
	return ok
}

// stopped returns the connections that the rules have stopped since the last call.
func (r *ruleTest) stopped() []*Holder {
	var stopped []*Holder
	for _, a := range r.out {
		if a, ok := a.(StopConnection); ok {
			stopped = append(stopped, a.Holder)
		}
	}
	r.out = nil
	return stopped
}

// checkStopped checks which connections the rules have stopped since the last call.
func (r *ruleTest) checkStopped(want ...*Holder) {
	stopped := r.stopped()
	r.Check(slices.Equal(stopped, want), qt.IsTrue, qt.Commentf("%d stopped, want %d", len(stopped), len(want)))
}

// Guards against a share that is exceeded, or stays taken by clients without progress: what holds most for longest is stopped,
// only as much as is needed, and neither a client with progress nor one that the VM makes wait.
func TestRoomIsMadeByWhatHoldsMostForLongest(t *testing.T) {
	r := newRuleTest(t)
	small, large, waiting := r.open("10.0.0.1", PhaseBody), r.open("10.0.0.2", PhaseBody), r.open("10.0.0.3", PhaseServing)
	r.Assert(r.take(small, Bodies, 1<<20), qt.IsTrue)
	r.Assert(r.take(large, Bodies, 2<<20), qt.IsTrue)
	r.Assert(r.take(waiting, Bodies, 3<<20), qt.IsTrue)
	r.now += 10 * cs.Instant(cs.Second)
	sound := r.open("10.0.0.4", PhaseBody)
	r.Assert(r.take(sound, Bodies, 1<<20), qt.IsTrue)
	asking := r.open("10.0.0.5", PhaseBody)
	r.Check(r.take(asking, Bodies, 1<<20), qt.IsFalse)
	r.Check(r.t.used[Bodies], qt.Equals, cs.Bytes(7<<20))
	r.checkStopped(large)
	r.Check(r.take(asking, Bodies, 1<<20), qt.IsFalse, qt.Commentf("nothing was given back yet"))
	r.checkStopped()
	r.t.release(large, Bodies, 2<<20)
	r.Check(r.take(asking, Bodies, 1<<20), qt.IsTrue)
}

// Guards against large bodies that keep ordinary ones from being read.
func TestSmallBodiesFindRoomBesideLargeOnes(t *testing.T) {
	r := newRuleTest(t)
	large, small := r.open("10.0.0.1", PhaseServing), r.open("10.0.0.2", PhaseBody)
	r.Check(r.take(large, Bodies, 7<<20), qt.IsTrue)
	r.Check(r.take(large, Bodies, 128<<10), qt.IsFalse)
	r.Check(r.take(small, Bodies, smallBytes), qt.IsTrue)
}

// Guards against a single request within the limits of the configuration that a small VM never serves.
func TestOneHolderMayTakeTheWholeShare(t *testing.T) {
	r := newRuleTest(t)
	h := r.open("10.0.0.1", PhaseBody)
	taken, ok := r.t.reserve(h, Bodies, 100<<20, 100<<20, r.now, &r.out)
	r.Check(ok, qt.IsTrue)
	r.t.release(h, Bodies, taken)
	r.Check(r.t.used[Bodies], qt.Equals, cs.Bytes(0))
}

// Guards against a full pool that keeps ordinary callers out, and against connections of served requests that are closed for
// new ones: connections without a whole header come first, then those without progress, then idle ones.
func TestOrderInWhichConnectionsAreClosed(t *testing.T) {
	r := newRuleTest(t)
	idle, body, header := r.open("10.0.0.1", PhaseIdle), r.open("10.0.0.2", PhaseBody), r.open("10.0.0.3", PhaseHeader)
	r.open("10.0.0.4", PhaseServing)
	r.Check(r.t.admit(&Holder{Pool: Callers, Address: netip.MustParseAddr("10.0.0.5")}, r.now, &r.out), qt.IsFalse, qt.Commentf("none has stalled"))
	r.now += 2 * cs.Instant(cs.Second)
	for _, next := range []*Holder{header, body, idle} {
		h := &Holder{Pool: Callers, Address: netip.MustParseAddr("10.0.0.5")}
		h.Enter(PhaseServing, r.now)
		r.Check(r.t.admit(h, r.now, &r.out), qt.IsTrue)
		r.checkStopped(next)
		r.t.remove(next)
	}
	r.Check(r.t.admit(&Holder{Pool: Callers}, r.now, &r.out), qt.IsFalse, qt.Commentf("all are served"))
	r.Check(r.t.pools[Callers].open, qt.Equals, 4)
	r.Check(r.t.pools[Callers].addresses, qt.HasLen, 2)
}

// Guards against one client address that displaces the idle connections of all others.
func TestAddressWithMostConnectionsDisplacesItsOwn(t *testing.T) {
	r := newRuleTest(t)
	r.open("10.0.0.1", PhaseIdle)
	own := r.open("10.0.0.2", PhaseIdle)
	r.open("10.0.0.2", PhaseServing)
	r.open("10.0.0.2", PhaseServing)
	r.now += 60 * cs.Instant(cs.Second)
	own.Enter(PhaseIdle, r.now-2*cs.Instant(cs.Second))
	r.Check(r.t.admit(&Holder{Pool: Callers, Address: netip.MustParseAddr("10.0.0.2")}, r.now, &r.out), qt.IsTrue)
	r.checkStopped(own)
}

// Guards against bodies that trickle in and are never ended, and against slow but sound ones that are.
func TestProgressIsJudgedOverWindow(t *testing.T) {
	r := newRuleTest(t)
	trickling, sound, serving := r.open("10.0.0.1", PhaseBody), r.open("10.0.0.2", PhaseBody), r.open("10.0.0.3", PhaseServing)
	for range 24 {
		r.now += cs.Instant(cs.Second)
		trickling.Received(10, DefaultProgressBytes, r.now)
		sound.Received(200, DefaultProgressBytes, r.now)
		EndStalled(r.t, r.now, &r.out)
	}
	r.checkStopped(trickling)
	r.Check(sound.Stopped() || serving.Stopped(), qt.IsFalse)
}

// reader is the connection of a client that reads as a test says.
type reader struct{ acknowledged cs.Bytes }

func (*reader) Stop(Phase) {}

func (c *reader) Acknowledged() cs.Bytes { return c.acknowledged }

// Guards against responses that are held for readers that have stopped, and against slow but sound readers that are cut off.
func TestProgressOfReadersIsJudgedOverWindow(t *testing.T) {
	r := newRuleTest(t)
	stalled, sound := r.open("10.0.0.1", PhaseServing), r.open("10.0.0.2", PhaseServing)
	slow := &reader{}
	stalled.Connection, sound.Connection = &reader{}, slow
	for _, h := range []*Holder{stalled, sound} {
		h.BeginWrite(r.now)
	}
	for range 24 {
		r.now += cs.Instant(cs.Second)
		slow.acknowledged += 200
		observeReaders(r.t, r.now)
		EndStalled(r.t, r.now, &r.out)
	}
	r.checkStopped(stalled)
	sound.EndWrite()
	r.Check(sound.Phase(), qt.Equals, PhaseServing)
}

// Guards against log lines for each refusal: the beginning and the end of a limit are told once.
func TestChangesOfLimitsAreToldOnce(t *testing.T) {
	r := newRuleTest(t)
	h := r.open("10.0.0.1", PhaseServing)
	r.Assert(r.take(h, Headers, 1<<20), qt.IsTrue)
	for range 5 {
		r.Assert(r.take(h, Headers, 1<<20), qt.IsFalse)
	}
	r.now += cs.Instant(limitedTime + cs.Second)
	EndStalled(r.t, r.now, &r.out)
	EndStalled(r.t, r.now, &r.out)
	r.Check(r.out, qt.DeepEquals, Actions{ShareChanged{Share: Headers, Limited: true}, ShareChanged{Share: Headers}})
}
