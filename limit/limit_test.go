package limit

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const testStart cs.Instant = 1_000_000

// newTables returns a VM that is the batch sender of n runners with the same model and a
// first-token time of 100 ms.
func newTables(n int) *fleet.Tables {
	self := cs.VM{ID: "vm0", DataCentre: "a"}
	t := fleet.New(fleet.DefaultConfig(), self, testStart, 1)
	t.VMs.Insert(self.ID, fleet.VM{VM: self, Live: true})
	for i := range n {
		id := cs.RunnerID(fmt.Sprint("r", i))
		t.Runners.Insert(id, fleet.Runner{
			Runner: cs.Runner{ID: id, Slots: 32}, Sender: "vm0", SenderSince: testStart - 10_000, LimitAt: testStart,
			Report: cs.LoadReport{Loaded: []cs.LoadedModel{{Model: "m"}}}, FirstToken: 100, Samples: 9, SampledAt: testStart,
		})
	}
	return t
}

// TestRetryBudget guards against retries of more than a tenth of the requests, and against an idle
// VM that cannot retry a single request.
func TestRetryBudget(t *testing.T) {
	tb, spent, now := newTables(0), 0, testStart
	qt.Assert(t, TakeRetry(tb, now), qt.IsTrue)
	for range 1000 {
		now = now.Add(10)
		CreditRetryBudget(tb, now)
		if TakeRetry(tb, now) {
			spent++
		}
	}
	qt.Check(t, spent <= 100, qt.IsTrue, qt.Commentf("%d retries of 1000 requests", spent))
	qt.Check(t, spent >= 70, qt.IsTrue, qt.Commentf("%d retries of 1000 requests", spent))
}

// TestEjectsAtMostAThird guards against ejections that leave too few usable runners, and against
// repeated ejections that do not become longer.
func TestEjectsAtMostAThird(t *testing.T) {
	tb := newTables(7)
	var out fleet.Actions
	for _, r := range tb.Runners.All() {
		for range failuresToEject {
			observeInterrupted(tb, r, fleet.RunInterrupted{}, testStart, &out)
		}
	}
	ejected := 0
	for _, r := range tb.Runners.All() {
		if !Usable(r, testStart) {
			ejected++
		}
	}
	qt.Check(t, ejected, qt.Equals, 2)
	r, spans := tb.Runners.Get("r0"), []cs.Span{cs.Second}
	for range 4 {
		now := r.EjectedUntil
		EjectIfOutpaced(tb, r, now, &out)
		spans = append(spans, r.EjectedUntil.Sub(now))
	}
	qt.Check(t, spans, qt.DeepEquals, []cs.Span{cs.Second, 4 * cs.Second, 16 * cs.Second, cs.Minute, cs.Minute})
}

// TestAdaptBatchLimit guards against a batch limit that takes seconds to reach idle capacity, and
// against one that stays high while online requests are slow.
func TestAdaptBatchLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		limit  float64
		change func(*fleet.Runner)
		want   float64
	}{
		{"reaches all slots within a second", 1, func(*fleet.Runner) {}, 32},
		{"new sender", 8, func(r *fleet.Runner) { r.SenderSince = testStart }, 1},
		{"above the target", 10, func(r *fleet.Runner) { r.FirstToken = 1600 }, 7},
		{"above the baseline", 10, func(r *fleet.Runner) { r.BaselineFirstToken = 60 }, 7},
		{"slow sample already counted", 10, func(r *fleet.Runner) { r.FirstToken, r.SlowAt = 1600, testStart }, 32},
		{"outdated sample", 31, func(r *fleet.Runner) { r.FirstToken, r.SampledAt = 1600, testStart-5000 }, 32},
		{"after a preemption", 5, func(r *fleet.Runner) { r.BatchPausedUntil = testStart + 2000 }, 5},
	} {
		tb := newTables(1)
		r := tb.Runners.Get("r0")
		r.BatchLimit = c.limit
		c.change(r)
		var out fleet.Actions
		Adapt(tb, testStart.Add(cs.Second), &out)
		qt.Check(t, r.BatchLimit, qt.Equals, c.want, qt.Commentf(c.name))
	}
}

func BenchmarkAdapt(b *testing.B) {
	for _, n := range []int{12, 100, 400} {
		b.Run(fmt.Sprint("runners=", n), func(b *testing.B) {
			tb := newTables(n)
			var out fleet.Actions
			now := testStart
			for b.Loop() {
				now = now.Add(adaptInterval)
				out.Reset()
				Adapt(tb, now, &out)
			}
		})
	}
}

// TestRunnerThatRejectedWorkAsLeavingIsNotUsed guards against sending new work to a runner that has rejected work since it is
// leaving, after a load report that the runner made before.
func TestRunnerThatRejectedWorkAsLeavingIsNotUsed(t *testing.T) {
	tb := newTables(1)
	var out fleet.Actions
	r := tb.Runners.Get("r0")
	observeRejected(tb, r, fleet.RunRejected{Leaving: true}, testStart, &out)
	qt.Assert(t, Usable(r, testStart), qt.IsFalse)
	observeReport(tb, fleet.LoadReceived{Runner: "r0", Report: cs.LoadReport{At: testStart - 200}}, testStart+100)
	qt.Check(t, Usable(r, testStart+100), qt.IsFalse)
}
