package batch

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
	"github.com/crocusstile/crocusstile/quarantine"
)

// yieldPause is the time after a yield during which a runner gets no new batch runs. It covers the
// requests of a burst that are under way; a longer pause leaves slots empty that no request takes.
const yieldPause = 50 * cs.Millisecond

// yieldMargin is the number of slots that a yield leaves free where there is headroom: the estimate
// of other VMs' requests may be one too low.
const yieldMargin cs.Slots = 1

// Yield stops batch runs where online requests need their slots, and all runs that this VM must not
// continue: those on runners of which it is no longer the batch sender, those of a VM that leaves, and
// those of quarantined contents.
func Yield(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.PeerSaid:
			if m, ok := e.Message.(cs.Yield); ok {
				if r := t.Runners.Get(m.Runner); r != nil && r.Sender == t.Self.ID {
					r.OnlineAt = now
					claim(r, m.Slots, now)
					yield(t, r, 0, now, out)
				}
			}
		default:
		}
	}
	list, fresh := limit.Sending(t, now)
	for _, id := range list {
		r := t.Runners.Get(id)
		if r == nil {
			continue
		}
		var wait cs.Slots
		if load, at := limit.Reported(r); at == now {
			wait = load.Waiting // requests that wait inside the runner beside batch runs
		}
		if r.YieldWanted > 0 {
			r.OnlineAt = now
		}
		if r.YieldWanted > 0 || wait > 0 {
			r.YieldWanted = 0
			yield(t, r, wait, now, out)
		}
	}
	if fresh || t.Drain.Phase >= fleet.DrainFinishing {
		release(t, now, out)
	}
}

// claim notes slots that peers take. Claims last until the runner's next load, and no more of them
// count than online requests can be on the runner.
func claim(r *fleet.Runner, n cs.Slots, now cs.Instant) {
	room := limit.Slots(r) - cs.Slots(len(r.Claims))
	for range min(n, room) {
		r.Claims = append(r.Claims, now)
	}
}

// yield stops as many runs as online requests and batch runs together exceed the runner's slots, or
// as requests wait inside the runner.
func yield(t *fleet.Tables, r *fleet.Runner, wait cs.Slots, now cs.Instant, out *fleet.Actions) {
	online := limit.Needed(r, now)
	over := max(online+margin(t, r, online)+r.Batch-limit.Slots(r), wait)
	if t.Config.Policy.NoClasses || r.Batch == 0 || over <= 0 {
		return
	}
	var active []*fleet.Run
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
}

// margin returns the slots that batch leaves free beside the given online requests.
func margin(t *fleet.Tables, r *fleet.Runner, online cs.Slots) cs.Slots {
	return min(limit.Headroom(t.Config, r, online), yieldMargin)
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
func release(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for _, run := range t.Runs.All() {
		r := t.Runners.Get(run.Runner)
		lost := r == nil || r.Sender != t.Self.ID || t.Drain.Phase >= fleet.DrainFinishing
		if lost && !run.Item.NonIdempotent || barred(t, run, now) {
			stop(run, out)
		}
	}
}

// barred reports whether a run's content was quarantined since it started.
func barred(t *fleet.Tables, run *fleet.Run, now cs.Instant) bool {
	return t.Suspects.Len() > 0 && quarantine.Blocked(t, cs.HashTarget(run.Item.Target), now)
}
