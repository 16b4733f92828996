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
	dataCentres = 9
	minTick     = 2 * cs.Millisecond
	prefillTime = 100 * cs.Millisecond
	tokenGap    = 30 * cs.Millisecond
	// outputTokens is the mean length of an output: 14 million tokens for 32,000 requests.
	outputTokens = 437
	startTime    = cs.Instant(1_000_000)
	// runnerSlots is high enough for the smallest fleet to run all requests of the VM.
	runnerSlots = 4096
)

// fleetSize is the number of VMs, runners and tenants that one VM knows.
type fleetSize struct{ vms, runners, tenants int }

// fleetSizes range from a present-day installation to the target scale.
var fleetSizes = []fleetSize{{21, 18, 50}, {130, 1200, 3700}, {390, 3700, 11_000}}

func (s fleetSize) String() string {
	return fmt.Sprintf("vms=%d/runners=%d/tenants=%d", s.vms, s.runners, s.tenants)
}

// workload is the number of events per second that a VM gets in addition to a heartbeat of each peer.
type workload struct {
	requests int     // online requests
	reports  float64 // load reports of each runner of the VM's data centre
	listRead bool    // whether the platform's list is read
	tickets  int     // tickets read from the log
}

// simulation runs the systems of one VM in virtual time, with runners that generate at a fixed rate.
type simulation struct {
	*fleet.Tables
	now          cs.Instant
	systems      []fleet.System
	out          fleet.Actions
	scheduled    eventQueue
	list         fleet.ListRead
	localRunners []cs.Runner
	peers        []cs.VMID
	lastID       int
}

// timedEvent is an event with the time of its delivery.
type timedEvent struct {
	at cs.Instant
	e  fleet.Event
}

// eventQueue is a heap of events by their time.
type eventQueue []timedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any          { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

// platformList returns the platform's list for a fleet of the given size.
func platformList(s fleetSize) fleet.ListRead {
	var list fleet.ListRead
	for i := range s.vms {
		list.VMs = append(list.VMs, cs.VM{
			ID: cs.VMID(fmt.Sprintf("vm-%03d", i)), Incarnation: 1, DataCentre: dataCentreOf(i),
			Address: cs.Address(fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250)),
		})
	}
	for i := range s.runners {
		list.Runners = append(list.Runners, cs.Runner{
			ID: cs.RunnerID(fmt.Sprintf("runner-%04d", i)), Kind: cs.KindEngine, Service: "models", Incarnation: 1,
			DataCentre: dataCentreOf(i), Address: cs.Address(fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250)), Slots: runnerSlots,
		})
	}
	return list
}

func dataCentreOf(i int) cs.DataCentreID { return cs.DataCentreID(fmt.Sprint("dc-", i%dataCentres)) }

// newSimulation returns the first VM of a fleet, with all links open and all load reports and tickets
// received.
func newSimulation(s fleetSize) *simulation {
	sim := &simulation{now: startTime, systems: control.Systems(), list: platformList(s)}
	sim.Tables = fleet.New(fleet.DefaultConfig(), sim.list.VMs[0], startTime, 1)
	sim.tick(sim.list)
	sim.peers = membership.Peers(sim.Self, sim.list.VMs, sim.Config.CrossLinks)
	for _, id := range sim.peers {
		sim.tick(fleet.LinkOpened{VM: sim.VMs.Get(id).VM})
	}
	for _, r := range sim.list.Runners {
		if r.DataCentre == sim.Self.DataCentre {
			sim.localRunners = append(sim.localRunners, r)
			sim.tick(sim.report(r.ID))
		}
	}
	sim.tick(sim.tickets(s.tenants))
	sim.now++
	return sim
}

// tick runs all systems on the events, and schedules the events that follow from dispatches and from
// messages of the VM to itself.
func (sim *simulation) tick(events ...fleet.Event) {
	sim.Events = append(sim.Events[:0], events...)
	sim.out.Reset()
	for _, system := range sim.systems {
		system(sim.Tables, sim.now, &sim.out)
	}
	for _, a := range sim.out.List {
		switch a := a.(type) {
		case fleet.Dispatch:
			sim.scheduleRun(a)
		case fleet.Send:
			if a.To == sim.Self.ID {
				sim.at(sim.now+1, fleet.PeerMessageReceived{From: a.To, Message: a.Message})
			}
		default:
		}
	}
}

// at schedules an event for the given time.
func (sim *simulation) at(at cs.Instant, e fleet.Event) {
	heap.Push(&sim.scheduled, timedEvent{at, e})
}

