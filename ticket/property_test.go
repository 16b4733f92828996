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

// site is several VMs with one log, where appends, their answers and messages get lost or come late.
type site struct {
	rt      *rapid.T
	now     cs.Instant
	vms     []*world
	log     []cs.LoggedBatch
	appends []cs.LogBatch // on their way to the log
	sends   []fleet.PeerSaid
	to      []cs.VMID // of sends
	asked   map[uint64]cs.Ticket
	answers map[uint64]fleet.AnswerTicket
	highest []map[cs.Scope]cs.TicketNumber // by VM, since its start
	starts  cs.Incarnation
}

// TestMain sets defaults for the flags of rapid, so that a run without flags gives the same verdict
// each time.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "5000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

func (s *site) start(i int) {
	s.starts++
	w := newWorld(cs.VMID(fmt.Sprint("vm", i)), s.starts)
	w.now, w.Started = s.now, s.now
	for j := range s.vms {
		if j != i {
			w.link(cs.VMID(fmt.Sprint("vm", j)))
		}
	}
	s.vms[i], s.highest[i] = w, map[cs.Scope]cs.TicketNumber{}
}

// tick runs a VM, takes over its actions and checks that no number goes down.
func (s *site) tick(i int, events ...fleet.Event) {
	w := s.vms[i]
	w.now = s.now
	for _, a := range w.tick(events...) {
		switch a := a.(type) {
		case fleet.Append:
			s.appends = append(s.appends, a.Batch)
		case fleet.Send:
			s.sends = append(s.sends, fleet.PeerSaid{From: w.Self.ID, Message: a.Message})
			s.to = append(s.to, a.To)
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

func (s *site) step(i int) {
	w, draw := s.vms[i], func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(s.rt, what) }
	s.now += cs.Instant(rapid.SampledFrom([]int{1, 60, 1000, 4000}).Draw(s.rt, "ms"))
	switch draw(10, "step") {
	case 0, 1:
		id := uint64(len(s.asked) + 1)
		s.asked[id] = ticketOf(cs.TicketNumber(1+draw(9, "number")), fmt.Sprint("x", draw(2, "scope")), fmt.Sprint("o", id))
		s.tick(i, fleet.TicketAsked{ID: id, Ticket: s.asked[id]})
	case 2, 3, 4:
		s.read(i, w.TicketLog.Next+cs.Offset(draw(4, "batches")))
	case 5, 6:
		if len(s.appends) > 0 {
			s.append(draw(len(s.appends), "append"), draw(4, "fate"))
		}
	case 7, 8:
		if n := len(s.sends); n > 0 {
			k := draw(n, "message")
			for j, v := range s.vms {
				if v.Self.ID == s.to[k] {
					s.tick(j, s.sends[k])
				}
			}
			s.sends, s.to = append(s.sends[:k:k], s.sends[k+1:]...), append(s.to[:k:k], s.to[k+1:]...)
		}
	case 9:
		if draw(3, "restart") == 0 {
			s.start(i)
			return
		}
		s.tick(i, fleet.PeerSaid{From: s.vms[(i+1)%len(s.vms)].Self.ID, Message: cs.Heartbeat{Highest: cs.TicketNumber(draw(10, "highest"))}})
	}
}

// append lets an append reach the log or not, with or without an answer to its sender.
func (s *site) append(k, fate int) {
	b := s.appends[k]
	failed := fleet.AppendFailed{Stream: cs.TicketStream, Seq: b.Seq}
	if fate < 2 {
		s.log = append(s.log, loggedAt(cs.Offset(len(s.log)), s.now, b))
	}
	if fate != 2 { // 2: it fails for the sender now, but arrives later
		s.appends = append(s.appends[:k:k], s.appends[k+1:]...)
	}
	failed.NotAppended = fate == 3
	for i, w := range s.vms {
		if fate > 0 && w.Self.Incarnation == b.Writer {
			s.tick(i, failed)
		}
	}
}

func (s *site) read(i int, next cs.Offset) {
	from := s.vms[i].TicketLog.Next
	next = min(next, cs.Offset(len(s.log)))
	s.tick(i, fleet.LogRead{Stream: cs.TicketStream, Next: next, End: int(next) == len(s.log), Batches: s.log[from:next]})
}

// judge returns the tickets that the log's order accepts, by number, and those in force at its end.
func (s *site) judge() (accepted map[cs.TicketNumber]cs.Ticket, inForce map[cs.Scope]cs.TicketNumber) {
	accepted, inForce = map[cs.TicketNumber]cs.Ticket{}, map[cs.Scope]cs.TicketNumber{}
	used := map[cs.TicketNumber]bool{}
	for _, b := range s.log {
		for _, r := range b.Batch.Records {
			k := r.(cs.TicketFiled).Ticket
			if !used[k.Number] && k.Number > inForce[k.State.Scope()] {
				accepted[k.Number], inForce[k.State.Scope()] = k, k.Number
			}
			used[k.Number] = true
		}
	}
	return accepted, inForce
}

// TestTicketsAgree guards against VMs that disagree about tickets, go back to a lower number, or
// give an answer that the order of the log contradicts.
func TestTicketsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &site{
			rt: rt, now: start, vms: make([]*world, 3), highest: make([]map[cs.Scope]cs.TicketNumber, 3),
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
		accepted, inForce := s.judge()
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
