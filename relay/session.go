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

// errDiscarded aborts an attempt whose response is no longer needed: another attempt responded first, or
// the caller has disconnected.
var errDiscarded = errors.New("response discarded: another attempt responded first or the caller disconnected")

// session is one online request with all its attempts.
type session struct {
	relay   *Relay
	req     cs.Request
	arrived cs.Instant
	timeout cs.Span // of a service call at the runner; 0 selects the engine client's default

	// writeMu is held during writes to the caller, which may block. The control loop locks only mu.
	writeMu sync.Mutex

	mu sync.Mutex
	// changed wakes goroutines in wait when firstToken, ended or abandoned is set.
	changed  *sync.Cond
	attempts map[cs.Attempt]*attempt
	// winner is the attempt whose events are relayed; 0 if there is none.
	winner cs.Attempt
	// relayed holds all accepted events, each followed by a blank line. A broken stream is resumed
	// from it. Bytes are only appended, with both locks held, so that a slice of it can be read
	// without a lock. MaxResponse of the engine client's configuration bounds it.
	relayed    []byte
	tokens     cs.Tokens
	firstToken cs.Instant
	// out writes to the caller; nil until the caller reads. It is set with both locks held.
	out *eventWriter
	// ended is set once refusal or response holds the outcome.
	ended     bool
	abandoned bool
	refusal   *cs.Refusal
	response  []byte
}

// attempt is one execution of a request at a runner.
type attempt struct {
	cancel  context.CancelFunc
	address cs.Address
	started cs.Instant
}

// NewID returns a new id for a request received by this VM.
func (r *Relay) NewID() cs.RequestID {
	return cs.RequestID(r.cfg.RequestIDPrefix + "-" + strconv.FormatUint(r.lastID.Add(1), 36))
}

// openSession registers a session and announces the request to the control loop.
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

// session returns the session of a request, or nil if it has been closed.
func (r *Relay) session(id cs.RequestID) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sessions[id]
}

// Dispatch starts an attempt of a request at a runner. The control loop gets fleet.RequestEnded when
// it ends.
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
		cancel() // close may have run before this attempt was registered
	}
	s.mu.Unlock()
	r.start(func() {
		defer cancel()
		result := s.endAttempt(d.Attempt, s.attempt(ctx, d, running))
		r.post(fleet.RequestEnded{ID: d.ID, Attempt: d.Attempt, Result: result})
	})
}

// endAttempt removes an attempt, and ends the session if the attempt completed the relayed response.
// It returns the result, or fleet.RunCancelled for a complete response other than the relayed one.
func (s *session) endAttempt(a cs.Attempt, result fleet.RunResult) fleet.RunResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, a)
	complete, ok := result.(fleet.RunCompleted)
	switch {
	case ok && complete.Tokens == s.tokens && (s.winner == a || s.winner == 0):
		s.winner = a // winner is 0 if no token was left to send before the end marker
		s.end(nil, s.response)
	case s.winner == a:
		s.winner = 0 // the next attempt resumes the stream
	case ok:
		return fleet.RunCancelled{}
	}
	return result
}

// CancelRun cancels one attempt of a request, both here and in the engine of its runner.
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

// Finish ends a request with a refusal, or with the recorded response if Refusal is nil.
func (r *Relay) Finish(f fleet.Finish) {
	s := r.session(f.ID)
	if s == nil {
		return
	}
	s.mu.Lock()
	s.end(f.Refusal, f.Answer)
	s.mu.Unlock()
}

// end sets the outcome unless it is already set. The caller holds mu.
func (s *session) end(refusal *cs.Refusal, response []byte) {
	if s.ended {
		return
	}
	s.ended, s.refusal, s.response = true, refusal, response
	s.changed.Broadcast()
}

// attempt sends the request to a runner and relays the response.
func (s *session) attempt(ctx context.Context, d fleet.Dispatch, running *attempt) fleet.RunResult {
	switch t := s.req.Target.(type) {
	case cs.Generation:
		s.mu.Lock()
		relayed, tokens := s.relayed, s.tokens
		s.mu.Unlock()
		g := engine.Generation{
			ID: s.req.ID, Generation: t, ResumeTokens: tokens, ResumeText: textOf(relayed), ResumeBytes: cs.Bytes(len(relayed)),
			NewConnection: d.Attempt > 1,
		}
		return s.relay.cfg.Engine.Generate(ctx, d.Address, g, func(event []byte, n cs.Tokens, more bool) error {
			return s.emit(d.Attempt, running, event, n, more)
		})
	case cs.ServiceCall:
		body, result := s.relay.cfg.Engine.Call(ctx, d.Address, s.req.ID, t, s.req.Key, s.req.NonIdempotent || d.Attempt > 1, s.timeout)
		if _, complete := result.(fleet.RunCompleted); complete {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.winner != 0 || s.ended {
				return fleet.RunCancelled{}
			}
			s.winner, s.response = d.Attempt, body
		}
		return result
	}
	return fleet.RunRejected{NotRun: true, Invalid: true, Message: "unknown kind of request"}
}

// emit relays an event of an attempt to the caller, unless another attempt is the winner.
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
		s.relay.post(fleet.RequestFirstToken{ID: s.req.ID, Attempt: a, Duration: s.firstToken.Sub(running.started)})
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

// accept appends an event of the winning attempt and reports whether it is the first of the session.
// The first attempt that has an event becomes the winner; others get errDiscarded.
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

// abandon marks that the caller has disconnected or that the relay closes.
func (s *session) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	s.changed.Broadcast()
}

// wait blocks until the first event is available or the outcome is known; with untilEnd, until the
// outcome is known. It returns a refusal if that is the outcome, or if ctx or the relay ends first.
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

// close removes the session, records its latencies and cancels the attempts still in flight. It
// notifies the control loop if the caller disconnected before the end.
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
		s.relay.post(fleet.CallerDisconnected{ID: s.req.ID})
	}
}
