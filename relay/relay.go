// Package relay transfers requests and responses between callers and runners.
//
// A session represents one online request. The control loop decides when and on which runner it
// runs; goroutines of the session send it there and report the result. Tokens do not pass through
// the control loop.
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

// cancelTimeout bounds the cancellation request to an engine.
const cancelTimeout = 2 * cs.Second

// queryGrace is added to the time limit of a query, so that the control loop can still report that the
// limit has passed.
const queryGrace = cs.Second

// Config holds the dependencies and the identity of a Relay.
type Config struct {
	// Clock is the source of all time stamps.
	Clock *cs.Clock
	// Engine is the client that sends requests to runners.
	Engine *engine.Client
	// Meter records the latencies of requests and items.
	Meter *meter.Meter
	// Post queues an event for the control loop; it fails if the context ends first.
	Post func(context.Context, fleet.Event) error
	// VM is the id of this VM, recorded with each call that it starts.
	VM cs.VMID
	// RequestIDPrefix starts each request id and makes it unique among VMs and their incarnations.
	RequestIDPrefix string
}

// Relay holds the sessions of a VM and carries out the actions of the control loop on requests, batch
// items, queries and tickets.
//
// Its memory is bounded: each session, query and ticket belongs to a waiting caller, each item to a
// batch slot, and MaxResponse of the engine client's configuration bounds the response held for each.
type Relay struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	lastID atomic.Uint64

	mu       sync.Mutex
	sessions map[cs.RequestID]*session
	items    map[cs.ItemKey]*itemAttempt
	queries  map[uint64]chan cs.ShardReply
	tickets  map[uint64]chan *cs.Refusal
}

// New returns a relay without sessions. Close ends its goroutines.
func New(c Config) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	return &Relay{
		cfg: c, ctx: ctx, cancel: cancel, sessions: map[cs.RequestID]*session{},
		items: map[cs.ItemKey]*itemAttempt{}, queries: map[uint64]chan cs.ShardReply{},
		tickets: map[uint64]chan *cs.Refusal{},
	}
}

// Close cancels all attempts, waits for their goroutines and closes the engine client.
func (r *Relay) Close() {
	r.mu.Lock()
	r.cancel()
	r.mu.Unlock()
	r.wg.Wait()
	r.cfg.Engine.Close()
}

// post queues an event for the control loop. The error is ignored because it occurs only at shutdown.
func (r *Relay) post(e fleet.Event) { _ = r.cfg.Post(r.ctx, e) }

// errClosed is returned to readers of a stream that start after Close.
var errClosed = errors.New("the relay is closed")

// start runs f in a goroutine that Close waits for. After Close it does nothing and returns false.
func (r *Relay) start(f func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return false
	}
	r.wg.Go(f)
	return true
}

// detach returns a context that is not cancelled with ctx, only by Close.
func (r *Relay) detach(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(r.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

// cancelAtRunner asks an engine to cancel a request, so that its slot becomes free at once.
func (r *Relay) cancelAtRunner(addr cs.Address, id cs.RequestID) {
	r.start(func() {
		ctx, cancel := context.WithTimeout(r.ctx, cancelTimeout.Std())
		defer cancel()
		_ = r.cfg.Engine.Cancel(ctx, addr, id) // closing the connection also cancels the request, only later
	})
}

// Query sends a query to the VM that owns a shard and waits for the reply, at most until ctx ends or
// the limit has passed.
func (r *Relay) Query(ctx context.Context, shard cs.ShardID, q cs.ShardQuery, limit cs.Span) (cs.ShardReply, error) {
	ctx, cancel := context.WithTimeout(ctx, (limit + queryGrace).Std())
	defer cancel()
	id, ch := r.lastID.Add(1), make(chan cs.ShardReply, 1)
	r.mu.Lock()
	r.queries[id] = ch
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.queries, id)
		r.mu.Unlock()
	}()
	e := fleet.QueryReceived{ID: id, Shard: shard, Query: q, Deadline: r.cfg.Clock.Now().Add(limit)}
	if err := r.cfg.Post(ctx, e); err != nil {
		return nil, cs.Refuse(cs.ReasonExpired, "the caller went away")
	}
	select {
	case a := <-ch:
		if refused, ok := a.(cs.RefusedReply); ok {
			return nil, &refused.Refusal
		}
		return a, nil
	case <-ctx.Done():
		return nil, &cs.Refusal{Reason: cs.ReasonExpired, Ran: cs.RanUnknown, Message: "no answer from the owner of the shard in time"}
	}
}

// AnswerQuery delivers a reply to the caller of Query; it is dropped if that caller no longer waits.
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

// File submits a ticket and waits until it is in force on this VM or has been refused.
func (r *Relay) File(ctx context.Context, t cs.Ticket) error {
	id, ch := r.lastID.Add(1), make(chan *cs.Refusal, 1)
	r.mu.Lock()
	r.tickets[id] = ch
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.tickets, id)
		r.mu.Unlock()
	}()
	if err := r.cfg.Post(ctx, fleet.TicketSubmitted{ID: id, Ticket: t}); err != nil {
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

// AnswerTicket delivers the decision on a ticket to the caller of File; nil means that the ticket is
// in force.
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
