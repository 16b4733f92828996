package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// TestRetriesOnlyWhenSafe guards against a second run of a request that must not be repeated, and
// against reporting "not run" for a request that may have run.
func TestRetriesOnlyWhenSafe(t *testing.T) {
	for _, c := range []struct {
		name          string
		nonIdempotent bool
		results       []fleet.RunResult
		retried       bool
		ran           cs.Ran
	}{
		{"non-idempotent, sent", true, []fleet.RunResult{fleet.RunInterrupted{Sent: true}}, false, cs.RanUnknown},
		{"non-idempotent, not sent", true, []fleet.RunResult{fleet.RunInterrupted{}}, true, 0},
		{"non-idempotent, not run", true, []fleet.RunResult{fleet.RunRejected{NotRun: true}}, true, 0},
		{"non-idempotent, failed", true, []fleet.RunResult{fleet.RunRejected{}}, false, cs.RanFailed},
		{"idempotent, stream broken", false, []fleet.RunResult{fleet.RunInterrupted{Sent: true, Forwarded: true}}, true, 0},
		{"invalid and not run", false, []fleet.RunResult{fleet.RunRejected{Invalid: true, NotRun: true}}, false, cs.RanNotRun},
		{"invalid after an unknown run", false, []fleet.RunResult{
			fleet.RunInterrupted{Sent: true}, fleet.RunRejected{Invalid: true, NotRun: true},
		}, false, cs.RanUnknown},
	} {
		tb, r := newTables(3), newRequest("q")
		r.NonIdempotent = c.nonIdempotent
		now := testStart
		list := runTick(tb, now, fleet.RequestArrived{Request: r})
		for i, res := range c.results {
			qt.Assert(t, actionsOf[fleet.Dispatch](list), qt.HasLen, 1, qt.Commentf(c.name))
			list = runTick(tb, now, fleet.RequestEnded{ID: "q", Attempt: cs.Attempt(i + 1), Result: res})
			now = now.Add(maxBackoff)
			list = append(list, runTick(tb, now)...)
		}
		finish := actionsOf[fleet.Finish](list)
		qt.Check(t, len(actionsOf[fleet.Dispatch](list)) == 1, qt.Equals, c.retried, qt.Commentf(c.name))
		qt.Assert(t, len(finish) == 0, qt.Equals, c.retried, qt.Commentf(c.name))
		if !c.retried {
			qt.Check(t, finish[0].Refusal.Ran, qt.Equals, c.ran, qt.Commentf(c.name))
			qt.Check(t, tb.Tenants.Len(), qt.Equals, 0)
		}
	}
}

// TestHedgeFirstAnswerWins guards against a request that waits for a hung runner, against a second
// hedge, and against the losing run continuing.
func TestHedgeFirstAnswerWins(t *testing.T) {
	tb := newTables(3)
	runTick(tb, testStart, fleet.RequestArrived{Request: newRequest("q")})
	now := testStart.Add(tb.Config.FirstToken)
	hedge := actionsOf[fleet.Dispatch](runTick(tb, now))
	qt.Assert(t, hedge, qt.HasLen, 1)
	qt.Check(t, hedge[0].Hedge, qt.IsTrue)
	qt.Check(t, actionsOf[fleet.Dispatch](runTick(tb, now.Add(cs.Second))), qt.HasLen, 0)
	cancelled := actionsOf[fleet.CancelRun](runTick(tb, now, fleet.RequestFirstToken{ID: "q", Attempt: 2}))
	qt.Check(t, cancelled, qt.DeepEquals, []fleet.CancelRun{{ID: "q", Attempt: 1}})
	remaining := actionsOf[fleet.CancelRun](runTick(tb, now, fleet.CallerDisconnected{ID: "q"}))
	qt.Check(t, remaining, qt.DeepEquals, []fleet.CancelRun{{ID: "q", Attempt: 2}})
	for id, r := range tb.Runners.All() {
		qt.Check(t, r.Online, qt.Equals, cs.Slots(0), qt.Commentf("%s", id))
	}
}

// TestDispatchSkipsUnusableRunners guards against dispatches to runners that are down, leaving,
// ejected or full of online requests, and against requests that wait for a slot held by batch.
func TestDispatchSkipsUnusableRunners(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*fleet.Runner)
		want   int
	}{
		"down":                             {func(r *fleet.Runner) { r.DownSince = testStart }, 0},
		"leaving":                          {func(r *fleet.Runner) { r.Report.Leaving = true }, 0},
		"ejected":                          {func(r *fleet.Runner) { r.EjectedUntil = testStart + 1 }, 0},
		"full of online requests of peers": {func(r *fleet.Runner) { r.PeerOnline = 8 + maxRunnerQueue }, 0},
		"full of batch":                    {func(r *fleet.Runner) { r.Report.Running = 8 }, 1},
	} {
		tb := newTables(1)
		c.change(tb.Runners.Get("r0"))
		list := runTick(tb, testStart, fleet.RequestArrived{Request: newRequest("q")})
		qt.Check(t, actionsOf[fleet.Dispatch](list), qt.HasLen, c.want, qt.Commentf(name))
		for _, s := range actionsOf[fleet.Send](list) {
			qt.Check(t, s, qt.Equals, fleet.Send{To: "vm1", Message: cs.Preempt{Runner: "r0", Slots: 1}})
		}
		qt.Check(t, actionsOf[fleet.Send](list), qt.HasLen, c.want, qt.Commentf(name))
	}
}

// TestNoRunnerLeft guards against a caller that waits without end, and against a crash of the VM,
// if all runners are down or the request may not run on any.
func TestNoRunnerLeft(t *testing.T) {
	for name, change := range map[string]func(*fleet.Tables){
		"down": func(t *fleet.Tables) { t.Runners.Get("r0").DownSince = testStart },
		"suspect": func(t *fleet.Tables) {
			s := fleet.Suspect{Crashes: 1, Runners: []cs.RunnerID{"r0"}, Until: testStart + 60_000}
			t.Suspects.Insert(cs.HashTarget(newRequest("q").Target), s)
			t.Runners.Get("r0").DownSince = testStart
		},
	} {
		tb := newTables(1)
		change(tb)
		qt.Assert(t, actionsOf[fleet.Finish](runTick(tb, testStart, fleet.RequestArrived{Request: newRequest("q")})), qt.HasLen, 0, qt.Commentf(name))
		got := actionsOf[fleet.Finish](runTick(tb, testStart.Add(maxWaitingTime)))
		qt.Assert(t, got, qt.HasLen, 1, qt.Commentf(name))
		qt.Check(t, got[0].Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
		qt.Check(t, got[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
	}
}

// TestNotifiesSenderOfEachRequest guards against a batch sender that is not notified of an
// online request because the last load report showed free slots, which batch may have filled since.
func TestNotifiesSenderOfEachRequest(t *testing.T) {
	for _, running := range []cs.Slots{0, 3, 8} {
		tb := newTables(1)
		tb.Runners.Get("r0").Report.Running = running
		sent := actionsOf[fleet.Send](runTick(tb, testStart, fleet.RequestArrived{Request: newRequest("q")}))
		want := []fleet.Send{{To: "vm1", Message: cs.Preempt{Runner: "r0", Slots: 1}}}
		qt.Check(t, sent, qt.DeepEquals, want, qt.Commentf("%d run", running))
	}
}
