package ticket

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// maxTicketsPerMessage bounds the tickets in one message to a peer.
	maxTicketsPerMessage = 500
	// recentRead is the age of the last read below which this VM expects to get missing tickets
	// from the log.
	recentRead = 2 * cs.Second
	// catchUpDelay is how long a VM that reads the log waits to get from it the tickets that a peer
	// has.
	catchUpDelay = 2 * cs.Second
	// minRequestInterval and maxRequestInterval bound the time between two requests for all
	// tickets, which take 0.8 MB with 11,000 tenants.
	minRequestInterval = 2 * cs.Second
	maxRequestInterval = 5 * cs.Minute
)

// broadcast sends tickets that were read from the log to all linked VMs, because a VM notices only
// after seconds that its own reads of the log fail. A VM that receives a ticket this way before it
// reads it does not send it again.
func broadcast(t *fleet.Tables, out *fleet.Actions, tickets []cs.LoggedTicket) {
	if len(tickets) == 0 {
		return
	}
	for id, v := range t.VMs.All() {
		if v.Linked {
			sendTickets(out, id, tickets)
		}
	}
}

func sendTickets(out *fleet.Actions, to cs.VMID, tickets []cs.LoggedTicket) {
	for len(tickets) > 0 {
		n := min(len(tickets), maxTicketsPerMessage)
		out.Add(fleet.Send{To: to, Message: cs.TicketsReply{Tickets: tickets[:n]}})
		tickets = tickets[n:]
	}
}

func handlePeerMessage(t *fleet.Tables, now cs.Instant, out *fleet.Actions, e fleet.PeerMessageReceived) {
	switch m := e.Message.(type) {
	case cs.TicketsReply:
		for _, logged := range m.Tickets {
			fromLog := logged.Offset > cs.NoOffset
			if fromLog && applyTicket(t, now, out, logged, 0) {
				t.TicketLog.FruitlessRequests = 0
			}
		}
	case cs.TicketsRequest:
		all := make([]cs.LoggedTicket, 0, t.Tickets.Len())
		for _, row := range t.Tickets.All() {
			all = append(all, row.LoggedTicket)
		}
		sendTickets(out, e.From, all)
	case cs.Heartbeat:
		s := &t.TicketLog
		if s.BehindSince == 0 && isBehind(t, m.Highest, m.Tickets) {
			s.BehindSince, s.BehindPeer = now, e.From
			s.BehindHighest, s.BehindTickets = m.Highest, m.Tickets
		}
	default: // messages for other packages
	}
}

// isBehind reports whether a peer has a higher ticket number or more tickets than this VM.
func isBehind(t *fleet.Tables, highest cs.TicketNumber, tickets int) bool {
	return highest > t.TicketLog.Highest || tickets > t.Tickets.Len()
}

// catchUp requests tickets from peers when the log does not provide them: after a gap, while the
// log cannot be read, or when a peer has been ahead for catchUpDelay.
func catchUp(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	s := &t.TicketLog
	if s.Gap {
		for id, v := range t.VMs.All() {
			if v.Linked && v.Live && requestTickets(t, now, out, id) {
				s.Gap = false
				break
			}
		}
	}
	if s.BehindSince == 0 {
		return
	}
	if !isBehind(t, s.BehindHighest, s.BehindTickets) {
		s.BehindSince = 0
		return
	}
	due := s.BehindSince
	if readAge(t, now) < recentRead {
		due = due.Add(catchUpDelay)
	}
	if now < due {
		out.WakeAt(due)
		return
	}
	s.BehindSince = 0 // set again by the next heartbeat that shows it
	requestTickets(t, now, out, s.BehindPeer)
}

// requestTickets requests all tickets from a peer, and returns false if the last request is too
// recent.
func requestTickets(t *fleet.Tables, now cs.Instant, out *fleet.Actions, peer cs.VMID) bool {
	s := &t.TicketLog
	wait := min(minRequestInterval<<min(s.FruitlessRequests, 10), maxRequestInterval)
	if s.RequestedAt != 0 && now.Sub(s.RequestedAt) < wait {
		return false
	}
	s.RequestedAt = now
	s.FruitlessRequests++
	out.Add(fleet.Send{To: peer, Message: cs.TicketsRequest{}})
	return true
}
