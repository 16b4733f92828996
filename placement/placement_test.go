package placement

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// TestOrder guards against orders without the ticket's fencing token, too many concurrent loads,
// orders of a sender that has just taken over, and unloads that leave a model without enough
// runners. Each runner is in turn the one to which this VM may send orders.
func TestOrder(t *testing.T) {
	const now cs.Instant = 1_000_000
	old, fresh := cs.LoadedModel{Model: "m", Version: "1"}, cs.LoadedModel{Model: "m", Version: "2"}
	for _, c := range []struct {
		name          string
		loaded        [][]cs.LoadedModel
		sinceTakeover cs.Span
		load, unload  int
	}{
		{"two concurrent loads", [][]cs.LoadedModel{nil, nil, nil}, cs.Minute, 2, 0},
		{"sender has just taken over", [][]cs.LoadedModel{nil, nil, nil}, cs.Second, 0, 0},
		{"runner with the old version loads first", [][]cs.LoadedModel{{old}, {fresh}, {fresh}}, cs.Minute, 1, 0},
		{"unload the old version", [][]cs.LoadedModel{{old, fresh}, {fresh}, nil}, cs.Minute, 0, 1},
		{"too few runners with the new version to unload", [][]cs.LoadedModel{{old, fresh}, nil, nil}, cs.Minute, 1, 0},
	} {
		load, unload := 0, 0
		for sender := range c.loaded {
			tables := fleet.New(fleet.DefaultConfig(), cs.VM{ID: "vm"}, now, 1)
			d := cs.Deployment{Name: "d", Service: "g", Model: "m", Version: "2", MinRunners: 2}
			tables.Tickets.Insert(d.Scope(), fleet.Ticket{LoggedTicket: cs.LoggedTicket{Offset: 7, Ticket: cs.Ticket{State: d}}})
			for i, l := range c.loaded {
				id := cs.RunnerID(fmt.Sprint("r", i))
				r := fleet.Runner{Runner: cs.Runner{ID: id, Service: "g"}, SenderSince: now - cs.Instant(c.sinceTakeover), Report: cs.LoadReport{Loaded: l}}
				if i == sender {
					r.Sender = "vm"
					tables.Events = []fleet.Event{fleet.LoadReceived{Runner: id}}
				}
				tables.Runners.Insert(id, r)
			}
			var out fleet.Actions
			Order(tables, now, &out)
			Order(tables, now, &out) // must add no second order
			for _, a := range out.List {
				if o, ok := a.(fleet.OrderRunner); ok {
					qt.Check(t, o.Order.Fence, qt.Equals, cs.Offset(7))
					load += 1 - int(o.Order.Kind)
					unload += int(o.Order.Kind)
				}
			}
		}
		qt.Check(t, load, qt.Equals, c.load, qt.Commentf(c.name))
		qt.Check(t, unload, qt.Equals, c.unload, qt.Commentf(c.name))
	}
}
