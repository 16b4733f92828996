package limit

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// SlowEjectionRatio is the ratio of a runner's first-token time to the median of its peers above
// which the runner is ejected.
const SlowEjectionRatio = 2.0

const (
	// failuresToEject is the number of consecutive failures that ejects a runner.
	failuresToEject = 3
	// samplesToEject is the number of first-token samples needed before a runner can be ejected as
	// slow.
	samplesToEject = 2
	// maxSampleRatio caps a sample at a multiple of the runner's average, so that a single long
	// prompt does not eject a runner.
	maxSampleRatio = 4.0
	// minSlowExcessMs is the least excess over the median, in milliseconds, that counts as slow, so
	// that differences of a few milliseconds do not eject a runner.
	minSlowExcessMs = 20.0
	// firstEjection is the length of a runner's first ejection. Each further one is longer by the
	// factor ejectionGrowth, up to maxEjection. Each VM tries the runner once after each ejection.
	firstEjection  = cs.Second
	maxEjection    = cs.Minute
	ejectionGrowth = 4
	// comparisonInterval is the least time between two comparisons of a runner with its peers.
	comparisonInterval = 100 * cs.Millisecond
)

// RecordFirstToken adds a first-token time to the runner's average and ejects the runner if the
// average is far above the median of the runners with the same model.
func RecordFirstToken(t *fleet.Tables, r *fleet.Runner, took cs.Span, now cs.Instant, out *fleet.Actions) {
	sample := max(float64(took), 1)
	if r.FirstToken > 0 {
		sample = min(sample, maxSampleRatio*r.FirstToken)
	}
	r.FirstToken = updateAverage(r.FirstToken, sample)
	if r.Batch <= maxBaselineBatch {
		r.BaselineFirstToken = updateAverage(r.BaselineFirstToken, sample)
	}
	r.Samples++
	r.SampledAt = now
	if r.Ejections == 0 && (r.Samples < samplesToEject || now.Sub(r.CheckedAt) < comparisonInterval) {
		return
	}
	r.CheckedAt = now
	median := medianFirstToken(t, r)
	slow := median > 0 && r.FirstToken > SlowEjectionRatio*median && r.FirstToken > median+minSlowExcessMs
	switch {
	case slow:
		eject(t, r, now, out)
	case now >= r.EjectedUntil:
		r.Ejections = 0
	}
}

// TrialAllowed reports whether a request may be sent to a runner on trial after an ejection. The
// trial may need a hedge, and hedges must not use up the reserve for retries, so trials wait while
// the reserve is in use, but for no longer than maxEjection.
func TrialAllowed(t *fleet.Tables, r *fleet.Runner, now cs.Instant) bool {
	return r.Ejections == 0 || t.Budget.Tokens >= 0 || now.Sub(r.EjectedUntil) > maxEjection
}

// EjectIfHung ejects a runner that has left a request without a first token for several times the
// usual time and has sent no first token to other requests meanwhile. The elapsed time counts as a
// sample, since the first-token time can only be longer.
func EjectIfHung(t *fleet.Tables, r *fleet.Runner, since, now cs.Instant, out *fleet.Actions) {
	lastSampledAt := r.SampledAt
	RecordFirstToken(t, r, now.Sub(since), now, out)
	r.SampledAt = lastSampledAt // restored, since no first token has arrived
	if lastSampledAt < since {
		eject(t, r, now, out)
	}
}

// EjectIfOutpaced ejects a runner again if its trial request after an ejection was answered first
// by the hedge on another runner.
func EjectIfOutpaced(t *fleet.Tables, r *fleet.Runner, now cs.Instant, out *fleet.Actions) {
	if r.Ejections > 0 {
		eject(t, r, now, out)
	}
}

// medianFirstToken returns the median first-token time of the other runners that are
// interchangeable with r, or 0 if none has been measured.
func medianFirstToken(t *fleet.Tables, r *fleet.Runner) float64 {
	var averages []float64
	for _, o := range t.Runners.All() {
		if o.FirstToken > 0 && o.ID != r.ID && interchangeable(o, r) {
			averages = append(averages, o.FirstToken)
		}
	}
	if len(averages) == 0 {
		return 0
	}
	slices.Sort(averages)
	return averages[len(averages)/2]
}

// interchangeable reports whether two runners can serve the same requests: they belong to the same
// service and, if they are engines, have a loaded model in common.
func interchangeable(a, b *fleet.Runner) bool {
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

// eject bars the runner from new online requests for a time that grows with each ejection, unless
// more than a third of the interchangeable runners would be ejected.
func eject(t *fleet.Tables, r *fleet.Runner, now cs.Instant, out *fleet.Actions) {
	if now < r.EjectedUntil || t.Config.Policy.RoundRobin {
		return
	}
	total, ejected := 1, 0
	for _, o := range t.Runners.All() {
		if o.ID == r.ID || !interchangeable(o, r) {
			continue
		}
		total++
		if now < o.EjectedUntil {
			ejected++
		}
	}
	if 3*(ejected+1) > total {
		return
	}
	duration := firstEjection
	for range r.Ejections {
		duration = min(duration*ejectionGrowth, maxEjection)
	}
	r.EjectedUntil = now.Add(duration)
	r.Ejections++
	r.Failures, r.Samples, r.FirstToken = 0, 0, 0
	out.Count(fleet.CountEjections, "", 1)
	out.LogChange("runner", "ejected", fleet.Field{Name: "runner", Value: r.ID}, fleet.Field{Name: "for", Value: duration})
}
