package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Runners applies the registrations of runners read from the store, and what runners say of themselves in their responses.
//
// A runner whose registration was removed is deleted, unless the registration may have expired while the store was
// unavailable. A live runner registers again soon after the store is back, and stays in use until then.
func Runners(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.RunnersRead:
			applyRegistrations(t, now, e, out)
		case gateway.RunnerAnnouncedLeaving:
			t.RecordDeparture(e.Runner, gateway.Announced{Incarnation: e.Incarnation}, now, now, gateway.SourceResponse, out)
		default:
		}
	}
	removeMissing(t, now, out)
	t.ExpireDepartures(now)
}

// applyRegistrations applies changes of the registrations.
func applyRegistrations(t *gateway.Tables, now cs.Instant, read gateway.RunnersRead, out *gateway.Actions) {
	if read.Snapshot {
		recordUnlisted(t, now, read, out)
	}
	for _, c := range read.Changes {
		if c.Runner == nil {
			t.RecordDeparture(c.ID, gateway.Removed{Offset: c.Offset}, now, now, gateway.SourceRegistration, out)
			continue
		}
		applyRegistration(t, *c.Runner, c.Offset, now, out)
	}
}

// applyRegistration applies a registration, and records that its service has a runner.
func applyRegistration(t *gateway.Tables, spec cs.Runner, offset cs.Offset, now cs.Instant, out *gateway.Actions) {
	t.ApplyRegistration(spec, offset, now, out)
	if t.Runners.Get(spec.ID) != nil {
		t.EmptiedAt.Delete(spec.Service)
	}
}

// recordUnlisted records the departure of the runners that a snapshot of the registrations does not list, unless this VM knows
// a registration that is newer than the snapshot. The record of the removal is one before the end of the snapshot.
func recordUnlisted(t *gateway.Tables, now cs.Instant, read gateway.RunnersRead, out *gateway.Actions) {
	listed := make(map[cs.RunnerID]bool, len(read.Changes))
	for _, c := range read.Changes {
		listed[c.ID] = c.Runner != nil
	}
	for id, r := range t.Runners.All() {
		if !listed[id] && r.Revision < read.End {
			t.RecordDeparture(id, gateway.Removed{Offset: read.End - 1}, now, now, gateway.SourceRegistration, out)
		}
	}
}

// removeMissing deletes the runners whose registration is missing, once it is certain that they have left.
func removeMissing(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	var services []cs.ServiceID
	settled := make(map[cs.DataCentreID]bool)
	t.Runners.DeleteFunc(func(id cs.RunnerID, r *gateway.Runner) bool {
		if r.MissingSince == 0 {
			return false
		}
		dc := r.Spec.DataCentre
		if _, asked := settled[dc]; !asked {
			settled[dc] = t.RegistrationsSettled(dc, now, out)
		}
		if !settled[dc] || !t.RemovalKnown(id, now) {
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
