package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the pages state them.
const (
	maxCallBytes  = 2 << 20
	maxPageKeys   = 500
	maxPageBytes  = 1 << 20
	partitions    = 8
	repliesKept   = 5
	recordLength  = 4
	defaultReadKB = 1024
)

// platformStore is a stand-in of the platform's store: keyed topics of one partition, numbered appends, and a consumer group.
type platformStore struct {
	mu     sync.Mutex
	topics map[string]*topic
	group  group
	// changed is closed and replaced when a record is appended.
	changed chan struct{}
}

type topic struct {
	records   []keyedRecord
	producers map[string]*producer
}

type keyedRecord struct {
	key   string
	value []byte
}

// producer is a writer that numbers its appends.
type producer struct {
	epoch, next int
	replies     map[int]map[string]int
}

// group is the consumer group. A partition goes to another member only when its holder has joined with the generation in which it is
// no longer listed, has left or has been silent for its session timeout.
type group struct {
	generation int
	members    map[string]*member
	holders    [partitions]string
}

type member struct {
	seen time.Time
	ttl  time.Duration
	// confirmed is the generation that the member last named.
	confirmed int
}

func newPlatformStore() *platformStore {
	return &platformStore{topics: make(map[string]*topic), group: group{members: make(map[string]*member)}, changed: make(chan struct{})}
}

// Put appends a record to a keyed topic, as the operator and the runners do.
func (s *platformStore) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, keyedRecord{key, value})
	s.notify()
}

func (s *platformStore) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{producers: make(map[string]*producer)}
		s.topics[name] = t
	}
	return t
}

