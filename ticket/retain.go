package ticket

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// maxRanked bounds the tickets ranked in one check, which takes about 20 us for each with 390
	// VMs.
	maxRanked = 64
	// recheckInterval is the time between two checks of a ticket that is due. It equals the longest
	// time that a batch stays in flight.
	recheckInterval = answerTimeout
	// maxRewrites bounds the tickets that wait to be written again.
	maxRewrites = 1000
	// maxNumbers bounds the ticket numbers that are remembered. It is forty times the number used
	// in a day.
	maxNumbers = 100_000
	// pruneInterval is the time between two prunings of the numbers.
	pruneInterval = cs.Minute
)

// rewriteAging appends the tickets in force again before the log drops their records, so that the
// log always holds them. The VM that is first by rendezvous hashing on the scope does so after two
// fifths of the retention time, and each further one a twentieth of the retention time later.
func rewriteAging(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	s := &t.TicketLog
	if s.Retention.Due == 0 {
		s.Retention.ScheduleAt(now)
	}
	if !s.Retention.Begin(now, out) {
		return
	}
	every := min(cs.Minute, t.Config.Retention/100)
	if s.CaughtUp && readAge(t, now) < logUnavailableAfter && t.Drain.Phase == fleet.DrainNone && queueRewrites(t, now) {
		every = fleet.MinSweepInterval // more are due
	}
	s.Retention.ScheduleAt(now.Add(every))
	out.WakeAt(s.Retention.Due)
}

// queueRewrites queues the tickets that this VM is to write again, and returns true if it stopped
// at a limit.
func queueRewrites(t *fleet.Tables, now cs.Instant) bool {
	s := &t.TicketLog
	due := t.Config.Retention * 2 / 5
	ranked := 0
	var live []cs.VMID
	for scope, row := range t.Tickets.All() {
		age := now.Sub(recordedAt(row))
		if age < due || now.Sub(row.CheckedAt) < recheckInterval {
			continue
		}
		if ranked == maxRanked || len(s.Rewrites) >= maxRewrites {
			return true
		}
		if live == nil {
			live = liveVMs(t)
		}
		ranked++
		row.CheckedAt = now
		rewriteAge := due + t.Config.Retention/20*cs.Span(rankOf(t.Self.ID, scope, live))
		if age >= rewriteAge && !slices.Contains(s.Rewrites, scope) {
			s.Rewrites = append(s.Rewrites, scope)
		}
	}
	return false
}

// recordedAt returns when a ticket's newest record was written. A ticket known only from peers
// counts from its receipt, since this VM is about to read it from the log; otherwise all its
// receivers would rewrite it.
func recordedAt(row *fleet.Ticket) cs.Instant {
	if row.LoggedAt == 0 {
		return row.InForce
	}
	return row.LoggedAt
}

func liveVMs(t *fleet.Tables) []cs.VMID {
	var live []cs.VMID
	for id, v := range t.VMs.All() {
		if v.Live && !v.Leaving {
			live = append(live, id)
		}
	}
	return live
}

// rankOf returns the number of VMs that rank before self for a scope.
func rankOf(self cs.VMID, scope cs.Scope, live []cs.VMID) int {
	own := cs.RendezvousWeight(string(scope), string(self))
	before := 0
	for _, id := range live {
		if cs.RendezvousWeight(string(scope), string(id)) > own {
			before++
		}
	}
	return before
}

// pruneNumbers drops the numbers that may be used again, and the oldest ones above maxNumbers.
func pruneNumbers(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	s := &t.TicketLog
	if s.Prune.Due == 0 {
		s.Prune.ScheduleAt(now.Add(pruneInterval))
	}
	if !s.Prune.Begin(now, out) {
		return
	}
	t.TicketNumbers.DeleteFunc(func(n cs.TicketNumber, use *fleet.TicketNumberUse) bool {
		return use.LoggedAt != 0 && reusable(t, n, use, s.LogTime)
	})
	if t.TicketNumbers.Len() <= maxNumbers {
		return
	}
	offsets := make([]cs.Offset, 0, t.TicketNumbers.Len())
	for _, use := range t.TicketNumbers.All() {
		offsets = append(offsets, use.Offset)
	}
	slices.Sort(offsets)
	oldest := offsets[len(offsets)-maxNumbers]
	t.TicketNumbers.DeleteFunc(func(n cs.TicketNumber, use *fleet.TicketNumberUse) bool {
		row := t.Tickets.Get(use.Scope)
		return use.Offset < oldest && (row == nil || row.Ticket.Number != n)
	})
}
