package ticket

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// maxPassed bounds the tickets in one message.
	maxPassed = 500
	// readRecently is the age of the last read below which this VM expects the log to bring what it
	// lacks.
	readRecently = 2 * cs.Second
	// behindLimit is how long a VM that reads the log waits for it to bring what a peer knows.
	behindLimit = 2 * cs.Second
	// minWanted and maxWanted bound the time between two requests for all tickets, which take 0.8 MB
	// with 11,000 tenants.
	minWanted = 2 * cs.Second
	maxWanted = 5 * cs.Minute
)

// passOn sends tickets that were read from the log to the linked VMs. All get them, because a VM
// learns only after seconds that its own reads of the log fail. A VM that gets a ticket this way
// before it reads it does not pass it on again.
func passOn(t *fleet.Tables, out *fleet.Actions, tickets []cs.PlacedTicket) {
	if len(tickets) == 0 {
		return
	}
	for id, v := range t.VMs.All() {
		if v.Linked {
			sendTickets(out, id, tickets)
		}
	}
}

func sendTickets(out *fleet.Actions, to cs.VMID, tickets []cs.PlacedTicket) {
	for len(tickets) > 0 {
		n := min(len(tickets), maxPassed)
		out.Add(fleet.Send{To: to, Message: cs.TicketsPassed{Tickets: tickets[:n]}})
		tickets = tickets[n:]
	}
}

func hear(t *fleet.Tables, now cs.Instant, out *fleet.Actions, e fleet.PeerSaid) {
	switch m := e.Message.(type) {
	case cs.TicketsPassed:
		for _, p := range m.Tickets {
			fromLog := p.Offset > cs.NoOffset
			if fromLog && apply(t, now, out, p, 0) {
				t.TicketLog.InVain = 0
			}
		}
	case cs.TicketsWanted:
		all := make([]cs.PlacedTicket, 0, t.Tickets.Len())
		for _, row := range t.Tickets.All() {
			all = append(all, row.PlacedTicket)
		}
		sendTickets(out, e.From, all)
	case cs.Heartbeat:
		s := &t.TicketLog
		if s.BehindSince == 0 && behind(t, m.Highest, m.Tickets) {
			s.BehindSince, s.BehindPeer = now, e.From
			s.BehindHighest, s.BehindTickets = m.Highest, m.Tickets
		}
	default: // of other packages
	}
}

// behind reports whether a peer that knows so much knows more than this VM.
func behind(t *fleet.Tables, highest cs.TicketNumber, tickets int) bool {
	return highest > t.TicketLog.Highest || tickets > t.Tickets.Len()
}

// catchUp asks peers for tickets that the log does not bring: after a gap, while the log cannot be
// read, or when a peer has known more for behindLimit.
func catchUp(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	s := &t.TicketLog
	if s.Gap {
		for id, v := range t.VMs.All() {
			if v.Linked && v.Live && want(t, now, out, id) {
				s.Gap = false
				break
			}
		}
	}
	if s.BehindSince == 0 {
		return
	}
	if !behind(t, s.BehindHighest, s.BehindTickets) {
		s.BehindSince = 0
		return
	}
	due := s.BehindSince
	if readAge(t, now) < readRecently {
		due = due.Add(behindLimit)
	}
	if now < due {
		out.WakeAt(due)
		return
	}
	s.BehindSince = 0 // the next heartbeat sets it again
	want(t, now, out, s.BehindPeer)
}

// want asks a peer for all tickets, and returns false if the last such request is too recent.
func want(t *fleet.Tables, now cs.Instant, out *fleet.Actions, peer cs.VMID) bool {
	s := &t.TicketLog
	wait := min(minWanted<<min(s.InVain, 10), maxWanted)
	if s.WantedAt != 0 && now.Sub(s.WantedAt) < wait {
		return false
	}
	s.WantedAt = now
	s.InVain++
	out.Add(fleet.Send{To: peer, Message: cs.TicketsWanted{}})
	return true
}
