package batch

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
)

// preemptPause is the time after a preemption during which a runner gets no new batch runs. It
// covers the requests of a burst that have not arrived yet; a longer pause leaves slots empty that
// no request uses.
const preemptPause = 50 * cs.Millisecond

// preemptMargin is the number of slots that preemption leaves free beyond the demand, where the
// headroom allows it: the estimate of other VMs' requests may be one too low.
const preemptMargin cs.Slots = 1

// Preempt preempts batch runs where online requests need their slots. It also stops all runs that
// this VM must not continue: those on runners of which it is no longer the batch sender, and all of
// them when this VM leaves.
func Preempt(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.PeerMessageReceived:
			if m, ok := e.Message.(cs.Preempt); ok {
				if r := t.Runners.Get(m.Runner); r != nil && r.Sender == t.Self.ID {
					r.OnlineAt = now
					recordAnnounced(r, m.Slots, now)
					preemptRuns(t, r, 0, now, out)
				}
			}
		default:
		}
	}
	list, changed := limit.AssignedRunners(t, now)
	for _, id := range list {
		r := t.Runners.Get(id)
		if r == nil {
			continue
		}
		var queued cs.Slots
		if load, reportedAt := limit.LatestLoad(r); reportedAt == now {
			queued = load.Waiting // requests queued inside the runner while batch runs hold its slots
		}
		if r.PreemptWanted > 0 {
			r.OnlineAt = now
		}
		if r.PreemptWanted > 0 || queued > 0 {
			r.PreemptWanted = 0
			preemptRuns(t, r, queued, now, out)
		}
	}
	if changed || t.Drain.Phase >= fleet.DrainFinishing {
		stopDisallowedRuns(t, out)
	}
}

// recordAnnounced records the slots that peers are about to use for online requests. They count
// until the runner's next load report, and never exceed the runner's slots.
func recordAnnounced(r *fleet.Runner, n cs.Slots, now cs.Instant) {
	room := limit.Slots(r) - cs.Slots(len(r.AnnouncedOnline))
	for range min(n, room) {
		r.AnnouncedOnline = append(r.AnnouncedOnline, now)
	}
}

// preemptRuns stops batch runs: as many as online requests, the margin and batch runs together
// exceed the runner's slots, or as many as requests are queued inside the runner, whichever is
// more. Runs with the most remaining tokens are stopped first; non-idempotent runs are not stopped.
func preemptRuns(t *fleet.Tables, r *fleet.Runner, queued cs.Slots, now cs.Instant, out *fleet.Actions) {
	online := limit.OnlineDemand(r, now)
	excess := max(online+margin(t, r, online)+r.Batch-limit.Slots(r), queued)
	if t.Config.Policy.NoClasses || r.Batch == 0 || excess <= 0 {
		return
	}
	var active []*fleet.Run
	for _, run := range t.Runs.All() {
		switch {
		case run.Runner != r.ID || run.Outcome != nil:
		case run.Stopping:
			excess--
		case !run.Item.NonIdempotent:
			active = append(active, run)
		}
	}
	n := min(int(excess), len(active))
	if n <= 0 {
		return
	}
	slices.SortFunc(active, func(a, b *fleet.Run) int {
		return cmp.Or(cmp.Compare(remainingTokens(b, r, now), remainingTokens(a, r, now)), cmp.Compare(a.Key.Index, b.Key.Index))
	})
	for _, run := range active[:n] {
		stopRun(run, out)
	}
	out.Count(fleet.CountYields, "", int64(n))
	r.BatchPausedUntil = now.Add(preemptPause)
}

// margin returns the number of slots that batch leaves free beyond the given online requests.
func margin(t *fleet.Tables, r *fleet.Runner, online cs.Slots) cs.Slots {
	return min(limit.Headroom(t.Config, r, online), preemptMargin)
}

// remainingTokens estimates the number of tokens that a run has yet to generate.
func remainingTokens(run *fleet.Run, r *fleet.Runner, now cs.Instant) float64 {
	g, ok := run.Item.Target.(cs.Generation)
	if !ok {
		return 0
	}
	generated := float64(run.Tokens)
	if r.MeanTokenGap > 0 {
		generated += float64(now.Sub(run.Since)) / r.MeanTokenGap
	}
	return float64(g.MaxTokens) - generated
}

// stopDisallowedRuns stops the runs that this VM must not continue. Non-idempotent runs go on, since
// a stopped one could not be run again.
func stopDisallowedRuns(t *fleet.Tables, out *fleet.Actions) {
	for _, run := range t.Runs.All() {
		r := t.Runners.Get(run.Runner)
		disallowed := r == nil || r.Sender != t.Self.ID || t.Drain.Phase >= fleet.DrainFinishing
		if disallowed && !run.Item.NonIdempotent {
			stopRun(run, out)
		}
	}
}
