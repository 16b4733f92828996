package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Runners applies changes of the runner registrations read from the store.
//
// A runner whose registration was removed is deleted, unless the registration may have expired while the store was
// unavailable. A live runner registers again soon after the store is back, and stays in use until then.
func Runners(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		read, ok := e.(gateway.RunnersRead)
		if !ok {
			continue
		}
		if read.Snapshot {
			markUnlisted(t, now, read.Changes, out)
		}
		for _, c := range read.Changes {
			if c.Runner == nil {
				markRemoved(t, now, c.ID, out)
				continue
			}
			upsertRunner(t, *c.Runner, out)
		}
	}
	removeMissing(t, now, out)
}

// recordEmptied records the time at which a service lost its last runner; it does nothing if the
// service still has one.
func recordEmptied(t *gateway.Tables, now cs.Instant, id cs.ServiceID) {
	for _, r := range t.Runners.All() {
		if r.Spec.Service == id {
			return
		}
	}
	t.EmptiedAt.Insert(id, now)
}

// upsertRunner inserts or updates a runner from its registration. A new incarnation or address
// resets the runner's state.
func upsertRunner(t *gateway.Tables, spec cs.Runner, out *gateway.Actions) {
	t.EmptiedAt.Delete(spec.Service)
	r := t.Runners.Get(spec.ID)
	if r == nil || r.Spec.Incarnation != spec.Incarnation || r.Spec.Address != spec.Address {
		next := gateway.Runner{Spec: spec}
		if r != nil {
			next.Online, next.Batch = r.Online, r.Batch // these attempts still end and release their slots
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

// markUnlisted marks the runners that a complete read of the registrations does not list.
func markUnlisted(t *gateway.Tables, now cs.Instant, listed []gateway.RunnerChange, out *gateway.Actions) {
	present := make(map[cs.RunnerID]bool, len(listed))
	for _, c := range listed {
		present[c.ID] = c.Runner != nil
	}
	for id, r := range t.Runners.All() {
		if !present[id] && r.MissingSince == 0 {
			r.MissingSince = now
			out.Note(gateway.Note{Kind: gateway.NoteRunnerMissing, Runner: id, Reason: "not listed"})
		}
	}
}

// markRemoved marks a runner whose registration was removed.
func markRemoved(t *gateway.Tables, now cs.Instant, id cs.RunnerID, out *gateway.Actions) {
	if r := t.Runners.Get(id); r != nil && r.MissingSince == 0 {
		r.MissingSince = now
		out.Note(gateway.Note{Kind: gateway.NoteRunnerMissing, Runner: id, Reason: "registration removed"})
	}
}

// removeMissing deletes the marked runners, once it is certain that they have left.
func removeMissing(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	var services []cs.ServiceID
	settled, asked := false, false
	t.Runners.DeleteFunc(func(id cs.RunnerID, r *gateway.Runner) bool {
		if r.MissingSince == 0 {
			return false
		}
		if !asked {
			settled, asked = t.RegistrationsSettled(now, out), true
		}
		if !settled {
			return false
		}
		out.Note(gateway.Note{Kind: gateway.NoteRunnerRemoved, Runner: id, Age: now.Sub(r.MissingSince)})
		services = append(services, r.Spec.Service)
		return true
	})
	for _, service := range services {
		recordEmptied(t, now, service)
	}
}
