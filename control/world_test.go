package control_test

import (
	"container/heap"
	"fmt"
	"testing"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/control"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/membership"
)

const (
	centres  = 9
	minTick  = 2 * cs.Millisecond
	prefill  = 100 * cs.Millisecond
	tokenGap = 30 * cs.Millisecond
	tokens   = 437 // of an answer: 14 million tokens for 32,000 requests
	started  = cs.Instant(1_000_000)
	// slots of a runner are so many that a fleet of any size has room for the requests of a VM.
	slots = 4096
)

// size is the size of a fleet as one VM sees it.
type size struct{ vms, runners, tenants int }

// sizes grow from a site of today to the target scale.
var sizes = []size{{21, 18, 50}, {130, 1200, 3700}, {390, 3700, 11_000}}

func (s size) String() string {
	return fmt.Sprintf("vms=%d/runners=%d/tenants=%d", s.vms, s.runners, s.tenants)
}

// load is what comes to a VM in a second besides a heartbeat of each peer.
type load struct {
	requests int     // online requests
	reports  float64 // load reports of each runner of the data centre
	lists    bool    // a list
	tickets  int     // tickets read from the log
}

// world is the control state of one VM with virtual time, in which runners answer at a fixed pace.
type world struct {
	*fleet.Tables
	now     cs.Instant
	systems []fleet.System
	out     fleet.Actions
	due     events
	list    fleet.ListRead
	near    []cs.Runner
	peers   []cs.VMID
	ids     int
}

// event is an event that is due at an instant.
type event struct {
	at cs.Instant
	e  fleet.Event
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at < q[j].at }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any          { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

// listOf returns the platform's list of a fleet.
func listOf(s size) fleet.ListRead {
	var list fleet.ListRead
	for i := range s.vms {
		list.VMs = append(list.VMs, cs.VM{
			ID: cs.VMID(fmt.Sprintf("vm-%03d", i)), Incarnation: 1, DataCentre: centreOf(i),
			Address: cs.Address(fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250)),
		})
	}
	for i := range s.runners {
		list.Runners = append(list.Runners, cs.Runner{
			ID: cs.RunnerID(fmt.Sprintf("runner-%04d", i)), Kind: cs.KindEngine, Service: "models", Incarnation: 1,
			DataCentre: centreOf(i), Address: cs.Address(fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250)), Slots: slots,
		})
	}
	return list
}

func centreOf(i int) cs.DataCentreID { return cs.DataCentreID(fmt.Sprint("dc-", i%centres)) }

// newWorld returns the first VM of a fleet with all links, reports and tickets.
func newWorld(s size) *world {
	w := &world{now: started, systems: control.Systems(), list: listOf(s)}
	w.Tables = fleet.New(fleet.DefaultConfig(), w.list.VMs[0], started, 1)
	w.tick(w.list)
	w.peers = membership.Peers(w.Self, w.list.VMs, w.Config.CrossLinks)
	for _, id := range w.peers {
		w.tick(fleet.LinkOpened{VM: w.VMs.Get(id).VM})
	}
	for _, r := range w.list.Runners {
		if r.DataCentre == w.Self.DataCentre {
			w.near = append(w.near, r)
			w.tick(w.report(r.ID))
		}
	}
	w.tick(w.tickets(s.tenants))
	w.now++
	return w
}

// tick runs all systems on the events and takes care of the actions that a VM answers itself.
func (w *world) tick(es ...fleet.Event) {
	w.Events = append(w.Events[:0], es...)
	w.out.Reset()
	for _, system := range w.systems {
		system(w.Tables, w.now, &w.out)
	}
	for _, a := range w.out.List {
		switch a := a.(type) {
		case fleet.Dispatch:
			w.answer(a)
		case fleet.Send:
			if a.To == w.Self.ID {
				w.at(w.now+1, fleet.PeerSaid{From: a.To, Message: a.Message})
			}
		default:
		}
	}
}

func (w *world) at(at cs.Instant, e fleet.Event) { heap.Push(&w.due, event{at, e}) }

// answer posts the events of a whole answer.
func (w *world) answer(d fleet.Dispatch) {
	w.at(w.now.Add(prefill), fleet.RequestFirstToken{ID: d.ID, Attempt: d.Attempt, Took: prefill})
	took := prefill + tokens*tokenGap
	w.at(w.now.Add(took), fleet.RequestEnded{ID: d.ID, Attempt: d.Attempt, Result: fleet.RunWhole{
		Tokens: tokens, FirstToken: prefill, Took: took, Gap: tokenGap, Load: cs.Load{Running: 20, Slots: slots},
	}})
}

