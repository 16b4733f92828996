package routing

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// unanswered notes the start of a run that has no first token yet.
func (d *round) unanswered(run fleet.RequestRun) {
	if d.oldest == nil {
		d.oldest = make(map[cs.RunnerID]cs.Instant)
	}
	if since, ok := d.oldest[run.Runner]; !ok || run.Since < since {
		d.oldest[run.Runner] = run.Since
	}
}

// silence returns the time for which a runner has owed a first token and given none, or 0. It bounds
// the runner's next first-token time from below.
func (d *round) silence(r *fleet.Runner) cs.Span {
	since, ok := d.oldest[r.ID]
	if !ok {
		return 0
	}
	return max(d.now.Sub(max(since, r.SampledAt)), 0)
}
