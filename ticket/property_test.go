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
	submitted    map[uint64]cs.Ticket
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

func (c *cluster) start(i int) {
	c.incarnations++
	vm := newTestVM(cs.VMID(fmt.Sprint("vm", i)), c.incarnations)
	vm.now, vm.Started = c.now, c.now
	for j := range c.vms {
		if j != i {
			vm.link(cs.VMID(fmt.Sprint("vm", j)))
		}
	}
	c.vms[i], c.highest[i] = vm, map[cs.Scope]cs.TicketNumber{}
}

// tick runs a tick of a VM, collects its actions and checks that no ticket number in force
// decreases.
func (c *cluster) tick(i int, events ...fleet.Event) {
	vm := c.vms[i]
	vm.now = c.now
	for _, a := range vm.tick(events...) {
		switch a := a.(type) {
		case fleet.Append:
			c.appends = append(c.appends, a.Batch)
		case fleet.Send:
			c.messages = append(c.messages, fleet.PeerMessageReceived{From: vm.Self.ID, Message: a.Message})
			c.recipients = append(c.recipients, a.To)
		case fleet.AnswerTicket:
			if _, twice := c.answers[a.ID]; twice {
				c.rt.Fatalf("%s answers query %d twice", vm.Self.ID, a.ID)
			}
			c.answers[a.ID] = a
		}
	}
	for scope, row := range vm.Tickets.All() {
		if before := c.highest[i][scope]; row.Ticket.Number < before {
			c.rt.Fatalf("%s: %s goes from %d back to %d", vm.Self.ID, scope, before, row.Ticket.Number)
		}
		c.highest[i][scope] = row.Ticket.Number
	}
}

func (c *cluster) step(i int) {
	vm, draw := c.vms[i], func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(c.rt, what) }
	c.now += cs.Instant(rapid.SampledFrom([]int{1, 60, 1000, 4000}).Draw(c.rt, "ms"))
	switch draw(10, "step") {
	case 0, 1:
		id := uint64(len(c.submitted) + 1)
		c.submitted[id] = ticketOf(cs.TicketNumber(1+draw(9, "number")), fmt.Sprint("x", draw(2, "scope")), fmt.Sprint("o", id))
		c.tick(i, fleet.TicketSubmitted{ID: id, Ticket: c.submitted[id]})
	case 2, 3, 4:
		c.read(i, vm.TicketLog.Next+cs.Offset(draw(4, "batches")))
	case 5, 6:
		if len(c.appends) > 0 {
			c.append(draw(len(c.appends), "append"), draw(4, "result"))
		}
	case 7, 8:
		if n := len(c.messages); n > 0 {
			k := draw(n, "message")
			for j, v := range c.vms {
				if v.Self.ID == c.recipients[k] {
					c.tick(j, c.messages[k])
				}
			}
			c.messages, c.recipients = append(c.messages[:k:k], c.messages[k+1:]...), append(c.recipients[:k:k], c.recipients[k+1:]...)
		}
	case 9:
		if draw(3, "restart") == 0 {
			c.start(i)
			return
		}
		c.tick(i, fleet.PeerMessageReceived{From: c.vms[(i+1)%len(c.vms)].Self.ID, Message: cs.Heartbeat{Highest: cs.TicketNumber(draw(10, "highest"))}})
	}
}

// append decides the result of the k-th append: 0 stored and no error reported, 1 stored but
// reported as failed, 2 reported as failed and still in transit, 3 not stored and reported so.
func (c *cluster) append(k, result int) {
	b := c.appends[k]
	failed := fleet.AppendFailed{Stream: cs.TicketStream, Seq: b.Seq}
	if result < 2 {
		c.log = append(c.log, loggedAt(cs.Offset(len(c.log)), c.now, b))
	}
	if result != 2 { // with result 2, it is stored by a later call
		c.appends = append(c.appends[:k:k], c.appends[k+1:]...)
	}
	failed.NotAppended = result == 3
	for i, vm := range c.vms {
		if result > 0 && vm.Self.Incarnation == b.Writer {
			c.tick(i, failed)
		}
	}
}

func (c *cluster) read(i int, next cs.Offset) {
	from := c.vms[i].TicketLog.Next
	next = min(next, cs.Offset(len(c.log)))
	c.tick(i, fleet.LogRead{Stream: cs.TicketStream, Next: next, End: int(next) == len(c.log), Batches: c.log[from:next]})
}

// expected returns the tickets that are accepted by the order of the log, by number, and those in
// force at its end.
func (c *cluster) expected() (accepted map[cs.TicketNumber]cs.Ticket, inForce map[cs.Scope]cs.TicketNumber) {
	accepted, inForce = map[cs.TicketNumber]cs.Ticket{}, map[cs.Scope]cs.TicketNumber{}
	used := map[cs.TicketNumber]bool{}
	for _, b := range c.log {
		for _, r := range b.Batch.Records {
			ticket := r.(cs.TicketRecorded).Ticket
			if !used[ticket.Number] && ticket.Number > inForce[ticket.State.Scope()] {
				accepted[ticket.Number], inForce[ticket.State.Scope()] = ticket, ticket.Number
			}
			used[ticket.Number] = true
		}
	}
	return accepted, inForce
}

// TestTicketsAgree guards against VMs that disagree about tickets, return to a lower number, or
// give an answer that contradicts the order of the log.
func TestTicketsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &cluster{
			rt: rt, now: start, vms: make([]*testVM, 3), highest: make([]map[cs.Scope]cs.TicketNumber, 3),
			submitted: map[uint64]cs.Ticket{}, answers: map[uint64]fleet.AnswerTicket{},
		}
		for i := range c.vms {
			c.start(i)
		}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			c.step(rapid.IntRange(0, 2).Draw(rt, "vm"))
		}
		for len(c.appends) > 0 {
			c.append(0, 0) // arrives late
		}
		accepted, inForce := c.expected()
		for i := range c.vms {
			c.read(i, cs.Offset(len(c.log)))
			got := map[cs.Scope]cs.TicketNumber{}
			for scope, row := range c.vms[i].Tickets.All() {
				got[scope] = row.Ticket.Number
			}
			if !maps.Equal(got, inForce) {
				rt.Fatalf("vm%d has %v in force, the log %v", i, got, inForce)
			}
		}
		for id, a := range c.answers {
			ticket := c.submitted[id]
			isAccepted := accepted[ticket.Number].Operator == ticket.Operator
			notRun := a.Refusal != nil && a.Refusal.Ran == cs.RanNotRun
			if a.Refusal == nil && !isAccepted || notRun && isAccepted {
				rt.Fatalf("ticket %d by %s: answer %v, accepted in the log: %t", ticket.Number, ticket.Operator, a.Refusal, isAccepted)
			}
		}
	})
}
