package gateway

import cs "github.com/crocusstile/crocusstile"

// Departure is what this VM knows, from any source, of a runner that ends or has ended its service.
type Departure struct {
	// Offset is that of the newest record known that says so in the topic of the registrations, or cs.NoOffset. Removed
	// means that the record is the removal of the registration; otherwise it says that the runner is draining.
	Offset  cs.Offset
	Removed bool
	// ConfirmedAt is when a peer last reported the removal which had been able to read the registrations for so long that it
	// would have seen the runner register again, or 0.
	ConfirmedAt cs.Instant
	// Announced means that the runner itself has said so in a response, in its incarnation Incarnation.
	Announced   bool
	Incarnation cs.Incarnation
	// At is when a VM last learned of it, and ChangedAt when this VM did.
	At, ChangedAt cs.Instant
}

// DepartureNotice is one statement that a runner ends or has ended its service; a sealed type. The offset of a record orders
// the statements of registrations, whichever VM read them, and at whatever time.
type DepartureNotice interface{ isDepartureNotice() }

// The departure notices.
type (
	// Draining is a registration that says that the runner is draining.
	Draining struct{ Offset cs.Offset }
	// Removed is the removal of a registration: the runner has left, or its registration has expired.
	Removed struct{ Offset cs.Offset }
	// Announced is a response in which the runner says that it is leaving. It holds until the runner starts again.
	Announced struct{ Incarnation cs.Incarnation }
)

func (Draining) isDepartureNotice()  {}
func (Removed) isDepartureNotice()   {}
func (Announced) isDepartureNotice() {}

// DepartureReport is a Departure in a report to peers.
type DepartureReport struct {
	_           struct{} `cbor:",toarray"`
	Runner      cs.RunnerID
	Offset      cs.Offset
	Removed     bool
	Announced   bool
	Incarnation cs.Incarnation
	// Age is the time since a VM last learned of it.
	Age cs.Span
}

// Notices returns the statements of the report.
func (d DepartureReport) Notices() []DepartureNotice {
	var notices []DepartureNotice
	if d.Announced {
		notices = append(notices, Announced{d.Incarnation})
	}
	switch {
	case d.Offset == cs.NoOffset:
	case d.Removed:
		notices = append(notices, Removed{d.Offset})
	default:
		notices = append(notices, Draining{d.Offset})
	}
	return notices
}

// departureRetention is how long a departure is kept after its runner was removed, so that an older registration, as from a
// stale read, does not bring the runner back.
const departureRetention = 30 * cs.Second

// RecordDeparture records that a VM learned of a runner's departure at a time, and applies it to the runner. A notice that is
// older than the runner's registration is ignored. The source names for the log how this VM learned of it.
func (t *Tables) RecordDeparture(id cs.RunnerID, n DepartureNotice, at, now cs.Instant, source string, out *Actions) {
	r := t.Runners.Get(id)
	if r != nil && r.isNewerThan(n) {
		return
	}
	d := t.Departures.Get(id)
	if d == nil {
		d = t.Departures.Insert(id, Departure{Offset: cs.NoOffset})
	}
	if !d.add(n) {
		return
	}
	d.At, d.ChangedAt = max(d.At, at), now
	if r == nil {
		return
	}
	wasLeaving := r.Leaving()
	switch n := n.(type) {
	case Draining:
		r.Spec.Leaving = true
	case Removed:
		if r.MissingSince == 0 {
			r.MissingSince = at
			out.Note(Note{Kind: NoteRunnerMissing, Runner: id, Reason: source, Offset: n.Offset, Age: now.Sub(at), Load: r.Load()})
		}
	case Announced:
		r.Announced = true
	}
	if r.Leaving() && !wasLeaving {
		out.Note(Note{Kind: NoteRunnerLeaving, Runner: id, Reason: source, Age: now.Sub(at), Load: r.Load()})
	}
}

// removalConfirmedFor is how long a removal counts as confirmed after a report. Peers that can read the registrations report
// it once a second, until the runner registers again.
const removalConfirmedFor = 2 * cs.Second

