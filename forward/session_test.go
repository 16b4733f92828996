package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/forward"
	"github.com/crocusstile/crocusstile/gateway"
)

// scriptedRunner is a fake runner that gives one prepared response per attempt.
type scriptedRunner struct {
	responses    []func(ctx context.Context) (*forward.RunnerResponse, error)
	destinations []forward.Destination
}

func (s *scriptedRunner) Dispatch(ctx context.Context, _ forward.RunnerRequest, to forward.Destination) (*forward.RunnerResponse, error) {
	s.destinations = append(s.destinations, to)
	respond := s.responses[0]
	s.responses = s.responses[1:]
	return respond(ctx)
}

// streamOf responds with a stream of the text that ends with err, or cleanly if err is nil.
func streamOf(text string, err error) func(context.Context) (*forward.RunnerResponse, error) {
	return func(context.Context) (*forward.RunnerResponse, error) {
		body := io.Reader(strings.NewReader(text))
		if err != nil {
			body = io.MultiReader(body, failingReader{err})
		}
		return &forward.RunnerResponse{Status: http.StatusOK, Stream: true, Signed: true, Body: io.NopCloser(body)}, nil
	}
}

// failingReader is a body that fails with an error.
type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

// stalledAfter responds with a stream that sends the text and then nothing until the attempt is
// cancelled.
func stalledAfter(text string) func(context.Context) (*forward.RunnerResponse, error) {
	return func(ctx context.Context) (*forward.RunnerResponse, error) {
		body := io.MultiReader(strings.NewReader(text), blockingReader{ctx})
		return &forward.RunnerResponse{Status: http.StatusOK, Stream: true, Signed: true, Body: io.NopCloser(body)}, nil
	}
}

// blockingReader is a body that sends nothing until its context ends.
type blockingReader struct{ ctx context.Context }

func (b blockingReader) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// recordingCaller is a caller that records the response it receives.
type recordingCaller struct {
	status   int
	body     strings.Builder
	received chan struct{}
}

func (r *recordingCaller) Head(status int, _ http.Header, _ int) { r.status = status }

func (r *recordingCaller) Write(p []byte) error {
	r.body.Write(p)
	if r.received != nil {
		r.received <- struct{}{}
	}
	return nil
}

// sessionTimeout is the time limit of the requests, which is that of a route of the users.
const sessionTimeout = 5 * cs.Second

// serveSession runs a session. The decide function stands in for the control loop: it returns the
// action that follows an event, or nil for none.
func serveSession(ctx context.Context, s forward.Runners, caller *recordingCaller, decide func(gateway.Event) gateway.Action) forward.End {
	var traffic *forward.Traffic
	clock := cs.NewClock()
	ignore := func(cs.RouteName, cs.Span) {}
	traffic = forward.NewTraffic(forward.TrafficConfig{
		Clock: clock, Runners: s, ObserveFirstByte: ignore, ObserveDuration: ignore,
		Post: func(_ context.Context, e gateway.Event) error {
			switch a := decide(e).(type) {
			case gateway.Dispatch:
				traffic.Deliver(a.ID, a)
			case gateway.Complete:
				traffic.Deliver(a.ID, a)
			case gateway.Refuse:
				traffic.Deliver(a.ID, a)
			default:
			}
			return nil
		},
	})
	f := gateway.Forward{
		Route:   cs.Route{Kind: cs.RouteStreaming, Resumable: true, MaxAttempts: 2},
		Arrived: clock.Now(), Deadline: clock.Now().Add(sessionTimeout),
	}
	return traffic.Serve(ctx, forward.RunnerRequest{ID: "r1"}, f, caller)
}

// Guards against treating a caller's disconnect in the middle of a stream as a runner crash: all
// VMs would eject the runner, and the request content would be refused as one that crashes runners.
func TestCallerDisconnectIsNoCrash(t *testing.T) {
	c := qt.New(t)
	ctx, disconnect := context.WithCancel(context.Background())
	caller := &recordingCaller{received: make(chan struct{}, 1)}
	s := &scriptedRunner{responses: []func(context.Context) (*forward.RunnerResponse, error){stalledAfter("id: 1\ndata: a\n\n")}}
	var ended gateway.OutcomeInterrupted
	end := serveSession(ctx, s, caller, func(e gateway.Event) gateway.Action {
		switch e := e.(type) {
		case gateway.ForwardArrived:
			return gateway.Dispatch{ID: e.Forward.ID, Attempt: 1, Runner: "a"}
		case gateway.ForwardStarted:
			go func() {
				<-caller.received
				disconnect()
			}()
		case gateway.ForwardEnded:
			ended, _ = e.Outcome.(gateway.OutcomeInterrupted)
		default:
		}
		return nil
	})
	c.Assert(end, qt.Equals, forward.EndCallerDisconnected{})
	c.Assert(ended.LastEvent, qt.Equals, cs.EventID(1))
	c.Assert(ended.Disconnected, qt.IsFalse)
}

