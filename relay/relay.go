// Package relay carries the bytes of requests between callers and runners.
//
// A session stands for one online request: the control loop decides where and when it runs, the
// session's goroutines do so and report how it went. Tokens do not pass through the control loop.
package relay

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/engine"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/meter"
)

// cancelTimeout bounds an order to an engine to stop a run.
const cancelTimeout = 2 * cs.Second

// queryGrace is the time beyond a query's limit in which the control loop answers that it is over.
const queryGrace = cs.Second

// Config holds what a Relay needs.
type Config struct {
	// Clock tells the time.
	Clock *cs.Clock
	// Engine talks to the runners.
	Engine *engine.Client
	// Meter records latencies.
	Meter *meter.Meter
	// Post hands an event to the control loop.
	Post func(context.Context, fleet.Event) error
	// VM is this VM.
	VM cs.VMID
	// Prefix makes the ids of requests unique among VMs and their incarnations.
	Prefix string
}

// Relay holds the sessions of a VM. It carries out the loop's actions on requests, items and
// queries.
//
// Its memory is bounded: each session, query and ticket belongs to a caller that waits, each item to
// a batch slot, and Config.MaxAnswer of the engine client bounds what one of them holds.
type Relay struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	ids    atomic.Uint64

	mu       sync.Mutex
	sessions map[cs.RequestID]*session
	items    map[cs.ItemKey]*itemAttempt
	queries  map[uint64]chan cs.ShardAnswer
	tickets  map[uint64]chan *cs.Refusal
}

// New returns a relay; its goroutines end with Close.
func New(c Config) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	return &Relay{
		cfg: c, ctx: ctx, cancel: cancel, sessions: map[cs.RequestID]*session{},
		items: map[cs.ItemKey]*itemAttempt{}, queries: map[uint64]chan cs.ShardAnswer{},
		tickets: map[uint64]chan *cs.Refusal{},
	}
}

// Close ends all runs and waits for their goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.cancel()
	r.mu.Unlock()
	r.wg.Wait()
	r.cfg.Engine.Close()
}

// post hands an event to the loop; it fails only when the process ends.
func (r *Relay) post(e fleet.Event) { _ = r.cfg.Post(r.ctx, e) }

// errClosed says that the relay takes no more work.
var errClosed = errors.New("the relay is closed")

// start runs f in a goroutine that Close waits for; it returns false after Close.
func (r *Relay) start(f func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false
	}
	r.wg.Go(f)
	return true
}

// detach returns a context that the caller's leaving does not end, but Close does.
func (r *Relay) detach(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(r.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

// cancelAtRunner tells an engine to stop a run, so that its slot is free at once.
func (r *Relay) cancelAtRunner(addr cs.Address, id cs.RequestID) {
	r.start(func() {
		ctx, cancel := context.WithTimeout(r.ctx, cancelTimeout.Std())
		defer cancel()
		_ = r.cfg.Engine.Cancel(ctx, addr, id) // the closed connection cancels the run as well
	})
}

// Query asks the owner of a shard and waits for the answer, the end of ctx or the limit.
func (r *Relay) Query(ctx context.Context, shard cs.ShardID, q cs.ShardQuery, limit cs.Span) (cs.ShardAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, (limit + queryGrace).Std())
	defer cancel()
	id, ch := r.ids.Add(1), make(chan cs.ShardAnswer, 1)
	r.mu.Lock()
	r.queries[id] = ch
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.queries, id)
		r.mu.Unlock()
	}()
	e := fleet.QueryAsked{ID: id, Shard: shard, Query: q, Deadline: r.cfg.Clock.Now().Add(limit)}
	if err := r.cfg.Post(ctx, e); err != nil {
		return nil, cs.Refuse(cs.ReasonExpired, "the caller went away")
	}
	select {
	case a := <-ch:
		if refused, ok := a.(cs.RefusedAnswer); ok {
			return nil, &refused.Refusal
		}
		return a, nil
	case <-ctx.Done():
		return nil, &cs.Refusal{Reason: cs.ReasonExpired, Ran: cs.RanUnknown, Message: "no answer from the owner of the shard in time"}
	}
}

// AnswerQuery hands an answer to the caller that waits for it.
func (r *Relay) AnswerQuery(a fleet.AnswerQuery) {
	r.mu.Lock()
	ch := r.queries[a.ID]
	r.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- a.Answer:
	default: // answered already
	}
}

// File submits a ticket and waits until it is in force on this VM or refused.
func (r *Relay) File(ctx context.Context, t cs.Ticket) error {
	id, ch := r.ids.Add(1), make(chan *cs.Refusal, 1)
	r.mu.Lock()
	r.tickets[id] = ch
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.tickets, id)
		r.mu.Unlock()
	}()
	if err := r.cfg.Post(ctx, fleet.TicketAsked{ID: id, Ticket: t}); err != nil {
		return cs.Refuse(cs.ReasonExpired, "the caller went away")
	}
	select {
	case refusal := <-ch:
		if refusal != nil {
			return refusal
		}
		return nil
	case <-ctx.Done():
		return &cs.Refusal{Reason: cs.ReasonExpired, Ran: cs.RanUnknown, Message: "the ticket is not decided yet"}
	}
}

// AnswerTicket hands the decision on a ticket to its operator.
func (r *Relay) AnswerTicket(a fleet.AnswerTicket) {
	r.mu.Lock()
	ch := r.tickets[a.ID]
	r.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- a.Refusal:
	default: // answered already
	}
}
