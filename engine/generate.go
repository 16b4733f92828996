package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Generation is a run of a prompt, or the rest of one.
type Generation struct {
	ID cs.RequestID
	cs.Generation
	// ResumeText and ResumeTokens are what earlier runs generated.
	ResumeText   string
	ResumeTokens cs.Tokens
	// ResumeBytes is the size of their events, which counts towards Config.MaxAnswer.
	ResumeBytes cs.Bytes
}

// Sink takes the events of a stream, each with its line end; the bytes are valid during the call.
//
// more tells that further events are at hand, so that a writer may put off its flush. An error ends
// the run as cancelled.
type Sink func(event []byte, n cs.Tokens, more bool) error

// generateBody is the request of the runner protocol.
type generateBody struct {
	ID           cs.RequestID `json:"id"`
	Model        cs.ModelID   `json:"model"`
	Adapter      cs.AdapterID `json:"adapter,omitempty"`
	Version      cs.VersionID `json:"version,omitempty"`
	Prompt       string       `json:"prompt"`
	MaxTokens    cs.Tokens    `json:"maxTokens"`
	ResumeText   string       `json:"resumeText,omitempty"`
	ResumeTokens cs.Tokens    `json:"resumeTokens,omitempty"`
}

// endMarker is the last event of a whole stream.
type endMarker struct {
	ID     cs.RequestID `json:"id"`
	Done   bool         `json:"done"`
	Tokens cs.Tokens    `json:"tokens"`
	Load   cs.Load      `json:"load"`
}

// errDone ends the reading of a stream at its end marker.
var errDone = errors.New("end marker")

// errLost says that the sink refused an event.
var errLost = errors.New("the answer is not wanted any more")

// Generate runs a prompt on the runner at addr and hands its events to sink.
//
// The answer is whole only if the result is fleet.RunWhole: each event bore the request's id, the
// sequence numbers had no gap and the end marker came.
func (c *Client) Generate(ctx context.Context, addr cs.Address, g Generation, sink Sink) fleet.RunResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	body, err := json.Marshal(generateBody{
		ID: g.ID, Model: g.Model, Adapter: g.Adapter, Version: g.Version, Prompt: g.Prompt,
		MaxTokens: g.MaxTokens, ResumeText: g.ResumeText, ResumeTokens: g.ResumeTokens,
	})
	if err != nil {
		return fleet.RunRejected{NotRun: true, Invalid: true, Message: err.Error()}
	}
	a := &attempt{}
	w := watch(ctx, cancel, c.cfg.Clock, c.cfg.FirstByte)
	defer w.stop()
	began := c.cfg.Clock.Now()
	resp, err := c.post(ctx, c.pooled, a, "http://"+string(addr)+"/v1/generate", body, http.Header{})
	if err != nil {
		return c.broken(ctx, a, err)
	}
	// A body that is closed before its end takes its connection with it.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return rejected(resp, true)
	}
	s := stream{client: c, attempt: a, watchdog: w, sink: sink, gen: g, began: began, last: g.ResumeTokens, size: g.ResumeBytes}
	s.prefix = append(strconv.AppendQuote([]byte(`data: {"id":`), string(g.ID)), ',')
	s.framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if err := s.read(bufio.NewReaderSize(resp.Body, maxEvent)); !errors.Is(err, errDone) {
		if errors.Is(err, errLost) {
			return fleet.RunCancelled{}
		}
		return c.broken(ctx, a, err)
	}
	result := s.whole()
	w.limit(drainLimit)
	drain(resp.Body)
	return result
}

// stream is the state of one answer while it is read.
type stream struct {
	client   *Client
	attempt  *attempt
	watchdog *watchdog
	sink     Sink
	gen      Generation
	prefix   []byte
	began    cs.Instant
	first    cs.Instant
	last     cs.Tokens
	size     cs.Bytes
	end      endMarker
	// framed tells that the end of the body is told apart from the end of the connection.
	framed bool
}

// read hands events on until the end marker or an error.
func (s *stream) read(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF) && s.framed:
			return badAnswer("the stream ended without its end marker")
		case errors.Is(err, bufio.ErrBufferFull):
			return badAnswer("an event is larger than the limit")
		case err != nil:
			return errors.Wrap(err, "stream broke off")
		case line[0] == '\n' || line[0] == '\r':
			continue
		}
		if err := s.event(line, another(r)); err != nil {
			return err
		}
	}
}

