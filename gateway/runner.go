package gateway

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/cost"
)

// Runner is a back end with its load and its health as this VM sees them.
type Runner struct {
	Spec cs.Runner
	// Revision is the offset of the newest record of the runner's registration that this VM has applied, or cs.NoOffset
	// for a runner of which a peer has told without it.
	Revision cs.Offset
	// Announced means that the runner has said in a response that it is leaving.
	Announced bool
	// MissingSince is when the runner's registration in the store was found missing, or 0. The runner may be
	// removed later, since registrations also expire while the store is down (see Tables.RegistrationsSettled).
	MissingSince cs.Instant
	// Online and Batch count the requests that this VM has in flight on the runner.
	Online, Batch cs.Slots
	// PeerOnline and PeerBatch are the sums of the counts that other VMs last reported. VMs report those at runners with an
	// allocator to the allocator only; see Allocation.
	PeerOnline, PeerBatch cs.Slots
	// Allocation is the VM that grants the runner's slots.
	Allocation Allocation
	// RequestedOnline and RequestedBatch are those of Online and Batch for which a slot was requested that is not granted yet.
	RequestedOnline, RequestedBatch cs.Slots
	// affinity is the preference of this VM for the runner, or 0 until it is computed; see Tables.Affinity.
	affinity float64
	// Cost is what responses have shown of the work that requests cause at the runner.
	Cost cost.Runner
	// DeniedAt is when this VM was last denied a slot, or 0.
	DeniedAt cs.Instant
	// BatchDueAt is when the least urgent of the items that this VM has started there is due.
	BatchDueAt cs.Instant
	// Limit is the limit on requests that the runner names.
	Limit RunnerLimit
	// EjectedUntil is the end of the ejection after a failure that this VM saw, and PeerEjectedUntil the end
	// of the one after a failure that a peer reported. The runner gets no request until both have passed.
	EjectedUntil, PeerEjectedUntil cs.Instant
	// ConnectionLostAt is when a connection to the runner was lost, or 0 if it has responded since or lost
	// none.
	ConnectionLostAt cs.Instant
	// Failures counts consecutive failures.
	Failures int
	// Timeouts counts the attempts that timed out since the runner last responded.
	Timeouts int
	// RefusedAt is when a connection of this VM was last refused because nothing listened at the address, or 0, and
	// PeerRefusedAt the same of a connection of a peer.
	RefusedAt, PeerRefusedAt cs.Instant
}

// Leaving reports whether the runner is draining, as its registration or a response of its own says. It gets no new work.
func (r *Runner) Leaving() bool { return r.Spec.Leaving || r.Announced }

// Load returns the requests in flight on the runner: those of this VM and those that peers last reported.
func (r *Runner) Load() cs.Slots {
	return r.OnlineLoad() + r.Batch + max(r.PeerBatch, r.Allocation.Batch)
}

// OnlineLoad returns the online requests in flight on the runner.
func (r *Runner) OnlineLoad() cs.Slots { return r.Online + max(r.PeerOnline, r.Allocation.Online) }

// HasMemory reports whether a runner that can hold so many tokens, 0 if that is not known, has room for an item, as far as this VM
// knows: other VMs' requests count with the mean that requests hold. A runner without any request takes each.
func (r *Runner) HasMemory(limit, item cs.Tokens, mean float64) bool {
	if limit == 0 || r.Load() == 0 {
		return true
	}
	others := float64(r.Load()-r.Online-r.Batch) * mean
	return others+float64(r.Cost.Held)+float64(r.Batch)*float64(r.Cost.Item)+float64(item) <= float64(limit)
}

// HasOnlineMemory is HasMemory for an online request. Items do not count, since they are stopped when online requests need slots: a
// few large ones would otherwise keep online requests from a runner for good.
func (r *Runner) HasOnlineMemory(limit, request cs.Tokens, mean float64) bool {
	if limit == 0 || r.OnlineLoad() == 0 {
		return true
	}
	others := float64(r.OnlineLoad()-r.Online) * mean
	return others+float64(r.Cost.Held)+float64(request) <= float64(limit)
}

const (
	// probationPeriod is how long a runner stays on probation after its ejection or after a lost connection,
	// unless it responds before.
	probationPeriod = 5 * cs.Second
	// sameFailureWindow is the time within which lost connections count as one failure, since one fault ends
	// all connections that a runner has open.
	sameFailureWindow = 50 * cs.Millisecond
)

