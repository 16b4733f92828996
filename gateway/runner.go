package gateway

import cs "github.com/crocusstile/crocusstile"

// Runner is a back end with the load that this VM knows of.
type Runner struct {
	Spec cs.Runner
	// MissingSince is when the entry was found missing after an outage of the store, or 0.
	MissingSince cs.Instant
	// Online and Batch count the requests of this VM in flight there.
	Online, Batch cs.Slots
	// PeerOnline and PeerBatch sum what other VMs last said of theirs.
	PeerOnline, PeerBatch cs.Slots
	// AvoidUntil is when the runner may be chosen again after a failure that this VM saw, and
	// PeerAvoidUntil after one that a peer reports.
	AvoidUntil, PeerAvoidUntil cs.Instant
	// DoubtedAt is when a connection to the runner broke, if no answer came since, or 0.
	DoubtedAt cs.Instant
	// Failures counts failures in a row.
	Failures int
	// Silences counts sends in a row that got no answer in time.
	Silences int
	// RefusedAt is when nothing listened at the runner's address, or 0.
	RefusedAt cs.Instant
}

// Load returns the requests in flight as far as this VM knows.
func (r *Runner) Load() cs.Slots { return r.Online + r.Batch + r.PeerOnline + r.PeerBatch }

const (
	// doubtSpan is how long after it may be chosen again a runner counts as doubted.
	doubtSpan = 5 * cs.Second
	// oneFailure is the span within which broken connections count as one failure: those that a
	// runner had at the same moment.
	oneFailure = 50 * cs.Millisecond
)

// Doubted reports whether the runner has failed lately and not answered since.
func (r *Runner) Doubted(now cs.Instant) bool {
	return r.Failures > 0 && now < r.AvoidUntil.Add(doubtSpan) || r.DoubtedAt != 0 && now < r.DoubtedAt.Add(doubtSpan)
}

// Usable reports whether new online requests may go to the runner. One that is doubted gets one at a
// time until it answers.
func (r *Runner) Usable(now cs.Instant) bool {
	return !r.Spec.Leaving && now >= r.AvoidUntil && now >= r.PeerAvoidUntil && (r.Online == 0 || !r.Doubted(now))
}

// Forgive lets the runner be chosen again at once.
func (r *Runner) Forgive() {
	r.AvoidUntil, r.PeerAvoidUntil, r.DoubtedAt, r.Failures, r.Silences = 0, 0, 0, 0, 0
}

// How long a runner that failed to answer is not chosen: avoidFirst, doubled with each failure in a row
// up to avoidMost.
const (
	avoidFirst = 400 * cs.Millisecond
	avoidMost  = 3 * cs.Second
)

// Avoid keeps a runner that failed from being chosen for a while; nil stands for one that is gone.
func (t *Tables) Avoid(r *Runner, now cs.Instant, reason string, out *Actions) {
	if r == nil {
		return
	}
	t.ZoneFailed(r.Spec.DataCentre, now)
	if now < r.AvoidUntil && r.Failures > 0 {
		return // what breaks at the same moment is one failure
	}
	span := min(avoidFirst<<min(r.Failures, 4), avoidMost)
	r.Failures++
	r.AvoidUntil = now.Add(span)
	out.Note(Note{
		Kind: NoteRunnerAvoided, Runner: r.Spec.ID, Reason: reason, Took: span, Count: r.Failures, Load: r.Load(),
	})
}

// Unreached notes that no connection to a runner could be opened, or that another runner has its address;
// refused means that nothing listens there, and nil stands for one that is gone.
func (t *Tables) Unreached(r *Runner, refused bool, now cs.Instant, reason string, out *Actions) {
	if r != nil && refused {
		r.RefusedAt = now
	}
	t.Avoid(r, now, reason, out)
}

// Doubt notes that a connection to a runner broke; nil stands for one that is gone. The runner is tried
// again with one request at a time, since the connection alone may have been reset; a second failure
// keeps it from being chosen.
func (t *Tables) Doubt(r *Runner, now cs.Instant, reason string, out *Actions) {
	if r == nil {
		return
	}
	t.ZoneFailed(r.Spec.DataCentre, now)
	if r.Failures > 0 || r.DoubtedAt != 0 {
		if now.Sub(r.DoubtedAt) > oneFailure {
			t.Avoid(r, now, reason, out)
		}
		return
	}
	r.DoubtedAt = now
	out.Note(Note{Kind: NoteRunnerDoubted, Runner: r.Spec.ID, Reason: reason, Load: r.Load()})
}

// maxSilences is the number of sends in a row without an answer in time after which a runner is taken
// for unreachable; one alone may have waited behind others.
const maxSilences = 2

// Silent notes that a send to a runner got no answer in time; nil stands for one that is gone.
func (t *Tables) Silent(r *Runner, now cs.Instant, reason string, out *Actions) {
	if r == nil {
		return
	}
	t.ZoneFailed(r.Spec.DataCentre, now)
	if r.Silences++; r.Silences >= maxSilences {
		t.Avoid(r, now, reason, out)
	}
}
