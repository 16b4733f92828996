package standin

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Store simulates the metadata store of the hosting platform: keyed topics with one partition, consumer groups, and
// faults that a SetMode call selects. It implements http.Handler.
type Store struct {
	mu     sync.Mutex
	topics map[string]*storeTopic
	groups map[string]*storeGroup
	mode   StoreMode
	// changed is closed and replaced when a record is appended, a topic expires or the mode changes.
	changed chan struct{}
	// closed is closed by Close, which ends the requests whose response is withheld.
	closed chan struct{}
	calls  map[string]int // by path
}

// StoreMode selects how a Store handles requests.
type StoreMode int

// The modes of a Store.
const (
	// StoreNormal processes requests and responds to them.
	StoreNormal StoreMode = iota
	// StoreUnavailable responds with status 503 to each request, which has no effect.
	StoreUnavailable
	// StoreHangs sends no response, and requests have no effect.
	StoreHangs
	// StoreDropsResponses processes appends but sends no response to them.
	StoreDropsResponses
)

type storeTopic struct {
	records []storeRecord
	first   int // offset of the oldest readable record
	// producers holds the producers that number their appends, by name.
	producers map[string]*storeProducer
}

type storeRecord struct {
	key   string
	value []byte
}

type storeGroup struct {
	generation int64
	members    []string
}

// partitionsPerTopic is the number of partitions of a topic that a consumer group divides among its members.
const partitionsPerTopic = 8

// NewStore returns an empty store in the mode StoreNormal.
func NewStore() *Store {
	return &Store{
		topics: make(map[string]*storeTopic), groups: make(map[string]*storeGroup), calls: make(map[string]int),
		changed: make(chan struct{}), closed: make(chan struct{}),
	}
}

// Close ends the requests whose response is withheld.
func (s *Store) Close() { close(s.closed) }

// SetMode selects how the store handles requests from now on. Waiting reads are affected too by a change
// to StoreHangs.
func (s *Store) SetMode(m StoreMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.notifyReaders()
}

// Calls returns the number of requests to a path so far, in all modes.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put appends a record to a keyed topic; a nil value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.records = append(t.records, storeRecord{key, value})
	s.notifyReaders()
}

// Expire makes the records of a topic unreadable by offset; the newest record of each key stays
// available.
func (s *Store) Expire(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.first = len(t.records)
	s.notifyReaders()
}

// Len returns the number of records ever appended to a topic, expired ones included.
func (s *Store) Len(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(topic).records)
}

func (s *Store) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{producers: make(map[string]*storeProducer)}
		s.topics[name] = t
	}
	return t
}

func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles one request as the current mode says.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.calls[r.URL.Path]++
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case StoreUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case StoreHangs:
		s.withholdResponse(r)
		return
	case StoreNormal, StoreDropsResponses:
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.append(w, r, body)
	case "GET /log-read":
		s.read(w, r)
	case "GET /log-newest":
		s.newest(w, r)
	case "POST /log-join":
		s.join(w, body)
	case "POST /log-leave":
		s.leave(w, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// withholdResponse blocks until the caller disconnects or the store is closed, then closes the
// connection without a response.
func (s *Store) withholdResponse(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

func writeStoreJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	end := len(t.records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		s.mu.Unlock()
		writeStoreJSON(w, http.StatusPreconditionFailed, map[string]int{"end_offset": end})
		return
	}
	producer, reply := s.checkSequence(t, r.URL.Query())
	if reply != nil {
		s.mu.Unlock()
		writeStoreJSON(w, reply.status, reply.response)
		return
	}
	for len(body) > 4 {
		recordBytes := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+recordBytes]
		keyBytes := int(record[0])
		t.records = append(t.records, storeRecord{string(record[1 : 1+keyBytes]), slices.Clone(record[1+keyBytes:])})
		body = body[4+recordBytes:]
	}
	s.notifyReaders()
	withheld := s.mode == StoreDropsResponses
	next := len(t.records)
	if producer != nil && next > end { // an append without records only sets the epoch
		producer.lastReply = map[string]int{"offset": end, "end_offset": next}
		producer.next++
	}
	s.mu.Unlock()
	if withheld {
		s.withholdResponse(r)
	}
	writeStoreJSON(w, http.StatusOK, map[string]int{"offset": end, "end_offset": next})
}