// OnProbation reports whether the runner is on probation: it has failed recently and has not responded since.
// Like a half-open circuit breaker, it then gets one online request at a time from this VM and no batch
// items.
func (r *Runner) OnProbation(now cs.Instant) bool {
	return r.Failures > 0 && now < r.EjectedUntil.Add(probationPeriod) || r.ConnectionLostAt != 0 && now < r.ConnectionLostAt.Add(probationPeriod)
}

// Usable reports whether a new online request may be sent to the runner: it is not draining, not ejected at
// present, and if it is on probation, this VM has no online request in flight there.
func (r *Runner) Usable(now cs.Instant) bool {
	return !r.Leaving() && now >= r.EjectedUntil && now >= r.PeerEjectedUntil && (r.Online == 0 || !r.OnProbation(now))
}

// ResetFailures clears the recorded failures and ejections of a runner, for example after a response, so that
// requests may be sent to it again at once.
func (r *Runner) ResetFailures() {
	r.EjectedUntil, r.PeerEjectedUntil, r.ConnectionLostAt, r.Failures, r.Timeouts = 0, 0, 0, 0, 0
}

// A failed runner is ejected for initialEjection, doubled with each consecutive failure up to
// maxEjection.
const (
	initialEjection = 400 * cs.Millisecond
	maxEjection     = 3 * cs.Second
)

// Eject ejects a runner for a time after a failure. It does nothing for a runner that is no longer in
// the table (nil).
func (t *Tables) Eject(r *Runner, now cs.Instant, reason string, out *Actions) {
	if r == nil {
		return
	}
	t.RecordDataCentreFailure(r.Spec.DataCentre, now)
	if now < r.EjectedUntil && r.Failures > 0 {
		return // attempts that were in flight when the ejection started belong to the same failure
	}
	ejection := min(initialEjection<<min(r.Failures, 4), maxEjection)
	r.Failures++
	r.EjectedUntil = now.Add(ejection)
	out.Note(Note{
		Kind: NoteRunnerAvoided, Runner: r.Spec.ID, Reason: reason, Duration: ejection, Count: r.Failures, Load: r.Load(),
	})
}

// RecordUnreachable records that no connection to a runner could be opened, or that another runner has its
// address, and ejects it. The argument refused means that nothing listens at the address. It does nothing for
// a runner that is no longer in the table (nil).
func (t *Tables) RecordUnreachable(r *Runner, refused bool, now cs.Instant, reason string, out *Actions) {
	if r != nil && refused {
		r.RefusedAt = now
	}
	t.Eject(r, now, reason, out)
}

// RecordConnectionLoss records a lost connection to a runner. After the first one the runner gets one request
// at a time, since the connection may have been reset without a fault of the runner; a second failure ejects
// it. It does nothing for a runner that is no longer in the table (nil).
func (t *Tables) RecordConnectionLoss(r *Runner, now cs.Instant, reason string, out *Actions) {
	if r == nil {
		return
	}
	t.RecordDataCentreFailure(r.Spec.DataCentre, now)
	if r.Failures > 0 || r.ConnectionLostAt != 0 {
		if now.Sub(r.ConnectionLostAt) > sameFailureWindow {
			t.Eject(r, now, reason, out)
		}
		return
	}
	r.ConnectionLostAt = now
	out.Note(Note{Kind: NoteRunnerDoubted, Runner: r.Spec.ID, Reason: reason, Load: r.Load()})
}

// maxTimeouts is the number of timed-out attempts after which a runner counts as unreachable.
// A single one is no proof, since the request may have waited behind others in the runner's queue.
const maxTimeouts = 2

// TimedOut records an attempt at a runner that got no response in time, and ejects the runner after
// maxTimeouts of them. It does nothing for a runner that is no longer in the table (nil).
func (t *Tables) TimedOut(r *Runner, now cs.Instant, reason string, out *Actions) {
	if r == nil {
		return
	}
	t.RecordDataCentreFailure(r.Spec.DataCentre, now)
	if r.Timeouts++; r.Timeouts >= maxTimeouts {
		t.Eject(r, now, reason, out)
	}
}
