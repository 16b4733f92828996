package job

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
)

func owned(t *testing.T, n int) *world {
	w := newWorld(n)
	qt.Assert(t, w.until(30*cs.Second, func() bool { return w.owner() != nil }), qt.IsTrue)
	return w
}

func accepted(t *testing.T, w *world, m cs.SubmitJob) {
	w.ask(0, 1, m)
	qt.Assert(t, w.until(5*cs.Second, func() bool { return w.answers[1] != nil }), qt.IsTrue)
	_, ok := w.answers[1].(cs.JobAnswer)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", w.answers[1]))
}

// TestJobRunsToItsEnd guards against a plain job that is lost between submission and results.
func TestJobRunsToItsEnd(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		w := owned(t, 3)
		m := job("a", 40, nonIdempotent)
		accepted(t, w, m)
		qt.Assert(t, w.finish(m.Job.ID, 30*cs.Second), qt.IsTrue)
		w.ask(1, 2, cs.GetResults{Job: m.Job.ID, Tenant: "t"})
		w.until(3*cs.Second, func() bool { return w.answers[2] != nil })
		a := w.answers[2].(cs.ResultsAnswer)
		qt.Assert(t, a.State, qt.Equals, cs.JobFinished)
		qt.Assert(t, len(a.Results), qt.Equals, 40)
		for _, r := range a.Results {
			qt.Assert(t, r, qt.DeepEquals, cs.ItemResult{Index: r.Index, State: cs.ItemDone, Output: "ok", Attempts: 1})
		}
		qt.Assert(t, facts(w.owner().t), qt.DeepEquals, facts(w.reader()))
	}
}
