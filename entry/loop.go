package entry

import (
	"context"
	"sync/atomic"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/allowance"
	"github.com/crocusstile/crocusstile/batchjob"
	"github.com/crocusstile/crocusstile/forward"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/roster"
	"github.com/crocusstile/crocusstile/slot"
	"github.com/crocusstile/crocusstile/tick"
)

// Systems returns the systems of an entry VM in the order in which a tick runs them: first those that update
// the state of the fleet, then those that end or start work, last those that write to the store and to peers.
func Systems() []gateway.System {
	return []gateway.System{
		roster.Delay,
		roster.Feeds,
		roster.Catalog,
		roster.Runners,
		roster.Peers,
		roster.Limits,
		roster.Loads,
		roster.Bootstrap,
		roster.Confirmation, // after the systems that apply the catalog
		roster.Drain,
		slot.Allocate, // before the systems that use the slots granted
		forward.Admit, // before ApplyOutcomes, since a caller may disconnect in the tick in which its request arrives
		forward.ApplyOutcomes,
		batchjob.FollowJobLog,
		batchjob.ApplyJobLog,
		batchjob.ShareState,
		batchjob.AssignPartitions,
		batchjob.YieldPartitions,
		batchjob.ApplyOutcomes,
		batchjob.ApplySlotReplies,
		roster.Crashes,
		forward.StopRemaining,
		allowance.Serve, // after the systems that leave the group
		allowance.Take,
		forward.Dispatch,
		allowance.Settle, // right after Dispatch, since a request that was sent may end in the next tick
		forward.ExplainChoices,
		batchjob.PreemptRuns,
		batchjob.Schedule,
		batchjob.HandleQueries,
		batchjob.ExplainChoices,
		batchjob.ExpireJobs,
		batchjob.AppendProposals,
		batchjob.HandOver,
		slot.Announce,
		roster.Report,
	}
}

// handlers execute the actions of the control loop. appendJobs, fenceJobs and requestPeerState wait for a response and
// run as tasks; the others return without blocking.
type handlers struct {
	forward  *forward.Traffic
	batchjob *batchjob.Traffic
	// runTask runs a function on a goroutine of its own; its context ends with the process.
	runTask    func(func(context.Context))
	appendJobs func(context.Context, gateway.AppendJobs)
	fenceJobs  func(context.Context, gateway.FenceJobs)
	readJobs   func()
	rereadJobs func(gateway.RereadJobs)
	// leaveGroup ends the membership in the batch consumer group.
	leaveGroup       func()
	setJobLogRole    func(gateway.JobLogRole)
	sendReport       func(gateway.SendReport)
	sendSlots        func(gateway.SendSlots)
	sendAllowance    func(gateway.SendAllowance)
	requestPeerState func(context.Context, gateway.RequestPeerState)
	answerPeerState  func(gateway.AnswerPeerState)
	answerJobState   func(gateway.AnswerJobState)
	answerStatePeer  func(gateway.AnswerStatePeer)
	logNote          func(gateway.Note)
	drainComplete    func(gateway.Exit)
	// recordEstimateError sets the metric of a service.
	recordEstimateError func(gateway.RecordEstimateError)
	// itemsCtx is the context in which batch items run.
	itemsCtx context.Context
}

// loop is the control loop, which owns the tables of an entry VM.
type loop struct {
	*tick.Loop[gateway.Event]
	tables   *gateway.Tables
	systems  []gateway.System
	handlers handlers
	actions  gateway.Actions
	view     atomic.Pointer[gateway.View]
	// loaded is closed once the catalog and the runners are known.
	loaded chan struct{}
	// suspended returns the time for which the machine has been suspended, or is nil if nothing depends on it.
	suspended func() cs.Span
}

// newLoop returns a control loop; its handlers must be set before it runs.
func newLoop(clock *cs.Clock, t *gateway.Tables) *loop {
	l := &loop{tables: t, systems: Systems(), loaded: make(chan struct{})}
	if t.Config.RevokeBound > 0 || t.Config.Quota.Window > 0 {
		l.suspended = clock.Suspended
	}
	l.Loop = tick.New(clock, l.runTick)
	l.publishView()
	return l
}

