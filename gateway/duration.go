package gateway

import cs "github.com/crocusstile/crocusstile"

// Weights of a new sample in the moving averages of a RouteDuration, as in the retransmission timer of TCP (RFC 6298).
const (
	durationWeight  = 1.0 / 8
	deviationWeight = 1.0 / 4
	// deviations is the number of mean deviations by which an upper bound exceeds the mean.
	deviations = 4
)

// RouteDuration is how long the answered requests of a route took at their runners.
type RouteDuration struct {
	// MeanMs and DeviationMs are moving averages of the time and of its deviation from the mean, in milliseconds.
	MeanMs, DeviationMs float64
}

// Observe adds the time of an answered request.
func (d *RouteDuration) Observe(taken cs.Span) {
	sample := float64(taken)
	if d.MeanMs == 0 {
		d.MeanMs, d.DeviationMs = sample, sample/2
		return
	}
	d.DeviationMs += deviationWeight * (max(sample-d.MeanMs, d.MeanMs-sample) - d.DeviationMs)
	d.MeanMs += durationWeight * (sample - d.MeanMs)
}

// UpperBound returns the time that few requests exceed, or 0 if none was answered yet.
func (d *RouteDuration) UpperBound() cs.Span {
	if d == nil {
		return 0
	}
	return cs.Span(d.MeanMs + deviations*d.DeviationMs)
}
