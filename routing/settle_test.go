package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// TestSettle guards against a second run of a request that must not be repeated, and against a "not
// run" that is not true.
func TestSettle(t *testing.T) {
	for _, c := range []struct {
		name          string
		nonIdempotent bool
		results       []fleet.RunResult
		retried       bool
		ran           cs.Ran
	}{
		{"non-idempotent, sent", true, []fleet.RunResult{fleet.RunBroken{Sent: true}}, false, cs.RanUnknown},
		{"non-idempotent, not sent", true, []fleet.RunResult{fleet.RunBroken{}}, true, 0},
		{"non-idempotent, not run", true, []fleet.RunResult{fleet.RunRejected{NotRun: true}}, true, 0},
		{"non-idempotent, failed", true, []fleet.RunResult{fleet.RunRejected{}}, false, cs.RanFailed},
		{"idempotent, stream broken", false, []fleet.RunResult{fleet.RunBroken{Sent: true, Passed: true}}, true, 0},
		{"invalid and not run", false, []fleet.RunResult{fleet.RunRejected{Invalid: true, NotRun: true}}, false, cs.RanNotRun},
		{"invalid after an unknown run", false, []fleet.RunResult{
			fleet.RunBroken{Sent: true}, fleet.RunRejected{Invalid: true, NotRun: true},
		}, false, cs.RanUnknown},
	} {
		tb, r := tables(3), request("q")
		r.NonIdempotent = c.nonIdempotent
		now := at
		list := step(tb, now, fleet.RequestArrived{Request: r})
		for i, res := range c.results {
			qt.Assert(t, find[fleet.Dispatch](list), qt.HasLen, 1, qt.Commentf(c.name))
			list = step(tb, now, fleet.RequestEnded{ID: "q", Attempt: cs.Attempt(i + 1), Result: res})
			now = now.Add(backoffLongest)
			list = append(list, step(tb, now)...)
		}
		finish := find[fleet.Finish](list)
		qt.Check(t, len(find[fleet.Dispatch](list)) == 1, qt.Equals, c.retried, qt.Commentf(c.name))
		qt.Assert(t, len(finish) == 0, qt.Equals, c.retried, qt.Commentf(c.name))
		if !c.retried {
			qt.Check(t, finish[0].Refusal.Ran, qt.Equals, c.ran, qt.Commentf(c.name))
			qt.Check(t, tb.Tenants.Len(), qt.Equals, 0)
		}
	}
}

// TestHedge guards against a hung runner that holds a request, against two hedges, and against a
// losing run that goes on.
func TestHedge(t *testing.T) {
	tb := tables(3)
	step(tb, at, fleet.RequestArrived{Request: request("q")})
	now := at.Add(tb.Config.FirstToken)
	hedge := find[fleet.Dispatch](step(tb, now))
	qt.Assert(t, hedge, qt.HasLen, 1)
	qt.Check(t, hedge[0].Hedge, qt.IsTrue)
	qt.Check(t, find[fleet.Dispatch](step(tb, now.Add(cs.Second))), qt.HasLen, 0)
	lost := find[fleet.CancelRun](step(tb, now, fleet.RequestFirstToken{ID: "q", Attempt: 2}))
	qt.Check(t, lost, qt.DeepEquals, []fleet.CancelRun{{ID: "q", Attempt: 1}})
	gone := find[fleet.CancelRun](step(tb, now, fleet.CallerGone{ID: "q"}))
	qt.Check(t, gone, qt.DeepEquals, []fleet.CancelRun{{ID: "q", Attempt: 2}})
	for id, r := range tb.Runners.All() {
		qt.Check(t, r.Online, qt.Equals, cs.Slots(0), qt.Commentf("%s", id))
	}
}

// TestDispatchSkips guards against work for runners that are down, leaving, ejected or full, and
// against requests that wait for slots that batch holds.
func TestDispatchSkips(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*fleet.Runner)
		want   int
	}{
		"down":          {func(r *fleet.Runner) { r.DownSince = at }, 0},
		"leaving":       {func(r *fleet.Runner) { r.Report.Leaving = true }, 0},
		"ejected":       {func(r *fleet.Runner) { r.EjectedUntil = at + 1 }, 0},
		"full of peers": {func(r *fleet.Runner) { r.Peers = 8 + queueBound }, 0},
		"full of batch": {func(r *fleet.Runner) { r.Report.Running = 8 }, 1},
	} {
		tb := tables(1)
		c.change(tb.Runners.Get("r0"))
		list := step(tb, at, fleet.RequestArrived{Request: request("q")})
		qt.Check(t, find[fleet.Dispatch](list), qt.HasLen, c.want, qt.Commentf(name))
		for _, s := range find[fleet.Send](list) {
			qt.Check(t, s, qt.Equals, fleet.Send{To: "vm1", Message: cs.Yield{Runner: "r0", Slots: 1}})
		}
		qt.Check(t, find[fleet.Send](list), qt.HasLen, c.want, qt.Commentf(name))
	}
}

// TestNoRunnerLeft guards against a caller that waits for ever, and against a crash of the VM, when
// all runners are down or the request may not run on any.
func TestNoRunnerLeft(t *testing.T) {
	for name, change := range map[string]func(*fleet.Tables){
		"down": func(t *fleet.Tables) { t.Runners.Get("r0").DownSince = at },
		"suspect": func(t *fleet.Tables) {
			s := fleet.Suspect{Crashes: 1, Runners: []cs.RunnerID{"r0"}, Until: at + 60_000}
			t.Suspects.Insert(cs.HashTarget(request("q").Target), s)
			t.Runners.Get("r0").DownSince = at
		},
	} {
		tb := tables(1)
		change(tb)
		qt.Assert(t, find[fleet.Finish](step(tb, at, fleet.RequestArrived{Request: request("q")})), qt.HasLen, 0, qt.Commentf(name))
		got := find[fleet.Finish](step(tb, at.Add(longestStuck)))
		qt.Assert(t, got, qt.HasLen, 1, qt.Commentf(name))
		qt.Check(t, got[0].Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
		qt.Check(t, got[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
	}
}

// TestClaimsEachRequest guards against a batch sender that does not learn of an online request since
// the last load showed a runner that batch has filled meanwhile.
func TestClaimsEachRequest(t *testing.T) {
	for _, running := range []cs.Slots{0, 3, 8} {
		tb := tables(1)
		tb.Runners.Get("r0").Report.Running = running
		sent := find[fleet.Send](step(tb, at, fleet.RequestArrived{Request: request("q")}))
		want := []fleet.Send{{To: "vm1", Message: cs.Yield{Runner: "r0", Slots: 1}}}
		qt.Check(t, sent, qt.DeepEquals, want, qt.Commentf("%d run", running))
	}
}