// scheduleRun schedules the events of a dispatched request that runs to its end.
func (sim *simulation) scheduleRun(d fleet.Dispatch) {
	sim.at(sim.now.Add(prefillTime), fleet.RequestFirstToken{ID: d.ID, Attempt: d.Attempt, Duration: prefillTime})
	took := prefillTime + outputTokens*tokenGap
	sim.at(sim.now.Add(took), fleet.RequestEnded{ID: d.ID, Attempt: d.Attempt, Result: fleet.RunCompleted{
		Tokens: outputTokens, FirstToken: prefillTime, Duration: took, MeanTokenGap: tokenGap, Load: cs.Load{Running: 20, Slots: runnerSlots},
	}})
}

func (sim *simulation) report(id cs.RunnerID) fleet.LoadReceived {
	return fleet.LoadReceived{Runner: id, Report: cs.LoadReport{
		Load: cs.Load{Running: 20, Slots: runnerSlots}, At: sim.now, Loaded: []cs.LoadedModel{{Model: "m", Version: "1"}},
	}}
}

// tickets returns a read of the ticket stream that sets new limits for n tenants.
func (sim *simulation) tickets(n int) fleet.LogRead {
	s := &sim.TicketLog
	read := fleet.LogRead{Stream: cs.TicketStream, Next: s.Next + cs.Offset(n), End: true}
	for i := range n {
		sim.lastID++
		read.Batches = append(read.Batches, cs.LoggedBatch{Offset: s.Next + cs.Offset(i), At: sim.now, Batch: cs.LogBatch{
			Writer: 1, VM: sim.Self.ID, Seq: cs.Seq(sim.lastID), Records: []cs.Record{cs.TicketRecorded{Ticket: cs.Ticket{
				Number: cs.TicketNumber(sim.lastID), Operator: "operator",
				State: cs.TenantLimits{Tenant: cs.TenantID(fmt.Sprint("tenant-", i)), MaxOnline: 500},
			}}},
		}})
	}
	return read
}

func (sim *simulation) request(i int) fleet.RequestArrived {
	sim.lastID++
	tenants := max(sim.Tickets.Len(), 1)
	return fleet.RequestArrived{Request: cs.Request{
		ID: cs.RequestID(fmt.Sprint("vm-000-", sim.lastID)), Tenant: cs.TenantID(fmt.Sprint("tenant-", i%tenants)),
		Target: cs.Generation{Model: "m", Prompt: "prompt", MaxTokens: outputTokens}, Deadline: sim.now.Add(cs.Minute),
		Hash: cs.ContentHash(sim.lastID),
	}}
}

func (sim *simulation) heartbeat(from cs.VMID) fleet.PeerMessageReceived {
	return fleet.PeerMessageReceived{From: from, Message: cs.Heartbeat{Highest: sim.TicketLog.Highest, Tickets: sim.Tickets.Len()}}
}

// scheduleSecond schedules the events of one second of a workload, evenly spread.
func (sim *simulation) scheduleSecond(l workload) {
	spread := func(n int, e func(i int) fleet.Event) {
		for i := range n {
			sim.at(sim.now.Add(cs.Second*cs.Span(i)/cs.Span(n)), e(i))
		}
	}
	spread(l.requests, func(int) fleet.Event { return sim.request(sim.lastID) })
	spread(int(l.reports*float64(len(sim.localRunners))), func(i int) fleet.Event { return sim.report(sim.localRunners[i%len(sim.localRunners)].ID) })
	spread(len(sim.peers), func(i int) fleet.Event { return sim.heartbeat(sim.peers[i]) })
	if l.listRead {
		sim.at(sim.now, sim.list)
	}
	if l.tickets > 0 {
		sim.at(sim.now, sim.tickets(l.tickets))
	}
}

// runSecond runs a second of virtual time as the control loop would: a tick at each event or due time,
// at least minTick after the last one, and at least one every 500 ms. It returns the number of ticks.
func (sim *simulation) runSecond(l workload) (ticks int) {
	sim.scheduleSecond(l)
	for end := sim.now.Add(cs.Second); sim.now < end; ticks++ {
		var due []fleet.Event
		for len(sim.scheduled) > 0 && sim.scheduled[0].at <= sim.now {
			due = append(due, heap.Pop(&sim.scheduled).(timedEvent).e)
		}
		sim.tick(due...)
		next := sim.now.Add(500 * cs.Millisecond)
		if wake := sim.out.NextWake(); wake != 0 {
			next = min(next, wake)
		}
		if len(sim.scheduled) > 0 {
			next = min(next, sim.scheduled[0].at)
		}
		sim.now = max(next, sim.now.Add(minTick))
	}
	return ticks
}

// measure benchmarks one second of a workload and reports the share of a core used and the number of
// ticks per second.
func (sim *simulation) measure(b *testing.B, l workload) {
	for range 15 { // until the number of requests in flight is steady
		sim.runSecond(l)
	}
	ticks := 0
	b.ReportAllocs()
	for b.Loop() {
		ticks += sim.runSecond(l)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1e9*100, "%core")
	b.ReportMetric(float64(ticks)/float64(b.N), "ticks/s")
}
