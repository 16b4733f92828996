package stage

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// slots is the number of requests that a runner runs at once.
const slots = 8

// Runner is a sound model runner: it streams one event for each token of output that the request allows.
type Runner struct {
	ID, Service, Zone, Address string
	// Pause is the time between two events.
	Pause time.Duration

	stage *Stage
	born  int64
	mu    sync.Mutex
	seq   int
}

// AddRunner starts a runner that registers itself every 1.2 s.
func (s *Stage) AddRunner(id, service, zone string, pause time.Duration) (*Runner, error) {
	s.runners++
	r := &Runner{ID: id, Service: service, Zone: zone, Pause: pause, stage: s, born: time.Now().UnixMilli()}
	var err error
	if r.Address, err = Serve("127.0.0.1", r); err != nil {
		return nil, err
	}
	r.register()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			r.register()
		}
	}()
	return r, nil
}

func (r *Runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	entry, _ := json.Marshal(map[string]any{ // cannot fail
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "1", "slots": slots, "state": "ready",
		"cold_left_ms": 0, "seq_no": r.seq, "born": r.born,
	})
	r.stage.Store.Put("keyed.servers", r.ID, entry)
}

// ServeHTTP runs one request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	_, output, _ := strings.Cut(req.Header.Get("Token-Count"), ",")
	events, err := strconv.Atoi(output)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.stage.Logf("runner %s begins to run %s, %d events", r.ID, id, events)
	whole := false
	end := r.stage.beginRun(id)
	defer func() { end(whole) }()
	w.Header().Set("Response-Signature", "mac-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 without the header
	for n := last + 1; n <= events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n) // the context ends if the caller has disconnected
		_ = http.NewResponseController(w).Flush()
		select {
		case <-req.Context().Done():
			r.stage.Logf("runner %s: the channel of %s was closed after event %d of %d", r.ID, id, n, events)
			return
		case <-time.After(r.Pause):
		}
	}
	whole = true
	r.stage.Logf("runner %s has finished %s", r.ID, id)
}
