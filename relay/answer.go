package relay

import (
	"bytes"
	"context"
	"io"
	"strings"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/engine"
)

// Answer is the complete response of a model.
type Answer struct {
	Text   string
	Tokens cs.Tokens
	// FirstToken and Took are measured from the arrival of the request.
	FirstToken, Took cs.Span
}

// Answer runs a generation and returns the response once it is complete.
func (r *Relay) Answer(ctx context.Context, req cs.Request) (Answer, error) {
	s, err := r.openSession(ctx, req, 0)
	if err != nil {
		return Answer{}, err
	}
	defer s.close()
	if err := s.wait(ctx, true); err != nil {
		return Answer{}, err
	}
	s.mu.Lock()
	relayed, firstToken := s.relayed, s.firstToken
	a := Answer{Tokens: s.tokens, Took: r.cfg.Clock.Now().Sub(s.arrived)}
	s.mu.Unlock()
	a.FirstToken = a.Took
	if firstToken != 0 {
		a.FirstToken = firstToken.Sub(s.arrived)
	}
	a.Text = textOf(relayed) // after unlocking, since the control loop may wait for the lock
	return a, nil
}

// Stream runs a generation. It returns once the first event is available, or with a refusal. The
// caller must close the reader.
func (r *Relay) Stream(ctx context.Context, req cs.Request) (io.ReadCloser, error) {
	s, err := r.openSession(ctx, req, 0)
	if err != nil {
		return nil, err
	}
	if err := s.wait(ctx, false); err != nil {
		s.close()
		return nil, err
	}
	return &streamBody{ctx: ctx, session: s}, nil
}

// streamBody is the response body that carries the events of a session to the caller.
type streamBody struct {
	ctx     context.Context //nolint:containedctx // io.Reader has no context parameter
	session *session
	pipe    *io.PipeReader
}

// WriteTo writes events until the end of the response. The last event is the end marker, or the error
// if the response is incomplete.
func (b *streamBody) WriteTo(w io.Writer) (int64, error) {
	s, out := b.session, newEventWriter(w)
	if err := s.connect(out); err != nil {
		return out.written, err
	}
	err := s.wait(b.ctx, true)
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err == nil {
		return out.written, out.writeEnd(s.req.ID, s.tokens)
	}
	if s.isAbandoned() {
		return out.written, err
	}
	return out.written, out.writeError(s.req.ID, refusalOf(err))
}

// Read supports readers that do not use WriteTo; it runs WriteTo behind a pipe.
func (b *streamBody) Read(p []byte) (int, error) {
	if b.pipe == nil {
		r, w := io.Pipe()
		b.pipe = r
		if !b.session.relay.start(func() {
			_, err := b.WriteTo(w)
			_ = w.CloseWithError(err)
		}) {
			_ = w.CloseWithError(errClosed)
		}
	}
	return b.pipe.Read(p)
}

// Close closes the session, which cancels attempts still in flight.
func (b *streamBody) Close() error {
	if b.pipe != nil {
		_ = b.pipe.Close()
	}
	b.session.close()
	return nil
}

// connect writes the events accepted so far to the caller and makes emit write all later ones.
func (s *session) connect(out *eventWriter) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.mu.Lock()
	s.out = out
	relayed := s.relayed
	s.mu.Unlock()
	return out.writeEvents(relayed, false)
}

func (s *session) isAbandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abandoned
}

// textOf concatenates the texts of events, of which each is one line.
func textOf(events []byte) string {
	if len(events) == 0 {
		return ""
	}
	var b strings.Builder
	for line := range bytes.Lines(events) {
		if len(line) > 1 {
			b.WriteString(engine.Text(line))
		}
	}
	return b.String()
}
