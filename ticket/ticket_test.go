package ticket

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const start cs.Instant = 1_000_000

// testVM runs Decide on the tables of one VM.
type testVM struct {
	*fleet.Tables
	now  cs.Instant
	wake cs.Instant
}

func newTestVM(id cs.VMID, n cs.Incarnation) *testVM {
	self := cs.VM{ID: id, Incarnation: n, DataCentre: "a"}
	vm := &testVM{Tables: fleet.New(fleet.DefaultConfig(), self, start, uint64(n)), now: start}
	vm.VMs.Insert(id, fleet.VM{VM: self, Live: true})
	return vm
}

// link adds a row of a linked VM.
func (vm *testVM) link(id cs.VMID) {
	vm.VMs.Insert(id, fleet.VM{VM: cs.VM{ID: id}, Live: true, Linked: true})
}

func (vm *testVM) tick(events ...fleet.Event) []fleet.Action {
	var out fleet.Actions
	vm.Events = events
	Decide(vm.Tables, vm.now, &out)
	vm.wake = out.NextWake()
	return out.List
}

// advance advances the time. While the log is up, each tick has a read without batches.
func (vm *testVM) advance(s cs.Span, logUp bool) []fleet.Action {
	var all []fleet.Action
	for end := vm.now.Add(s); vm.now < end; {
		vm.now = min(end, max(vm.wake, vm.now+2), vm.now+1000)
		if logUp {
			all = append(all, vm.tick(vm.logged(vm.TicketLog.Next))...)
			continue
		}
		all = append(all, vm.tick()...)
	}
	return all
}

// logged returns a read of tickets, one batch each, from an offset on.
func (vm *testVM) logged(from cs.Offset, tickets ...cs.Ticket) fleet.LogRead {
	r := fleet.LogRead{Stream: cs.TicketStream, Next: from, End: true}
	for _, ticket := range tickets {
		b := cs.LogBatch{Writer: 99, Records: []cs.Record{cs.TicketRecorded{Ticket: ticket}}}
		r.Batches = append(r.Batches, loggedAt(r.Next, vm.now, b))
		r.Next++
	}
	return r
}

func loggedAt(o cs.Offset, at cs.Instant, b cs.LogBatch) cs.LoggedBatch {
	return cs.LoggedBatch{Offset: o, At: at, Batch: b}
}

func ticketOf(n cs.TicketNumber, name, operator string) cs.Ticket {
	return cs.Ticket{Number: n, Operator: operator, State: cs.Deployment{Name: name, Service: "s", Model: "m", Version: "v"}}
}

func actionsOf[A fleet.Action](actions []fleet.Action) []A {
	var found []A
	for _, a := range actions {
		if x, ok := a.(A); ok {
			found = append(found, x)
		}
	}
	return found
}

// submitResult is the answer to a submitted ticket; the zero value means that it was accepted.
type submitResult struct {
	refused bool
	reason  cs.Reason
	ran     cs.Ran
}

var (
	accepted    = submitResult{}
	conflicting = submitResult{true, cs.ReasonConflict, cs.RanNotRun}
	outdated    = submitResult{true, cs.ReasonStale, cs.RanNotRun}
	notSent     = submitResult{true, cs.ReasonUnavailable, cs.RanNotRun}
	unknown     = submitResult{true, cs.ReasonUnavailable, cs.RanUnknown}
)

// submitResults returns the answers to query 1.
func submitResults(actions []fleet.Action) []submitResult {
	var found []submitResult
	for _, a := range actionsOf[fleet.AnswerTicket](actions) {
		switch {
		case a.ID != 1:
		case a.Refusal == nil:
			found = append(found, accepted)
		default:
			found = append(found, submitResult{true, a.Refusal.Reason, a.Refusal.Ran})
		}
	}
	return found
}

