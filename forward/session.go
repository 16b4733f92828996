package forward

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// session serves one request on the goroutine of its caller.
type session struct {
	traffic *Traffic
	request RunnerRequest
	forward gateway.Forward
	caller  Caller
	// actions are those of the control loop.
	actions chan gateway.Action
	// attempts is the context of all attempts, and stop ends it.
	attempts context.Context
	stop     context.CancelFunc
	// headSent means that the caller has received the status and headers of a response.
	headSent bool
	// started means that a runner has generated output.
	started bool
	// lastEvent is the last event that the caller has: received from here, or named as such in its request.
	lastEvent cs.EventID
	// unconfirmedEnd is the event after which a run ended with its connection, or 0.
	unconfirmedEnd cs.EventID
	// heldError is a complete response with an error status, which is sent to the caller if no
	// further attempt follows.
	heldError *bufferedResponse
}

// bufferedResponse is a complete response that is not a stream.
type bufferedResponse struct {
	status int
	header http.Header
	body   *heldBody
}

// run carries out the actions of the control loop until the request ends.
func (s *session) run(ctx context.Context) End {
	defer s.dropError()
	for {
		select {
		case <-ctx.Done():
			s.post(gateway.CallerDisconnected{ID: s.forward.ID, Reason: context.Cause(ctx).Error()})
			return EndCallerDisconnected{}
		case a := <-s.actions:
			switch a := a.(type) {
			case gateway.Dispatch:
				outcome := s.sendOnce(s.attempts, a)
				s.post(gateway.ForwardEnded{ID: a.ID, Attempt: a.Attempt, Outcome: outcome})
				if _, ok := outcome.(gateway.OutcomeAnswered); ok {
					return s.finishAnswered()
				}
			case gateway.Complete:
				return s.finishAnswered()
			case gateway.Refuse:
				return s.finishRefused(a)
			}
		}
	}
}

// finishAnswered ends a request whose caller has received a complete response.
func (s *session) finishAnswered() End {
	s.traffic.cfg.ObserveDuration(s.forward.Route.Name, s.traffic.cfg.Clock.Now().Sub(s.forward.Arrived))
	return EndAnswered{}
}

// finishRefused ends a request that gets no further attempt. The caller receives the held error
// response of a runner if there is one, and otherwise a refusal.
func (s *session) finishRefused(a gateway.Refuse) End {
	if s.headSent {
		return EndBroken{}
	}
	if s.heldError != nil {
		s.caller.Head(s.heldError.status, s.heldError.header, len(s.heldError.body.data))
		if err := s.caller.Write(s.heldError.body.data); err != nil {
			return EndBroken{}
		}
		return EndAnswered{}
	}
	return EndRefused{Refusal: a.Refusal, RetryAfter: a.RetryAfter}
}

// dropError frees the error response that is held.
func (s *session) dropError() {
	if s.heldError != nil {
		s.heldError.body.release()
		s.heldError = nil
	}
}

// post reports an event to the control loop. It is not bound to the caller's context, because the
// control loop must learn how each request ended even if its caller has disconnected.
func (s *session) post(e gateway.Event) {
	_ = s.traffic.cfg.Post(context.Background(), e) // fails only if its context ends, which this one never does
}

// sendOnce sends the request to one runner and passes the response on to the caller.
func (s *session) sendOnce(ctx context.Context, a gateway.Dispatch) gateway.Outcome {
	timeLeft := s.forward.Deadline.Sub(s.traffic.cfg.Clock.Now())
	if timeLeft <= 0 {
		return gateway.OutcomeNotRun{Reason: "deadline passed before the request was sent"}
	}
	ctx, cancel := context.WithTimeout(ctx, timeLeft.Std())
	defer cancel()
	ctx, idleTimer := WithIdleTimeout(ctx, a.FirstByteTimeout)
	defer idleTimer.Stop()
	s.request.Access = a.Access
	response, err := s.traffic.cfg.Runners.Dispatch(ctx, s.request, Destination{
		Runner: a.Runner, Incarnation: a.Incarnation, Address: a.Address, TimeLeft: timeLeft, LastEvent: a.LastEvent, NewConnection: a.NewConnection,
	})
	if err != nil {
		return s.failure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }() // the unread rest is not needed
	if response.Stream && response.Status == http.StatusOK {
		return s.passStream(ctx, a, response, idleTimer)
	}
	return s.passBuffered(ctx, a, response)
}

