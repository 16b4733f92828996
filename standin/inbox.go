package standin

import "context"

// inbox passes events to the goroutine that owns a stand-in's state.
type inbox[E any] struct {
	events chan E
	done   chan struct{}
}

func newInbox[E any]() inbox[E] {
	return inbox[E]{events: make(chan E), done: make(chan struct{})}
}

// send delivers an event; it returns false if the owner or ctx ended first.
func (b *inbox[E]) send(ctx context.Context, e E) bool {
	select {
	case b.events <- e:
		return true
	case <-b.done:
	case <-ctx.Done():
	}
	return false
}

// receive applies each event until ctx ends.
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

// tell delivers an event and returns once it is applied; it returns false if the owner or ctx ended
// first.
func sendAndWait[E any](ctx context.Context, b *inbox[E], newEvent func(applied chan<- struct{}) E) bool {
	_, ok := sendForReply(ctx, b, newEvent)
	return ok
}

// ask delivers an event that carries a reply channel and returns the reply; it returns false if the
// owner or ctx ended first.
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
