package forward_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/forward"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// vmMemory is the memory of the smallest VMs of the users.
	vmMemory = 164 << 20
	// heldRequests is the number of requests that are in progress at once in the tests.
	heldRequests = 300
	// heldBytes is what the faulty runner sends of each response; it is less than the limit of one response.
	heldBytes = 900 << 10
)

// faultyBodies is a runner whose responses have the same status and much body; stall, if set, keeps each open after heldBytes.
type faultyBodies struct {
	status int
	stall  <-chan struct{}
	// healthy is the runner that responds with a short body, once answer is closed.
	answer <-chan struct{}
	// reached is called when a response is read up to heldBytes, or has failed before.
	reached func()
}

// Dispatch responds to a request.
func (r *faultyBodies) Dispatch(_ context.Context, _ forward.RunnerRequest, dest forward.Destination) (*forward.RunnerResponse, error) {
	if dest.Runner == "healthy" {
		<-r.answer
		return &forward.RunnerResponse{Status: http.StatusOK, Signed: true, Body: io.NopCloser(bytes.NewReader([]byte("ok")))}, nil
	}
	once := sync.OnceFunc(r.reached)
	return &forward.RunnerResponse{
		Status: r.status, Signed: true,
		Body: &stallingBody{Reader: io.LimitReader(zeros{}, heldBytes), stall: r.stall, reached: once},
	}, nil
}

// zeros is a reader without an end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// stallingBody is a body that calls reached at the end of its reader or when it is closed, and ends when stall is closed.
type stallingBody struct {
	io.Reader
	stall   <-chan struct{}
	reached func()
}

func (b *stallingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.reached()
		<-b.stall
	}
	return n, err
}

func (b *stallingBody) Close() error {
	b.reached()
	return nil
}

// serveHeld serves heldRequests requests at once, each first at the faulty runner and then at the healthy one, and returns the heap
// in use when all have read what the faulty one sends, and how many were answered by the healthy one.
func serveHeld(t *testing.T, status int, stalls bool) (heap uint64, answered int) {
	t.Helper()
	var reached, sessions sync.WaitGroup
	reached.Add(heldRequests)
	stall, answer := make(chan struct{}), make(chan struct{})
	if !stalls {
		close(stall)
	}
	runners := &faultyBodies{status: status, stall: stall, answer: answer, reached: reached.Done}
	clock := cs.NewClock()
	ignore := func(cs.RouteName, cs.Span) {}
	var traffic *forward.Traffic
	traffic = forward.NewTraffic(forward.TrafficConfig{
		Clock: clock, Runners: runners, ObserveFirstByte: ignore, ObserveDuration: ignore,
		Post: func(_ context.Context, e gateway.Event) error {
			switch e := e.(type) {
			case gateway.ForwardArrived:
				traffic.Deliver(e.Forward.ID, gateway.Dispatch{ID: e.Forward.ID, Attempt: 1, Runner: "faulty"})
			case gateway.ForwardEnded:
				if e.Attempt == 1 {
					traffic.Deliver(e.ID, gateway.Dispatch{ID: e.ID, Attempt: 2, Runner: "healthy"})
				}
			default:
			}
			return nil
		},
	})
	var mu sync.Mutex
	for range heldRequests {
		sessions.Go(func() {
			caller := &recordingCaller{}
			traffic.Serve(t.Context(), forward.RunnerRequest{ID: "r"}, gateway.Forward{
				Route: cs.Route{Kind: cs.RouteIdempotent, MaxAttempts: 3}, Arrived: clock.Now(), Deadline: clock.Now().Add(cs.Minute),
			}, caller)
			mu.Lock()
			defer mu.Unlock()
			if caller.body.String() == "ok" {
				answered++
			}
		})
	}
	reached.Wait()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	if stalls {
		close(stall)
	}
	close(answer)
	sessions.Wait()
	return m.HeapAlloc, answered
}

// Guards against a faulty runner that fills the memory of a VM with many responses at once, each below the limit of one: with
// errors that are held while the requests go on elsewhere, and with bodies that never end.
func TestHeldResponsesAreBoundedTogether(t *testing.T) {
	c := qt.New(t)
	heap, answered := serveHeld(t, http.StatusInternalServerError, false)
	c.Check(heap < vmMemory/2, qt.IsTrue, qt.Commentf("%d MB in use", heap>>20))
	c.Check(answered, qt.Equals, heldRequests)
	heap, _ = serveHeld(t, http.StatusOK, true)
	c.Check(heap < vmMemory/2, qt.IsTrue, qt.Commentf("%d MB in use", heap>>20))
}

// Guards against a limit for all responses that is used up for good: it must be free again when the requests have ended.
func TestHeldResponsesAreReleased(t *testing.T) {
	c := qt.New(t)
	for range 3 {
		_, answered := serveHeld(t, http.StatusInternalServerError, false)
		c.Assert(answered, qt.Equals, heldRequests)
	}
}
