// Package control runs the goroutine that owns a VM's tables.
//
// The loop takes events from a channel, runs the systems in a fixed order and hands the actions to
// the ports. It sleeps until an event comes or the next due time.
package control

import (
	"sync/atomic"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/tick"
)

// viewPeriod is the longest time for which the published view may lag behind the tables.
const viewPeriod = 250 * cs.Millisecond

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
	*tick.Loop[fleet.Event]
	cfg Config
	// local holds events that the loop sends to itself for the next tick.
	local   []fleet.Event
	view    atomic.Pointer[fleet.View]
	actions fleet.Actions
	viewAt  cs.Instant
	phase   fleet.DrainPhase
	tickets int
}

// New returns a loop that runs once Run is called.
func New(c Config) *Loop {
	l := &Loop{cfg: c}
	l.Loop = tick.New(c.Clock, l.tick)
	l.view.Store(fleet.NewView(c.Tables, c.Clock.Now()))
	return l
}

// View returns the state last published.
func (l *Loop) View() *fleet.View { return l.view.Load() }

// SetPorts sets the ports; it must be called before Run.
func (l *Loop) SetPorts(p Ports) { l.cfg.Ports = p }

// tick runs all systems once and returns when the next tick is due and the events that the loop sent
// to itself.
func (l *Loop) tick(now cs.Instant, events []fleet.Event) (cs.Instant, []fleet.Event) {
	t := l.cfg.Tables
	t.Events = events
	l.local = l.local[:0]
	l.actions.Reset()
	for _, system := range l.cfg.Systems {
		system(t, now, &l.actions)
	}
	l.publish(now) // before the actions, so that whom they answer sees the state of the answer
	for _, a := range l.actions.List {
		l.carryOut(a)
	}
	return l.actions.NextWake(), l.local
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
