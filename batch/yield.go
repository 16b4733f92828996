package batch

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
)

// yieldPause is the time after a yield during which a runner gets no new batch runs.
const yieldPause = 200 * cs.Millisecond

// Yield stops batch runs where online requests need their slots, and all runs that this VM must not
// continue: those on runners of which it is no longer the batch sender, and those of a VM that
// leaves.
func Yield(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.PeerSaid:
			if m, ok := e.Message.(cs.Yield); ok {
				if r := t.Runners.Get(m.Runner); r != nil && r.Sender == t.Self.ID {
					for range m.Slots {
						r.Claims = append(r.Claims, now)
					}
					yield(t, r, 0, now, out)
				}
			}
		case fleet.LoadReported:
			// Requests that wait inside the runner while batch runs there were not announced.
			if r := t.Runners.Get(e.Runner); r != nil && r.Sender == t.Self.ID && e.Report.Waiting > 0 {
				yield(t, r, e.Report.Waiting, now, out)
			}
		default:
		}
	}
	list, fresh := limit.Sending(t, now)
	for _, id := range list {
		if r := t.Runners.Get(id); r != nil && r.YieldWanted > 0 {
			r.YieldWanted = 0
			yield(t, r, 0, now, out)
		}
	}
	if fresh || t.Drain.Phase >= fleet.DrainFinishing {
		release(t, out)
	}
}

// yield stops as many runs as online requests and batch runs together exceed the runner's slots, or
// as requests wait inside the runner.
func yield(t *fleet.Tables, r *fleet.Runner, wait cs.Slots, now cs.Instant, out *fleet.Actions) {
	if t.Config.Policy.NoClasses || r.Batch == 0 {
		return
	}
	var (
		active []*fleet.Run
		over   = max(limit.Needed(r, now)+r.Batch-limit.Slots(r), wait)
	)
	for _, run := range t.Runs.All() {
		switch {
		case run.Runner != r.ID || run.Ended != nil:
		case run.Stopping:
			over--
		case !run.Item.NonIdempotent:
			active = append(active, run)
		}
	}
	n := min(int(over), len(active))
	if n <= 0 {
		return
	}
	slices.SortFunc(active, func(a, b *fleet.Run) int {
		return cmp.Or(cmp.Compare(left(b, r, now), left(a, r, now)), cmp.Compare(a.Key.Index, b.Key.Index))
	})
	for _, run := range active[:n] {
		stop(run, out)
	}
	out.Count(fleet.CountYields, "", int64(n))
	r.YieldUntil = now.Add(yieldPause)
	r.BatchLimit = max(r.BatchLimit/2, 1)
}

// left estimates the tokens that a run has yet to generate.
func left(run *fleet.Run, r *fleet.Runner, now cs.Instant) float64 {
	g, ok := run.Item.Target.(cs.Generation)
	if !ok {
		return 0
	}
	made := float64(run.Tokens)
	if r.Gap > 0 {
		made += float64(now.Sub(run.Since)) / r.Gap
	}
	return float64(g.MaxTokens) - made
}

// release stops the runs that this VM must not continue. Those that must not be repeated go on, since
// a stopped one could not run again.
func release(t *fleet.Tables, out *fleet.Actions) {
	for _, run := range t.Runs.All() {
		r := t.Runners.Get(run.Runner)
		lost := r == nil || r.Sender != t.Self.ID || t.Drain.Phase >= fleet.DrainFinishing
		if lost && !run.Item.NonIdempotent {
			stop(run, out)
		}
	}
}
