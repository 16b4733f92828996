package standin

import "context"

// inbox delivers events to the goroutine that owns the state of a stand-in.
type inbox[E any] struct {
	events chan E
	done   chan struct{} // closed when the owner stops
}

func newInbox[E any]() inbox[E] {
	return inbox[E]{events: make(chan E), done: make(chan struct{})}
}

// send delivers an event; it returns false if the owner stopped or ctx ended first.
func (b *inbox[E]) send(ctx context.Context, e E) bool {
	select {
	case b.events <- e:
		return true
	case <-b.done:
	case <-ctx.Done():
	}
	return false
}

// receive calls apply for each event until ctx ends. It runs in the goroutine that owns the state.
func (b *inbox[E]) receive(ctx context.Context, apply func(E)) error {
	defer close(b.done)
	for {
		select {
		case e := <-b.events:
			apply(e)
		case <-ctx.Done():
			return nil
		}
	}
}

// sendAndWait delivers an event and returns once it is applied; it returns false if the owner stopped or
// ctx ended first.
func sendAndWait[E any](ctx context.Context, b *inbox[E], newEvent func(applied chan<- struct{}) E) bool {
	_, ok := sendForReply(ctx, b, newEvent)
	return ok
}

// sendForReply delivers an event that carries a reply channel and returns the reply; it returns false if
// the owner stopped or ctx ended first.
func sendForReply[E, R any](ctx context.Context, b *inbox[E], newEvent func(reply chan<- R) E) (R, bool) {
	var zero R
	reply := make(chan R, 1)
	if !b.send(ctx, newEvent(reply)) {
		return zero, false
	}
	select {
	case r := <-reply:
		return r, true
	case <-b.done:
	case <-ctx.Done():
	}
	return zero, false
}