// failure converts the error of an attempt into its outcome. If it ended because its context
// did, by a disconnect of the caller or by a timeout, the runner does not count as disconnected.
func (s *session) failure(ctx context.Context, err error) gateway.Outcome {
	timedOut := IsIdleTimeout(ctx)
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return gateway.OutcomeNotRun{Reason: notRun.Reason, Replaced: notRun.Replaced, Unreachable: notRun.Unreachable || timedOut, Refused: notRun.Refused}
	}
	out := gateway.OutcomeInterrupted{Error: err.Error(), LastEvent: s.lastEvent, TimedOut: timedOut}
	var failure *InterruptedError
	if errors.As(err, &failure) {
		out.Disconnected = failure.Disconnected && ctx.Err() == nil
	}
	return out
}

// sendHead passes the status and headers of a response to the caller and measures the time to the first byte.
func (s *session) sendHead(response *RunnerResponse, length int) {
	s.headSent = true
	s.caller.Head(response.Status, response.Header, length)
	s.traffic.cfg.ObserveFirstByte(s.forward.Route.Name, s.traffic.cfg.Clock.Now().Sub(s.forward.Arrived))
}

// reportStarted reports the first output of a runner to the control loop. Comments and errors do not show that a runner
// can generate a response to the prompt.
func (s *session) reportStarted(a gateway.Dispatch) {
	if s.started {
		return
	}
	s.started = true
	s.post(gateway.ForwardStarted{ID: a.ID, Attempt: a.Attempt})
}

// passBuffered reads a complete response and sends it to the caller. A server error of a repeatable
// request is held back, so that another runner can be tried.
func (s *session) passBuffered(ctx context.Context, a gateway.Dispatch, response *RunnerResponse) gateway.Outcome {
	body, err := readHeld(ctx, response.Body, s.traffic.cfg.Budget)
	if err != nil {
		return s.failure(ctx, err)
	}
	if !s.headSent && response.Status >= http.StatusInternalServerError && s.forward.Route.Repeatable() {
		s.dropError()
		s.heldError = &bufferedResponse{status: response.Status, header: response.Header, body: body}
		return gateway.OutcomeFailed{Status: response.Status}
	}
	defer body.release()
	if s.headSent {
		return s.failure(ctx, errors.Newf("runner responded with status %d instead of resuming the stream", response.Status))
	}
	if response.Status < http.StatusMultipleChoices && !response.Signed {
		return s.failure(ctx, errors.New("successful response without the runner's signature"))
	}
	s.dropError()
	s.sendHead(response, len(body.data))
	if response.Status < http.StatusMultipleChoices {
		s.reportStarted(a)
	}
	if err := s.caller.Write(body.data); err != nil {
		return s.failure(ctx, err)
	}
	return gateway.OutcomeAnswered{Status: response.Status}
}

// passStream sends the events of a stream to the caller as they arrive, each one only when it is
// complete.
func (s *session) passStream(ctx context.Context, a gateway.Dispatch, response *RunnerResponse, idleTimer *IdleTimer) gateway.Outcome {
	if !response.Signed {
		return s.failure(ctx, errors.New("successful response without the runner's signature"))
	}
	events, received := NewEventReader(response.Body, s.lastEvent), false
	for {
		e, err := events.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return s.failure(ctx, &InterruptedError{Cause: err, Disconnected: !errors.Is(err, ErrUnnumberedEvent)})
		}
		if e.ID != 0 {
			idleTimer.Restart(a.EventTimeout) // comments are no output
			if e.ID != s.lastEvent+1 {
				return s.failure(ctx, errors.Newf("event %d received directly after event %d, events are missing", e.ID, s.lastEvent))
			}
		}
		if !s.headSent {
			s.sendHead(response, -1)
		}
		if e.ID != 0 {
			s.reportStarted(a)
		}
		if err := s.caller.Write(e.Raw); err != nil {
			return s.failure(ctx, err)
		}
		if e.ID != 0 {
			s.lastEvent, received = e.ID, true
		}
	}
	return s.endStream(ctx, response, received)
}

// endStream returns the outcome of a stream that ended between two events. An end with its connection may be that of a runner that
// crashed, until another run ends after the same event.
func (s *session) endStream(ctx context.Context, response *RunnerResponse, received bool) gateway.Outcome {
	unconfirmed := response.EndsWithConnection && s.unconfirmedEnd != s.lastEvent
	switch {
	case s.lastEvent == s.forward.LastEvent || unconfirmed && !received:
		return s.failure(ctx, &InterruptedError{Cause: errors.New("stream ended before its first event"), Disconnected: response.EndsWithConnection})
	case unconfirmed:
		s.unconfirmedEnd = s.lastEvent
		return gateway.OutcomeEndedWithConnection{LastEvent: s.lastEvent}
	default:
		return gateway.OutcomeAnswered{Status: response.Status, LastEvent: s.lastEvent}
	}
}
