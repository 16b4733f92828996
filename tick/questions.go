package tick

import (
	"context"
	"sync"
)

// Questions lets other goroutines ask the loop and wait for its answers; it is safe for concurrent use.
type Questions[I ~uint64, A any] struct {
	mu   sync.Mutex
	last I
	open map[I]chan A
}

// Ask numbers a question, posts it and waits for the answer; ctx ends when nobody waits for it.
func (q *Questions[I, A]) Ask(ctx context.Context, post func(context.Context, I) error) (A, error) {
	var none A
	answer := make(chan A, 1)
	q.mu.Lock()
	if q.open == nil {
		q.open = make(map[I]chan A)
	}
	q.last++
	id := q.last
	q.open[id] = answer
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		delete(q.open, id)
		q.mu.Unlock()
	}()
	if err := post(ctx, id); err != nil {
		return none, err
	}
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// Answer hands the answer to the one who asked, if it still waits; a question is answered once.
func (q *Questions[I, A]) Answer(id I, a A) {
	q.mu.Lock()
	answer := q.open[id]
	q.mu.Unlock()
	if answer != nil {
		answer <- a
	}
}
