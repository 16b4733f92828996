package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/relay"
)

// withoutIDs removes the request id from the events of a response.
func withoutIDs(response string) string {
	var b strings.Builder
	for line := range strings.Lines(response) {
		if _, rest, ok := strings.Cut(line, `",`); ok {
			b.WriteString(rest)
		}
	}
	return b.String()
}

const completeResponse = `"n":1,"text":" a1"}
"n":2,"text":" a2"}
"n":3,"text":" b3"}
"n":4,"text":" b4"}
"done":true,"tokens":4}
`

// TestBrokenStreamIsResumed guards against lost or repeated tokens when the connection to a runner
// breaks within a response and a second runner resumes it.
func TestBrokenStreamIsResumed(t *testing.T) {
	failing := runner(t, func(r runnerRequest) {
		r.tokens("a", 1, 2)
		panic(http.ErrAbortHandler)
	})
	second := runner(t, func(r runnerRequest) {
		qt.Check(t, r.ResumeText, qt.Equals, " a1 a2")
		r.tokens("b", r.ResumeTokens+1, 4)
		r.end(4)
	})
	h := newHarness(t, failing)
	h.onEvent = retryOn(h, second)
	qt.Check(t, withoutIDs(h.streamResponse(t, 4)), qt.Equals, completeResponse)
}

// retryOn dispatches a request to the first runner, and to the second once that attempt has ended.
func retryOn(h *harness, second cs.Address) func(fleet.Event) {
	return func(e fleet.Event) {
		switch e := e.(type) {
		case fleet.RequestArrived:
			h.dispatch(e.Request.ID, 1, h.runner)
		case fleet.RequestEnded:
			if e.Attempt == 1 {
				h.dispatch(e.ID, 2, second)
			}
		}
	}
}

// TestErrorAfterBrokenStream guards against the error of a second runner in a response that began at a first one and broke
// off, and against such a response that looks complete.
func TestErrorAfterBrokenStream(t *testing.T) {
	const errorText = "no memory left"
	const head = "X-Request-Id: %[1]s\r\nConnection: close\r\n"
	for name, response := range map[string]string{
		"error":                    "HTTP/1.1 500 X\r\n" + head + "Content-Length: 26\r\n\r\n{\"error\":\"no memory left\"}",
		"error as a stream":        "HTTP/1.1 500 X\r\n" + head + "Content-Type: text/event-stream\r\n\r\ndata: {\"id\":%[1]q,\"n\":3,\"text\":\" no memory left\"}\n\n",
		"refusal":                  "HTTP/1.1 429 X\r\n" + head + "\r\nno memory left",
		"redirect":                 "HTTP/1.1 302 X\r\n" + head + "Location: /\r\n\r\nno memory left",
		"no content":               "HTTP/1.1 204 X\r\n" + head + "\r\n",
		"success, no stream":       "HTTP/1.1 200 X\r\n" + head + "\r\n{\"error\":\"no memory left\"}\n\n",
		"error as an event":        "HTTP/1.1 200 X\r\n" + head + "\r\nevent: error\ndata: no memory left\n\n",
		"error in an event":        "HTTP/1.1 200 X\r\n" + head + "\r\ndata: {\"id\":%[1]q,\"error\":\"no memory left\"}\n\n",
		"end marker with an error": "HTTP/1.1 200 X\r\n" + head + "\r\ndata: {\"id\":%[1]q,\"error\":\"no memory left\",\"done\":true,\"tokens\":2}\n\n",
		"head in a stream":         "HTTP/1.1 200 X\r\n" + head + "\r\nHTTP/1.1 500 X\r\n\r\nno memory left\r\n\r\n",
		"later event":              "HTTP/1.1 200 X\r\n" + head + "\r\ndata: {\"id\":%[1]q,\"n\":4,\"text\":\" no memory left\"}\n\n",
		"event of another request": "HTTP/1.1 200 X\r\n" + head + "\r\ndata: {\"id\":\"other\",\"n\":3,\"text\":\" no memory left\"}\n\n",
		"empty":                    "HTTP/1.1 200 X\r\n" + head + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, runner(t, func(r runnerRequest) {
				r.tokens("a", 1, 2)
				panic(http.ErrAbortHandler)
			}))
			second := runner(t, func(r runnerRequest) {
				conn, _, err := http.NewResponseController(r.w).Hijack()
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, response, r.ID) // fails only if the attempt is cancelled
				_ = conn.Close()
			})
			retry := retryOn(h, second)
			h.onEvent = func(e fleet.Event) {
				if ended, ok := e.(fleet.RequestEnded); ok && ended.Attempt == 2 {
					_, complete := ended.Result.(fleet.RunCompleted)
					qt.Check(t, complete, qt.IsFalse)
					h.relay.Finish(fleet.Finish{ID: ended.ID, Refusal: &cs.Refusal{Reason: cs.ReasonBroken, Ran: cs.RanUnknown, Message: "broken"}})
					return
				}
				retry(e)
			}
			got := h.streamResponse(t, 4)
			qt.Check(t, got, qt.Not(qt.Contains), errorText)
			qt.Check(t, withoutIDs(got), qt.Equals, "\"n\":1,\"text\":\" a1\"}\n\"n\":2,\"text\":\" a2\"}\n"+
				"\"error\":{\"name\":\"broken\",\"message\":\"broken\",\"ran\":\"unknown\"}}\n")
		})
	}
}

