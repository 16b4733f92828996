package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/budget"
	"github.com/crocusstile/crocusstile/gateway"
)

// TrafficConfig holds the dependencies of Traffic.
type TrafficConfig struct {
	Clock   *cs.Clock
	Runners Runners
	Post    gateway.Post
	// ObserveFirstByte is called with the time from arrival to the first byte of the response, and
	// ObserveDuration with the time to its end.
	ObserveFirstByte, ObserveDuration func(route cs.RouteName, s cs.Span)
	// Budget has the bytes that responses may take until they are complete and sent; nil means that of a VM with
	// defaultMemory.
	Budget *budget.Budget
}

// Traffic carries the bytes of online requests between callers and runners.
type Traffic struct {
	cfg      TrafficConfig
	lastID   atomic.Uint64
	mu       sync.Mutex
	sessions map[gateway.ForwardID]*session
}

// NewTraffic returns a Traffic without sessions.
func NewTraffic(c TrafficConfig) *Traffic {
	if c.Budget == nil {
		c.Budget = budget.New(budget.Config{Clock: c.Clock, Limits: budget.DefaultLimits(defaultMemory, 0)})
	}
	return &Traffic{cfg: c, sessions: make(map[gateway.ForwardID]*session)}
}

// actionBuffer is the capacity of a session's action channel. At most one action is in transit at a
// time, and the refusal that ends the request may be added before it is received.
const actionBuffer = 2

// Caller is the connection to the client that sent a request.
type Caller interface {
	// Head sends the status and headers of a response; length is -1 for a stream.
	Head(status int, header http.Header, length int)
	// Write sends bytes of the body and flushes them.
	Write(p []byte) error
}

// End is how a session ended. The interface is sealed.
type End interface{ isEnd() }

// The ways in which a session can end.
type (
	// EndAnswered means that the caller has received a complete response.
	EndAnswered struct{}
	// EndRefused means that nothing was sent to the caller yet and that the refusal must be.
	EndRefused struct {
		Refusal    cs.Refusal
		RetryAfter cs.Span
	}
	// EndBroken means that the caller has received part of a response, so that its connection must
	// be closed.
	EndBroken struct{}
	// EndCallerDisconnected means that the caller disconnected.
	EndCallerDisconnected struct{}
)

func (EndAnswered) isEnd()           {}
func (EndRefused) isEnd()            {}
func (EndBroken) isEnd()             {}
func (EndCallerDisconnected) isEnd() {}

// Serve forwards one request to runners and returns how it ended. The context must end when the
// caller disconnects.
func (t *Traffic) Serve(ctx context.Context, request RunnerRequest, f gateway.Forward, w Caller) End {
	f.ID = gateway.ForwardID(t.lastID.Add(1))
	attempts, stop := context.WithCancel(ctx)
	defer stop()
	s := &session{
		traffic: t, request: request, forward: f, caller: w, lastEvent: f.LastEvent, actions: make(chan gateway.Action, actionBuffer),
		attempts: attempts, stop: stop,
	}
	t.mu.Lock()
	t.sessions[f.ID] = s
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.sessions, f.ID)
		t.mu.Unlock()
	}()
	if err := t.cfg.Post(ctx, gateway.ForwardArrived{Forward: f}); err != nil {
		return EndCallerDisconnected{}
	}
	return s.run(ctx)
}

// Deliver delivers an action of the control loop to the session of a request.
func (t *Traffic) Deliver(id gateway.ForwardID, a gateway.Action) {
	t.mu.Lock()
	s := t.sessions[id]
	t.mu.Unlock()
	if s == nil {
		return // the caller has disconnected in the meantime
	}
	select {
	case s.actions <- a:
	default:
		// Not reached: a session receives each action before it causes the next one, so that the
		// channel always has room.
	}
}

// Stop cancels the attempt of a request that is in progress, and all further ones. That closes the connection to the
// runner, which then drops the request.
func (t *Traffic) Stop(id gateway.ForwardID) {
	t.mu.Lock()
	s := t.sessions[id]
	t.mu.Unlock()
	if s != nil {
		s.stop()
	}
}
