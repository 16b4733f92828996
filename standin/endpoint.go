package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is a minimal runner or service with the protocol of the hosting platform (see package platform),
// unlike Runner and Service. It responds to a request with a stream of numbered events or with the body of
// the request. It implements http.Handler.
type Endpoint struct {
	// ID is the instance id; a request that expects another one is refused with status 421.
	ID string
	// Events is the number of events of a stream; if it is 0, the response is the body of the request.
	Events int
	// Pause is the time between events.
	Pause time.Duration

	mu                sync.Mutex
	runs              map[string]int
	disconnectNextRun map[string]bool
}

// NewEndpoint returns a backend with the given instance id, events per stream and pause between events.
func NewEndpoint(id string, events int, pause time.Duration) *Endpoint {
	return &Endpoint{ID: id, Events: events, Pause: pause, runs: make(map[string]int), disconnectNextRun: make(map[string]bool)}
}

// Runs returns the number of times that the request with an id was executed.
func (e *Endpoint) Runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// DisconnectOnce makes the connection close after half of the events when the request with an id is
// executed next.
func (e *Endpoint) DisconnectOnce(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disconnectNextRun[request] = true
}

// ServeHTTP executes one request.
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
	disconnects := e.disconnectNextRun[id]
	delete(e.disconnectNextRun, id)
	e.mu.Unlock()
	w.Header().Set("Response-Signature", "sig-"+e.ID)
	if e.Events == 0 {
		_, _ = w.Write(body) // fails only if the caller has disconnected
		return
	}
	e.stream(w, r, disconnects)
}

// stream writes the events after the one in the Last-Event-Id header.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, disconnects bool) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header, so that all events are sent
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= e.Events; n++ {
		if disconnects && n > e.Events/2 {
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
