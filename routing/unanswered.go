package routing

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// noteUnanswered records the start of a run without a first token if it is the runner's oldest.
func (d *dispatchPass) noteUnanswered(run fleet.RequestAttempt) {
	if d.oldestUnanswered == nil {
		d.oldestUnanswered = make(map[cs.RunnerID]cs.Instant)
	}
	if since, ok := d.oldestUnanswered[run.Runner]; !ok || run.Since < since {
		d.oldestUnanswered[run.Runner] = run.Since
	}
}

// unansweredFor returns the time for which a runner has sent no first token although a run was
// waiting for one, or 0. It is a lower bound of the runner's next first-token time.
func (d *dispatchPass) unansweredFor(r *fleet.Runner) cs.Span {
	since, ok := d.oldestUnanswered[r.ID]
	if !ok {
		return 0
	}
	return max(d.now.Sub(max(since, r.SampledAt)), 0)
}
