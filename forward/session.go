package forward

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// session carries one request.
type session struct {
	traffic *Traffic
	call    Call
	forward gateway.Forward
	caller  Caller
	// headPassed means that the caller has the head of an answer.
	headPassed bool
	lastEvent  cs.EventID
	// held is a whole answer with an error status, which is passed on if no other attempt follows.
	held *wholeAnswer
}

// wholeAnswer is an answer that is not a stream.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// run carries out the control loop's orders until the request ends.
func (s *session) run(ctx context.Context, orders <-chan gateway.Action) End {
	for {
		select {
		case <-ctx.Done():
			s.post(gateway.CallerLeft{ID: s.forward.ID, Reason: context.Cause(ctx).Error()})
			return EndAbandoned{}
		case a := <-orders:
			switch a := a.(type) {
			case gateway.Send:
				outcome := s.send(ctx, a)
				s.post(gateway.ForwardEnded{ID: a.ID, Attempt: a.Attempt, Outcome: outcome})
				if _, ok := outcome.(gateway.OutcomeAnswered); ok {
					s.traffic.cfg.Ended(s.forward.Route.Name, s.traffic.cfg.Clock.Now().Sub(s.forward.Arrived))
					return EndAnswered{}
				}
			case gateway.Refuse:
				return s.refused(a)
			}
		}
	}
}

// refused ends a request that gets no other attempt.
func (s *session) refused(a gateway.Refuse) End {
	if s.headPassed {
		return EndBroken{}
	}
	if s.held != nil {
		s.caller.Head(s.held.status, s.held.header, len(s.held.body))
		if err := s.caller.Write(s.held.body); err != nil {
			return EndBroken{}
		}
		return EndAnswered{}
	}
	return EndRefused{Refusal: a.Refusal, RetryAfter: a.RetryAfter}
}

// post tells the control loop; it must learn of every end, also after the caller has left.
func (s *session) post(e gateway.Event) {
	_ = s.traffic.cfg.Post(context.Background(), e) // fails only when its context ends
}

// send sends the request once and passes the answer on.
func (s *session) send(ctx context.Context, a gateway.Send) gateway.Outcome {
	left := s.forward.Deadline.Sub(s.traffic.cfg.Clock.Now())
	if left <= 0 {
		return gateway.OutcomeNotRun{Reason: "the deadline passed before the send"}
	}
	ctx, cancel := context.WithTimeout(ctx, left.Std())
	defer cancel()
	ctx, silence := WatchSilence(ctx, a.FirstByte)
	defer silence.Stop()
	answer, err := s.traffic.cfg.Runners.Send(ctx, s.call, Destination{
		Runner: a.Runner, Address: a.Address, Left: left, LastEvent: a.LastEvent, Fresh: a.Fresh,
	})
	if err != nil {
		return s.broken(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }() // what is left unread is of no use
	if answer.Stream && answer.Status == http.StatusOK {
		return s.stream(ctx, a, answer, silence)
	}
	return s.whole(ctx, a, answer)
}

// broken turns the error of a send into its outcome. A send that ended with its context, because the
// caller left or the time was up, says nothing of the runner.
func (s *session) broken(ctx context.Context, err error) gateway.Outcome {
	silent := IsSilent(ctx)
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return gateway.OutcomeNotRun{Reason: notRun.Reason, Gone: notRun.Gone, Unreachable: notRun.Unreachable || silent, Refused: notRun.Refused}
	}
	out := gateway.OutcomeBroken{Error: err.Error(), LastEvent: s.lastEvent, Silent: silent}
	var broken *BrokenError
	if errors.As(err, &broken) {
		out.Disconnected = broken.Disconnected && ctx.Err() == nil
	}
	return out
}

// began notes the first byte that reaches the caller.
func (s *session) began(a gateway.Send) {
	if s.headPassed {
		return
	}
	s.headPassed = true
	s.traffic.cfg.Began(s.forward.Route.Name, s.traffic.cfg.Clock.Now().Sub(s.forward.Arrived))
	s.post(gateway.ForwardBegan{ID: a.ID, Attempt: a.Attempt})
}

// whole passes an answer on once it is complete.
func (s *session) whole(ctx context.Context, a gateway.Send, answer *Answer) gateway.Outcome {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil {
		return s.broken(ctx, &BrokenError{Cause: err, Disconnected: true})
	}
	if len(body) > maxAnswer {
		return s.broken(ctx, errors.Newf("answer is longer than %d bytes", maxAnswer))
	}
	if s.headPassed {
		return s.broken(ctx, errors.Newf("status %d where a stream should go on", answer.Status))
	}
	if answer.Status >= http.StatusInternalServerError && s.forward.Route.Repeatable() {
		s.held = &wholeAnswer{status: answer.Status, header: answer.Header, body: body}
		return gateway.OutcomeFailed{Status: answer.Status}
	}
	if answer.Status < http.StatusMultipleChoices && !answer.Signed {
		return s.broken(ctx, errors.New("success without a signature"))
	}
	s.held = nil
	s.caller.Head(answer.Status, answer.Header, len(body))
	s.began(a)
	if err := s.caller.Write(body); err != nil {
		return s.broken(ctx, err)
	}
	return gateway.OutcomeAnswered{Status: answer.Status}
}

// stream passes whole events on as they come.
func (s *session) stream(ctx context.Context, a gateway.Send, answer *Answer, silence *Silence) gateway.Outcome {
	if !answer.Signed {
		return s.broken(ctx, errors.New("success without a signature"))
	}
	events := NewEventReader(answer.Body)
	for {
		e, err := events.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return s.broken(ctx, &BrokenError{Cause: err, Disconnected: true})
		}
		silence.Heard(a.Gap)
		if e.ID != 0 {
			if e.ID <= s.lastEvent {
				continue // passed on by an earlier runner
			}
			if s.lastEvent != 0 && e.ID != s.lastEvent+1 {
				return s.broken(ctx, errors.Newf("event %d follows %d", e.ID, s.lastEvent))
			}
		}
		if !s.headPassed {
			s.caller.Head(answer.Status, answer.Header, -1)
			s.began(a)
		}
		if err := s.caller.Write(e.Raw); err != nil {
			return s.broken(ctx, err)
		}
		if e.ID != 0 {
			s.lastEvent = e.ID
		}
	}
	if !s.headPassed {
		return s.broken(ctx, errors.New("the stream ended before its first event"))
	}
	return gateway.OutcomeAnswered{Status: answer.Status}
}
