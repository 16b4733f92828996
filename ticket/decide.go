// Package ticket decides which change tickets are in force.
//
// Every VM reads the ticket stream and applies the same rule in offset order: the first record with
// a number counts, and the ticket with the highest number of its scope is in force. VMs send the
// tickets that they read to their peers, so that a VM that cannot read the log stays up to date.
package ticket

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// logUnavailableAfter is the age of the last read of the ticket stream above which submitted
	// tickets are refused.
	logUnavailableAfter = 5 * cs.Second
	// answerTimeout is how long a submitted ticket waits to be read back from the log.
	answerTimeout = 10 * cs.Second
	// readBackTimeout is how long an appended batch waits to be read back before it is appended
	// again.
	readBackTimeout = 2 * cs.Second
)

// Decide appends submitted tickets to the log, puts tickets from the log and from peers in force,
// and sends those read from the log to peers.
func Decide(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	s := &t.TicketLog
	if !s.Tailing {
		s.Tailing = true
		out.Add(fleet.Subscribe{Stream: cs.TicketStream, From: s.Next})
	}
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.TicketSubmitted:
			submit(t, now, out, e)
		case fleet.LogRead:
			if e.Stream == cs.TicketStream {
				broadcast(t, out, applyRead(t, now, out, e))
			}
		case fleet.AppendFailed:
			if e.Stream == cs.TicketStream {
				appendFailed(t, now, e)
			}
		case fleet.LinkOpened:
			if readAge(t, now) >= logUnavailableAfter || s.ReadAt == 0 {
				requestTickets(t, now, out, e.VM.ID)
			}
		case fleet.PeerMessageReceived:
			handlePeerMessage(t, now, out, e)
		default: // events for other packages
		}
	}
	expirePending(t, now, out)
	rewriteAging(t, now, out)
	pruneNumbers(t, now, out)
	appendBatch(t, now, out)
	catchUp(t, now, out)
}

// readAge returns the time since the ticket stream was last read, or since the process started.
func readAge(t *fleet.Tables, now cs.Instant) cs.Span {
	return now.Sub(max(t.TicketLog.ReadAt, t.Started))
}
