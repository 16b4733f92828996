package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	cs "github.com/crocusstile/crocusstile"
)

// generateBody is the JSON body of a request to generate text.
type generateBody struct {
	ID cs.RequestID `json:"id"`
	cs.Generation
	ResumeText   string    `json:"resumeText"`
	ResumeTokens cs.Tokens `json:"resumeTokens"`
}

// endEvent is the JSON of the event that marks the end of a complete stream.
type endEvent struct {
	ID     cs.RequestID `json:"id"`
	Done   bool         `json:"done"`
	Tokens cs.Tokens    `json:"tokens"`
	Load   cs.Load      `json:"load"`
}

// maxTokens limits the tokens that one request may ask for.
const maxTokens cs.Tokens = 1 << 20

// streamFault is a fault injected into a stream after its first token.
type streamFault int

const (
	// streamComplete injects no fault.
	streamComplete streamFault = iota
	// streamDisconnects closes the connection after the first token.
	streamDisconnects
	// streamTruncated ends the response normally after the first token, without an end marker.
	streamTruncated
)

func (r *Runner) handleGenerate(w http.ResponseWriter, req *http.Request) {
	w.Header().Set(headerRequestID, req.Header.Get(headerRequestID))
	var body generateBody
	if !readJSON(w, req, &body) || !r.accept(w, &body) {
		return
	}
	run := generationRun{
		id: body.ID, target: body.Generation, hash: cs.HashTarget(body.Generation),
		tokens: body.ResumeTokens, progress: make(chan runProgress, 1),
	}
	// The context is not cancelled with the request's: if the client disconnected before the handler has
	// the key of the run, nothing would stop the run.
	result, ok := sendForReply(context.WithoutCancel(req.Context()), &r.inbox, func(reply chan<- admission) runnerEvent {
		return generateRequested{generationRun: run, reply: reply}
	})
	if !ok {
		abort()
	}
	switch decision := result.(type) {
	case admitted:
		r.stream(w, req, decision.key, run)
	case refusedNotRun:
		writeNotRun(w, decision.message)
	case refusedNotLoaded:
		writeError(w, http.StatusNotFound, "model %s/%s is not loaded", run.target.Model, run.target.Version)
	}
}

// accept validates a request and applies the faults that precede its execution; if it returns false, it
// has sent the response.
func (r *Runner) accept(w http.ResponseWriter, b *generateBody) bool {
	settings := r.faults.get()
	switch {
	case b.ID == "" || b.Model == "" || b.MaxTokens < 1 || b.MaxTokens > maxTokens:
		writeError(w, http.StatusBadRequest, "id, model and maxTokens (1 to %d) are required", maxTokens)
	case b.ResumeTokens < 0 || b.ResumeTokens > b.MaxTokens:
		writeError(w, http.StatusBadRequest, "resumeTokens is not between 0 and maxTokens")
	case b.ResumeText != b.expectedText(b.ResumeTokens):
		writeError(w, http.StatusBadRequest, "resumeText is not the text of the first %d tokens", b.ResumeTokens)
	case settings.Refuse:
		writeNotRun(w, "the runner refuses requests")
	case r.faults.consume(func(f *RunnerFaults) *int { return &f.ErrorNext }):
		writeError(w, http.StatusInternalServerError, "the request failed")
	case strings.Contains(b.Prompt, MarkUnprocessable):
		writeError(w, http.StatusUnprocessableEntity, "the prompt cannot be processed")
	default:
		return true
	}
	return false
}

func (b *generateBody) expectedText(n cs.Tokens) string {
	return ExpectedText(string(b.Model), string(b.Adapter), string(b.Version), b.Prompt, int(n))
}

// nextStreamFault returns the fault for the next stream and decrements its counter.
func (r *Runner) nextStreamFault() streamFault {
	switch {
	case r.faults.consume(func(f *RunnerFaults) *int { return &f.DisconnectNext }):
		return streamDisconnects
	case r.faults.consume(func(f *RunnerFaults) *int { return &f.TruncateNext }):
		return streamTruncated
	}
	return streamComplete
}

