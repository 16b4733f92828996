package stage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/crocusstile/crocusstile/standin"
)

// MaxCallBytes is the largest total size of the records of one append, as the settings name it.
const MaxCallBytes = 2097152

// history is how long records can be read by offset: SYSTEM.md says "20 s of history" of the store.
const history = 20 * time.Second

// topics are those of which the oldest records expire.
var topics = []string{"keyed.op", "keyed.servers", "keyed.vms", "keyed.jobs"}

// store is the project's stand-in, with the limit on the size of appends that the settings name, with groups whose members
// expire, and with records that expire.
type store struct {
	standin *standin.Store
	groups  groups

	mu sync.Mutex
	// ends are the ends of the topics at earlier times, the oldest of which is history ago, or more.
	ends []topicEnds
}

// topicEnds are the offsets at which the topics ended at a time.
type topicEnds struct {
	at   time.Time
	ends map[string]int
}

// newStore returns a store that forgets its oldest records until the process ends.
func newStore(s *standin.Store) *store {
	out := &store{standin: s}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			out.forget(time.Now())
		}
	}()
	return out
}

// forget notes the present ends of the topics and drops those that are too old.
func (s *store) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := topicEnds{now, make(map[string]int)}
	for _, t := range topics {
		present.ends[t] = s.standin.Len(t)
	}
	s.ends = append(s.ends, present)
	for len(s.ends) > 1 && now.Sub(s.ends[1].at) >= history {
		s.ends = s.ends[1:]
	}
}

// first returns the offset of the oldest record of a topic that can be read.
func (s *store) first(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ends) == 0 || time.Since(s.ends[0].at) < history {
		return 0
	}
	return s.ends[0].ends[topic]
}

// ServeHTTP handles one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	switch {
	case r.URL.Path == "/log-append" && recordBytes(body) > MaxCallBytes:
		s.whileUp(w, r, func() { w.WriteHeader(http.StatusRequestEntityTooLarge) })
	case r.URL.Path == "/log-join" || r.URL.Path == "/log-leave":
		s.whileUp(w, r, func() {
			r.Body = io.NopCloser(bytes.NewReader(body))
			s.groups.ServeHTTP(w, r)
		})
	case r.URL.Path == "/log-read":
		first := s.first(r.URL.Query().Get("topic"))
		if from, err := strconv.Atoi(r.URL.Query().Get("from")); err == nil && from < first {
			s.whileUp(w, r, func() {
				w.Header().Set("Content-Type", "application/json")
				w.WriteHeader(http.StatusGone)
				_, _ = fmt.Fprintf(w, `{"first_offset":%d}`, first) // fails only if the caller has disconnected
			})
			return
		}
		s.standin.ServeHTTP(w, r)
	default:
		s.standin.ServeHTTP(w, r)
	}
}

// Path is a way to the store that can be cut.
type Path struct {
	Address string

	store  http.Handler
	mu     sync.Mutex
	healed chan struct{}
}

// NewPath returns a way to the store that is up.
func (s *Stage) NewPath() (*Path, error) {
	p := &Path{store: s.store}
	var err error
	p.Address, err = Serve("127.0.0.1", p)
	return p, err
}

// Cut makes all calls get no answer until Heal is called.
func (p *Path) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

// Heal ends a cut. Channels that were open break.
func (p *Path) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
	p.healed = nil
}

// ServeHTTP passes a call on to the store, or holds it during a cut.
func (p *Path) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	if healed == nil {
		p.store.ServeHTTP(w, r)
		return
	}
	select {
	case <-healed:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// whileUp handles a call while the stand-in is up; otherwise the stand-in answers as its mode says. It has 404 for unknown paths
// while it is up.
func (s *store) whileUp(w http.ResponseWriter, r *http.Request, handle func()) {
	probe := r.Clone(r.Context())
	probe.URL.Path = "/up"
	s.standin.ServeHTTP(&upWriter{ResponseWriter: w, handle: handle}, probe)
}

// upWriter handles a call in place of the status 404.
type upWriter struct {
	http.ResponseWriter
	handle func()
}

// WriteHeader sends the status.
func (u *upWriter) WriteHeader(status int) {
	if status == http.StatusNotFound {
		u.handle()
		return
	}
	u.ResponseWriter.WriteHeader(status)
}

// recordBytes returns the total size of the records of an append.
func recordBytes(body []byte) int {
	total := 0
	for len(body) > 4 {
		n := int(binary.BigEndian.Uint32(body))
		total += n
		body = body[min(4+n, len(body)):]
	}
	return total
}
