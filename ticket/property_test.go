package ticket

import (
	"flag"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// cluster is several VMs with one log, where appends, their answers and messages are lost or
// delayed.
type cluster struct {
	rt           *rapid.T
	now          cs.Instant
	vms          []*testVM
	log          []cs.LoggedBatch
	appends      []cs.LogBatch // in transit to the log
	messages     []fleet.PeerMessageReceived
	recipients   []cs.VMID // of messages, by index
	asked        map[uint64]cs.Ticket
	answers      map[uint64]fleet.AnswerTicket
	highest      []map[cs.Scope]cs.TicketNumber // by VM, since its start
	incarnations cs.Incarnation
}

// TestMain sets default flags for rapid, so that each run of the tests generates the same cases.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "5000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

func (s *cluster) start(i int) {
	s.incarnations++
	w := newTestVM(cs.VMID(fmt.Sprint("vm", i)), s.incarnations)
	w.now, w.Started = s.now, s.now
	for j := range s.vms {
		if j != i {
			w.link(cs.VMID(fmt.Sprint("vm", j)))
		}
	}
	s.vms[i], s.highest[i] = w, map[cs.Scope]cs.TicketNumber{}
}

// tick runs a tick of a VM, collects its actions and checks that no ticket number in force
// decreases.
func (s *cluster) tick(i int, events ...fleet.Event) {
	w := s.vms[i]
	w.now = s.now
	for _, a := range w.tick(events...) {
		switch a := a.(type) {
		case fleet.Append:
			s.appends = append(s.appends, a.Batch)
		case fleet.Send:
			s.messages = append(s.messages, fleet.PeerMessageReceived{From: w.Self.ID, Message: a.Message})
			s.recipients = append(s.recipients, a.To)
		case fleet.AnswerTicket:
			if _, twice := s.answers[a.ID]; twice {
				s.rt.Fatalf("%s answers query %d twice", w.Self.ID, a.ID)
			}
			s.answers[a.ID] = a
		}
	}
	for scope, row := range w.Tickets.All() {
		if before := s.highest[i][scope]; row.Ticket.Number < before {
			s.rt.Fatalf("%s: %s goes from %d back to %d", w.Self.ID, scope, before, row.Ticket.Number)
		}
		s.highest[i][scope] = row.Ticket.Number
	}
}

func (s *cluster) step(i int) {
	w, draw := s.vms[i], func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(s.rt, what) }
	s.now += cs.Instant(rapid.SampledFrom([]int{1, 60, 1000, 4000}).Draw(s.rt, "ms"))
	switch draw(10, "step") {
	case 0, 1:
		id := uint64(len(s.asked) + 1)
		s.asked[id] = ticketOf(cs.TicketNumber(1+draw(9, "number")), fmt.Sprint("x", draw(2, "scope")), fmt.Sprint("o", id))
		s.tick(i, fleet.TicketSubmitted{ID: id, Ticket: s.asked[id]})
	case 2, 3, 4:
		s.read(i, w.TicketLog.Next+cs.Offset(draw(4, "batches")))
	case 5, 6:
		if len(s.appends) > 0 {
			s.append(draw(len(s.appends), "append"), draw(4, "result"))
		}
	case 7, 8:
		if n := len(s.messages); n > 0 {
			k := draw(n, "message")
			for j, v := range s.vms {
				if v.Self.ID == s.recipients[k] {
					s.tick(j, s.messages[k])
				}
			}
			s.messages, s.recipients = append(s.messages[:k:k], s.messages[k+1:]...), append(s.recipients[:k:k], s.recipients[k+1:]...)
		}
	case 9:
		if draw(3, "restart") == 0 {
			s.start(i)
			return
		}
		s.tick(i, fleet.PeerMessageReceived{From: s.vms[(i+1)%len(s.vms)].Self.ID, Message: cs.Heartbeat{Highest: cs.TicketNumber(draw(10, "highest"))}})
	}
}

// append decides the result of the k-th append: 0 stored and no error reported, 1 stored but
// reported as failed, 2 reported as failed and still in transit, 3 not stored and reported so.
func (s *cluster) append(k, result int) {
	b := s.appends[k]
	failed := fleet.AppendFailed{Stream: cs.TicketStream, Seq: b.Seq}
	if result < 2 {
		s.log = append(s.log, loggedAt(cs.Offset(len(s.log)), s.now, b))
	}
	if result != 2 { // with result 2, it is stored by a later call
		s.appends = append(s.appends[:k:k], s.appends[k+1:]...)
	}
	failed.NotAppended = result == 3
	for i, w := range s.vms {
		if result > 0 && w.Self.Incarnation == b.Writer {
			s.tick(i, failed)
		}
	}
}

func (s *cluster) read(i int, next cs.Offset) {
	from := s.vms[i].TicketLog.Next
	next = min(next, cs.Offset(len(s.log)))
	s.tick(i, fleet.LogRead{Stream: cs.TicketStream, Next: next, End: int(next) == len(s.log), Batches: s.log[from:next]})
}

// expected returns the tickets that are accepted by the order of the log, by number, and those in
// force at its end.
func (s *cluster) expected() (accepted map[cs.TicketNumber]cs.Ticket, inForce map[cs.Scope]cs.TicketNumber) {
	accepted, inForce = map[cs.TicketNumber]cs.Ticket{}, map[cs.Scope]cs.TicketNumber{}
	used := map[cs.TicketNumber]bool{}
	for _, b := range s.log {
		for _, r := range b.Batch.Records {
			k := r.(cs.TicketRecorded).Ticket
			if !used[k.Number] && k.Number > inForce[k.State.Scope()] {
				accepted[k.Number], inForce[k.State.Scope()] = k, k.Number
			}
			used[k.Number] = true
		}
	}
	return accepted, inForce
}

// TestTicketsAgree guards against VMs that disagree about tickets, return to a lower number, or
// give an answer that contradicts the order of the log.
func TestTicketsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &cluster{
			rt: rt, now: start, vms: make([]*testVM, 3), highest: make([]map[cs.Scope]cs.TicketNumber, 3),
			asked: map[uint64]cs.Ticket{}, answers: map[uint64]fleet.AnswerTicket{},
		}
		for i := range s.vms {
			s.start(i)
		}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			s.step(rapid.IntRange(0, 2).Draw(rt, "vm"))
		}
		for len(s.appends) > 0 {
			s.append(0, 0) // arrives late
		}
		accepted, inForce := s.expected()
		for i := range s.vms {
			s.read(i, cs.Offset(len(s.log)))
			got := map[cs.Scope]cs.TicketNumber{}
			for scope, row := range s.vms[i].Tickets.All() {
				got[scope] = row.Ticket.Number
			}
			if !maps.Equal(got, inForce) {
				rt.Fatalf("vm%d has %v in force, the log %v", i, got, inForce)
			}
		}
		for id, a := range s.answers {
			k := s.asked[id]
			isAccepted := accepted[k.Number].Operator == k.Operator
			notRun := a.Refusal != nil && a.Refusal.Ran == cs.RanNotRun
			if a.Refusal == nil && !isAccepted || notRun && isAccepted {
				rt.Fatalf("ticket %d by %s: answer %v, accepted in the log: %t", k.Number, k.Operator, a.Refusal, isAccepted)
			}
		}
	})
}
