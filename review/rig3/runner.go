package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// requestTarget is where a request went, as the runner got it.
type requestTarget struct{ target, host string }

// runner is a sound model runner with eight slots and a short queue. It keeps its entry in the store alive.
type runner struct {
	id, zone, address string
	events            int
	pause             time.Duration
	platform          *platform
	slots             chan struct{}
	born              int64

	mu   sync.Mutex
	seq  int
	runs map[string]int
	// arrived is when each request ran first.
	arrived map[string]time.Time
	// targets are the request lines' targets and the hosts of the requests that ran.
	targets map[string]requestTarget
	// finished are the times at which runs ended after their last event.
	finished []time.Time
	// fails says whether a request fails at each run, and may be nil.
	fails func(id string) bool
	// failed is told that a failing run was answered on a connection that was still open.
	failed func(id string)
}

// addRunner starts a runner that answers with a stream of events.
func (p *platform) addRunner(id, zone string, events int, pause time.Duration) (*runner, error) {
	l, err := net.Listen("tcp4", "127.0.2.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, zone: zone, address: l.Addr().String(), events: events, pause: pause, platform: p, slots: make(chan struct{}, 8),
		born: time.Now().UnixMilli(), runs: make(map[string]int), arrived: make(map[string]time.Time), targets: make(map[string]requestTarget),
	}
	go func() { _ = http.Serve(l, r) }()
	r.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			r.beat()
		}
	}()
	return r, nil
}

// beat writes the entry of the runner.
func (r *runner) beat() {
	r.mu.Lock()
	r.seq++
	seq := r.seq
	r.mu.Unlock()
	value, _ := json.Marshal(map[string]any{
		"service": engines, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "stage": "colocated",
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq_no": seq, "born": r.born,
	})
	r.platform.store.put("keyed.servers", r.id, value)
}

// ServeHTTP runs one request.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if q.URL.Path == "/health" {
		w.Header().Set("Instance-Id", r.id)
		return
	}
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	select {
	case r.slots <- struct{}{}:
	case <-q.Context().Done():
		return
	case <-time.After(time.Second):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.slots }()
	r.mu.Lock()
	r.runs[id]++
	n := r.runs[id]
	r.targets[id] = requestTarget{q.RequestURI, q.Host}
	if n == 1 {
		r.arrived[id] = time.Now()
	}
	r.mu.Unlock()
	r.platform.record.add("%s: runs %s %s, run %d, after event %q, %d bytes", r.id, id, q.URL.Path, n, q.Header.Get("Last-Event-Id"), len(body))
	if r.fails != nil && r.fails(id) {
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Response-Signature", "3e1b.07."+r.id)
		http.Error(w, "the run has failed", http.StatusInternalServerError)
		if q.Context().Err() == nil {
			r.failed(id)
		}
		return
	}
	r.stream(w, q)
}

// stream sends the events after the one that the request names.
func (r *runner) stream(w http.ResponseWriter, q *http.Request) {
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Response-Signature", "3e1b.07."+r.id)
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := last + 1; n <= r.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(n)); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-time.After(r.pause):
		}
	}
	r.mu.Lock()
	r.finished = append(r.finished, time.Now())
	r.mu.Unlock()
}

func eventText(n int) string { return "event " + strconv.Itoa(n) }
