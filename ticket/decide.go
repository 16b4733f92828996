// Package ticket decides which change tickets are in force.
//
// Every VM reads the ticket stream and applies the same rule in offset order: the first record with
// a number counts, and the highest number of a scope is in force. Peers pass tickets that they read
// on, so that a VM that cannot read the log follows.
package ticket

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// unreadable is how long the ticket stream may go unread before tickets are refused.
	unreadable = 5 * cs.Second
	// answerLimit is how long a submitted ticket waits for its read-back.
	answerLimit = 10 * cs.Second
	// readBackLimit is how long an append waits for its read-back before it is sent again.
	readBackLimit = 2 * cs.Second
)

// Decide files submitted tickets in the log, puts tickets from the log and from peers in force and
// passes them on.
func Decide(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	s := &t.TicketLog
	if !s.Tailing {
		s.Tailing = true
		out.Add(fleet.Tail{Stream: cs.TicketStream, From: s.Next})
	}
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.TicketAsked:
			ask(t, now, out, e)
		case fleet.LogRead:
			if e.Stream == cs.TicketStream {
				passOn(t, out, read(t, now, out, e))
			}
		case fleet.AppendFailed:
			if e.Stream == cs.TicketStream {
				appendFailed(t, now, e)
			}
		case fleet.LinkOpened:
			if readAge(t, now) >= unreadable || s.ReadAt == 0 {
				want(t, now, out, e.VM.ID)
			}
		case fleet.PeerSaid:
			hear(t, now, out, e)
		default: // of other packages
		}
	}
	expire(t, now, out)
	retain(t, now, out)
	prune(t, now, out)
	send(t, now, out)
	catchUp(t, now, out)
}

// readAge returns the time since the ticket stream was last read, or since the start.
func readAge(t *fleet.Tables, now cs.Instant) cs.Span {
	return now.Sub(max(t.TicketLog.ReadAt, t.Started))
}
