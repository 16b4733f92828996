package entry

import (
	"context"
	"sync/atomic"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/bulk"
	"github.com/crocusstile/crocusstile/forward"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/roster"
	"github.com/crocusstile/crocusstile/tick"
)

// Systems returns the systems of an entry VM in the order in which a tick runs them: first those that update
// the state of the fleet, then those that end or start work, last those that write to the store and to peers.
func Systems() []gateway.System {
	return []gateway.System{
		roster.Feeds,
		roster.Catalog,
		roster.Runners,
		roster.Peers,
		roster.Bootstrap,
		roster.Drain,
		forward.Admit, // before Settle, since a caller may disconnect in the tick in which its request arrives
		forward.Settle,
		bulk.Apply,
		bulk.Own,
		bulk.Settle,
		roster.Crashes,
		forward.Dispatch,
		bulk.Yield,
		bulk.Schedule,
		bulk.Ask,
		bulk.Drop,
		bulk.Commit,
		bulk.HandOver,
		roster.Report,
	}
}

// actionHandlers execute the actions of the control loop. They return without blocking.
type ports struct {
	forward *forward.Traffic
	bulk    *bulk.Traffic
	// startTask runs a function on a goroutine of its own; its context ends with the process.
	run    func(func(context.Context))
	append func(context.Context, gateway.AppendJobs)
	read   func()
	// leaveGroup ends the membership in the batch consumer group.
	leaveGroup func()
	report     func(gateway.SendReport)
	askState   func(context.Context, gateway.AskPeerState)
	giveState  func(gateway.AnswerPeerState)
	note       func(gateway.Note)
	leave      func()
	// itemsCtx is the context in which batch items run.
	items context.Context
}

// loop is the control loop, which owns the tables of an entry VM.
type loop struct {
	*tick.Loop[gateway.Event]
	tables  *gateway.Tables
	systems []gateway.System
	ports   ports
	actions gateway.Actions
	view    atomic.Pointer[gateway.View]
	// loaded is closed once the catalog and the runners are known.
	loaded chan struct{}
}

// newLoop returns a control loop; its handlers must be set before it runs.
func newLoop(clock *cs.Clock, t *gateway.Tables) *loop {
	l := &loop{tables: t, systems: Systems(), loaded: make(chan struct{})}
	l.Loop = tick.New(clock, l.step)
	l.publish()
	return l
}

// View returns the most recently published view of the state; it is safe for concurrent use.
func (l *loop) View() gateway.View { return *l.view.Load() }

// publishView updates the view if the state has changed.
func (l *loop) publish() {
	next := gateway.NewView(l.tables)
	old := l.view.Load()
	if old != nil && *old == next {
		return
	}
	l.view.Store(&next)
	if next.Loaded && (old == nil || !old.Loaded) {
		close(l.loaded) // happens once, since Loaded is never reset
	}
}

// runTick runs all systems once over the events and executes the resulting actions.
func (l *loop) step(now cs.Instant, events []gateway.Event) (cs.Instant, []gateway.Event) {
	l.tables.Events = events
	l.actions.Reset()
	for _, system := range l.systems {
		system(l.tables, now, &l.actions)
	}
	l.publish() // before the actions, so that a caller who is answered finds at least the state of its answer
	for _, a := range l.actions.List {
		l.carryOut(a)
	}
	return l.actions.Wake(), nil
}

// execute passes an action to its handler.
func (l *loop) carryOut(a gateway.Action) {
	p := &l.ports
	switch a := a.(type) {
	case gateway.Send:
		p.forward.Order(a.ID, a)
	case gateway.Refuse:
		p.forward.Order(a.ID, a)
	case gateway.RunItem:
		p.bulk.Run(p.items, a)
	case gateway.StopItem:
		p.bulk.Stop(a)
	case gateway.AppendJobs:
		p.run(func(ctx context.Context) { p.append(ctx, a) })
	case gateway.LeaveGroup:
		p.leaveGroup()
	case gateway.ReadJobs:
		p.read()
	case gateway.AnswerJob:
		p.bulk.Answer(a.Query, a)
	case gateway.AnswerResults:
		p.bulk.Answer(a.Query, a)
	case gateway.AnswerBody:
		p.bulk.Answer(a.Query, a)
	case gateway.SendReport:
		p.report(a)
	case gateway.AskPeerState:
		p.run(func(ctx context.Context) { p.askState(ctx, a) })
	case gateway.AnswerPeerState:
		p.giveState(a)
	case gateway.Leave:
		p.leave()
	case gateway.Note:
		p.note(a)
	}
}
