package limit

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// sampleWeight is the weight of a new sample in an exponential moving average.
	sampleWeight = 0.2
	// maxBaselineBatch is the number of batch runs up to which a sample counts towards the baseline
	// without batch. The batch limit never falls below this number, so the baseline keeps being
	// updated, for example when prompts become longer.
	maxBaselineBatch cs.Slots = 1
)

// Observe updates the statistics of runners from the tick's events and ejects outliers.
func Observe(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	if _, fresh := AssignedRunners(t, now); fresh {
		countPeers(t)
	}
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.RequestFirstToken:
			if r := runnerOfAttempt(t, e.ID, e.Attempt); r != nil {
				RecordFirstToken(t, r, e.Duration, now, out)
			}
		case fleet.RequestEnded:
			observeRequestEnd(t, e, now, out)
		case fleet.ItemRunEnded:
			if run := t.Runs.Get(e.Key); run != nil && run.Attempt == e.Attempt {
				observeItemEnd(t, run.Runner, e.Result, now, out)
			}
		case fleet.LoadReceived:
			observeReport(t, e, now)
		case fleet.LoadPollFailed:
			if r := t.Runners.Get(e.Runner); r != nil && e.Refused {
				markDown(r, now, out)
			}
		default:
		}
	}
}

// runnerOfAttempt returns the runner of a request's in-flight attempt, or nil.
func runnerOfAttempt(t *fleet.Tables, id cs.RequestID, a cs.Attempt) *fleet.Runner {
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

// observeRequestEnd updates a runner from the end of an online request's run.
func observeRequestEnd(t *fleet.Tables, e fleet.RequestEnded, now cs.Instant, out *fleet.Actions) {
	r := runnerOfAttempt(t, e.ID, e.Attempt)
	if r == nil {
		return
	}
	switch x := e.Result.(type) {
	case fleet.RunCompleted:
		if t.Requests.Get(e.ID).FirstTokenAt == 0 {
			RecordFirstToken(t, r, x.FirstToken, now, out)
		}
		r.Duration = updateAverage(r.Duration, float64(x.Duration))
		observeGap(r, x)
		recordResponseLoad(r, x.Load, cs.Online, now)
	case fleet.RunInterrupted:
		observeInterrupted(t, r, x, now, out)
	case fleet.RunRejected:
		observeRejected(t, r, x, now, out)
	case fleet.RunCancelled:
	}
}

// observeItemEnd updates a runner's load and failures from the end of a batch run. The first-token
// time of a batch run is not sampled, since the averages describe online requests.
func observeItemEnd(t *fleet.Tables, id cs.RunnerID, res fleet.RunResult, now cs.Instant, out *fleet.Actions) {
	r := t.Runners.Get(id)
	if r == nil {
		return
	}
	switch x := res.(type) {
	case fleet.RunCompleted:
		observeGap(r, x)
		recordResponseLoad(r, x.Load, cs.Batch, now)
	case fleet.RunInterrupted:
		observeInterrupted(t, r, x, now, out)
	case fleet.RunRejected:
		observeRejected(t, r, x, now, out)
	case fleet.RunCancelled:
	}
}

// observeGap adds the mean time between tokens of a run to the runner's averages.
func observeGap(r *fleet.Runner, x fleet.RunCompleted) {
	if x.Tokens < 2 {
		return
	}
	r.MeanTokenGap = updateAverage(r.MeanTokenGap, float64(x.MeanTokenGap))
	if r.Batch <= maxBaselineBatch {
		r.BaselineTokenGap = updateAverage(r.BaselineTokenGap, float64(x.MeanTokenGap))
	}
}

// recordResponseLoad stores the load that came with the response to a run. That load no longer
// includes the run that has just ended, while the runner's row still counts it.
func recordResponseLoad(r *fleet.Runner, load cs.Load, class cs.Class, now cs.Instant) {
	r.Failures = 0
	r.DownSince = 0
	if load.Slots == 0 {
		return
	}
	r.ResponseLoad, r.ResponseLoadAt = load, now
	rebaseLoad(r, 0, now)
	if class == cs.Batch {
		r.LoadBatch--
	} else {
		r.LoadOnline--
	}
}

func observeInterrupted(t *fleet.Tables, r *fleet.Runner, x fleet.RunInterrupted, now cs.Instant, out *fleet.Actions) {
	if x.Crashed {
		markDown(r, now, out)
	}
	recordFailure(t, r, now, out)
}

// recordFailure counts a failed run. A runner on trial after an ejection is ejected again at once.
func recordFailure(t *fleet.Tables, r *fleet.Runner, now cs.Instant, out *fleet.Actions) {
	r.Failures++
	if r.Failures >= failuresToEject || r.Ejections > 0 {
		eject(t, r, now, out)
	}
}

func observeRejected(t *fleet.Tables, r *fleet.Runner, x fleet.RunRejected, now cs.Instant, out *fleet.Actions) {
	if x.Leaving {
		r.Report.Leaving, r.RejectedAt = true, now
		return
	}
	if x.Invalid {
		return
	}
	recordFailure(t, r, now, out)
}

// observeReport stores a polled load report. The counts that correct the load are rebased to it
// unless the latest response describes a later time.
func observeReport(t *fleet.Tables, e fleet.LoadReceived, now cs.Instant) {
	r := t.Runners.Get(e.Runner)
	if r == nil {
		return
	}
	lag := now.Sub(e.Report.At)
	if lag < 0 || lag > maxReportLag {
		lag = assumedReportLag // the clocks of runner and VM differ
	}
	leaving := r.Report.Leaving && now.Sub(r.RejectedAt) < lag // the report is older than the rejection
	r.Report, r.ReportAt, r.ReportLag = e.Report, now, lag
	r.Report.Leaving = r.Report.Leaving || leaving
	if now.Sub(r.ResponseLoadAt) >= lag {
		rebaseLoad(r, lag, now)
	}
	r.DownSince = 0
}

func markDown(r *fleet.Runner, now cs.Instant, out *fleet.Actions) {
	if r.DownSince == 0 {
		r.DownSince = now
		out.LogChange("runner", "down", fleet.Field{Name: "runner", Value: r.ID})
	}
}

// countPeers sums the online requests of other VMs by runner from their latest heartbeats.
func countPeers(t *fleet.Tables) {
	for _, r := range t.Runners.All() {
		r.PeerOnline = 0
	}
	for id, vm := range t.VMs.All() {
		if id == t.Self.ID || !vm.Live {
			continue
		}
		for _, c := range vm.LastHeartbeat.Online {
			if r := t.Runners.Get(c.Runner); r != nil {
				r.PeerOnline += c.Count
			}
		}
	}
}

// updateAverage returns the exponential moving average after a sample; avg is 0 before the first.
func updateAverage(avg, sample float64) float64 {
	if avg == 0 {
		return sample
	}
	return avg + sampleWeight*(sample-avg)
}
