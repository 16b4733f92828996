package gateway

import cs "github.com/crocusstile/crocusstile"

// RunnerLimit is the limit on requests from all VMs together that a runner names in its responses.
type RunnerLimit struct {
	// Named means that the runner names a limit of Rate.
	Named bool
	Rate  cs.PerSecond
	// AsOf is when a response last named the limit or, if it no longer did, showed that there is none; 0 if no response
	// has named one.
	AsOf cs.Instant
}

// RecordLimit records the limit that a runner named or no longer names at a time. It does nothing for a runner that is no
// longer in the table (nil).
func (t *Tables) RecordLimit(r *Runner, named bool, rate cs.PerSecond, now cs.Instant, out *Actions) {
	if r == nil {
		return
	}
	changed := r.Limit.Named != named || r.Limit.Rate != rate
	r.Limit = RunnerLimit{Named: named, Rate: rate, AsOf: now}
	if !changed {
		return
	}
	kind := NoteRunnerLimited
	if !named {
		kind = NoteRunnerUnlimited
	}
	out.Note(Note{Kind: kind, Runner: r.Spec.ID, Rate: rate, Load: r.Load()})
}