// TestSubmit guards against a wrong answer to a submitted ticket. Each case starts with tickets 4
// (scope y), 6 (z) and 3 (x) read from the log; most then submit ticket 5 of scope x by operator o.
func TestSubmit(t *testing.T) {
	failed := fleet.AppendFailed{Stream: cs.TicketStream, Seq: 1}
	refused := fleet.AppendFailed{Stream: cs.TicketStream, Seq: 1, NotAppended: true}
	submitted := ticketOf(5, "x", "o")
	for _, c := range []struct {
		name   string
		ticket cs.Ticket
		after  func(vm *testVM) []fleet.Action
		want   submitResult
	}{
		{"invalid", cs.Ticket{Number: 5, Operator: "o"}, nil, submitResult{true, cs.ReasonInvalid, cs.RanNotRun}},
		{"number of another scope", ticketOf(4, "x", "o"), nil, conflicting},
		{"number with other content", ticketOf(3, "x", "p"), nil, conflicting},
		{"in force already", ticketOf(3, "x", "o"), nil, accepted},
		{"lower than the one in force", ticketOf(2, "x", "o"), nil, outdated},
		{"read back", submitted, func(vm *testVM) []fleet.Action { return vm.tick(vm.logged(3, submitted)) }, accepted},
		{"read by a peer", submitted, func(vm *testVM) []fleet.Action {
			return vm.tick(fleet.PeerMessageReceived{From: "p", Message: cs.TicketsReply{Tickets: []cs.LoggedTicket{{Ticket: submitted, Offset: 3}}}})
		}, accepted},
		{"number taken meanwhile", submitted, func(vm *testVM) []fleet.Action { return vm.tick(vm.logged(3, ticketOf(5, "x", "p"), submitted)) }, conflicting},
		{"higher one first", submitted, func(vm *testVM) []fleet.Action { return vm.tick(vm.logged(3, ticketOf(7, "x", "p"), submitted)) }, outdated},
		{"higher one after it, passed before", submitted, func(vm *testVM) []fleet.Action {
			vm.tick(fleet.PeerMessageReceived{From: "p", Message: cs.TicketsReply{Tickets: []cs.LoggedTicket{{Ticket: ticketOf(7, "x", "p"), Offset: 4}}}})
			return vm.tick(vm.logged(3, submitted))
		}, accepted},
		{"no answer from the log", submitted, func(vm *testVM) []fleet.Action { return vm.advance(11_000, true) }, unknown},
		{"append fails", submitted, func(vm *testVM) []fleet.Action { vm.tick(failed); return vm.advance(11_000, true) }, unknown},
		{"append refused each time", submitted, func(vm *testVM) (all []fleet.Action) {
			for range 1100 {
				vm.now += 10
				all = append(all, vm.tick(refused, vm.logged(3))...)
			}
			return all
		}, notSent},
		{"log down after the append", submitted, func(vm *testVM) []fleet.Action { return vm.advance(11_000, false) }, unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			vm := newTestVM("a", 1)
			vm.tick(vm.logged(0, ticketOf(4, "y", "o"), ticketOf(6, "z", "o"), ticketOf(3, "x", "o")))
			actions := vm.tick(fleet.TicketSubmitted{ID: 1, Ticket: c.ticket})
			if c.after != nil {
				qt.Assert(t, actionsOf[fleet.Append](actions), qt.HasLen, 1)
				qt.Assert(t, submitResults(actions), qt.HasLen, 0)
				actions = c.after(vm)
			}
			qt.Assert(t, slices.Equal(submitResults(actions), []submitResult{c.want}), qt.IsTrue, qt.Commentf("%+v", submitResults(actions)))
			qt.Assert(t, vm.PendingTickets.Len(), qt.Equals, 0)
		})
	}
}

// TestSubmitWithoutLog guards against an append, or a submission left waiting, while the log cannot
// be read.
func TestSubmitWithoutLog(t *testing.T) {
	vm := newTestVM("a", 1)
	vm.advance(5000, false)
	actions := vm.tick(fleet.TicketSubmitted{ID: 1, Ticket: ticketOf(5, "x", "o")})
	qt.Check(t, slices.Equal(submitResults(actions), []submitResult{notSent}), qt.IsTrue)
	qt.Check(t, actionsOf[fleet.Append](actions), qt.HasLen, 0)
}

// TestBatchResend guards against a new sequence number for a batch that is sent again, against two
// batches in flight and against repeated submissions that are not joined.
func TestBatchResend(t *testing.T) {
	vm := newTestVM("a", 1)
	vm.tick(vm.logged(0))
	sent := actionsOf[fleet.Append](vm.tick(fleet.TicketSubmitted{ID: 1, Ticket: ticketOf(5, "x", "o")}))
	vm.now += 100
	second := vm.tick(fleet.TicketSubmitted{ID: 2, Ticket: ticketOf(6, "x", "o")}, fleet.TicketSubmitted{ID: 3, Ticket: ticketOf(5, "x", "o")})
	qt.Assert(t, actionsOf[fleet.Append](second), qt.HasLen, 0)
	again := actionsOf[fleet.Append](vm.advance(1950, true))
	qt.Assert(t, again, qt.DeepEquals, sent)
	r := fleet.LogRead{Stream: cs.TicketStream, Next: 1, End: true, Batches: []cs.LoggedBatch{loggedAt(0, vm.now, sent[0].Batch)}}
	actions := vm.tick(r)
	qt.Assert(t, actionsOf[fleet.AnswerTicket](actions), qt.DeepEquals, []fleet.AnswerTicket{{ID: 1}, {ID: 3}})
	next := actionsOf[fleet.Append](append(actions, vm.advance(60, true)...))
	qt.Assert(t, next, qt.HasLen, 1)
	qt.Assert(t, next[0].Batch.Seq, qt.Equals, cs.Seq(2))
}

