package limit

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.2
	// baseBatch is the number of batch runs up to which a sample counts as one without batch. The
	// limit does not fall below it, so that the base follows when prompts become longer.
	baseBatch cs.Slots = 1
)

// Observe updates the statistics of runners from the events, and ejects outliers.
func Observe(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	if _, fresh := Sending(t, now); fresh {
		countPeers(t)
	}
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.RequestFirstToken:
			if r := runnerOf(t, e.ID, e.Attempt); r != nil {
				Sample(t, r, e.Took, now, out)
			}
		case fleet.RequestEnded:
			observeEnd(t, e, now, out)
		case fleet.ItemRunEnded:
			if run := t.Runs.Get(e.Key); run != nil && run.Attempt == e.Attempt {
				observeItem(t, run.Runner, e.Result, now, out)
			}
		case fleet.LoadReported:
			observeReport(t, e, now)
		case fleet.LoadFailed:
			if r := t.Runners.Get(e.Runner); r != nil && e.Refused {
				markDown(r, now, out)
			}
		default:
		}
	}
}

// runnerOf returns the runner of an attempt that is in flight, or nil.
func runnerOf(t *fleet.Tables, id cs.RequestID, a cs.Attempt) *fleet.Runner {
	q := t.Requests.Get(id)
	if q == nil {
		return nil
	}
	for _, run := range q.Runs {
		if run.Attempt == a {
			return t.Runners.Get(run.Runner)
		}
	}
	return nil
}

func observeEnd(t *fleet.Tables, e fleet.RequestEnded, now cs.Instant, out *fleet.Actions) {
	r := runnerOf(t, e.ID, e.Attempt)
	if r == nil {
		return
	}
	switch x := e.Result.(type) {
	case fleet.RunWhole:
		if t.Requests.Get(e.ID).FirstTokenAt == 0 {
			Sample(t, r, x.FirstToken, now, out)
		}
		r.Took = average(r.Took, float64(x.Took))
		observeGap(r, x)
		answered(r, x.Load, cs.Online, now)
	case fleet.RunBroken:
		observeBroken(t, r, x, now, out)
	case fleet.RunRejected:
		observeRejected(t, r, x, now, out)
	case fleet.RunCancelled:
	}
}

// observeItem takes the runner's load and failures from a batch run. Its first token does not
// count: the averages are those of online requests.
func observeItem(t *fleet.Tables, id cs.RunnerID, res fleet.RunResult, now cs.Instant, out *fleet.Actions) {
	r := t.Runners.Get(id)
	if r == nil {
		return
	}
	switch x := res.(type) {
	case fleet.RunWhole:
		observeGap(r, x)
		answered(r, x.Load, cs.Batch, now)
	case fleet.RunBroken:
		observeBroken(t, r, x, now, out)
	case fleet.RunRejected:
		observeRejected(t, r, x, now, out)
	case fleet.RunCancelled:
	}
}

func observeGap(r *fleet.Runner, x fleet.RunWhole) {
	if x.Tokens < 2 {
		return
	}
	r.Gap = average(r.Gap, float64(x.Gap))
	if r.Batch <= baseBatch {
		r.BaseGap = average(r.BaseGap, float64(x.Gap))
	}
}

// answered notes the load that an answer brought, which no longer contains the run that has ended,
// while the row still does.
func answered(r *fleet.Runner, l cs.Load, class cs.Class, now cs.Instant) {
	r.Failures = 0
	r.DownSince = 0
	if l.Slots == 0 {
		return
	}
	r.Answer, r.AnswerAt = l, now
	renewed(r, 0, now)
	if class == cs.Batch {
		r.LoadBatch--
	} else {
		r.LoadOnline--
	}
}

func observeBroken(t *fleet.Tables, r *fleet.Runner, x fleet.RunBroken, now cs.Instant, out *fleet.Actions) {
	if x.Crashed {
		markDown(r, now, out)
	}
	failed(t, r, now, out)
}

// failed counts a failure. A runner on trial after an ejection is ejected again at once.
func failed(t *fleet.Tables, r *fleet.Runner, now cs.Instant, out *fleet.Actions) {
	r.Failures++
	if r.Failures >= ejectFailures || r.Ejections > 0 {
		eject(t, r, now, out)
	}
}

func observeRejected(t *fleet.Tables, r *fleet.Runner, x fleet.RunRejected, now cs.Instant, out *fleet.Actions) {
	if x.Leaving {
		r.Report.Leaving = true
		return
	}
	if x.Invalid {
		return
	}
	failed(t, r, now, out)
}

func observeReport(t *fleet.Tables, e fleet.LoadReported, now cs.Instant) {
	r := t.Runners.Get(e.Runner)
	if r == nil {
		return
	}
	lag := now.Sub(e.Report.At)
	if lag < 0 || lag > longestDelay {
		lag = reportDelay // the runner's clock differs from this one
	}
	r.Report, r.ReportAt, r.ReportLag = e.Report, now, lag
	if now.Sub(r.AnswerAt) >= lag {
		renewed(r, lag, now)
	}
	r.DownSince = 0
}

func markDown(r *fleet.Runner, now cs.Instant, out *fleet.Actions) {
	if r.DownSince == 0 {
		r.DownSince = now
		out.Note("runner", "down", fleet.Field{Name: "runner", Value: r.ID})
	}
}

// countPeers sums up the online requests of other VMs by runner from their last heartbeats.
func countPeers(t *fleet.Tables) {
	for _, r := range t.Runners.All() {
		r.Peers = 0
	}
	for id, vm := range t.VMs.All() {
		if id == t.Self.ID || !vm.Live {
			continue
		}
		for _, c := range vm.Beat.Online {
			if r := t.Runners.Get(c.Runner); r != nil {
				r.Peers += c.Count
			}
		}
	}
}

// average moves an average towards a sample; an average of 0 has no sample yet.
func average(avg, x float64) float64 {
	if avg == 0 {
		return x
	}
	return avg + smoothing*(x-avg)
}