// another tells whether a further event is at hand in full. One of which only a part has come may
// take any time, and the event before it must not wait for it.
func another(r *bufio.Reader) bool {
	rest, _ := r.Peek(r.Buffered()) // what is buffered is there
	return bytes.IndexByte(bytes.TrimLeft(rest, "\r\n"), '\n') >= 0
}

// event checks one event and hands it on.
func (s *stream) event(line []byte, more bool) error {
	if !bytes.HasPrefix(line, s.prefix) {
		return badAnswer(fmt.Sprintf("event of another request: %.80q", line))
	}
	rest := line[len(s.prefix):]
	if bytes.HasPrefix(rest, []byte(`"done":true`)) {
		return s.done(line)
	}
	if err := s.check(rest, line); err != nil {
		return err
	}
	s.attempt.passed = true
	// A slow caller must not look like a silent runner.
	s.watchdog.pause()
	if s.sink(line, s.last, more) != nil {
		return errLost
	}
	if s.first == 0 {
		s.first = s.client.cfg.Clock.Now()
		s.watchdog.limit(s.client.cfg.Progress)
	} else {
		s.watchdog.progress()
	}
	return nil
}

// check refuses an event out of sequence, without a text, or beyond the bounds of the request.
func (s *stream) check(rest, line []byte) error {
	n, ok := sequence(rest)
	if !ok || n != s.last+1 {
		return badAnswer(fmt.Sprintf("event %d follows event %d", n, s.last))
	}
	if _, ok := text(line); !ok {
		return badAnswer(fmt.Sprintf("event %d has no text: %.80q", n, line))
	}
	s.last, s.size = n, s.size+cs.Bytes(len(line))
	if n > s.gen.MaxTokens || s.size > s.client.cfg.MaxAnswer {
		return badAnswer(fmt.Sprintf("the answer goes on beyond %d tokens or %d bytes", s.gen.MaxTokens, s.client.cfg.MaxAnswer))
	}
	return nil
}

// done checks the end marker.
func (s *stream) done(line []byte) error {
	if err := json.Unmarshal(line[len("data: "):], &s.end); err != nil {
		return badAnswer("end marker: " + err.Error())
	}
	if s.end.Tokens != s.last {
		return badAnswer(fmt.Sprintf("end marker tells %d tokens after event %d", s.end.Tokens, s.last))
	}
	return errDone
}

// whole returns the result of a stream that has ended with its marker.
func (s *stream) whole() fleet.RunResult {
	now := s.client.cfg.Clock.Now()
	if s.first == 0 {
		s.first = now
	}
	w := fleet.RunWhole{
		Tokens: s.last, FirstToken: s.first.Sub(s.began), Took: now.Sub(s.began), Load: s.end.Load,
	}
	if n := s.last - s.gen.ResumeTokens; n > 1 {
		w.Gap = now.Sub(s.first) / cs.Span(n-1)
	}
	return w
}

// maxDigits bounds the digits of a sequence number, so that it cannot overflow.
const maxDigits = 9

// sequence reads the number of `"n":N,`.
func sequence(rest []byte) (cs.Tokens, bool) {
	const name = `"n":`
	if !bytes.HasPrefix(rest, []byte(name)) {
		return 0, false
	}
	n := cs.Tokens(0)
	for i := len(name); i < len(rest) && i <= len(name)+maxDigits; i++ {
		d := rest[i]
		if d < '0' || d > '9' {
			return n, i > len(name)
		}
		n = n*10 + cs.Tokens(d-'0')
	}
	return 0, false
}

// Text returns the text of an event, as Sink gets it.
func Text(event []byte) string {
	t, _ := text(event)
	return string(t)
}

// text returns the text of an event, or false if there is none. It decodes only texts with escapes.
func text(event []byte) ([]byte, bool) {
	const name = `,"text":"`
	if i := bytes.Index(event, []byte(name)); i >= 0 {
		rest := bytes.TrimRight(event[i+len(name):], "\r\n")
		plain, ok := bytes.CutSuffix(rest, []byte(`"}`))
		if ok && !bytes.ContainsFunc(plain, escaped) {
			return plain, true
		}
	}
	var e struct {
		Text *string `json:"text"`
	}
	if json.Unmarshal(bytes.TrimPrefix(event, []byte("data: ")), &e) != nil || e.Text == nil {
		return nil, false
	}
	return []byte(*e.Text), true
}

// escaped tells whether JSON may not hold a rune in a string without an escape, or whether the rune
// begins one.
func escaped(r rune) bool { return r == '"' || r == '\\' || r < ' ' || r == utf8.RuneError }
