package standin

import (
	"context"

	cs "github.com/crocusstile/crocusstile"
)

// runnerEvent is a message to the goroutine that owns a runner's engine.
type runnerEvent interface{ isRunnerEvent() }

type (
	generateRequested struct {
		generationRun generationRun
		reply         chan<- admission
	}
	// clientDisconnected says that the stream of a run no longer has a reader.
	clientDisconnected struct{ key runKey }
	cancelRequested    struct {
		id    cs.RequestID
		reply chan<- int
	}
	loadRequested struct{ reply chan<- loadReport }
	orderReceived struct {
		order cs.Order
		reply chan<- bool
	}
	modelLoaded          struct{ model cs.LoadedModel }
	ordersRequested      struct{ reply chan<- []ReceivedOrder }
	leaveRequested       struct{ applied chan<- struct{} }
	cacheEventsRequested struct {
		from  cs.Seq
		reply chan<- cachePage
	}
	exportRequested struct {
		id    cs.RequestID
		reply chan<- []byte
	}
	blockImported struct {
		id      cs.RequestID
		block   []byte
		applied chan<- struct{}
	}
)

func (generateRequested) isRunnerEvent()    {}
func (clientDisconnected) isRunnerEvent()   {}
func (cancelRequested) isRunnerEvent()      {}
func (loadRequested) isRunnerEvent()        {}
func (orderReceived) isRunnerEvent()        {}
func (modelLoaded) isRunnerEvent()          {}
func (ordersRequested) isRunnerEvent()      {}
func (leaveRequested) isRunnerEvent()       {}
func (cacheEventsRequested) isRunnerEvent() {}
func (exportRequested) isRunnerEvent()      {}
func (blockImported) isRunnerEvent()        {}

func (r *Runner) apply(ctx context.Context, e runnerEvent) {
	now, g := r.now(), &r.engine
	switch e := e.(type) {
	case generateRequested:
		e.reply <- g.enqueue(now, e.generationRun)
	case clientDisconnected:
		g.cancelRuns(now, &r.journal, func(key runKey, _ *generationRun) bool { return key == e.key })
	case cancelRequested:
		e.reply <- g.cancelRuns(now, &r.journal, func(_ runKey, run *generationRun) bool { return run.id == e.id })
	case loadRequested:
		e.reply <- g.reports.at(now, r.faults.get().LoadLag)
	case orderReceived:
		e.reply <- r.applyOrder(ctx, e.order)
	case modelLoaded:
		if g.loaded.Get(e.model) != nil { // unless an order unloaded it meanwhile
			g.setLoaded(now, e.model, true)
		}
	case ordersRequested:
		e.reply <- g.orders.received
	case leaveRequested:
		g.leaving = true
		g.recordLoad(now)
		e.applied <- struct{}{}
	case cacheEventsRequested:
		e.reply <- g.cache.page(e.from, now)
	case exportRequested:
		e.reply <- g.export(e.id)
	case blockImported:
		g.importBlock(now, e.id, e.block)
		e.applied <- struct{}{}
	}
}
