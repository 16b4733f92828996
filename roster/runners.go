package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Runners applies the entries of runners.
//
// An entry that is gone removes its runner, but for one that lapsed while the store was away: a live
// runner writes its entry again soon after the store's return, and until then it stays in use.
func Runners(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		read, ok := e.(gateway.RunnersRead)
		if !ok {
			continue
		}
		if read.Whole {
			markMissing(t, now, read.Changes)
		}
		for _, c := range read.Changes {
			if c.Runner == nil {
				markGone(t, now, c.ID)
				continue
			}
			put(t, *c.Runner, out)
		}
	}
	dropMissing(t, now, out)
}

// vacate notes that a service has no runner any more, if that is so.
func vacate(t *gateway.Tables, now cs.Instant, id cs.ServiceID) {
	for _, r := range t.Runners.All() {
		if r.Spec.Service == id {
			return
		}
	}
	t.Vacancies.Insert(id, now)
}

// put stores an entry.
func put(t *gateway.Tables, spec cs.Runner, out *gateway.Actions) {
	t.Vacancies.Delete(spec.Service)
	r := t.Runners.Get(spec.ID)
	if r == nil || r.Spec.Incarnation != spec.Incarnation || r.Spec.Address != spec.Address {
		next := gateway.Runner{Spec: spec}
		if r != nil {
			next.Online, next.Batch = r.Online, r.Batch // the sends in flight still end
		}
		t.Runners.Insert(spec.ID, next)
		out.Note(gateway.Note{Kind: gateway.NoteRunnerAdded, Runner: spec.ID, Outcome: string(spec.Address), Reason: string(spec.Service)})
		return
	}
	if spec.Leaving && !r.Spec.Leaving {
		out.Note(gateway.Note{Kind: gateway.NoteRunnerLeaving, Runner: spec.ID})
	}
	r.Spec, r.MissingSince = spec, 0
}

// markMissing marks the runners that a whole read does not list.
func markMissing(t *gateway.Tables, now cs.Instant, listed []gateway.RunnerChange) {
	present := make(map[cs.RunnerID]bool, len(listed))
	for _, c := range listed {
		present[c.ID] = c.Runner != nil
	}
	for id, r := range t.Runners.All() {
		if !present[id] && r.MissingSince == 0 {
			r.MissingSince = now
		}
	}
}

// markGone notes that a runner's entry was removed.
func markGone(t *gateway.Tables, now cs.Instant, id cs.RunnerID) {
	if r := t.Runners.Get(id); r != nil && r.MissingSince == 0 {
		r.MissingSince = now
	}
}

// dropMissing removes runners without an entry, once the store has been back for long enough.
func dropMissing(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	f := t.Feeds[gateway.FeedRunners]
	var left []cs.ServiceID
	t.Runners.DeleteFunc(func(id cs.RunnerID, r *gateway.Runner) bool {
		if r.MissingSince == 0 {
			return false
		}
		if f.LostAt != 0 {
			return false
		}
		if f.RegainedAt != 0 {
			if until := f.RegainedAt.Add(t.Config.ReturnGrace); now < until {
				out.WakeAt(until)
				return false
			}
		}
		out.Note(gateway.Note{Kind: gateway.NoteRunnerRemoved, Runner: id, Age: now.Sub(r.MissingSince)})
		left = append(left, r.Spec.Service)
		return true
	})
	for _, service := range left {
		vacate(t, now, service)
	}
}