// TestFurtherAttemptUsesNewConnection guards against a refusal that a runner writes once more on the connection on which
// it refused the request before.
func TestFurtherAttemptUsesNewConnection(t *testing.T) {
	for name, target := range map[string]cs.Target{
		"generation": cs.Generation{Model: "tutor", Version: "v1", Prompt: "prompt", MaxTokens: 1},
		"call":       cs.ServiceCall{Service: "records", Method: "m", Body: []byte("{}")},
	} {
		t.Run(name, func(t *testing.T) {
			peers := make(chan string, 2)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				peers <- r.RemoteAddr
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				w.Header().Set("X-Not-Run", "true")
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(s.Close)
			addr := cs.Address(s.Listener.Addr().String())
			h := newHarness(t, addr)
			retry := retryOn(h, addr)
			h.onEvent = func(e fleet.Event) {
				if ended, ok := e.(fleet.RequestEnded); ok && ended.Attempt == 2 {
					h.relay.Finish(fleet.Finish{ID: ended.ID, Refusal: &cs.Refusal{Reason: cs.ReasonOverloaded}})
					return
				}
				retry(e)
			}
			req := h.request(1)
			req.Target = target
			var err error
			if name == "call" {
				_, err = h.relay.Call(t.Context(), req, relay.CallConfig{})
			} else {
				_, err = h.relay.Answer(t.Context(), req)
			}
			qt.Check(t, err, qt.IsNotNil)
			first, second := <-peers, <-peers
			qt.Check(t, first, qt.Not(qt.Equals), second)
		})
	}
}

// TestResumedStreamWithoutRemainingTokensEnds guards against a request that never ends because the
// first runner failed after the last token, so that the second sends only the end marker.
func TestResumedStreamWithoutRemainingTokensEnds(t *testing.T) {
	failing := runner(t, func(r runnerRequest) {
		r.tokens("a", 1, 2)
		panic(http.ErrAbortHandler)
	})
	h := newHarness(t, failing)
	h.onEvent = retryOn(h, runner(t, func(r runnerRequest) { r.end(r.ResumeTokens) }))
	mustReturn(t, "Answer", func() {
		a, err := h.relay.Answer(t.Context(), h.request(2))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, a.Text, qt.Equals, " a1 a2")
		qt.Check(t, a.Tokens, qt.Equals, cs.Tokens(2))
	})
}

