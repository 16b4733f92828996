package placement

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// TestOrder guards against orders without the ticket's fence, too many loads at once, orders of a
// sender that has just taken over, and unloads that leave a model unserved.
func TestOrder(t *testing.T) {
	const now cs.Instant = 1_000_000
	old, fresh := cs.LoadedModel{Model: "m", Version: "1"}, cs.LoadedModel{Model: "m", Version: "2"}
	for _, c := range []struct {
		name         string
		loaded       [][]cs.LoadedModel
		since        cs.Span
		load, unload int
	}{
		{"two loads at once", [][]cs.LoadedModel{nil, nil, nil}, cs.Minute, 2, 0},
		{"settling", [][]cs.LoadedModel{nil, nil, nil}, cs.Second, 0, 0},
		{"old version first", [][]cs.LoadedModel{{old}, {fresh}, {fresh}}, cs.Minute, 1, 0},
		{"unload the old version", [][]cs.LoadedModel{{old, fresh}, {fresh}, nil}, cs.Minute, 0, 1},
		{"too few for an unload", [][]cs.LoadedModel{{old, fresh}, nil, nil}, cs.Minute, 1, 0},
	} {
		load, unload := 0, 0
		for sender := range c.loaded {
			tb := fleet.New(fleet.DefaultConfig(), cs.VM{ID: "vm"}, now, 1)
			d := cs.Deployment{Name: "d", Service: "g", Model: "m", Version: "2", MinRunners: 2}
			tb.Tickets.Insert(d.Scope(), fleet.Ticket{PlacedTicket: cs.PlacedTicket{Offset: 7, Ticket: cs.Ticket{State: d}}})
			for i, l := range c.loaded {
				id := cs.RunnerID(fmt.Sprint("r", i))
				r := fleet.Runner{Runner: cs.Runner{ID: id, Service: "g"}, SenderSince: now - cs.Instant(c.since), Report: cs.LoadReport{Loaded: l}}
				if i == sender {
					r.Sender = "vm"
					tb.Events = []fleet.Event{fleet.LoadReported{Runner: id}}
				}
				tb.Runners.Insert(id, r)
			}
			var out fleet.Actions
			Order(tb, now, &out)
			Order(tb, now, &out) // one order at a time
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
