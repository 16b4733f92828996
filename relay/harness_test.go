package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/engine"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/meter"
	"github.com/crocusstile/crocusstile/relay"
)

// waitTimeout bounds the wait for an expected event.
const waitTimeout = 10 * time.Second

// harness is a relay for which the test takes the place of the control loop: it dispatches each request
// to one runner and records the events.
type harness struct {
	relay  *relay.Relay
	clock  *cs.Clock
	runner cs.Address
	// onEvent replaces the dispatch to runner and is called with each event, unless it is nil.
	onEvent func(fleet.Event)

	mu      sync.Mutex
	events  []fleet.Event
	changed chan struct{}
}

func newHarness(t testing.TB, runner cs.Address) *harness {
	return newHarnessAt(t, runner, cs.NewClock())
}

func newHarnessAt(t testing.TB, runner cs.Address, clock *cs.Clock) *harness {
	h := &harness{runner: runner, clock: clock, changed: make(chan struct{})}
	m := meter.New(zerolog.Nop())
	h.relay = relay.New(relay.Config{
		Clock: clock, Meter: m, Post: h.post, VM: "vm-1", RequestIDPrefix: "vm-1-x",
		Engine: engine.New(engine.Config{
			Clock: clock, DialTimeout: 5 * cs.Second, FirstByteTimeout: 20 * cs.Second, IdleTimeout: 20 * cs.Second,
			MaxResponse: 1 << 20,
		}),
	})
	t.Cleanup(func() {
		h.relay.Close()
		qt.Check(t, m.Close(), qt.IsNil)
	})
	return h
}

func (h *harness) post(_ context.Context, e fleet.Event) error {
	h.mu.Lock()
	h.events = append(h.events, e)
	close(h.changed)
	h.changed = make(chan struct{})
	h.mu.Unlock()
	if h.onEvent != nil {
		h.onEvent(e)
	} else if a, ok := e.(fleet.RequestArrived); ok {
		h.dispatch(a.Request.ID, 1, h.runner)
	}
	return nil
}

func (h *harness) dispatch(id cs.RequestID, a cs.Attempt, addr cs.Address) {
	h.relay.Dispatch(fleet.Dispatch{ID: id, Attempt: a, Address: addr})
}

// await waits for an event that accept returns true for, and returns that event.
func (h *harness) await(t testing.TB, accept func(fleet.Event) bool) fleet.Event {
	t.Helper()
	for timeout := time.After(waitTimeout); ; {
		h.mu.Lock()
		i, changed, events := slices.IndexFunc(h.events, accept), h.changed, h.events
		h.mu.Unlock()
		if i >= 0 {
			return events[i]
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("no such event among %#v", events)
		}
	}
}

// resultOf waits for the end of an attempt and returns the result.
func (h *harness) resultOf(t testing.TB, a cs.Attempt) fleet.RunResult {
	t.Helper()
	return h.await(t, func(e fleet.Event) bool {
		ended, ok := e.(fleet.RequestEnded)
		return ok && ended.Attempt == a
	}).(fleet.RequestEnded).Result
}

// request returns a generation request with a limit on the tokens.
func (h *harness) request(tokens cs.Tokens) cs.Request {
	return cs.Request{
		ID: h.relay.NewID(), Tenant: "tenant",
		Target: cs.Generation{Model: "tutor", Version: "v1", Prompt: "prompt", MaxTokens: tokens},
	}
}

// streamResponse streams a response and returns the bytes that the caller receives.
func (h *harness) streamResponse(t testing.TB, tokens cs.Tokens) string {
	t.Helper()
	body, err := h.relay.Stream(t.Context(), h.request(tokens))
	qt.Assert(t, err, qt.IsNil)
	defer body.Close()
	var got strings.Builder
	_, err = body.(io.WriterTo).WriteTo(&got)
	qt.Assert(t, err, qt.IsNil)
	return got.String()
}

// mustReturn fails the test if f does not return within waitTimeout.
func mustReturn(t testing.TB, what string, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() { defer close(done); f() }()
	select {
	case <-done:
	case <-time.After(waitTimeout):
		t.Fatalf("%s does not return", what)
	}
}

// runnerRequest is a request that a runner receives.
type runnerRequest struct {
	ID           string
	ResumeText   string
	ResumeTokens int
	w            http.ResponseWriter
	disconnected <-chan struct{}
	cancel       bool // the request cancels an earlier one
}

// runner starts a runner that handles each request, also a cancellation, with handle.
func runner(t testing.TB, handle func(runnerRequest)) cs.Address {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := runnerRequest{w: w, disconnected: r.Context().Done(), cancel: r.URL.Path == "/v1/cancel"}
		body, _ := io.ReadAll(r.Body)
		_ = json.Unmarshal(body, &req)
		handle(req)
	}))
	t.Cleanup(s.Close)
	return cs.Address(s.Listener.Addr().String())
}

// tokens sends the tokens numbered from one number to another, with the source in their text.
func (r runnerRequest) tokens(source string, from, to int) {
	for n := from; n <= to; n++ {
		fmt.Fprint(r.w, event(r.ID, source, n))
	}
	r.w.(http.Flusher).Flush()
}

func (r runnerRequest) end(n int) {
	fmt.Fprintf(r.w, "data: {\"id\":%q,\"done\":true,\"tokens\":%d,\"load\":{}}\n\n", r.ID, n)
}

func event(id, source string, n int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"n\":%d,\"text\":\" %s%d\"}\n\n", id, n, source, n)
}
