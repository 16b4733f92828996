package ticket

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// maxChecked bounds the tickets of one sweep that are ranked, which takes some 20 us each with
	// 390 VMs.
	maxChecked = 64
	// checkAgain is the time between two checks of a ticket that is due. It is as long as a batch
	// stays in flight.
	checkAgain = answerLimit
	// maxRewrites bounds the tickets that wait to be written again.
	maxRewrites = 1000
	// maxNumbers bounds the ticket numbers remembered. It is forty times what a day brings.
	maxNumbers = 100_000
	// pruneEvery is the time between two sweeps over the numbers.
	pruneEvery = cs.Minute
)

// retain queues the tickets in force whose records grow old to be appended again, so that the log
// always holds them. The VM that is first by rendezvous hashing on the scope does so after two
// fifths of the retention time, and the second after a little more.
func retain(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	s := &t.TicketLog
	if s.Retention.Due == 0 {
		s.Retention.At(now)
	}
	if !s.Retention.Begin(now, out) {
		return
	}
	every := min(cs.Minute, t.Config.Retention/100)
	if s.CaughtUp && readAge(t, now) < unreadable && t.Drain.Phase == fleet.DrainNone && check(t, now) {
		every = fleet.SweepEvery // more are due
	}
	s.Retention.At(now.Add(every))
	out.WakeAt(s.Retention.Due)
}

// check queues the tickets that this VM is to write again, and reports whether it stopped at a bound.
func check(t *fleet.Tables, now cs.Instant) bool {
	s := &t.TicketLog
	due := t.Config.Retention * 2 / 5
	checked := 0
	var live []cs.VMID
	for scope, row := range t.Tickets.All() {
		age := now.Sub(recordedAt(row))
		if age < due || now.Sub(row.CheckedAt) < checkAgain {
			continue
		}
		if checked == maxChecked || len(s.Rewrites) >= maxRewrites {
			return true
		}
		if live == nil {
			live = liveVMs(t)
		}
		checked++
		row.CheckedAt = now
		turn := due + t.Config.Retention/20*cs.Span(rank(t.Self.ID, scope, live))
		if age >= turn && !slices.Contains(s.Rewrites, scope) {
			s.Rewrites = append(s.Rewrites, scope)
		}
	}
	return false
}

// recordedAt returns when a ticket's newest record was written. A ticket that only peers told of counts
// from its receipt, since the log is about to bring it; otherwise all its receivers would write it.
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

// rank returns the number of VMs that come before self for a scope.
func rank(self cs.VMID, scope cs.Scope, live []cs.VMID) int {
	own := cs.Rendezvous(string(scope), string(self))
	before := 0
	for _, id := range live {
		if cs.Rendezvous(string(scope), string(id)) > own {
			before++
		}
	}
	return before
}

// prune forgets the numbers that are free again, and the oldest ones above maxNumbers.
func prune(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	s := &t.TicketLog
	if s.Prune.Due == 0 {
		s.Prune.At(now.Add(pruneEvery))
	}
	if !s.Prune.Begin(now, out) {
		return
	}
	t.Numbers.DeleteFunc(func(n cs.TicketNumber, use *fleet.NumberUse) bool {
		return use.LoggedAt != 0 && free(t, n, use, s.LogTime)
	})
	if t.Numbers.Len() <= maxNumbers {
		return
	}
	offsets := make([]cs.Offset, 0, t.Numbers.Len())
	for _, use := range t.Numbers.All() {
		offsets = append(offsets, use.Offset)
	}
	slices.Sort(offsets)
	oldest := offsets[len(offsets)-maxNumbers]
	t.Numbers.DeleteFunc(func(n cs.TicketNumber, use *fleet.NumberUse) bool {
		row := t.Tickets.Get(use.Scope)
		return use.Offset < oldest && (row == nil || row.Ticket.Number != n)
	})
}