// TestOnlyOneHedgedAttemptReachesCaller guards against mixed responses of two hedged attempts, and
// against a request that is ended by the attempt whose response is discarded.
func TestOnlyOneHedgedAttemptReachesCaller(t *testing.T) {
	for name, send := range map[string]func(runnerRequest){
		"tokens":      func(r runnerRequest) { r.tokens("b", 1, 4); r.end(4) },
		"only marker": func(r runnerRequest) { r.end(0) },
	} {
		t.Run(name, func(t *testing.T) {
			relayed, discarded := make(chan struct{}), make(chan struct{})
			winner := runner(t, func(r runnerRequest) {
				r.tokens("a", 1, 1)
				<-discarded
				r.tokens("a", 2, 2)
				r.end(2)
			})
			loser := runner(t, func(r runnerRequest) {
				<-relayed
				send(r)
			})
			h := newHarness(t, winner)
			h.onEvent = func(e fleet.Event) {
				switch e := e.(type) {
				case fleet.RequestArrived:
					h.dispatch(e.Request.ID, 1, winner)
					h.dispatch(e.Request.ID, 2, loser)
				case fleet.RequestFirstToken:
					qt.Check(t, e.Attempt, qt.Equals, cs.Attempt(1))
					close(relayed)
				case fleet.RequestEnded:
					if e.Attempt == 2 {
						close(discarded)
					}
				}
			}
			got := withoutIDs(h.streamResponse(t, 4))
			qt.Check(t, got, qt.Equals, "\"n\":1,\"text\":\" a1\"}\n\"n\":2,\"text\":\" a2\"}\n\"done\":true,\"tokens\":2}\n")
			qt.Check(t, h.resultOf(t, 2), qt.Equals, fleet.RunResult(fleet.RunCancelled{}))
		})
	}
}

// TestDisconnectCancelsAttempts guards against runner slots that stay in use after the caller has
// disconnected, before the first token or within the response. The attempts must end here and in the
// engine, and the control loop must be notified.
func TestDisconnectCancelsAttempts(t *testing.T) {
	for name, tokens := range map[string]int{"before first token": 0, "within response": 1} {
		t.Run(name, func(t *testing.T) {
			started, ended, cancelled := make(chan struct{}), make(chan struct{}), make(chan struct{})
			h := newHarness(t, runner(t, func(r runnerRequest) {
				if r.cancel {
					close(cancelled)
					return
				}
				r.tokens("a", 1, tokens)
				close(started)
				<-r.disconnected
				close(ended)
			}))
			ctx, disconnect := context.WithCancel(t.Context())
			go func() {
				<-started
				disconnect()
			}()
			req := h.request(4)
			mustReturn(t, "Answer", func() {
				_, err := h.relay.Answer(ctx, req)
				qt.Check(t, err.(*cs.Refusal).Ran, qt.Equals, cs.RanUnknown)
			})
			mustReturn(t, "the attempt", func() { <-ended; <-cancelled })
			h.await(t, func(e fleet.Event) bool { return e == fleet.Event(fleet.CallerDisconnected{ID: req.ID}) })
			qt.Check(t, h.resultOf(t, 1), qt.Equals, fleet.RunResult(fleet.RunCancelled{}))
		})
	}
}

// blockedWriter is a caller that reads nothing until release is closed.
type blockedWriter struct {
	once             sync.Once
	blocked, release chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.blocked) })
	<-w.release
	return len(p), nil
}

// TestSlowCallerDoesNotBlockControlLoop guards against actions of the control loop that wait for a
// write to a caller that does not read.
func TestSlowCallerDoesNotBlockControlLoop(t *testing.T) {
	addr := runner(t, func(r runnerRequest) {
		r.tokens("a", 1, 1)
		<-r.disconnected
	})
	h := newHarness(t, addr)
	req := h.request(4)
	body, err := h.relay.Stream(t.Context(), req)
	qt.Assert(t, err, qt.IsNil)
	caller := &blockedWriter{blocked: make(chan struct{}), release: make(chan struct{})}
	var reading sync.WaitGroup
	reading.Go(func() { _, _ = body.(io.WriterTo).WriteTo(caller) })
	<-caller.blocked
	mustReturn(t, "an action", func() {
		h.dispatch(req.ID, 2, addr)
		h.relay.CancelRun(fleet.CancelRun{ID: req.ID, Attempt: 2})
		h.relay.Finish(fleet.Finish{ID: req.ID, Refusal: cs.Refuse(cs.ReasonExpired, "late")})
	})
	close(caller.release)
	reading.Wait()
	qt.Check(t, body.Close(), qt.IsNil)
}

