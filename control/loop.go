// Package control runs the control loop, the goroutine that owns a VM's tables.
//
// The loop receives events from a channel, runs the systems in a fixed order and passes their actions
// to the ports. It sleeps until an event arrives or the next tick is due.
package control

import (
	"sync/atomic"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/tick"
)

// maxViewAge is the age from which a tick replaces the published view even without an urgent change.
const maxViewAge = 250 * cs.Millisecond

// Config holds the dependencies of a Loop.
type Config struct {
	// Clock provides the time of each tick.
	Clock *cs.Clock
	// Tables is the control state; once Run is called, only the loop may access it.
	Tables *fleet.Tables
	// Systems run in this order on each tick.
	Systems []fleet.System
	// Ports carry out the actions.
	Ports Ports
}

// Loop owns the tables of a VM and publishes a view of them.
type Loop struct {
	*tick.Loop[fleet.Event]
	cfg Config
	// selfEvents are the messages of this tick to the VM itself, delivered on the next tick.
	selfEvents []fleet.Event
	view       atomic.Pointer[fleet.View]
	actions    fleet.Actions
	// viewAt, viewPhase and viewTickets are the time, the drain phase and the number of tickets of the
	// published view.
	viewAt      cs.Instant
	viewPhase   fleet.DrainPhase
	viewTickets int
}

// New returns a loop that runs once Run is called.
func New(c Config) *Loop {
	l := &Loop{cfg: c}
	l.Loop = tick.New(c.Clock, l.tick)
	l.view.Store(fleet.NewView(c.Tables, c.Clock.Now()))
	return l
}

// View returns the view last published; it may be called from any goroutine.
func (l *Loop) View() *fleet.View { return l.view.Load() }

// SetPorts sets the ports. It must be called before Run.
func (l *Loop) SetPorts(p Ports) { l.cfg.Ports = p }

// tick runs all systems once. It returns the time at which the next tick is due, and the events for
// the next tick that the loop sent to itself.
func (l *Loop) tick(now cs.Instant, events []fleet.Event) (cs.Instant, []fleet.Event) {
	t := l.cfg.Tables
	t.Events = events
	l.selfEvents = l.selfEvents[:0]
	l.actions.Reset()
	for _, system := range l.cfg.Systems {
		system(t, now, &l.actions)
	}
	l.publish(now) // before the actions, so that a caller that gets an answer finds its effect in the view
	for _, a := range l.actions.List {
		l.carryOut(a)
	}
	return l.actions.NextWake(), l.selfEvents
}

// publish replaces the view: at once if the drain phase or the number of tickets has changed or a
// ticket is answered, otherwise once it is maxViewAge old.
func (l *Loop) publish(now cs.Instant) {
	t := l.cfg.Tables
	changed := t.Drain.Phase != l.viewPhase || t.Tickets.Len() != l.viewTickets
	for _, a := range l.actions.List {
		if _, ok := a.(fleet.AnswerTicket); ok {
			changed = true
		}
	}
	if !changed && now.Sub(l.viewAt) < maxViewAge {
		return
	}
	l.viewAt, l.viewPhase, l.viewTickets = now, t.Drain.Phase, t.Tickets.Len()
	l.view.Store(fleet.NewView(t, now))
}