// A stream that is interrupted within an event must resume on another runner after the last
// complete event. The caller must get each event once: a joined or repeated event would corrupt the
// response.
func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	caller := &recordingCaller{}
	s := &scriptedRunner{responses: []func(context.Context) (*forward.RunnerResponse, error){
		streamOf("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", io.ErrUnexpectedEOF),
		streamOf("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", nil),
	}}
	end := serveSession(ctx, s, caller, func(e gateway.Event) gateway.Action {
		switch e := e.(type) {
		case gateway.ForwardArrived:
			return gateway.Dispatch{ID: e.Forward.ID, Attempt: 1, Runner: "a"}
		case gateway.ForwardEnded:
			if interrupted, ok := e.Outcome.(gateway.OutcomeInterrupted); ok {
				return gateway.Dispatch{ID: e.ID, Attempt: 2, Runner: "b", LastEvent: interrupted.LastEvent}
			}
		default:
		}
		return nil
	})
	c.Assert(end, qt.Equals, forward.EndAnswered{})
	c.Assert(caller.body.String(), qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	c.Assert(s.destinations[1].LastEvent, qt.Equals, cs.EventID(2))
}

// A response that fails after its headers were sent must close the caller's connection, so that it
// does not look complete.
func TestTruncatedResponseClosesTheConnection(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s := &scriptedRunner{responses: []func(context.Context) (*forward.RunnerResponse, error){
		streamOf("id: 1\ndata: a\n\n", io.ErrUnexpectedEOF),
	}}
	end := serveSession(ctx, s, &recordingCaller{}, func(e gateway.Event) gateway.Action {
		switch e := e.(type) {
		case gateway.ForwardArrived:
			return gateway.Dispatch{ID: e.Forward.ID, Attempt: 1, Runner: "a"}
		case gateway.ForwardEnded:
			return gateway.Refuse{ID: e.ID, Refusal: cs.Refusal{Reason: cs.ReasonBroken, Ran: cs.RanUnknown}}
		default:
		}
		return nil
	})
	c.Assert(end, qt.Equals, forward.EndBroken{})
}

// Guards against a crash that is not noticed since the response ends with its connection: before the first event such an
// end is a lost connection, on which a part of the prompt that crashes runners is suspected.
func TestStreamThatEndsWithConnectionBeforeFirstEventIsDisconnected(t *testing.T) {
	for _, endsWithConnection := range []bool{true, false} {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s := &scriptedRunner{responses: []func(context.Context) (*forward.RunnerResponse, error){
			func(ctx context.Context) (*forward.RunnerResponse, error) {
				response, err := streamOf("", nil)(ctx)
				response.EndsWithConnection = endsWithConnection
				return response, err
			},
		}}
		var ended gateway.OutcomeInterrupted
		serveSession(ctx, s, &recordingCaller{}, func(e gateway.Event) gateway.Action {
			switch e := e.(type) {
			case gateway.ForwardArrived:
				return gateway.Dispatch{ID: e.Forward.ID, Attempt: 1, Runner: "a"}
			case gateway.ForwardEnded:
				ended, _ = e.Outcome.(gateway.OutcomeInterrupted)
				return gateway.Refuse{ID: e.ID, Refusal: cs.Refusal{Reason: cs.ReasonBroken, Ran: cs.RanUnknown}}
			default:
			}
			return nil
		})
		c.Check(ended.Disconnected, qt.Equals, endsWithConnection)
	}
}