// TestRefusalBeforeAndAfterFirstToken guards against refusals that do not reach the caller: before the
// first token a refusal is returned as an error, afterwards it replaces the end marker.
func TestRefusalBeforeAndAfterFirstToken(t *testing.T) {
	refusal := &cs.Refusal{Reason: cs.ReasonBroken, Ran: cs.RanUnknown, Message: "late"}
	h := newHarness(t, "")
	h.onEvent = func(e fleet.Event) {
		if a, ok := e.(fleet.RequestArrived); ok {
			h.relay.Finish(fleet.Finish{ID: a.Request.ID, Refusal: refusal})
		}
	}
	_, err := h.relay.Stream(t.Context(), h.request(4))
	qt.Check(t, err, qt.Equals, error(refusal))

	h = newHarness(t, runner(t, func(r runnerRequest) { r.tokens("a", 1, 1); panic(http.ErrAbortHandler) }))
	h.onEvent = func(e fleet.Event) {
		switch e := e.(type) {
		case fleet.RequestArrived:
			h.dispatch(e.Request.ID, 1, h.runner)
		case fleet.RequestEnded:
			h.relay.Finish(fleet.Finish{ID: e.ID, Refusal: refusal})
		}
	}
	qt.Check(t, withoutIDs(h.streamResponse(t, 4)), qt.Equals,
		"\"n\":1,\"text\":\" a1\"}\n\"error\":{\"name\":\"broken\",\"message\":\"late\",\"ran\":\"unknown\"}}\n")
}

// TestFirstTokenTimeExcludesQueueing guards against time in the queue that the control loop would count
// as the runner's time to the first token.
func TestFirstTokenTimeExcludesQueueing(t *testing.T) {
	clock := cs.NewManualClock(1000)
	h := newHarnessAt(t, runner(t, func(r runnerRequest) { r.tokens("a", 1, 1); r.end(1) }), clock)
	h.onEvent = func(e fleet.Event) {
		if a, ok := e.(fleet.RequestArrived); ok {
			clock.Advance(cs.Minute)
			h.dispatch(a.Request.ID, 1, h.runner)
		}
	}
	h.streamResponse(t, 1)
	e := h.await(t, func(e fleet.Event) bool { _, ok := e.(fleet.RequestFirstToken); return ok })
	qt.Check(t, e.(fleet.RequestFirstToken).Duration, qt.Equals, cs.Span(0))
}

// deadlineWriter records the order of writes and write deadlines.
type deadlineWriter struct {
	http.ResponseWriter
	calls []string
}

func (w *deadlineWriter) Write(p []byte) (int, error) {
	w.calls = append(w.calls, "write")
	return len(p), nil
}

func (w *deadlineWriter) FlushError() error { return nil }

func (w *deadlineWriter) SetWriteDeadline(time.Time) error {
	w.calls = append(w.calls, "deadline")
	return nil
}

// TestWritesHaveDeadlines guards against a first write to a caller without a deadline of its own: it
// could block for ever, or fail at once because of an earlier deadline.
func TestWritesHaveDeadlines(t *testing.T) {
	h := newHarness(t, runner(t, func(r runnerRequest) { r.tokens("a", 1, 1); r.end(1) }))
	body, err := h.relay.Stream(t.Context(), h.request(1))
	qt.Assert(t, err, qt.IsNil)
	defer body.Close()
	var out deadlineWriter
	_, err = body.(io.WriterTo).WriteTo(&out)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, out.calls[0], qt.Equals, "deadline")
}