// TestBroadcast guards against VMs without access to the log that get no tickets, and against
// needless messages.
func TestBroadcast(t *testing.T) {
	vm := newTestVM("a", 1)
	vm.link("b")
	first := vm.tick(vm.logged(0, ticketOf(1, "x", "o")))
	qt.Assert(t, actionsOf[fleet.Send](first), qt.HasLen, 0) // a VM that starts replays what its peers know
	second := ticketOf(2, "x", "o")
	wantSend := fleet.Send{To: "b", Message: cs.TicketsReply{Tickets: []cs.LoggedTicket{{Ticket: second, Offset: 1}}}}
	qt.Assert(t, actionsOf[fleet.Send](vm.tick(vm.logged(1, second))), qt.DeepEquals, []fleet.Send{wantSend})
	qt.Assert(t, actionsOf[fleet.Send](vm.tick(vm.logged(2, second))), qt.HasLen, 0) // a rewrite of the same ticket
	answer := vm.tick(fleet.PeerMessageReceived{From: "b", Message: cs.TicketsRequest{}})
	qt.Assert(t, actionsOf[fleet.Send](answer), qt.DeepEquals, []fleet.Send{wantSend})
}

// TestRequestTickets guards against a VM that stays behind its peers, and against floods of
// requests.
func TestRequestTickets(t *testing.T) {
	requestsSent := func(vm *testVM, events ...fleet.Event) int { return len(actionsOf[fleet.Send](vm.tick(events...))) }
	opened := fleet.LinkOpened{VM: cs.VM{ID: "p"}}
	ahead := fleet.PeerMessageReceived{From: "p", Message: cs.Heartbeat{Highest: 9, Tickets: 3}}

	vm := newTestVM("a", 1)
	qt.Check(t, requestsSent(vm, opened, opened, ahead), qt.Equals, 1) // the log is not read yet

	vm = newTestVM("a", 1)
	vm.link("p")
	vm.tick(vm.logged(0))
	qt.Check(t, requestsSent(vm, opened, ahead), qt.Equals, 0)
	qt.Check(t, actionsOf[fleet.Send](vm.advance(1900, true)), qt.HasLen, 0)
	qt.Check(t, actionsOf[fleet.Send](vm.advance(200, true)), qt.HasLen, 1) // the log did not provide them
	total := 0
	for range 300 {
		vm.now += 1000
		total += requestsSent(vm, ahead, vm.logged(0))
	}
	qt.Check(t, total < 10, qt.IsTrue, qt.Commentf("%d requests in 5 minutes", total))

	vm = newTestVM("a", 1)
	vm.link("p")
	qt.Check(t, requestsSent(vm, fleet.LogRead{Stream: cs.TicketStream, First: 7, Next: 7, End: true}), qt.Equals, 1) // the read skipped offsets
}

// TestRetention guards against tickets in force whose records the log drops, and against every VM
// rewriting all of them.
func TestRetention(t *testing.T) {
	const scopes = 300
	writers := map[cs.Scope]int{}
	for _, id := range []cs.VMID{"a", "b", "c"} {
		vm := newTestVM(id, 1)
		for _, other := range []cs.VMID{"a", "b", "c"} {
			if other != id {
				vm.link(other)
			}
		}
		var tickets []cs.Ticket
		for i := range scopes {
			tickets = append(tickets, ticketOf(cs.TicketNumber(i+1), fmt.Sprint("x", i), "o"))
		}
		vm.tick(vm.logged(0, tickets...))
		qt.Assert(t, actionsOf[fleet.Append](vm.advance(9*cs.Hour, true)), qt.HasLen, 0)
		for _, a := range actionsOf[fleet.Append](vm.advance(cs.Hour, true)) {
			if a.Batch.Seq > 2 {
				continue // a resend, since the test reads nothing back
			}
			for _, r := range a.Batch.Records {
				writers[r.(cs.TicketRecorded).Ticket.State.Scope()]++
			}
		}
	}
	qt.Assert(t, len(writers), qt.Equals, scopes)
}

// TestNumberReuse guards against a ticket number that counts twice, and against VMs that disagree
// about a number whose records the log has dropped.
func TestNumberReuse(t *testing.T) {
	vm := newTestVM("a", 1)
	day := vm.Config.Retention
	vm.tick(vm.logged(0, ticketOf(1, "x", "o"), ticketOf(2, "x", "o")))
	vm.tick(vm.logged(2, ticketOf(1, "y", "o")))
	qt.Check(t, vm.Tickets.Get("deployment/y"), qt.IsNil)
	vm.now += cs.Instant(day) + 1
	vm.tick(vm.logged(3, ticketOf(1, "y", "o"), ticketOf(2, "y", "o")))
	qt.Check(t, vm.Tickets.Get("deployment/y").Ticket.Number, qt.Equals, cs.TicketNumber(1))
	qt.Check(t, vm.Tickets.Get("deployment/x").Ticket.Number, qt.Equals, cs.TicketNumber(2))
}
