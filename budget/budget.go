package budget

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	cs "github.com/crocusstile/crocusstile"
)

// tickInterval is the time between two looks for connections without progress.
const tickInterval = cs.Second

// retryInterval is the time between two attempts to make room, since connections become stalled without an event.
const retryInterval = 100 * cs.Millisecond

// Config holds the dependencies of a Budget.
type Config struct {
	Clock  *cs.Clock
	Limits Limits
	// Observe is called with each beginning and end of a limit; nil ignores them.
	Observe func(Action)
}

// Budget is the budget of a VM. It is safe for concurrent use.
type Budget struct {
	cfg    Config
	mu     sync.Mutex
	tables *Tables
	// freed is closed when bytes are given back while a goroutine waits for them.
	freed   chan struct{}
	waiting int
	// progress is ProgressBytes of the limits, which is read for each part of a body.
	progress atomic.Int64
}

// New returns a budget of which nothing is taken.
func New(c Config) *Budget {
	b := &Budget{cfg: c, tables: newTables(c.Limits), freed: make(chan struct{})}
	b.progress.Store(int64(c.Limits.ProgressBytes))
	return b
}

// SetLimits replaces the limits. What is held beyond them is kept until it is given back.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tables.limits = l
	b.progress.Store(int64(l.ProgressBytes))
}

// Run ends connections without progress until ctx ends.
func (b *Budget) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval.Std())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			b.update(func(now cs.Instant, out *Actions) {
				observeReaders(b.tables, now)
				EndStalled(b.tables, now, out)
			})
		}
	}
}

// update runs a rule and carries out its actions.
func (b *Budget) update(rule func(now cs.Instant, out *Actions)) {
	var out Actions
	b.mu.Lock()
	rule(b.cfg.Clock.Now(), &out)
	b.mu.Unlock()
	for _, a := range out {
		b.carryOut(a)
	}
}

// carryOut carries out an action.
func (b *Budget) carryOut(a Action) {
	switch a := a.(type) {
	case StopConnection:
		a.Holder.Connection.Stop(a.Phase)
	case ShareChanged, PoolChanged:
		if b.cfg.Observe != nil {
			b.cfg.Observe(a)
		}
	}
}

// Admit adds a new connection, and reports whether it may be served.
func (b *Budget) Admit(h *Holder) bool {
	admitted := false
	b.update(func(now cs.Instant, out *Actions) {
		h.Enter(PhaseHeader, now)
		admitted = b.tables.admit(h, now, out)
	})
	return admitted
}

// StopWorst ends a connection of the pool of h, since no descriptor is left.
func (b *Budget) StopWorst(h *Holder) {
	b.update(func(now cs.Instant, out *Actions) {
		if worst := b.tables.worst(h, now); worst != nil {
			b.tables.stop(worst, out)
		}
	})
}

// Remove removes a connection that is closed. Bytes of a share are given back by those that took them.
func (b *Budget) Remove(h *Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tables.remove(h)
}

// EndBody ends the phase in which the body of a request is received. It returns false if the connection is being ended.
func (b *Budget) EndBody(h *Holder) bool {
	if h == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.Enter(PhaseServing, b.cfg.Clock.Now())
	return !h.Stopped()
}

// Received notes bytes that a client has sent.
func (b *Budget) Received(h *Holder, n int) {
	h.Received(cs.Bytes(n), cs.Bytes(b.progress.Load()), b.cfg.Clock.Now())
}

// Take takes n bytes of a share for the client of ctx, of an object that will have size bytes. It waits for room for at most
// wait, and returns the bytes that must be given back. It returns false if there is no room.
func (b *Budget) Take(ctx context.Context, s Share, n, size cs.Bytes, wait cs.Span) (cs.Bytes, bool) {
	h := HolderOf(ctx)
	taken, freed, ok := b.tryTake(h, s, n, size, wait > 0)
	if ok || wait <= 0 {
		return taken, ok
	}
	phase := PhaseServing
	if h != nil {
		phase = Phase(h.phase.Load())
	}
	h.Enter(PhaseServing, b.cfg.Clock.Now()) // the client cannot make progress meanwhile
	defer func() { h.Enter(phase, b.cfg.Clock.Now()) }()
	retry := time.NewTicker(retryInterval.Std())
	defer retry.Stop()
	for until := b.cfg.Clock.Now().Add(wait); !ok; {
		select {
		case <-ctx.Done():
		case <-freed:
		case <-retry.C:
		}
		last := ctx.Err() != nil || b.cfg.Clock.Now() >= until
		b.endWait()
		if taken, freed, ok = b.tryTake(h, s, n, size, !last); last {
			break
		}
	}
	return taken, ok
}

// tryTake takes bytes if there is room. Otherwise it returns a channel that is closed when bytes are given back, if the caller
// waits for that; it must call endWait then.
func (b *Budget) tryTake(h *Holder, s Share, n, size cs.Bytes, waits bool) (taken cs.Bytes, freed chan struct{}, ok bool) {
	b.update(func(now cs.Instant, out *Actions) {
		taken, ok = b.tables.reserve(h, s, n, size, now, out)
		switch {
		case ok:
		case waits:
			b.waiting++
			freed = b.freed
		default:
			b.tables.counts.Refused++
		}
	})
	return taken, freed, ok
}

// endWait means that a goroutine no longer waits for bytes.
func (b *Budget) endWait() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
}

// Give gives bytes back that Take returned for the client of ctx.
func (b *Budget) Give(ctx context.Context, s Share, n cs.Bytes) { b.GiveHeld(HolderOf(ctx), s, n) }

// GiveHeld is Give for a holder.
func (b *Budget) GiveHeld(h *Holder, s Share, n cs.Bytes) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tables.release(h, s, n)
	if b.waiting > 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// Use is what is held of a budget.
type Use struct {
	Shares      [shareCount]cs.Bytes
	Connections [poolCount]int
	Counts
}

// Use returns what is held now.
func (b *Budget) Use() Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Use{Shares: b.tables.used, Counts: b.tables.counts}
	for i := range b.tables.pools {
		u.Connections[i] = b.tables.pools[i].open
	}
	return u
}

// holderKey is the key of the holder in the context of a connection.
type holderKey struct{}

// WithHolder returns a context of the requests of a connection.
func WithHolder(ctx context.Context, h *Holder) context.Context {
	return context.WithValue(ctx, holderKey{}, h)
}

// HolderOf returns the holder of a request, or nil if it has no connection of its own.
func HolderOf(ctx context.Context) *Holder {
	h, _ := ctx.Value(holderKey{}).(*Holder)
	return h
}
