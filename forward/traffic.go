package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// maxAnswer bounds an answer that is not a stream; it is held in memory until it is whole.
const maxAnswer = 16 << 20

// TrafficConfig holds what Traffic needs.
type TrafficConfig struct {
	Clock   *cs.Clock
	Runners Runners
	Post    gateway.Post
	// Began measures the time to the first byte of an answer, and Ended to its end.
	Began, Ended func(route cs.RouteName, s cs.Span)
}

// Traffic carries the bytes of online requests.
type Traffic struct {
	cfg      TrafficConfig
	last     atomic.Uint64
	mu       sync.Mutex
	sessions map[gateway.ForwardID]chan gateway.Action
}

// NewTraffic returns traffic without a session.
func NewTraffic(c TrafficConfig) *Traffic {
	return &Traffic{cfg: c, sessions: make(map[gateway.ForwardID]chan gateway.Action)}
}

// orderRoom is the number of orders that may wait for a session: one is on its way at a time, and
// the request's end may overtake it.
const orderRoom = 2

// Caller takes an answer.
type Caller interface {
	// Head passes the head of an answer on; length is -1 for a stream.
	Head(status int, header http.Header, length int)
	// Write passes bytes of the body on at once.
	Write(p []byte) error
}

// End is how a session ended; a sealed type.
type End interface{ isEnd() }

// The ends of a session.
type (
	// EndAnswered means that the caller has the runner's whole answer.
	EndAnswered struct{}
	// EndRefused means that the caller is owed an answer that says why there is none.
	EndRefused struct {
		Refusal    cs.Refusal
		RetryAfter cs.Span
	}
	// EndBroken means that the caller has a part of an answer, so that the connection must end.
	EndBroken struct{}
	// EndAbandoned means that the caller left.
	EndAbandoned struct{}
)

func (EndAnswered) isEnd()  {}
func (EndRefused) isEnd()   {}
func (EndBroken) isEnd()    {}
func (EndAbandoned) isEnd() {}

// Serve passes one request on and returns how it ended; ctx ends when the caller leaves.
func (t *Traffic) Serve(ctx context.Context, call Call, f gateway.Forward, w Caller) End {
	f.ID = gateway.ForwardID(t.last.Add(1))
	orders := make(chan gateway.Action, orderRoom)
	t.mu.Lock()
	t.sessions[f.ID] = orders
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.sessions, f.ID)
		t.mu.Unlock()
	}()
	s := &session{traffic: t, call: call, forward: f, caller: w}
	if err := t.cfg.Post(ctx, gateway.ForwardArrived{Forward: f}); err != nil {
		return EndAbandoned{}
	}
	return s.run(ctx, orders)
}

// Order hands an action to the session of a request.
func (t *Traffic) Order(id gateway.ForwardID, a gateway.Action) {
	t.mu.Lock()
	orders := t.sessions[id]
	t.mu.Unlock()
	if orders == nil {
		return // the caller has left meanwhile
	}
	select {
	case orders <- a:
	default:
		// A session takes each order before it causes the next, so that there is always room.
	}
}
