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

// script is a runner whose answers are given in advance, one for each send.
type script struct {
	answers []func(ctx context.Context) (*forward.Answer, error)
	sent    []forward.Destination
}

func (s *script) Send(ctx context.Context, _ forward.Call, to forward.Destination) (*forward.Answer, error) {
	s.sent = append(s.sent, to)
	answer := s.answers[0]
	s.answers = s.answers[1:]
	return answer(ctx)
}

// streamOf answers with a stream of the text, which ends with err, or cleanly if err is nil.
func streamOf(text string, err error) func(context.Context) (*forward.Answer, error) {
	return func(context.Context) (*forward.Answer, error) {
		body := io.Reader(strings.NewReader(text))
		if err != nil {
			body = io.MultiReader(body, failing{err})
		}
		return &forward.Answer{Status: http.StatusOK, Stream: true, Signed: true, Body: io.NopCloser(body)}, nil
	}
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

// silent answers with a stream of the text that goes on until the send is cancelled.
func silent(text string) func(context.Context) (*forward.Answer, error) {
	return func(ctx context.Context) (*forward.Answer, error) {
		body := io.MultiReader(strings.NewReader(text), until{ctx})
		return &forward.Answer{Status: http.StatusOK, Stream: true, Signed: true, Body: io.NopCloser(body)}, nil
	}
}

type until struct{ ctx context.Context }

func (u until) Read([]byte) (int, error) {
	<-u.ctx.Done()
	return 0, u.ctx.Err()
}

// reader is a caller that keeps what it gets.
type reader struct {
	status int
	body   strings.Builder
	got    chan struct{}
}

func (r *reader) Head(status int, _ http.Header, _ int) { r.status = status }

func (r *reader) Write(p []byte) error {
	r.body.Write(p)
	if r.got != nil {
		r.got <- struct{}{}
	}
	return nil
}

// serve runs a session; decide answers each event with an order, or with none if it returns nil.
func serve(ctx context.Context, s *script, caller *reader, decide func(gateway.Event) gateway.Action) forward.End {
	var traffic *forward.Traffic
	clock := cs.NewClock()
	none := func(cs.RouteName, cs.Span) {}
	traffic = forward.NewTraffic(forward.TrafficConfig{
		Clock: clock, Runners: s, Began: none, Ended: none,
		Post: func(_ context.Context, e gateway.Event) error {
			switch a := decide(e).(type) {
			case gateway.Send:
				traffic.Order(a.ID, a)
			case gateway.Refuse:
				traffic.Order(a.ID, a)
			default:
			}
			return nil
		},
	})
	f := gateway.Forward{
		Route:   cs.Route{Kind: cs.RouteStreaming, Resumable: true, MaxAttempts: 2},
		Arrived: clock.Now(), Deadline: clock.Now().Add(5 * cs.Second),
	}
	return traffic.Serve(ctx, forward.Call{ID: "r1"}, f, caller)
}

// A caller that leaves in the middle of a stream must not be taken for a runner's crash: the runner
// would be avoided by all VMs and the content be refused as one that crashes runners.
func TestCallerThatLeavesIsNoCrash(t *testing.T) {
	c := qt.New(t)
	ctx, leave := context.WithCancel(context.Background())
	caller := &reader{got: make(chan struct{}, 1)}
	s := &script{answers: []func(context.Context) (*forward.Answer, error){silent("id: 1\ndata: a\n\n")}}
	var ended gateway.OutcomeBroken
	end := serve(ctx, s, caller, func(e gateway.Event) gateway.Action {
		switch e := e.(type) {
		case gateway.ForwardArrived:
			return gateway.Send{ID: e.Forward.ID, Attempt: 1, Runner: "a"}
		case gateway.ForwardBegan:
			go func() {
				<-caller.got
				leave()
			}()
		case gateway.ForwardEnded:
			ended, _ = e.Outcome.(gateway.OutcomeBroken)
		default:
		}
		return nil
	})
	c.Assert(end, qt.Equals, forward.EndAbandoned{})
	c.Assert(ended.LastEvent, qt.Equals, cs.EventID(1))
	c.Assert(ended.Disconnected, qt.IsFalse)
}

// A stream that breaks inside an event goes on at another runner after the last whole event, and the
// caller gets each event once: a joined or repeated event would corrupt the answer.
func TestStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	caller := &reader{}
	s := &script{answers: []func(context.Context) (*forward.Answer, error){
		streamOf("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", io.ErrUnexpectedEOF),
		streamOf("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", nil),
	}}
	end := serve(ctx, s, caller, func(e gateway.Event) gateway.Action {
		switch e := e.(type) {
		case gateway.ForwardArrived:
			return gateway.Send{ID: e.Forward.ID, Attempt: 1, Runner: "a"}
		case gateway.ForwardEnded:
			if broken, ok := e.Outcome.(gateway.OutcomeBroken); ok {
				return gateway.Send{ID: e.ID, Attempt: 2, Runner: "b", LastEvent: broken.LastEvent}
			}
		default:
		}
		return nil
	})
	c.Assert(end, qt.Equals, forward.EndAnswered{})
	c.Assert(caller.body.String(), qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	c.Assert(s.sent[1].LastEvent, qt.Equals, cs.EventID(2))
}

// An answer that breaks off after its head must end the connection, so that it does not look whole.
func TestBrokenAnswerEndsTheConnection(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s := &script{answers: []func(context.Context) (*forward.Answer, error){
		streamOf("id: 1\ndata: a\n\n", io.ErrUnexpectedEOF),
	}}
	end := serve(ctx, s, &reader{}, func(e gateway.Event) gateway.Action {
		switch e := e.(type) {
		case gateway.ForwardArrived:
			return gateway.Send{ID: e.Forward.ID, Attempt: 1, Runner: "a"}
		case gateway.ForwardEnded:
			return gateway.Refuse{ID: e.ID, Refusal: cs.Refusal{Reason: cs.ReasonBroken, Ran: cs.RanUnknown}}
		default:
		}
		return nil
	})
	c.Assert(end, qt.Equals, forward.EndBroken{})
}

// A stream whose connection goes silent must end as silent while there is time to go on elsewhere,
// and not count as the caller's doing.
func TestSilentStreamEndsInTime(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	s := &script{answers: []func(context.Context) (*forward.Answer, error){
		silent("id: 1\ndata: a\n\n"),
		streamOf("id: 2\ndata: b\n\n", nil),
	}}
	var ended gateway.OutcomeBroken
	caller := &reader{}
	end := serve(ctx, s, caller, func(e gateway.Event) gateway.Action {
		switch e := e.(type) {
		case gateway.ForwardArrived:
			return gateway.Send{ID: e.Forward.ID, Attempt: 1, Runner: "a", FirstByte: cs.Second, Gap: 50}
		case gateway.ForwardEnded:
			if broken, ok := e.Outcome.(gateway.OutcomeBroken); ok {
				ended = broken
				return gateway.Send{ID: e.ID, Attempt: 2, Runner: "b", LastEvent: broken.LastEvent}
			}
		default:
		}
		return nil
	})
	c.Assert(end, qt.Equals, forward.EndAnswered{})
	c.Assert(ended.Silent, qt.IsTrue)
	c.Assert(ended.Disconnected, qt.IsFalse)
	c.Assert(caller.body.String(), qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}
