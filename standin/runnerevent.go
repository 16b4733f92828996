package standin

import (
	"context"

	cs "github.com/crocusstile/crocusstile"
)

// runnerEvent is a message to the owner of a runner's batch.
type runnerEvent interface{ isRunnerEvent() }

type (
	generateAsked struct {
		run   run
		reply chan<- admission
	}
	// clientGone says that nobody reads the stream of a run any more.
	clientGone  struct{ key runKey }
	cancelAsked struct {
		id    cs.RequestID
		reply chan<- int
	}
	loadAsked  struct{ reply chan<- loadReport }
	orderAsked struct {
		order cs.Order
		reply chan<- bool
	}
	modelLoaded struct{ model cs.LoadedModel }
	ordersAsked struct{ reply chan<- []OrderEntry }
	leavingSet  struct{ applied chan<- struct{} }
	cacheAsked  struct {
		from  cs.Seq
		reply chan<- cachePage
	}
	exportAsked struct {
		id    cs.RequestID
		reply chan<- []byte
	}
	blockImported struct {
		id      cs.RequestID
		block   []byte
		applied chan<- struct{}
	}
)

func (generateAsked) isRunnerEvent() {}
func (clientGone) isRunnerEvent()    {}
func (cancelAsked) isRunnerEvent()   {}
func (loadAsked) isRunnerEvent()     {}
func (orderAsked) isRunnerEvent()    {}
func (modelLoaded) isRunnerEvent()   {}
func (ordersAsked) isRunnerEvent()   {}
func (leavingSet) isRunnerEvent()    {}
func (cacheAsked) isRunnerEvent()    {}
func (exportAsked) isRunnerEvent()   {}
func (blockImported) isRunnerEvent() {}

func (r *Runner) apply(ctx context.Context, e runnerEvent) {
	now, g := r.now(), &r.engine
	switch e := e.(type) {
	case generateAsked:
		e.reply <- g.arrive(now, e.run)
	case clientGone:
		g.stop(now, &r.journal, func(key runKey, _ *run) bool { return key == e.key })
	case cancelAsked:
		e.reply <- g.stop(now, &r.journal, func(_ runKey, x *run) bool { return x.id == e.id })
	case loadAsked:
		e.reply <- g.reports.at(now, r.faults.get().LoadLag)
	case orderAsked:
		e.reply <- r.take(ctx, e.order)
	case modelLoaded:
		if g.loaded.Get(e.model) != nil { // not unloaded meanwhile
			g.setLoaded(now, e.model, true)
		}
	case ordersAsked:
		e.reply <- g.orders.entries
	case leavingSet:
		g.leaving = true
		g.report(now)
		e.applied <- struct{}{}
	case cacheAsked:
		e.reply <- g.cache.page(e.from, now)
	case exportAsked:
		e.reply <- g.export(e.id)
	case blockImported:
		g.importBlock(now, e.id, e.block)
		e.applied <- struct{}{}
	}
}
