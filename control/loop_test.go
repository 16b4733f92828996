package control_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/control"
	"github.com/crocusstile/crocusstile/fleet"
)

// numberedEvent returns an event that tests can identify by its number.
func numberedEvent(n int) fleet.Event { return fleet.QueryReceived{ID: uint64(n)} }

// fakePorts implements the ports that the tests need. It records the receivers of messages in sent,
// calls onAnswerTicket for each answer to a ticket and ignores all other actions.
type fakePorts struct {
	control.Log
	control.Runners
	control.Telemetry
	sent           chan cs.VMID
	onAnswerTicket func()
}

func (p fakePorts) Dial(cs.VM)                        {}
func (p fakePorts) CloseLink(cs.VMID)                 {}
func (p fakePorts) Send(to cs.VMID, _ cs.PeerMessage) { p.sent <- to }
func (p fakePorts) AnswerQuery(fleet.AnswerQuery)     {}
func (p fakePorts) AnswerTicket(fleet.AnswerTicket)   { p.onAnswerTicket() }
func (p fakePorts) Count(fleet.CounterAdded)          {}
func (p fakePorts) LogChange(fleet.StateLogged)       {}
func (p fakePorts) Subscribe(cs.StreamID, cs.Offset)  {}
func (p fakePorts) Unsubscribe(cs.StreamID)           {}
func (p fakePorts) Append(cs.StreamID, cs.LogBatch)   {}
func (p fakePorts) PollLoad(fleet.PollLoad)           {}
func (p fakePorts) OrderRunner(fleet.OrderRunner)     {}

// startLoop starts a loop with the systems; it runs until the test ends.
func startLoop(t *testing.T, p fakePorts, systems ...fleet.System) *control.Loop {
	clock := cs.NewClock()
	l := control.New(control.Config{
		Clock: clock, Systems: systems,
		Tables: fleet.New(fleet.DefaultConfig(), cs.VM{ID: "self"}, clock.Now(), 1),
		Ports:  control.Ports{Queries: p, Log: p, Peers: p, Runners: p, Telemetry: p},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-ended, qt.ErrorIs, context.Canceled)
	})
	return l
}

// TestLoopSleepsBetweenTicks guards against a loop without work that does not sleep until the next
// due time, and against one that busy-loops when its systems request a tick at once on every tick.
func TestLoopSleepsBetweenTicks(t *testing.T) {
	for name, test := range map[string]struct {
		busy    bool
		ticks   int
		minTime time.Duration
	}{"idle": {false, 3, time.Second}, "busy": {true, 51, 100 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			ticks := make(chan struct{})
			startLoop(t, fakePorts{}, func(_ *fleet.Tables, now cs.Instant, out *fleet.Actions) {
				if test.busy {
					out.WakeAt(now)
				}
				select {
				case ticks <- struct{}{}:
				case <-t.Context().Done():
				}
			})
			<-ticks
			start := time.Now()
			for range test.ticks - 1 {
				<-ticks
			}
			// The first tick may have ended slightly before the test took its start time.
			qt.Check(t, time.Since(start) > test.minTime*9/10, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
		})
	}
}

// TestIdleVMTicksRarely guards against an idle VM that ticks more than a few times a second with all
// systems running.
func TestIdleVMTicksRarely(t *testing.T) {
	l := startLoop(t, fakePorts{}, control.Systems()...)
	<-time.After(time.Second)
	t.Logf("%d ticks", l.Ticks())
	qt.Check(t, l.Ticks() <= 40, qt.IsTrue, qt.Commentf("%d ticks", l.Ticks()))
}

// TestEventsDuringTickAreBatched guards against events that arrive during a tick and are not
// delivered together and in order on the next tick.
func TestEventsDuringTickAreBatched(t *testing.T) {
	entered, resume, got := make(chan struct{}), make(chan struct{}), make(chan []fleet.Event, 1)
	tick := 0
	l := startLoop(t, fakePorts{}, func(tables *fleet.Tables, _ cs.Instant, _ *fleet.Actions) {
		switch tick++; tick {
		case 1:
			close(entered)
			<-resume
		case 2:
			got <- append([]fleet.Event(nil), tables.Events...)
		}
	})
	<-entered
	const n = 1000
	want := make([]fleet.Event, n)
	for i := range want {
		want[i] = numberedEvent(i)
		qt.Assert(t, l.Post(t.Context(), want[i]), qt.IsNil)
	}
	close(resume)
	qt.Check(t, <-got, qt.DeepEquals, want)
}

// TestFullInboxBlocksSenders guards against an inbox without bound: a full one must block its
// senders until their contexts end.
func TestFullInboxBlocksSenders(t *testing.T) {
	l := control.New(control.Config{Clock: cs.NewClock(), Tables: fleet.New(fleet.DefaultConfig(), cs.VM{}, 0, 1)})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	accepted := 0
	for range 100_000 {
		if l.Post(ctx, numberedEvent(0)) == nil {
			accepted++
		}
	}
	qt.Check(t, accepted <= 8192, qt.IsTrue, qt.Commentf("%d events", accepted))
	qt.Check(t, l.Post(ctx, numberedEvent(0)), qt.ErrorIs, context.Canceled)
}

// TestSendToSelfIsDeliveredNextTick guards against a message of a VM to itself that is sent over a
// link or is not delivered on the next tick.
func TestSendToSelfIsDeliveredNextTick(t *testing.T) {
	const rounds = 5
	done := make(chan struct{})
	p := fakePorts{sent: make(chan cs.VMID, 2)}
	tick := 0
	began := time.Now()
	startLoop(t, p, func(tables *fleet.Tables, _ cs.Instant, out *fleet.Actions) {
		tick++
		if tick > 1 && tick <= rounds+1 {
			want := []fleet.Event{fleet.PeerMessageReceived{From: "self", Message: cs.Preempt{Slots: cs.Slots(tick - 1)}}}
			qt.Check(t, tables.Events, qt.DeepEquals, want)
		}
		switch {
		case tick <= rounds:
			out.Add(fleet.Send{To: "self", Message: cs.Preempt{Slots: cs.Slots(tick)}})
		case tick == rounds+1:
			out.Add(fleet.Send{To: "peer", Message: cs.Preempt{}})
			close(done)
		}
	})
	<-done
	// Without an immediate tick the loop would sleep for 500 ms before each delivery.
	qt.Check(t, time.Since(began) < (rounds-1)*500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	qt.Check(t, <-p.sent, qt.Equals, cs.VMID("peer"))
	qt.Check(t, p.sent, qt.HasLen, 0)
}

// TestViewIsPublishedBeforeAnswers guards against a ticket that is answered as being in force before
// the view contains it.
func TestViewIsPublishedBeforeAnswers(t *testing.T) {
	tickets, l := make(chan int, 1), (*control.Loop)(nil)
	ready := make(chan struct{})
	p := fakePorts{onAnswerTicket: func() { tickets <- len(l.View().Tickets) }}
	tick := 0
	l = startLoop(t, p, func(tables *fleet.Tables, _ cs.Instant, out *fleet.Actions) {
		if tick++; tick == 1 {
			<-ready
			tables.Tickets.Insert("service/s", fleet.Ticket{})
			out.Add(fleet.AnswerTicket{ID: 1})
		}
	})
	close(ready)
	qt.Check(t, <-tickets, qt.Equals, 1)
}
