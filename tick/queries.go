package tick

import (
	"context"
	"sync"
)

// Queries matches queries that other goroutines post to a control loop with the answers of the loop.
// It is safe for concurrent use.
type Queries[I ~uint64, A any] struct {
	mu      sync.Mutex
	lastID  I
	pending map[I]chan A
}

// Ask assigns an id to a query, passes the id to post and waits for the answer with that id. It fails
// if post fails, or if ctx ends before the answer has come.
func (q *Queries[I, A]) Ask(ctx context.Context, post func(context.Context, I) error) (A, error) {
	var zero A
	answer := make(chan A, 1)
	q.mu.Lock()
	if q.pending == nil {
		q.pending = make(map[I]chan A)
	}
	q.lastID++
	id := q.lastID
	q.pending[id] = answer
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		delete(q.pending, id)
		q.mu.Unlock()
	}()
	if err := post(ctx, id); err != nil {
		return zero, err
	}
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// Answer delivers the answer to the caller of Ask and discards it if the caller no longer waits. It must
// be called at most once for each query, since the channel holds one answer and a second could block the
// control loop.
func (q *Queries[I, A]) Answer(id I, a A) {
	q.mu.Lock()
	answer := q.pending[id]
	q.mu.Unlock()
	if answer != nil {
		answer <- a
	}
}
