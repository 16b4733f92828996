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

// noted is an event that the tests tell apart by its number.
func noted(n int) fleet.Event { return fleet.QueryAsked{ID: uint64(n)} }

// ports is a port of each kind that does nothing but what its functions say.
type ports struct {
	control.Log
	control.Runners
	control.Journal
	sent     chan cs.VMID
	answered func()
}

func (p ports) Dial(cs.VM)                        {}
func (p ports) HangUp(cs.VMID)                    {}
func (p ports) Send(to cs.VMID, _ cs.PeerMessage) { p.sent <- to }
func (p ports) AnswerQuery(fleet.AnswerQuery)     {}
func (p ports) AnswerTicket(fleet.AnswerTicket)   { p.answered() }
func (p ports) Count(fleet.Counted)               {}
func (p ports) Note(fleet.Noted)                  {}
func (p ports) Tail(cs.StreamID, cs.Offset)       {}
func (p ports) Untail(cs.StreamID)                {}
func (p ports) Append(cs.StreamID, cs.LogBatch)   {}
func (p ports) Watch(fleet.Watch)                 {}
func (p ports) OrderRunner(fleet.OrderRunner)     {}

// run runs a loop with the systems until the test ends.
func run(t *testing.T, p ports, systems ...fleet.System) *control.Loop {
	clock := cs.NewClock()
	l := control.New(control.Config{
		Clock: clock, Systems: systems,
		Tables: fleet.New(fleet.DefaultConfig(), cs.VM{ID: "self"}, clock.Now(), 1),
		Ports:  control.Ports{Queries: p, Log: p, Peers: p, Runners: p, Journal: p},
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

// A loop without work must sleep, and one whose systems always want to run must not spin.
func TestLoopDoesNotSpin(t *testing.T) {
	for name, test := range map[string]struct {
		busy  bool
		ticks int
		least time.Duration
	}{"idle": {false, 3, time.Second}, "busy": {true, 51, 100 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			ticks := make(chan struct{})
			run(t, ports{}, func(_ *fleet.Tables, now cs.Instant, out *fleet.Actions) {
				if test.busy {
					out.WakeAt(now)
				}
				select {
				case ticks <- struct{}{}:
				case <-t.Context().Done():
				}
			})
			<-ticks
			began := time.Now()
			for range test.ticks - 1 {
				<-ticks
			}
			// The first tick may have ended a little before it was noted here.
			qt.Check(t, time.Since(began) > test.least*9/10, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		})
	}
}

// With all systems an idle VM must tick a few times a second only.
func TestIdleVMTicksRarely(t *testing.T) {
	l := run(t, ports{}, control.Systems()...)
	<-time.After(time.Second)
	t.Logf("%d ticks", l.Ticks())
	qt.Check(t, l.Ticks() <= 40, qt.IsTrue, qt.Commentf("%d ticks", l.Ticks()))
}

// Events that come during a tick must be taken together and in order by the next one.
func TestEventsAreBatched(t *testing.T) {
	entered, leave, got := make(chan struct{}), make(chan struct{}), make(chan []fleet.Event, 1)
	tick := 0
	l := run(t, ports{}, func(x *fleet.Tables, _ cs.Instant, _ *fleet.Actions) {
		switch tick++; tick {
		case 1:
			close(entered)
			<-leave
		case 2:
			got <- append([]fleet.Event(nil), x.Events...)
		}
	})
	<-entered
	const n = 1000
	want := make([]fleet.Event, n)
	for i := range want {
		want[i] = noted(i)
		qt.Assert(t, l.Post(t.Context(), want[i]), qt.IsNil)
	}
	close(leave)
	qt.Check(t, <-got, qt.DeepEquals, want)
}

// A full inbox must hold its senders up, and let them go when they give up.
func TestFullInboxBoundsItsSenders(t *testing.T) {
	l := control.New(control.Config{Clock: cs.NewClock(), Tables: fleet.New(fleet.DefaultConfig(), cs.VM{}, 0, 1)})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	accepted := 0
	for range 100_000 {
		if l.Post(ctx, noted(0)) == nil {
			accepted++
		}
	}
	qt.Check(t, accepted <= 8192, qt.IsTrue, qt.Commentf("%d events", accepted))
	qt.Check(t, l.Post(ctx, noted(0)), qt.ErrorIs, context.Canceled)
}

// A message of a VM to itself must come back in the next tick, and not over a link.
func TestSendToSelfComesBack(t *testing.T) {
	const rounds = 5
	done := make(chan struct{})
	p := ports{sent: make(chan cs.VMID, 2)}
	tick := 0
	began := time.Now()
	run(t, p, func(x *fleet.Tables, _ cs.Instant, out *fleet.Actions) {
		tick++
		if tick > 1 && tick <= rounds+1 {
			want := []fleet.Event{fleet.PeerSaid{From: "self", Message: cs.Yield{Slots: cs.Slots(tick - 1)}}}
			qt.Check(t, x.Events, qt.DeepEquals, want)
		}
		switch {
		case tick <= rounds:
			out.Add(fleet.Send{To: "self", Message: cs.Yield{Slots: cs.Slots(tick)}})
		case tick == rounds+1:
			out.Add(fleet.Send{To: "peer", Message: cs.Yield{}})
			close(done)
		}
	})
	<-done
	// An idle loop would sleep for half a second each time.
	qt.Check(t, time.Since(began) < (rounds-1)*500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	qt.Check(t, <-p.sent, qt.Equals, cs.VMID("peer"))
	qt.Check(t, p.sent, qt.HasLen, 0)
}

// Whoever is told that a ticket is in force must see it in the view from then on.
func TestViewIsPublishedBeforeAnswers(t *testing.T) {
	tickets, l := make(chan int, 1), (*control.Loop)(nil)
	ready := make(chan struct{})
	p := ports{answered: func() { tickets <- len(l.View().Tickets) }}
	tick := 0
	l = run(t, p, func(x *fleet.Tables, _ cs.Instant, out *fleet.Actions) {
		if tick++; tick == 1 {
			<-ready
			x.Tickets.Insert("service/s", fleet.Ticket{})
			out.Add(fleet.AnswerTicket{ID: 1})
		}
	})
	close(ready)
	qt.Check(t, <-tickets, qt.Equals, 1)
}