// stream writes the tokens of a run until the run ends or the client disconnects.
func (r *Runner) stream(w http.ResponseWriter, req *http.Request, key runKey, run generationRun) {
	// Cancels the run unless it has ended.
	defer r.inbox.send(context.WithoutCancel(req.Context()), clientDisconnected{key: key})
	out := newTokenWriter(w, run)
	if r.faults.consume(func(f *RunnerFaults) *int { return &f.MisattributeNext }) {
		out.misattribute()
	}
	fault := r.nextStreamFault()
	for {
		var p runProgress
		select {
		case p = <-run.progress:
		case <-req.Context().Done():
			// A return would end the response normally if it is the server that closes, not the client.
			abort()
		case <-r.inbox.done:
			abort()
		}
		if fault != streamComplete {
			p.tokens = min(p.tokens, run.tokens+1)
		}
		if !out.tokens(p.tokens) || p.state == runCancelled {
			return
		}
		if fault == streamDisconnects {
			abort()
		}
		if fault == streamTruncated {
			return
		}
		if p.state == runCompleted {
			out.end(p)
			return
		}
	}
}

// tokenWriter writes the events of a run's stream, each with one write and one flush.
type tokenWriter struct {
	w           http.ResponseWriter
	flush       http.Flusher
	id          cs.RequestID
	eventPrefix string // the start of each event, up to the number of the token
	seed        uint64
	lastSent    cs.Tokens
	event       []byte
}

func newTokenWriter(w http.ResponseWriter, run generationRun) *tokenWriter {
	flush, _ := w.(http.Flusher)
	t := &tokenWriter{w: w, flush: flush, lastSent: run.tokens}
	g := run.target
	t.seed = textSeed(string(g.Model), string(g.Adapter), string(g.Version), g.Prompt)
	t.setID(run.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	return t
}

func (t *tokenWriter) setID(id cs.RequestID) {
	quoted, _ := json.Marshal(id) // cannot fail: the id is a string
	t.id = id
	t.eventPrefix = `data: {"id":` + string(quoted) + `,"n":`
}

// misattribute makes the stream carry the id and the text of another request.
func (t *tokenWriter) misattribute() {
	t.setID(t.id + "-crossed")
	t.seed++
}

// tokens writes the events of the tokens not yet sent up to n; it returns false if a write fails.
func (t *tokenWriter) tokens(n cs.Tokens) bool {
	for t.lastSent < n {
		t.lastSent++
		t.event = append(t.event[:0], t.eventPrefix...)
		t.event = strconv.AppendInt(t.event, int64(t.lastSent), 10)
		t.event = append(t.event, `,"text":"`...)
		t.event = appendToken(t.event, t.seed, int(t.lastSent))
		t.event = append(t.event, "\"}\n\n"...)
		if !t.write() {
			return false
		}
	}
	return true
}

func (t *tokenWriter) end(p runProgress) {
	marker, _ := json.Marshal(endEvent{ID: t.id, Done: true, Tokens: p.tokens, Load: p.load})
	t.event = append(append(append(t.event[:0], "data: "...), marker...), "\n\n"...)
	t.write()
}

func (t *tokenWriter) write() bool {
	if _, err := t.w.Write(t.event); err != nil {
		return false
	}
	t.flush.Flush()
	return true
}

// handleCancel stops all runs with a request id and responds with their number.
func (r *Runner) handleCancel(w http.ResponseWriter, req *http.Request) {
	var body struct {
		ID cs.RequestID `json:"id"`
	}
	if !readJSON(w, req, &body) {
		return
	}
	cancelled, ok := sendForReply(req.Context(), &r.inbox, func(reply chan<- int) runnerEvent {
		return cancelRequested{id: body.ID, reply: reply}
	})
	if !ok {
		abort()
	}
	writeJSON(w, http.StatusOK, struct {
		Cancelled int `json:"cancelled"`
	}{cancelled})
}
