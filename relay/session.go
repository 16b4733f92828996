package relay

import (
	"context"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/engine"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/meter"
)

// errDiscarded ends a run whose answer is not wanted: another run was first, or the caller is gone.
var errDiscarded = errors.New("the answer is not wanted any more")

// session is one online request.
type session struct {
	relay   *Relay
	req     cs.Request
	arrived cs.Instant
	timeout cs.Span // of a service call

	// writeMu is held while bytes go to the caller, who may be slow. The control loop takes only mu.
	writeMu sync.Mutex

	mu sync.Mutex
	// changed wakes whoever waits for the fields below.
	changed  *sync.Cond
	attempts map[cs.Attempt]*attempt
	// winner is the run whose events are passed on; 0 before the first event.
	winner cs.Attempt
	// relayed holds the events relayed on, each with a blank line, from which a broken stream is
	// resumed. Bytes are only appended, with both locks held. Config.MaxAnswer of the engine client
	// bounds it.
	relayed    []byte
	tokens     cs.Tokens
	firstToken cs.Instant
	// out is where events go once the caller reads; written with both locks held.
	out *eventWriter
	// ended tells that the outcome is known.
	ended     bool
	abandoned bool
	refusal   *cs.Refusal
	answer    []byte
}

// attempt is one dispatch of a session.
type attempt struct {
	cancel  context.CancelFunc
	address cs.Address
	started cs.Instant
}

// NewID returns an id for a request that this VM takes.
func (r *Relay) NewID() cs.RequestID {
	return cs.RequestID(r.cfg.Prefix + "-" + strconv.FormatUint(r.ids.Add(1), 36))
}

// openSession opens a session and tells the loop.
func (r *Relay) openSession(ctx context.Context, req cs.Request, timeout cs.Span) (*session, error) {
	s := &session{relay: r, req: req, timeout: timeout, arrived: r.cfg.Clock.Now(), attempts: map[cs.Attempt]*attempt{}}
	s.changed = sync.NewCond(&s.mu)
	r.mu.Lock()
	r.sessions[req.ID] = s
	r.mu.Unlock()
	if err := r.cfg.Post(ctx, fleet.RequestArrived{Request: req}); err != nil {
		r.removeSession(req.ID)
		return nil, cs.Refuse(cs.ReasonExpired, "the caller went away")
	}
	return s, nil
}

func (r *Relay) removeSession(id cs.RequestID) {
	r.mu.Lock()
	delete(r.sessions, id)
	r.mu.Unlock()
}

func (r *Relay) session(id cs.RequestID) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sessions[id]
}

// Dispatch runs a request on a runner.
func (r *Relay) Dispatch(d fleet.Dispatch) {
	s := r.session(d.ID)
	if s == nil {
		r.start(func() { r.post(fleet.RequestEnded{ID: d.ID, Attempt: d.Attempt, Result: fleet.RunCancelled{}}) })
		return
	}
	if d.Attempt == 1 {
		r.cfg.Meter.Time(meter.QueueWait, s.req.Tenant, s.req.Class, r.cfg.Clock.Now().Sub(s.arrived))
	}
	ctx, cancel := context.WithCancel(r.ctx)
	running := &attempt{cancel: cancel, address: d.Address, started: r.cfg.Clock.Now()}
	s.mu.Lock()
	s.attempts[d.Attempt] = running
	if s.abandoned {
		cancel() // close did not see this run
	}
	s.mu.Unlock()
	r.start(func() {
		defer cancel()
		result := s.endAttempt(d.Attempt, s.attempt(ctx, d, running))
		r.post(fleet.RequestEnded{ID: d.ID, Attempt: d.Attempt, Result: result})
	})
}

// endAttempt notes the end of a run; it returns the result, or fleet.RunCancelled for a whole answer that
// is not the one passed on.
func (s *session) endAttempt(a cs.Attempt, result fleet.RunResult) fleet.RunResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, a)
	complete, ok := result.(fleet.RunWhole)
	switch {
	case ok && complete.Tokens == s.tokens && (s.winner == a || s.winner == 0):
		s.winner = a // also if no event was left to come before the end marker
		s.end(nil, s.answer)
	case s.winner == a:
		s.winner = 0 // the next attempt resumes the stream
	case ok:
		return fleet.RunCancelled{}
	}
	return result
}

// CancelRun stops one dispatch, in the engine too.
func (r *Relay) CancelRun(c fleet.CancelRun) {
	s := r.session(c.ID)
	if s == nil {
		return
	}
	s.mu.Lock()
	running := s.attempts[c.Attempt]
	s.mu.Unlock()
	if running != nil {
		running.cancel()
		r.cancelAtRunner(running.address, c.ID)
	}
}

// Finish ends a request with a refusal or with a recorded answer.
func (r *Relay) Finish(f fleet.Finish) {
	s := r.session(f.ID)
	if s == nil {
		return
	}
	s.mu.Lock()
	s.end(f.Refusal, f.Answer)
	s.mu.Unlock()
}