func (s *platformStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		status, reply := s.append(r.URL.Query(), body)
		writeJSON(w, status, reply)
	case "GET /log-read":
		s.read(w, r)
	case "GET /log-newest":
		writeJSON(w, http.StatusOK, s.newest(r.URL.Query()))
	case "POST /log-join":
		s.join(w, body)
	case "POST /log-leave":
		s.leave(w, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}

// append carries out an append and returns the response.
func (s *platformStore) append(query url.Values, body []byte) (int, any) {
	if len(body) > maxCallBytes {
		return http.StatusRequestEntityTooLarge, map[string]string{"why": "size"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	end := len(t.records)
	if at := query.Get("at"); at != "" && at != strconv.Itoa(end) {
		return http.StatusPreconditionFailed, map[string]int{"end_offset": end}
	}
	p, status, refusal := t.sequence(query)
	if status != 0 {
		return status, refusal
	}
	for len(body) >= recordLength {
		size := int(binary.BigEndian.Uint32(body))
		record := body[recordLength : recordLength+size]
		keyBytes := int(record[0])
		t.records = append(t.records, keyedRecord{string(record[1 : 1+keyBytes]), slices.Clone(record[1+keyBytes:])})
		body = body[recordLength+size:]
	}
	reply := map[string]int{"offset": end, "end_offset": len(t.records)}
	if len(t.records) > end {
		s.notify()
		if p != nil {
			p.replies[p.next] = reply
			delete(p.replies, p.next-repliesKept)
			p.next++
		}
	}
	return http.StatusOK, reply
}

// sequence returns the producer of an append that is to be carried out, or nil if it names none, or the response to one that is not.
func (t *topic) sequence(query url.Values) (*producer, int, any) {
	name := query.Get("producer")
	if name == "" {
		return nil, 0, nil
	}
	epoch, _ := strconv.Atoi(query.Get("epoch"))
	seq, _ := strconv.Atoi(query.Get("seq_no"))
	p := t.producers[name]
	if p == nil || epoch > p.epoch {
		p = &producer{epoch: epoch, next: seq, replies: make(map[int]map[string]int)}
		t.producers[name] = p
	}
	reply, known := p.replies[seq]
	switch {
	case epoch < p.epoch:
		return nil, http.StatusConflict, map[string]string{"why": "fenced"}
	case known:
		return nil, http.StatusOK, reply
	case seq != p.next:
		return nil, http.StatusConflict, map[string]any{"why": "seq", "seq_no": p.next}
	}
	return p, 0, nil
}

// read returns the records from an offset on, and waits for one if there is none.
func (s *platformStore) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	maxKB, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		maxKB = defaultReadKB
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		end := len(t.records)
		records := t.records[min(from, end):]
		s.mu.Unlock()
		if len(records) > 0 || !waiting {
			_, _ = w.Write(encodeRecords(records, end, maxKB<<10)) // fails only if the caller has disconnected
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords encodes records up to a size, and at least the first one.
func encodeRecords(records []keyedRecord, end, size int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i, r := range records {
		if i > 0 && len(out)+len(r.value) > size {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(append(out, r.key...), r.value...)
	}
	return out
}

// newestRecord is a record in a page of the newest ones.
type newestRecord struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

// newest returns a page of the newest records of each key.
func (s *platformStore) newest(query url.Values) any {
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	offsets := make(map[string]int)
	for i, r := range t.records {
		if offsets[r.key] = i; len(r.value) == 0 {
			delete(offsets, r.key)
		}
	}
	records, end := t.records, len(t.records)
	s.mu.Unlock()
	var keys []string
	for k := range offsets {
		if k > query.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	page, size, more := []newestRecord{}, 0, false
	for _, k := range keys {
		r := records[offsets[k]]
		if size += len(r.value) * 4 / 3; len(page) == maxPageKeys || len(page) > 0 && size > maxPageBytes {
			more = true
			break
		}
		page = append(page, newestRecord{Key: k, Value: base64.StdEncoding.EncodeToString(r.value), Offset: offsets[k]})
	}
	return map[string]any{"items": page, "has_more": more, "end_offset": end}
}

// groupCall is the body of a call about the group.
type groupCall struct {
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int      `json:"ttl_ms"`
	Generation int      `json:"generation"`
}

func (s *platformStore) join(w http.ResponseWriter, body []byte) {
	var call groupCall
	if json.Unmarshal(body, &call) != nil || len(call.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &s.group
	m := g.members[call.Member]
	if m == nil {
		m = &member{}
		g.members[call.Member] = m
		g.generation++
	}
	m.seen, m.ttl, m.confirmed = time.Now(), time.Duration(call.TTL)*time.Millisecond, call.Generation
	g.expire()
	rows := [][]any{}
	for _, p := range g.assign(call.Member) {
		rows = append(rows, []any{call.Topics[0], p, 0})
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

func (s *platformStore) leave(w http.ResponseWriter, body []byte) {
	var call groupCall
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.remove(call.Member)
	writeJSON(w, http.StatusOK, struct{}{})
}

// expire removes the members that have been silent for their session timeout.
func (g *group) expire() {
	for name, m := range g.members {
		if time.Since(m.seen) > m.ttl {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	if g.members[name] == nil {
		return
	}
	delete(g.members, name)
	g.generation++
	for p, holder := range g.holders {
		if holder == name {
			g.holders[p] = ""
		}
	}
}

// assign returns the partitions that a member holds from now on.
func (g *group) assign(name string) []int {
	var names []string
	for n := range g.members {
		names = append(names, n)
	}
	slices.Sort(names)
	var held []int
	for p := range g.holders {
		target := names[p%len(names)]
		holder := g.members[g.holders[p]]
		if g.holders[p] != target && (holder == nil || holder.confirmed == g.generation) {
			g.holders[p] = target
		}
		if g.holders[p] == name && target == name {
			held = append(held, p)
		}
	}
	return held
}

// String describes the store for the record.
func (s *platformStore) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for _, r := range s.topic("keyed.jobs").records {
		size += len(r.value)
	}
	return fmt.Sprintf("job log of %d records and %d KB", len(s.topic("keyed.jobs").records), size>>10)
}
