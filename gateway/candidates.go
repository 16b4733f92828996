package gateway

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
)

// Candidates are the runners of a service in the order in which this VM prefers them, by affinity and data centre.
type Candidates struct {
	Runners []cs.RunnerID
	// changes and rows are Tables.RunnerChanges and the number of runners by which the order was determined.
	changes uint64
	rows    int
}

// CandidatesOf returns the runners of a service in the order of their preference, in which runners of other data centres come later by
// remotePenalty on the scale of the affinity, which is 1.
func (t *Tables) CandidatesOf(id cs.ServiceID, remotePenalty float64) []cs.RunnerID {
	c := t.Candidates.Get(id)
	if c == nil {
		c = t.Candidates.Insert(id, Candidates{})
	}
	if c.Runners != nil && c.changes == t.RunnerChanges && c.rows == t.Runners.Len() {
		return c.Runners
	}
	c.Runners, c.changes, c.rows = c.Runners[:0], t.RunnerChanges, t.Runners.Len()
	for runner, r := range t.Runners.All() {
		if r.Spec.Service == id {
			c.Runners = append(c.Runners, runner)
		}
	}
	slices.SortFunc(c.Runners, func(a, b cs.RunnerID) int {
		return cmp.Or(cmp.Compare(t.distance(a, remotePenalty), t.distance(b, remotePenalty)), cmp.Compare(a, b))
	})
	return c.Runners
}

// distance returns the place of a runner in the order of preference.
func (t *Tables) distance(id cs.RunnerID, remotePenalty float64) float64 {
	r := t.Runners.Get(id)
	d := t.Affinity(r)
	if r.Spec.DataCentre != t.Self.DataCentre {
		d += remotePenalty
	}
	return d
}
