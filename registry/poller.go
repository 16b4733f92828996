package registry

import (
	"context"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/engine"
	"github.com/crocusstile/crocusstile/fleet"
)

// PollerConfig is the configuration of a Poller.
type PollerConfig struct {
	// Client sends the requests to the runners.
	Client *engine.Client
	// Poll is the pause between two load reports of a runner that has work.
	Poll cs.Span
	// Timeout is the timeout of one load report or order.
	Timeout cs.Span
	// Post delivers an event to the control loop; an error ends the polling of a runner.
	Post func(context.Context, fleet.Event) error
}

// Poller polls the load reports of runners and sends orders to runners.
type Poller struct {
	cfg    PollerConfig
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	cancelPolls map[cs.RunnerID]context.CancelFunc
}

// NewPoller returns a poller; Close must be called to end its goroutines.
func NewPoller(c PollerConfig) *Poller {
	ctx, cancel := context.WithCancel(context.Background())
	return &Poller{cfg: c, ctx: ctx, cancel: cancel, cancelPolls: map[cs.RunnerID]context.CancelFunc{}}
}

// Close cancels all polling and orders and waits for their goroutines to end.
func (p *Poller) Close() {
	p.mu.Lock()
	p.cancel()
	p.mu.Unlock()
	p.wg.Wait()
}

// PollLoad starts polling a runner, or stops polling it if a.Stop is set.
func (p *Poller) PollLoad(a fleet.PollLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cancel := p.cancelPolls[a.Runner]; cancel != nil {
		cancel()
		delete(p.cancelPolls, a.Runner)
	}
	if a.Stop || p.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.cancelPolls[a.Runner] = cancel
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.poll(ctx, a)
	}()
}

func (p *Poller) poll(ctx context.Context, a fleet.PollLoad) {
	for ctx.Err() == nil {
		requestCtx, cancel := context.WithTimeout(ctx, p.cfg.Timeout.Std())
		report, err := p.cfg.Client.Load(requestCtx, a.Address)
		cancel()
		var e fleet.Event = fleet.LoadReceived{Runner: a.Runner, Report: report}
		if err != nil {
			e = fleet.LoadPollFailed{Runner: a.Runner, Refused: errors.Is(err, syscall.ECONNREFUSED)}
		}
		if ctx.Err() != nil || p.cfg.Post(ctx, e) != nil {
			return
		}
		sleep(ctx, p.nextDelay(report, err))
	}
}

// idlePollFactor multiplies the pause between two load reports of a runner without work. The load of such
// a runner can only increase, and the VM that dispatches work to it knows that before any report.
const idlePollFactor = 3

// nextDelay returns the pause before the next load report.
func (p *Poller) nextDelay(last cs.LoadReport, err error) cs.Span {
	if err == nil && last.Running == 0 && last.Waiting == 0 {
		return idlePollFactor * p.cfg.Poll
	}
	return p.cfg.Poll
}

// OrderRunner sends an order asynchronously, then posts fleet.OrderAnswered.
func (p *Poller) OrderRunner(o fleet.OrderRunner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		ctx, cancel := context.WithTimeout(p.ctx, p.cfg.Timeout.Std())
		defer cancel()
		e := fleet.OrderAnswered{Runner: o.Runner, Order: o.Order}
		if err := p.cfg.Client.Order(ctx, o.Address, o.Order); err != nil {
			e.Error, e.Stale = err.Error(), errors.Is(err, engine.ErrStaleOrder)
		}
		_ = p.cfg.Post(p.ctx, e) // fails only if the process is ending
	}()
}
