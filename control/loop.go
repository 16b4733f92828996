// Package control runs the goroutine that owns a VM's tables.
//
// The loop takes events from a channel, runs the systems in a fixed order and hands the actions to
// the ports. It sleeps until an event comes or the next due time.
package control

import (
	"context"
	"sync/atomic"
	"time"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// minTick is the shortest time between two ticks, so that events are taken in batches.
const minTick = 2 * cs.Millisecond

// maxSleep bounds the sleep of an idle loop, so that sweeps without a due time of their own run.
const maxSleep = 500 * cs.Millisecond

// viewPeriod is the longest time for which the published view may lag behind the tables.
const viewPeriod = 250 * cs.Millisecond

// inboxSize bounds the events that wait for a tick; a sender of more waits. Their senders bound the
// size of an event: a body of a request, or one read of a stream of the log.
const inboxSize = 8192

// Config holds what a Loop needs.
type Config struct {
	// Clock tells the time of a tick.
	Clock *cs.Clock
	// Tables is the state; the loop alone touches it once Run is called.
	Tables *fleet.Tables
	// Systems run in this order in each tick.
	Systems []fleet.System
	// Ports carry out the actions.
	Ports Ports
}

// Loop owns the tables of a VM.
type Loop struct {
	cfg   Config
	inbox chan fleet.Event
	// local holds events that the loop sends to itself for the next tick.
	local   []fleet.Event
	view    atomic.Pointer[fleet.View]
	actions fleet.Actions
	viewAt  cs.Instant
	phase   fleet.DrainPhase
	tickets int
	ticks   atomic.Int64
}

// New returns a loop that runs once Run is called.
func New(c Config) *Loop {
	l := &Loop{cfg: c, inbox: make(chan fleet.Event, inboxSize)}
	l.view.Store(fleet.NewView(c.Tables, c.Clock.Now()))
	return l
}

// Post hands an event to the next tick; it waits while the inbox is full and gives up when ctx ends.
func (l *Loop) Post(ctx context.Context, e fleet.Event) error {
	select {
	case l.inbox <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// View returns the state last published.
func (l *Loop) View() *fleet.View { return l.view.Load() }

// Ticks returns the number of ticks so far.
func (l *Loop) Ticks() int64 { return l.ticks.Load() }

// SetPorts sets the ports; it must be called before Run.
func (l *Loop) SetPorts(p Ports) { l.cfg.Ports = p }

// Run ticks until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		begin := time.Now()
		sleep := l.tick()
		if !l.wait(ctx, timer, begin, sleep) {
			return ctx.Err()
		}
	}
}

// wait sleeps until the next tick is due and puts what has arrived into the tables' events; it
// returns false when ctx has ended.
func (l *Loop) wait(ctx context.Context, timer *time.Timer, begin time.Time, sleep cs.Span) bool {
	if len(l.local) > 0 {
		sleep = 0
	}
	timer.Reset(max(sleep, 0).Std())
	select {
	case <-ctx.Done():
		return false
	case e := <-l.inbox:
		l.local = append(l.local, e)
	case <-timer.C:
	}
	if rest := minTick.Std() - time.Since(begin); rest > 0 {
		timer.Reset(rest)
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
	}
	for range inboxSize {
		select {
		case e := <-l.inbox:
			l.local = append(l.local, e)
			continue
		default:
		}
		break
	}
	return true
}

// tick runs all systems once and returns the time until the next tick is due.
func (l *Loop) tick() cs.Span {
	now, t := l.cfg.Clock.Now(), l.cfg.Tables
	t.Events, l.local = l.local, t.Events[:0]
	l.actions.Reset()
	for _, system := range l.cfg.Systems {
		system(t, now, &l.actions)
	}
	clear(t.Events) // lets go of what the events refer to
	l.publish(now)  // before the actions, so that whom they answer sees the state of the answer
	for _, a := range l.actions.List {
		l.carryOut(a)
	}
	l.ticks.Add(1)
	if w := l.actions.Wake(); w != 0 {
		return min(w.Sub(now), maxSleep)
	}
	return maxSleep
}

// publish renews the view: at once after a change of the drain or the tickets, else with a lag.
func (l *Loop) publish(now cs.Instant) {
	t := l.cfg.Tables
	changed := t.Drain.Phase != l.phase || t.Tickets.Len() != l.tickets
	for _, a := range l.actions.List {
		if _, ok := a.(fleet.AnswerTicket); ok {
			changed = true
		}
	}
	if !changed && now.Sub(l.viewAt) < viewPeriod {
		return
	}
	l.viewAt, l.phase, l.tickets = now, t.Drain.Phase, t.Tickets.Len()
	l.view.Store(fleet.NewView(t, now))
}