// storeProducer is the state of a producer that numbers its appends, with the response to its last
// append. The real store remembers more than one.
type storeProducer struct {
	// next is the sequence number that the next append must have.
	epoch, next int
	lastReply   map[string]int
}

// sequenceReply is the response to an append that is not carried out because of its sequence number.
type sequenceReply struct {
	status   int
	response any
}

// checkSequence returns the producer of an append that is to be carried out, or nil if the append names
// none. For an append that repeats the last one, is out of sequence or has an old epoch, it returns the
// response instead.
func (s *Store) checkSequence(t *storeTopic, query url.Values) (*storeProducer, *sequenceReply) {
	name := query.Get("producer")
	if name == "" {
		return nil, nil
	}
	epoch, _ := strconv.Atoi(query.Get("epoch"))
	seq, _ := strconv.Atoi(query.Get("seq_no"))
	producer := t.producers[name]
	if producer == nil || epoch > producer.epoch {
		producer = &storeProducer{epoch: epoch, next: seq}
		t.producers[name] = producer
	}
	switch {
	case epoch < producer.epoch:
		return nil, &sequenceReply{http.StatusConflict, map[string]string{"why": "fenced"}}
	case seq == producer.next-1 && producer.lastReply != nil:
		return nil, &sequenceReply{http.StatusOK, producer.lastReply}
	case seq != producer.next:
		return nil, &sequenceReply{http.StatusConflict, map[string]any{"why": "seq", "seq_no": producer.next}}
	}
	return producer, nil
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		first, end, mode := t.first, len(t.records), s.mode
		records := t.records[min(from, end):]
		s.mu.Unlock()
		if mode == StoreHangs {
			s.withholdResponse(r)
		}
		if from < first {
			writeStoreJSON(w, http.StatusGone, map[string]int{"first_offset": first})
			return
		}
		if len(records) > 0 {
			writeRecords(w, end, first, records)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeRecords(w, end, first, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, end, first int, records []storeRecord) {
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, uint64(first))
	for _, r := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
		body = append(body, byte(len(r.key)))
		body = append(append(body, r.key...), r.value...)
	}
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

// maxPageKeys is the largest number of keys in one page; the limit of the real store is higher.
const maxPageKeys = 50

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	latest := make(map[string]item)
	for i, record := range t.records {
		if len(record.value) == 0 {
			delete(latest, record.key)
			continue
		}
		latest[record.key] = item{record.key, record.value, i}
	}
	end := len(t.records)
	s.mu.Unlock()
	var keys []string
	for k := range latest {
		if k > r.URL.Query().Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > maxPageKeys
	items := []item{}
	for _, k := range keys[:min(len(keys), maxPageKeys)] {
		items = append(items, latest[k])
	}
	writeStoreJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": end})
}

// groupRequest is the JSON body of a request to join or leave a consumer group.
type groupRequest struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
}

func (s *Store) join(w http.ResponseWriter, body []byte) {
	var request groupRequest
	if json.Unmarshal(body, &request) != nil || len(request.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(request.Group)
	if !slices.Contains(g.members, request.Member) {
		g.members = append(g.members, request.Member)
		g.generation++
	}
	index := slices.Index(g.members, request.Member)
	partitions := [][]any{}
	for partition := index; partition < partitionsPerTopic; partition += len(g.members) {
		partitions = append(partitions, []any{request.Topics[0], partition, 0})
	}
	writeStoreJSON(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": partitions})
}

func (s *Store) leave(w http.ResponseWriter, body []byte) {
	var request groupRequest
	if json.Unmarshal(body, &request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(request.Group)
	g.members = slices.DeleteFunc(g.members, func(member string) bool { return member == request.Member })
	g.generation++
	writeStoreJSON(w, http.StatusOK, struct{}{})
}

func (s *Store) group(name string) *storeGroup {
	g := s.groups[name]
	if g == nil {
		g = &storeGroup{}
		s.groups[name] = g
	}
	return g
}