// end sets the outcome, once; the caller holds the lock.
func (s *session) end(refusal *cs.Refusal, answer []byte) {
	if s.ended {
		return
	}
	s.ended, s.refusal, s.answer = true, refusal, answer
	s.changed.Broadcast()
}

// attempt exchanges the request with a runner.
func (s *session) attempt(ctx context.Context, d fleet.Dispatch, running *attempt) fleet.RunResult {
	switch t := s.req.Target.(type) {
	case cs.Generation:
		s.mu.Lock()
		relayed, tokens := s.relayed, s.tokens
		s.mu.Unlock()
		g := engine.Generation{
			ID: s.req.ID, Generation: t, ResumeTokens: tokens, ResumeText: textOf(relayed), ResumeBytes: cs.Bytes(len(relayed)),
		}
		return s.relay.cfg.Engine.Generate(ctx, d.Address, g, func(event []byte, n cs.Tokens, more bool) error {
			return s.emit(d.Attempt, running, event, n, more)
		})
	case cs.ServiceCall:
		body, result := s.relay.cfg.Engine.Call(ctx, d.Address, s.req.ID, t, s.req.Key, s.req.NonIdempotent, s.timeout)
		if _, complete := result.(fleet.RunWhole); complete {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.winner != 0 || s.ended {
				return fleet.RunCancelled{}
			}
			s.winner, s.answer = d.Attempt, body
		}
		return result
	}
	return fleet.RunRejected{NotRun: true, Invalid: true, Message: "unknown kind of request"}
}

// emit passes an event on if the run is the first to bring one.
func (s *session) emit(a cs.Attempt, running *attempt, event []byte, n cs.Tokens, more bool) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	before := len(s.relayed)
	firstToken, err := s.accept(a, event, n)
	if err != nil {
		return err
	}
	if firstToken {
		s.relay.cfg.Meter.Time(meter.FirstToken, s.req.Tenant, s.req.Class, s.firstToken.Sub(s.arrived))
		s.relay.post(fleet.RequestFirstToken{ID: s.req.ID, Attempt: a, Took: s.firstToken.Sub(running.started)})
	}
	if s.out == nil {
		return nil
	}
	if err := s.out.writeEvents(s.relayed[before:], more); err != nil {
		s.abandon()
		return errDiscarded
	}
	return nil
}

// accept notes an event of the run whose answer is passed on and tells whether it is the first.
func (s *session) accept(a cs.Attempt, event []byte, n cs.Tokens) (firstToken bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.abandoned || (s.winner != 0 && s.winner != a) || n <= s.tokens {
		return false, errDiscarded
	}
	s.winner = a
	s.relayed, s.tokens = append(append(s.relayed, event...), lineEnd), n
	if s.firstToken != 0 {
		return false, nil
	}
	s.firstToken = s.relay.cfg.Clock.Now()
	s.changed.Broadcast()
	return true, nil
}

// abandon notes that the caller does not read any more.
func (s *session) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	s.changed.Broadcast()
}

// wait blocks until the first event has come, or the outcome is known; with whole, until the latter.
// It returns an error when ctx ends first.
func (s *session) wait(ctx context.Context, untilEnd bool) error {
	defer context.AfterFunc(ctx, s.abandon)()
	defer context.AfterFunc(s.relay.ctx, s.abandon)()
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.ended && !s.abandoned && (untilEnd || s.firstToken == 0) {
		s.changed.Wait()
	}
	if s.abandoned && !s.ended {
		return &cs.Refusal{Reason: cs.ReasonExpired, Ran: cs.RanUnknown, Message: "the caller or this VM went away"}
	}
	if s.ended && s.refusal != nil && (untilEnd || s.firstToken == 0) {
		return s.refusal
	}
	return nil
}

// close forgets the session and tells the loop if the caller left before the end.
func (s *session) close() {
	s.relay.removeSession(s.req.ID)
	s.mu.Lock()
	ended := s.ended
	s.abandoned = true
	attempts := make([]*attempt, 0, len(s.attempts))
	for _, running := range s.attempts {
		attempts = append(attempts, running)
	}
	took, class := s.relay.cfg.Clock.Now().Sub(s.arrived), s.req.Class
	if ended && s.refusal == nil {
		s.relay.cfg.Meter.Time(meter.Request, s.req.Tenant, class, took)
		if s.tokens > 1 {
			s.relay.cfg.Meter.Time(meter.TokenGap, s.req.Tenant, class, (took-s.firstToken.Sub(s.arrived))/cs.Span(s.tokens-1))
		}
	}
	s.mu.Unlock()
	for _, running := range attempts {
		running.cancel()
		s.relay.cancelAtRunner(running.address, s.req.ID)
	}
	if !ended {
		s.relay.post(fleet.CallerGone{ID: s.req.ID})
	}
}
