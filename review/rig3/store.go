package main

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// store is a small stand-in of the platform's metadata store, as PROTOCOL.md describes it: keyed topics with one partition, group
// membership with time-outs, and numbered appends. It keeps all records for the time of a script.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	group   group
	changed chan struct{}
	// moved is told the member that gets a partition when all are reassigned, and may be nil.
	moved func(member string)
}

type topic struct {
	records   []keyed
	producers map[string]*producer
}

type keyed struct {
	key   string
	value []byte
}

type producer struct {
	epoch, next int
	replies     map[int]appended
}

type appended struct {
	Offset int `json:"offset"`
	End    int `json:"end_offset"`
}

type group struct {
	generation int
	// shift grows with each time at which all partitions are reassigned.
	shift int
	// isMoving means that all partitions are to be reassigned when the next owner of the partition moving joins.
	isMoving bool
	moving   int
	members  []member
	owners   [partitions]string
	since    [partitions]time.Time
}

type member struct {
	name  string
	until time.Time
}

const (
	partitions   = 8
	pageRecords  = 500
	pageBytes    = 1 << 20
	maxRecord    = 262144
	maxCallBytes = 2097152
)

func newStore() *store {
	return &store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{producers: make(map[string]*producer)}
	}
	return s.topics[name]
}

// put appends a record on behalf of the operator or a runner.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.records = append(t.records, keyed{key, value})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// bytes returns the size of all values in a topic.
func (s *store) bytes(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.topic(topic).records {
		n += len(r.value)
	}
	return n
}

// ServeHTTP carries out one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r.URL.Query(), body)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.newest(w, r.URL.Query())
	case "/log-join", "/log-leave":
		s.join(w, body, r.URL.Path == "/log-leave")
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func decodeAppend(body []byte) ([]keyed, bool) {
	var records []keyed
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n > len(body) || n > maxRecord || n < 1 || int(body[0]) >= n {
			return nil, false
		}
		keyLen := int(body[0])
		records = append(records, keyed{string(body[1 : 1+keyLen]), slices.Clone(body[1+keyLen : n])})
		body = body[n:]
	}
	return records, len(body) == 0
}

func (s *store) append(w http.ResponseWriter, query url.Values, body []byte) {
	records, ok := decodeAppend(body)
	if !ok || len(body) > maxCallBytes+4*len(records) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	end := len(t.records)
	if at := query.Get("at"); at != "" && at != strconv.Itoa(end) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"end_offset": end})
		return
	}
	seq, _ := strconv.Atoi(query.Get("seq_no"))
	p := t.producer(query)
	if p != nil {
		epoch, _ := strconv.Atoi(query.Get("epoch"))
		if epoch < p.epoch {
			reply(w, http.StatusConflict, map[string]string{"why": "fenced"})
			return
		}
		if len(records) == 0 {
			reply(w, http.StatusOK, appended{end, end})
			return
		}
		if earlier, known := p.replies[seq]; known {
			reply(w, http.StatusOK, earlier)
			return
		}
		if seq != p.next {
			reply(w, http.StatusConflict, map[string]any{"why": "seq", "seq_no": p.next})
			return
		}
	}
	t.records = append(t.records, records...)
	done := appended{end, len(t.records)}
	if p != nil {
		p.next = seq + 1
		p.replies[seq] = done
		delete(p.replies, seq-5)
	}
	s.notify()
	reply(w, http.StatusOK, done)
}

