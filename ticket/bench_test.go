package ticket

import (
	"fmt"
	"testing"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// newLoadedTestVM returns a VM in a fleet of 390, with links to 107 of them and 11,000 tickets in
// force.
func newLoadedTestVM() *testVM {
	w := newTestVM("a", 1)
	for i := range 390 {
		id := cs.VMID(fmt.Sprintf("vm-%03d", i))
		w.link(id)
		w.VMs.Get(id).Linked = i < 107
	}
	var tickets []cs.Ticket
	for i := range 11_000 {
		tickets = append(tickets, cs.Ticket{
			Number: cs.TicketNumber(i + 1), Operator: "o",
			State: cs.TenantLimits{Tenant: cs.TenantID(fmt.Sprint("tenant-", i)), MaxOnline: 5},
		})
	}
	w.tick(w.logged(0, tickets...))
	return w
}

// BenchmarkDecide measures a tick that reads tickets and sends them to the linked VMs, by the
// number of tickets.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("tickets=%d", n), func(b *testing.B) {
			w := newLoadedTestVM()
			next, number := w.TicketLog.Next, cs.TicketNumber(20_000)
			tickets := make([]cs.Ticket, n)
			var out fleet.Actions
			b.ReportAllocs()
			for b.Loop() {
				for i := range tickets {
					number++
					tickets[i] = ticketOf(number, fmt.Sprint("x", i%20), "o")
				}
				w.now += 100
				w.Events = []fleet.Event{w.logged(next, tickets...)}
				next += cs.Offset(n)
				Decide(w.Tables, w.now, &out)
				out.Reset()
			}
		})
	}
}

// BenchmarkIdle measures a tick without events.
func BenchmarkIdle(b *testing.B) {
	w := newLoadedTestVM()
	b.ReportAllocs()
	for b.Loop() {
		w.tick()
	}
}

// BenchmarkRetention measures the check for tickets to rewrite when none is due, and when more are
// due than one check ranks.
func BenchmarkRetention(b *testing.B) {
	for _, due := range []bool{false, true} {
		b.Run(fmt.Sprint("due=", due), func(b *testing.B) {
			w := newLoadedTestVM()
			if due {
				w.now += cs.Instant(w.Config.Retention * 2 / 5)
			}
			for b.Loop() {
				for _, row := range w.Tickets.All() {
					row.CheckedAt = 0
				}
				w.TicketLog.Rewrites = w.TicketLog.Rewrites[:0]
				queueRewrites(w.Tables, w.now)
			}
		})
	}
}