// View returns the most recently published view of the state; it is safe for concurrent use.
func (l *loop) View() gateway.View { return *l.view.Load() }

// publishView updates the view if the state has changed.
func (l *loop) publishView() {
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
func (l *loop) runTick(now cs.Instant, events []gateway.Event) (cs.Instant, []gateway.Event) {
	l.tables.Events = events
	if l.suspended != nil {
		l.tables.Suspended = l.suspended()
	}
	l.actions.Reset()
	for _, system := range l.systems {
		system(l.tables, now, &l.actions)
	}
	l.publishView() // before the actions, so that a caller who is answered finds at least the state of its answer
	for _, a := range l.actions.List {
		l.execute(a)
	}
	due := l.actions.NextWake()
	l.tables.DueAt = 0
	if due != 0 {
		l.tables.DueAt = max(due, now)
	}
	return due, nil
}

// execute passes an action to its handler.
func (l *loop) execute(a gateway.Action) {
	h := &l.handlers
	switch a := a.(type) {
	case gateway.Dispatch:
		h.forward.Deliver(a.ID, a)
	case gateway.StopForward:
		h.forward.Stop(a.ID)
	case gateway.Complete:
		h.forward.Deliver(a.ID, a)
	case gateway.Refuse:
		h.forward.Deliver(a.ID, a)
	case gateway.RunItem:
		h.batchjob.Run(h.itemsCtx, a)
	case gateway.StopItem:
		h.batchjob.Stop(a)
	case gateway.AppendJobs, gateway.FenceJobs, gateway.ReadJobs, gateway.RereadJobs:
		h.useJobLog(a)
	case gateway.LeaveGroup:
		h.leaveGroup()
	case gateway.SetJobLogRole:
		h.setJobLogRole(a.Role)
	case gateway.AnswerJob, gateway.AnswerResults, gateway.AnswerJobPeer, gateway.AnswerBody, gateway.AnswerPlacement:
		h.answerQuery(a)
	case gateway.SendReport:
		h.sendReport(a)
	case gateway.SendSlots:
		h.sendSlots(a)
	case gateway.SendAllowance:
		h.sendAllowance(a)
	case gateway.RequestPeerState:
		h.runTask(func(ctx context.Context) { h.requestPeerState(ctx, a) })
	case gateway.AnswerPeerState:
		h.answerPeerState(a)
	case gateway.AnswerJobState:
		h.answerJobState(a)
	case gateway.AnswerStatePeer:
		h.answerStatePeer(a)
	case gateway.Exit:
		h.drainComplete(a)
	case gateway.RecordEstimateError:
		h.recordEstimateError(a)
	case gateway.Note:
		h.logNote(a)
	}
}

// answerQuery passes the answer to a query to the goroutine that waits for it.
func (h *handlers) answerQuery(a gateway.Action) {
	switch a := a.(type) {
	case gateway.AnswerJob:
		h.batchjob.Answer(a.Query, a)
	case gateway.AnswerResults:
		h.batchjob.Answer(a.Query, a)
	case gateway.AnswerJobPeer:
		h.batchjob.Answer(a.Query, a)
	case gateway.AnswerBody:
		h.batchjob.Answer(a.Query, a)
	case gateway.AnswerPlacement:
		h.batchjob.Answer(a.Query, a)
	default:
	}
}

// useJobLog executes the actions that read the job log or append to it.
func (h *handlers) useJobLog(a gateway.Action) {
	switch a := a.(type) {
	case gateway.AppendJobs:
		h.runTask(func(ctx context.Context) { h.appendJobs(ctx, a) })
	case gateway.FenceJobs:
		h.runTask(func(ctx context.Context) { h.fenceJobs(ctx, a) })
	case gateway.RereadJobs:
		h.rereadJobs(a)
	default:
		h.readJobs()
	}
}