// ConfirmRemoval records that a peer which can read the registrations reports that one is removed. It does nothing if this VM
// knows a newer registration.
func (t *Tables) ConfirmRemoval(id cs.RunnerID, now cs.Instant) {
	if d := t.Departures.Get(id); d != nil && d.Removed {
		d.ConfirmedAt = now
	}
}

// RemovalKnown reports whether this VM knows as of now that a registration is removed, by its own reads or from peers. If it
// cannot read the registrations, it would not learn that the runner has registered again.
func (t *Tables) RemovalKnown(id cs.RunnerID, now cs.Instant) bool {
	if t.Feeds[FeedRunners].FailingSince == 0 {
		return true
	}
	d := t.Departures.Get(id)
	return d != nil && d.ConfirmedAt != 0 && now.Sub(d.ConfirmedAt) <= removalConfirmedFor
}

// isNewerThan reports whether the runner has registered, or started, after a notice of its departure.
func (r *Runner) isNewerThan(n DepartureNotice) bool {
	switch n := n.(type) {
	case Draining:
		return r.Revision > n.Offset
	case Removed:
		return r.Revision > n.Offset
	case Announced:
		return r.Spec.Incarnation > n.Incarnation
	}
	return false
}

// add joins a notice with what is known and reports whether it is new. Draining runners go on renewing their registrations,
// which is no news.
func (d *Departure) add(n DepartureNotice) bool {
	switch n := n.(type) {
	case Draining:
		if n.Offset <= d.Offset {
			return false
		}
		isNews := d.Offset == cs.NoOffset || d.Removed
		d.Offset, d.Removed = n.Offset, false
		return isNews
	case Removed:
		if n.Offset < d.Offset || n.Offset == d.Offset && d.Removed {
			return false
		}
		d.Offset, d.Removed, d.ConfirmedAt = n.Offset, true, 0
	case Announced:
		if d.Announced && n.Incarnation <= d.Incarnation {
			return false
		}
		d.Announced, d.Incarnation = true, n.Incarnation
	}
	return true
}

// ApplyRegistration inserts or updates a runner from the record of its registration at an offset, unless a newer record is
// known. A new incarnation or address resets the runner's state.
func (t *Tables) ApplyRegistration(spec cs.Runner, offset cs.Offset, now cs.Instant, out *Actions) {
	r := t.Runners.Get(spec.ID)
	if r != nil && offset < r.Revision {
		return
	}
	d := t.Departures.Get(spec.ID)
	if d != nil && offset < d.Offset {
		if d.Removed {
			return
		}
		spec.Leaving = true
	}
	if r == nil || r.Spec.Service != spec.Service || r.Spec.DataCentre != spec.DataCentre {
		t.RunnerChanges++
	}
	if r == nil || r.Spec.Incarnation != spec.Incarnation || r.Spec.Address != spec.Address {
		if r != nil {
			t.RunnerChanges++ // the new row has no allocator
		}
		next := Runner{Spec: spec}
		if r != nil {
			next.Online, next.Batch = r.Online, r.Batch // these attempts still end and release their slots
			next.RequestedOnline, next.RequestedBatch = r.RequestedOnline, r.RequestedBatch
		}
		r = t.Runners.Insert(spec.ID, next)
		out.Note(Note{Kind: NoteRunnerAdded, Runner: spec.ID, Outcome: string(spec.Address), Reason: string(spec.Service)})
	}
	r.Revision, r.MissingSince = offset, 0
	r.Announced = d != nil && d.Announced && spec.Incarnation <= d.Incarnation
	if spec.Leaving && offset != cs.NoOffset {
		t.RecordDeparture(spec.ID, Draining{offset}, now, now, SourceRegistration, out)
	}
	r.Spec = spec
	if d != nil && !spec.Leaving && !r.Announced {
		t.Departures.Delete(spec.ID)
	}
}

// Sources of departures in the log.
const (
	SourceRegistration = "registration"
	SourceResponse     = "response"
	SourcePeer         = "peer "
)

// ExpireDepartures forgets the departures of runners that were removed long ago.
func (t *Tables) ExpireDepartures(now cs.Instant) {
	t.Departures.DeleteFunc(func(id cs.RunnerID, d *Departure) bool {
		return t.Runners.Get(id) == nil && now.Sub(d.At) > departureRetention
	})
}
