package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is a back end that speaks the platform's runner protocol: it answers a POST with a stream
// of events, or with the body it got. It implements http.Handler.
type Endpoint struct {
	// ID is the id that callers expect.
	ID string
	// Events is the number of events of a stream; 0 answers with the request's body.
	Events int
	// Pause is the time between two events.
	Pause time.Duration

	mu           sync.Mutex
	runs         map[string]int
	breakNextRun map[string]bool
}

// NewEndpoint returns a back end.
func NewEndpoint(id string, events int, pause time.Duration) *Endpoint {
	return &Endpoint{ID: id, Events: events, Pause: pause, runs: make(map[string]int), breakNextRun: make(map[string]bool)}
}

// Runs returns how often a request was run.
func (e *Endpoint) Runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// BreakOnce lets the next run of a request break off after half of its events.
func (e *Endpoint) BreakOnce(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakNextRun[request] = true
}

// ServeHTTP serves one request.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.ID {
		w.Header().Set("Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.runs[id]++
	breaks := e.breakNextRun[id]
	delete(e.breakNextRun, id)
	e.mu.Unlock()
	w.Header().Set("Response-Signature", "sig-"+e.ID)
	if e.Events == 0 {
		_, _ = w.Write(body) // a caller that has left needs no answer
		return
	}
	e.stream(w, r, breaks)
}

// stream writes the events that follow the last one that the caller has.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, breaks bool) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // without the header from the start
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= e.Events; n++ {
		if breaks && n > e.Events/2 {
			_, _ = io.WriteString(w, "id: ")
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.Pause):
		}
	}
}