// Guards against taking a part of a prompt that crashes runners for a sound one, since a response of which the runner has
// generated nothing counts as begun.
func TestResponseBeginsWithOutput(t *testing.T) {
	lost := io.ErrUnexpectedEOF
	for name, test := range map[string]struct {
		status  int
		body    string
		err     error
		started bool
	}{
		"event":                    {http.StatusOK, "id: 1\ndata: a\n\n", lost, true},
		"comment before the event": {http.StatusOK, ": queued\n\nid: 1\ndata: a\n\n", lost, true},
		"comment only":             {http.StatusOK, ": queued\n\n", lost, false},
		"error":                    {http.StatusNotFound, "no such model", nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			s := &scriptedRunner{responses: []func(context.Context) (*forward.RunnerResponse, error){
				func(ctx context.Context) (*forward.RunnerResponse, error) {
					response, err := streamOf(test.body, test.err)(ctx)
					response.Status = test.status
					return response, err
				},
			}}
			started := false
			serveSession(ctx, s, &recordingCaller{}, func(e gateway.Event) gateway.Action {
				switch e := e.(type) {
				case gateway.ForwardArrived:
					return gateway.Dispatch{ID: e.Forward.ID, Attempt: 1, Runner: "a"}
				case gateway.ForwardStarted:
					started = true
				case gateway.ForwardEnded:
					return gateway.Refuse{ID: e.ID, Refusal: cs.Refusal{Reason: cs.ReasonBroken, Ran: cs.RanUnknown}}
				default:
				}
				return nil
			})
			c.Check(started, qt.Equals, test.started)
		})
	}
}

// A stream on whose connection nothing arrives must end with a timeout while there is time to resume
// on another runner, and must not count as a lost connection.
func TestStreamEndsAtIdleTimeout(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	s := &scriptedRunner{responses: []func(context.Context) (*forward.RunnerResponse, error){
		stalledAfter("id: 1\ndata: a\n\n"),
		streamOf("id: 2\ndata: b\n\n", nil),
	}}
	var ended gateway.OutcomeInterrupted
	caller := &recordingCaller{}
	end := serveSession(ctx, s, caller, func(e gateway.Event) gateway.Action {
		switch e := e.(type) {
		case gateway.ForwardArrived:
			return gateway.Dispatch{ID: e.Forward.ID, Attempt: 1, Runner: "a", FirstByteTimeout: cs.Second, EventTimeout: 50}
		case gateway.ForwardEnded:
			if interrupted, ok := e.Outcome.(gateway.OutcomeInterrupted); ok {
				ended = interrupted
				return gateway.Dispatch{ID: e.ID, Attempt: 2, Runner: "b", LastEvent: interrupted.LastEvent}
			}
		default:
		}
		return nil
	})
	c.Assert(end, qt.Equals, forward.EndAnswered{})
	c.Assert(ended.TimedOut, qt.IsTrue)
	c.Assert(ended.Disconnected, qt.IsFalse)
	c.Assert(caller.body.String(), qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// Guards against an attempt that goes on when the control loop stops it, so that its caller gets no answer before the
// process exits.
func TestStoppedAttemptEnds(t *testing.T) {
	for name, test := range map[string]struct {
		sent string
		want forward.End
	}{
		"nothing sent":     {"", forward.EndRefused{Refusal: cs.Refusal{Ran: cs.RanUnknown}}},
		"stream has begun": {"id: 1\ndata: a\n\n", forward.EndBroken{}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clock, ignore := cs.NewClock(), func(cs.RouteName, cs.Span) {}
			var traffic *forward.Traffic
			traffic = forward.NewTraffic(forward.TrafficConfig{
				Clock: clock, ObserveFirstByte: ignore, ObserveDuration: ignore,
				Runners: &scriptedRunner{responses: []func(context.Context) (*forward.RunnerResponse, error){stalledAfter(test.sent)}},
				Post: func(_ context.Context, e gateway.Event) error {
					switch e := e.(type) {
					case gateway.ForwardArrived:
						traffic.Deliver(e.Forward.ID, gateway.Dispatch{ID: e.Forward.ID, Attempt: 1})
						time.AfterFunc(50*time.Millisecond, func() { traffic.Stop(e.Forward.ID) })
					case gateway.ForwardEnded:
						interrupted, ok := e.Outcome.(gateway.OutcomeInterrupted)
						c.Check(ok, qt.IsTrue)
						c.Check(interrupted.Disconnected || interrupted.TimedOut, qt.IsFalse, qt.Commentf("the runner has not failed"))
						traffic.Deliver(e.ID, gateway.Refuse{ID: e.ID, Refusal: cs.Refusal{Ran: cs.RanUnknown}})
					default:
					}
					return nil
				},
			})
			f := gateway.Forward{Route: cs.Route{Kind: cs.RouteStreaming}, Arrived: clock.Now(), Deadline: clock.Now().Add(sessionTimeout)}
			c.Assert(traffic.Serve(context.Background(), forward.RunnerRequest{ID: "r1"}, f, &recordingCaller{}), qt.DeepEquals, test.want)
			c.Assert(clock.Now().Sub(f.Arrived) < sessionTimeout/2, qt.IsTrue)
		})
	}
}