// producer returns the producer of an append, or nil if it names none. A higher epoch may start at any number.
func (t *topic) producer(query url.Values) *producer {
	name := query.Get("producer")
	if name == "" {
		return nil
	}
	epoch, _ := strconv.Atoi(query.Get("epoch"))
	seq, _ := strconv.Atoi(query.Get("seq_no"))
	p := t.producers[name]
	if p == nil || epoch > p.epoch {
		p = &producer{epoch: epoch, next: seq, replies: make(map[int]appended)}
		t.producers[name] = p
	}
	return p
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	maxKB, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waited := false; ; {
		s.mu.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		end := len(t.records)
		records := t.records[min(from, end):]
		s.mu.Unlock()
		if len(records) > 0 || waited {
			_, _ = w.Write(encodeRead(records, end, maxKB<<10))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRead returns the response to a read: at least one record if there is one, and further ones up to limit bytes.
func encodeRead(records []keyed, end, limit int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i, r := range records {
		if i > 0 && len(out)+len(r.value) > limit {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(append(out, r.key...), r.value...)
	}
	return out
}

type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) newest(w http.ResponseWriter, query url.Values) {
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	latest := make(map[string]newestItem)
	for i, r := range t.records {
		if len(r.value) == 0 {
			delete(latest, r.key)
		} else {
			latest[r.key] = newestItem{r.key, r.value, i}
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	var keys []string
	for k := range latest {
		if k > query.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, size := []newestItem{}, 0
	for _, k := range keys {
		item := latest[k]
		if len(items) == pageRecords || len(items) > 0 && size+len(item.Value) > pageBytes {
			break
		}
		items, size = append(items, item), size+len(item.Value)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(items) < len(keys), "end_offset": end})
}

type joinRequest struct {
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTL    int      `json:"ttl_ms"`
}

// join adds or renews a member of the only group. A partition moves once its holder has left, timed out, or joined again.
func (s *store) join(w http.ResponseWriter, body []byte, leaves bool) {
	var request joinRequest
	if json.Unmarshal(body, &request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g, now, before := &s.group, time.Now(), len(s.group.members)
	g.members = slices.DeleteFunc(g.members, func(m member) bool { return m.name == request.Member || m.until.Before(now) })
	if !leaves {
		g.members = append(g.members, member{request.Member, now.Add(time.Duration(request.TTL) * time.Millisecond)})
	}
	if len(g.members) != before {
		g.generation++
	}
	if leaves {
		reply(w, http.StatusOK, struct{}{})
		return
	}
	if g.move(request.Member) && s.moved != nil {
		s.moved(request.Member)
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": g.assign(request.Member)})
}

// assign returns the partitions of a member that joins. Those of a member that has left or timed out go to the next one in the order of
// names, and a member without any gets one of the member with the most, the one that was held for longest.
func (g *group) assign(name string) [][]any {
	names := g.names()
	counts := make(map[string]int)
	for p := range partitions {
		if !slices.Contains(names, g.owners[p]) {
			i, _ := slices.BinarySearch(names, g.owners[p])
			g.give(p, names[i%len(names)])
		}
		counts[g.owners[p]]++
	}
	for counts[name] < partitions/len(names) || counts[name] == 0 {
		richest := slices.MaxFunc(names, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
		if counts[richest] < 2 {
			break
		}
		oldest := -1
		for p := range partitions {
			if g.owners[p] == richest && (oldest < 0 || g.since[p].Before(g.since[oldest])) {
				oldest = p
			}
		}
		g.give(oldest, name)
		counts[richest]--
		counts[name]++
	}
	rows := [][]any{}
	for p := range partitions {
		if g.owners[p] == name {
			rows = append(rows, []any{"work", p, 0})
		}
	}
	return rows
}

// give makes a member the owner of a partition.
func (g *group) give(p int, to string) { g.owners[p], g.since[p] = to, time.Now() }

// ownerOf returns the member that owns the partition of a job, by the hash that the project uses, and for how long it has.
func (s *store) ownerOf(job string) (string, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := xxhash.Sum64String(job) % partitions
	return s.group.owners[p], time.Since(s.group.since[p])
}

// rebalance reassigns all partitions at once without any request, when the member that gets a partition joins next.
func (s *store) rebalance(partition int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.moving, s.group.isMoving = partition, true
}

// move carries a reassignment out that is due if a member gets the partition by it, and reports whether it does.
func (g *group) move(to string) bool {
	names := g.names()
	if !g.isMoving || g.owners[g.moving] == to {
		return false
	}
	g.isMoving = false
	for names[(g.moving+g.shift)%len(names)] != to {
		g.shift++
	}
	g.generation++
	for p := range partitions {
		g.give(p, names[(p+g.shift)%len(names)])
	}
	return true
}

// names returns the names of the members in a fixed order.
func (g *group) names() []string {
	names := make([]string, len(g.members))
	for i, m := range g.members {
		names[i] = m.name
	}
	slices.Sort(names)
	return names
}
