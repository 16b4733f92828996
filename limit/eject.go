package limit

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// EjectSlow is the ratio of a runner's first-token time to the median that ejects it.
const EjectSlow = 2.0

const (
	// ejectFailures is the number of failures in a row that ejects a runner.
	ejectFailures = 3
	// ejectSamples is the number of samples needed to call a runner slow.
	ejectSamples = 2
	// outlier bounds a sample to a multiple of the runner's average, so that one long prompt does
	// not eject a runner.
	outlier = 4.0
	// slowFloor keeps differences of a few milliseconds from ejecting a runner.
	slowFloor = 20.0
	// ejectFirst and ejectLongest bound the time of an ejection, and ejectGrowth is the ratio of
	// one to the one before. Each VM tries the runner once after each ejection.
	ejectFirst   = cs.Second
	ejectLongest = cs.Minute
	ejectGrowth  = 4
	// checkEvery spaces the comparisons of a runner with the others of its model.
	checkEvery = 100 * cs.Millisecond
)

// Sample adds a first-token time to the runner's average and ejects the runner if it is far above
// the median of its model's runners.
func Sample(t *fleet.Tables, r *fleet.Runner, took cs.Span, now cs.Instant, out *fleet.Actions) {
	x := max(float64(took), 1)
	if r.FirstToken > 0 {
		x = min(x, outlier*r.FirstToken)
	}
	r.FirstToken = average(r.FirstToken, x)
	if r.Batch <= baseBatch {
		r.BaseFirstToken = average(r.BaseFirstToken, x)
	}
	r.Samples++
	r.SampledAt = now
	if r.Ejections == 0 && (r.Samples < ejectSamples || now.Sub(r.CheckedAt) < checkEvery) {
		return
	}
	r.CheckedAt = now
	median := medianFirstToken(t, r)
	slow := median > 0 && r.FirstToken > EjectSlow*median && r.FirstToken > median+slowFloor
	switch {
	case slow:
		eject(t, r, now, out)
	case now >= r.EjectedUntil:
		r.Ejections = 0
	}
}

// MayTry reports whether a request may try a runner that was ejected. A trial may need a hedge, which
// must not use up the reserve for retries, but it is not put off for more than ejectLongest.
func MayTry(t *fleet.Tables, r *fleet.Runner, now cs.Instant) bool {
	return r.Ejections == 0 || t.Budget.Tokens >= 0 || now.Sub(r.EjectedUntil) > ejectLongest
}

// Hung ejects a runner that has left a request without a first token for several times the usual time
// and has given none to other requests meanwhile. The time so far counts as a sample, since the first
// token can only take longer.
func Hung(t *fleet.Tables, r *fleet.Runner, since, now cs.Instant, out *fleet.Actions) {
	sampled := r.SampledAt
	Sample(t, r, now.Sub(since), now, out)
	r.SampledAt = sampled // the last first token that came
	if sampled < since {
		eject(t, r, now, out)
	}
}

// Outrun ejects a runner again if a request that tried it after an ejection was answered by its hedge
// first.
func Outrun(t *fleet.Tables, r *fleet.Runner, now cs.Instant, out *fleet.Actions) {
	if r.Ejections > 0 {
		eject(t, r, now, out)
	}
}

// medianFirstToken returns the median over the other runners that share a model with r, or 0.
func medianFirstToken(t *fleet.Tables, r *fleet.Runner) float64 {
	var all []float64
	for _, o := range t.Runners.All() {
		if o.FirstToken > 0 && o.ID != r.ID && sameModel(o, r) {
			all = append(all, o.FirstToken)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// sameModel reports whether two runners can stand in for each other.
func sameModel(a, b *fleet.Runner) bool {
	if a.Kind != b.Kind || a.Service != b.Service {
		return false
	}
	if a.Kind == cs.KindService {
		return true
	}
	return slices.ContainsFunc(a.Report.Loaded, func(m cs.LoadedModel) bool {
		return slices.Contains(b.Report.Loaded, m)
	})
}

// eject bars the runner for a time that grows with each ejection, unless a third of its model's
// runners are ejected already.
func eject(t *fleet.Tables, r *fleet.Runner, now cs.Instant, out *fleet.Actions) {
	if now < r.EjectedUntil || t.Config.Policy.RoundRobin {
		return
	}
	all, ejected := 1, 0
	for _, o := range t.Runners.All() {
		if o.ID == r.ID || !sameModel(o, r) {
			continue
		}
		all++
		if now < o.EjectedUntil {
			ejected++
		}
	}
	if 3*(ejected+1) > all {
		return
	}
	span := ejectFirst
	for range r.Ejections {
		span = min(span*ejectGrowth, ejectLongest)
	}
	r.EjectedUntil = now.Add(span)
	r.Ejections++
	r.Failures, r.Samples, r.FirstToken = 0, 0, 0
	out.Count(fleet.CountEjections, "", 1)
	out.Note("runner", "ejected", fleet.Field{Name: "runner", Value: r.ID}, fleet.Field{Name: "for", Value: span})
}