func (w *world) report(id cs.RunnerID) fleet.LoadReported {
	return fleet.LoadReported{Runner: id, Report: cs.LoadReport{
		Load: cs.Load{Running: 20, Slots: slots}, At: w.now, Loaded: []cs.LoadedModel{{Model: "m", Version: "1"}},
	}}
}

// tickets returns a read of the ticket stream with new limits of n tenants.
func (w *world) tickets(n int) fleet.LogRead {
	s := &w.TicketLog
	read := fleet.LogRead{Stream: cs.TicketStream, Next: s.Next + cs.Offset(n), End: true}
	for i := range n {
		w.ids++
		read.Batches = append(read.Batches, cs.LoggedBatch{Offset: s.Next + cs.Offset(i), At: w.now, Batch: cs.LogBatch{
			Writer: 1, VM: w.Self.ID, Seq: cs.Seq(w.ids), Records: []cs.Record{cs.TicketFiled{Ticket: cs.Ticket{
				Number: cs.TicketNumber(w.ids), Operator: "operator",
				State: cs.TenantLimits{Tenant: cs.TenantID(fmt.Sprint("tenant-", i)), MaxOnline: 500},
			}}},
		}})
	}
	return read
}

func (w *world) request(i int) fleet.RequestArrived {
	w.ids++
	tenants := max(w.Tickets.Len(), 1)
	return fleet.RequestArrived{Request: cs.Request{
		ID: cs.RequestID(fmt.Sprint("vm-000-", w.ids)), Tenant: cs.TenantID(fmt.Sprint("tenant-", i%tenants)),
		Target: cs.Generation{Model: "m", Prompt: "prompt", MaxTokens: tokens}, Deadline: w.now.Add(cs.Minute),
		Hash: cs.ContentHash(w.ids),
	}}
}

func (w *world) beat(from cs.VMID) fleet.PeerSaid {
	return fleet.PeerSaid{From: from, Message: cs.Heartbeat{Highest: w.TicketLog.Highest, Tickets: w.Tickets.Len()}}
}

// plan spreads the events of a second evenly over it.
func (w *world) plan(l load) {
	spread := func(n int, e func(i int) fleet.Event) {
		for i := range n {
			w.at(w.now.Add(cs.Second*cs.Span(i)/cs.Span(n)), e(i))
		}
	}
	spread(l.requests, func(int) fleet.Event { return w.request(w.ids) })
	spread(int(l.reports*float64(len(w.near))), func(i int) fleet.Event { return w.report(w.near[i%len(w.near)].ID) })
	spread(len(w.peers), func(i int) fleet.Event { return w.beat(w.peers[i]) })
	if l.lists {
		w.at(w.now, w.list)
	}
	if l.tickets > 0 {
		w.at(w.now, w.tickets(l.tickets))
	}
}

// second runs a virtual second as the control loop does: a tick when an event or a due time comes,
// at least minTick after the last one, and one each 500 ms. It returns the number of ticks.
func (w *world) second(l load) (ticks int) {
	w.plan(l)
	for end := w.now.Add(cs.Second); w.now < end; ticks++ {
		var es []fleet.Event
		for len(w.due) > 0 && w.due[0].at <= w.now {
			es = append(es, heap.Pop(&w.due).(event).e)
		}
		w.tick(es...)
		next := w.now.Add(500 * cs.Millisecond)
		if wake := w.out.NextWake(); wake != 0 {
			next = min(next, wake)
		}
		if len(w.due) > 0 {
			next = min(next, w.due[0].at)
		}
		w.now = max(next, w.now.Add(minTick))
	}
	return ticks
}

// measure runs seconds of a load and reports the share of a core and the ticks of a second.
func (w *world) measure(b *testing.B, l load) {
	for range 15 { // to a steady number of answers in flight
		w.second(l)
	}
	ticks := 0
	b.ReportAllocs()
	for b.Loop() {
		ticks += w.second(l)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1e9*100, "%core")
	b.ReportMetric(float64(ticks)/float64(b.N), "ticks/s")
}