// TestStopItemStopsOnlyItsAttempt guards against a late order to stop an attempt of a batch item that
// stops a later attempt of the same item, here or in the engine.
func TestStopItemStopsOnlyItsAttempt(t *testing.T) {
	ids, release := make(chan string, 2), make(chan struct{})
	h := newHarness(t, runner(t, func(r runnerRequest) {
		ids <- r.ID
		if !r.cancel {
			<-release
			r.tokens("a", 1, 1)
			r.end(1)
		}
	}))
	h.onEvent = func(fleet.Event) {}
	key := cs.ItemKey{Job: "job", Index: 7}
	item := cs.Item{Target: h.request(1).Target}
	run := fleet.RunItem{Address: h.runner, Item: cs.GrantedItem{Key: key, Item: item, Attempt: 2}}
	h.relay.RunItem(run)
	h.relay.StopItem(fleet.StopItem{Key: key, Attempt: 1})
	h.relay.RunItem(run) // the same attempt number, as after a repeated grant
	qt.Check(t, <-ids, qt.Not(qt.Equals), <-ids)
	close(release)
	e := h.await(t, func(e fleet.Event) bool { _, ok := e.(fleet.ItemRunEnded); return ok }).(fleet.ItemRunEnded)
	qt.Check(t, e.Output, qt.Equals, " a1", qt.Commentf("%#v", e.Result))
}

// newCallHarness returns a harness whose runner answers service calls; onQuery handles the queries to
// the owner of the shard.
func newCallHarness(t *testing.T, onQuery func(fleet.QueryReceived)) *harness {
	w := newHarness(t, runner(t, func(r runnerRequest) {
		r.w.Header().Set("X-Request-Id", "call")
		fmt.Fprint(r.w, `"done"`)
	}))
	w.onEvent = func(e fleet.Event) {
		switch e := e.(type) {
		case fleet.QueryReceived:
			onQuery(e)
		case fleet.RequestArrived:
			w.dispatch(e.Request.ID, 1, w.runner)
		}
	}
	return w
}

func call(ctx context.Context, h *harness) (relay.CallReply, error) {
	req := cs.Request{
		ID: "call", Tenant: "tenant", Key: "key", NonIdempotent: true,
		Target: cs.ServiceCall{Service: "records", Method: "mark", Body: []byte("{}")},
	}
	return h.relay.Call(ctx, req, relay.CallConfig{Shards: 16, QueryTimeout: cs.Minute})
}

// TestStartedCallIsRecordedAfterDisconnect guards against a call whose start is in the log, but not its
// outcome, because the caller disconnected. Each retry with its key would get an unknown outcome.
func TestStartedCallIsRecordedAfterDisconnect(t *testing.T) {
	ctx, disconnect := context.WithCancel(t.Context())
	var h *harness
	h = newCallHarness(t, func(e fleet.QueryReceived) {
		disconnect()
		h.relay.AnswerQuery(fleet.AnswerQuery{ID: e.ID, Answer: cs.CallReply{Run: true}})
	})
	mustReturn(t, "Call", func() { _, _ = call(ctx, h) })
	e := h.await(t, func(e fleet.Event) bool {
		q, ok := e.(fleet.QueryReceived)
		if !ok {
			return false
		}
		_, ok = q.Query.(cs.EndCall)
		return ok
	}).(fleet.QueryReceived)
	qt.Check(t, string(e.Query.(cs.EndCall).Answer), qt.Equals, `"done"`)
}

// TestCloseEndsCalls guards against calls that wait for the control loop after the relay has been
// closed. The context of the caller cannot end them because Call detaches from it.
func TestCloseEndsCalls(t *testing.T) {
	queried := make(chan struct{})
	h := newCallHarness(t, func(fleet.QueryReceived) { close(queried) })
	go func() {
		<-queried
		h.relay.Close()
	}()
	mustReturn(t, "Call", func() {
		_, err := call(t.Context(), h)
		qt.Check(t, err.(*cs.Refusal).Ran, qt.Equals, cs.RanUnknown)
	})
}
