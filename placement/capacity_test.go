package placement

import (
	"fmt"
	"testing"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// BenchmarkCapacityOrder measures the processing of one load report of a runner of which this VM is
// the batch sender, by the number of runners and tickets: with the deployed version on all runners,
// and in a rollout where all hold an old version and other runners load the new one first.
func BenchmarkCapacityOrder(b *testing.B) {
	const now cs.Instant = 1_000_000
	for _, rollout := range []bool{false, true} {
		for _, s := range []struct{ runners, tickets int }{{18, 50}, {1200, 3700}, {3700, 11_000}} {
			b.Run(fmt.Sprintf("rollout=%t/runners=%d/tickets=%d", rollout, s.runners, s.tickets), func(b *testing.B) {
				t := fleet.New(fleet.DefaultConfig(), cs.VM{ID: "vm"}, now, 1)
				put := func(state cs.ScopeState) {
					t.Tickets.Insert(state.Scope(), fleet.Ticket{LoggedTicket: cs.LoggedTicket{Offset: 7, Ticket: cs.Ticket{State: state}}})
				}
				for i := range s.tickets {
					put(cs.TenantLimits{Tenant: cs.TenantID(fmt.Sprint(i))})
				}
				d := cs.Deployment{Name: "d", Service: "g", Model: "m", Version: "2"}
				put(d)
				loaded := []cs.LoadedModel{{Model: "m", Version: "2"}}
				if rollout {
					loaded[0].Version = "1"
				}
				var last, first cs.RunnerID
				for i := range s.runners {
					id := cs.RunnerID(fmt.Sprintf("runner-%04d", i))
					t.Runners.Insert(id, fleet.Runner{Runner: cs.Runner{ID: id, Service: "g"}, Sender: "vm", Report: cs.LoadReport{Loaded: loaded}})
					key := string(d.Scope())
					if last == "" || cs.RendezvousWeight(key, string(id)) < cs.RendezvousWeight(key, string(last)) {
						last = id
					}
					first = id
				}
				if !rollout {
					last = first
				}
				t.Events = []fleet.Event{fleet.LoadReceived{Runner: last}}
				var out fleet.Actions
				for b.Loop() {
					out.Reset()
					Order(t, now, &out)
				}
			})
		}
	}
}
