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
	vm := newTestVM("a", 1)
	for i := range 390 {
		id := cs.VMID(fmt.Sprintf("vm-%03d", i))
		vm.link(id)
		vm.VMs.Get(id).Linked = i < 107
	}
	var tickets []cs.Ticket
	for i := range 11_000 {
		tickets = append(tickets, cs.Ticket{
			Number: cs.TicketNumber(i + 1), Operator: "o",
			State: cs.TenantLimits{Tenant: cs.TenantID(fmt.Sprint("tenant-", i)), MaxOnline: 5},
		})
	}
	vm.tick(vm.logged(0, tickets...))
	return vm
}

// BenchmarkDecide measures a tick that reads tickets and sends them to the linked VMs, by the
// number of tickets.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("tickets=%d", n), func(b *testing.B) {
			vm := newLoadedTestVM()
			next, number := vm.TicketLog.Next, cs.TicketNumber(20_000)
			tickets := make([]cs.Ticket, n)
			var out fleet.Actions
			b.ReportAllocs()
			for b.Loop() {
				for i := range tickets {
					number++
					tickets[i] = ticketOf(number, fmt.Sprint("x", i%20), "o")
				}
				vm.now += 100
				vm.Events = []fleet.Event{vm.logged(next, tickets...)}
				next += cs.Offset(n)
				Decide(vm.Tables, vm.now, &out)
				out.Reset()
			}
		})
	}
}

// BenchmarkIdle measures a tick without events.
func BenchmarkIdle(b *testing.B) {
	vm := newLoadedTestVM()
	b.ReportAllocs()
	for b.Loop() {
		vm.tick()
	}
}

// BenchmarkRetention measures the check for tickets to rewrite when none is due, and when more are
// due than one check ranks.
func BenchmarkRetention(b *testing.B) {
	for _, due := range []bool{false, true} {
		b.Run(fmt.Sprint("due=", due), func(b *testing.B) {
			vm := newLoadedTestVM()
			if due {
				vm.now += cs.Instant(vm.Config.Retention * 2 / 5)
			}
			for b.Loop() {
				for _, row := range vm.Tickets.All() {
					row.CheckedAt = 0
				}
				vm.TicketLog.Rewrites = vm.TicketLog.Rewrites[:0]
				queueRewrites(vm.Tables, vm.now)
			}
		})
	}
}
