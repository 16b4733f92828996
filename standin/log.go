package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"

	cs "github.com/crocusstile/crocusstile"
	"golang.org/x/time/rate"
)

const (
	// maxPayloadBytes limits the payload of a record.
	maxPayloadBytes = 1 << 20
	// defaultAppendRate is the number of appends per second over all streams.
	defaultAppendRate cs.PerSecond = 400
	// appendBurstShare is the burst that the rate limiter allows, as a share of the appends of one second.
	appendBurstShare = 0.1
	// defaultReadRecords limits the records returned by a read that gives no limit.
	defaultReadRecords = 1000
	// maxReadWait limits the duration of a long poll.
	maxReadWait = 30 * cs.Second
)

// LogConfig configures a Log.
type LogConfig struct {
	// Faults are the initial fault settings; an AppendRate of 0 selects 400 appends per second.
	Faults LogFaults
	// Seed seeds the random choice of the responses that DropResponseRate drops.
	Seed uint64
	// Clock gives the time of records; nil selects the system clock.
	Clock *cs.Clock
}

// LogFaults are the fault settings of a Log; POST /standin/faults changes them at run time.
type LogFaults struct {
	// Outage makes appends and reads fail with status 503.
	Outage bool `json:"outage"`
	// Delay is added before each append or read takes effect. An append takes effect even if its client
	// has disconnected meanwhile.
	Delay cs.Span `json:"delay"`
	// DropResponseNext is the number of following appends that take effect without a response.
	DropResponseNext int `json:"loseNext"`
	// DropResponseRate is the probability that an append takes effect without a response.
	DropResponseRate cs.Ratio `json:"loseRate"`
	// AppendRate is the number of appends per second over all streams; those beyond it fail with status 429.
	AppendRate cs.PerSecond `json:"appendRate"`
	// Retention is the age beyond which records are no longer readable; 0 keeps all records readable.
	Retention cs.Span `json:"retention"`
}

// Log simulates the platform's append-only log: streams of records with consecutive offsets from 0.
type Log struct {
	mux     *http.ServeMux
	faults  faults[LogFaults]
	inbox   inbox[logEvent]
	clock   *cs.Clock
	streams streamTable
	limiter *rate.Limiter
	random  *rand.Rand
}

// NewLog returns an empty log; a stream is created by the first append to it or read of it.
func NewLog(c LogConfig) *Log {
	if c.Faults.AppendRate == 0 {
		c.Faults.AppendRate = defaultAppendRate
	}
	if c.Clock == nil {
		c.Clock = cs.NewClock()
	}
	burst := max(1, int(float64(c.Faults.AppendRate)*appendBurstShare))
	l := &Log{
		mux: http.NewServeMux(), faults: faults[LogFaults]{set: c.Faults}, inbox: newInbox[logEvent](), clock: c.Clock,
		streams: newStreamTable(),
		limiter: rate.NewLimiter(rate.Limit(c.Faults.AppendRate), burst),
		random:  rand.New(rand.NewPCG(c.Seed, 0)),
	}
	l.mux.HandleFunc("POST /v1/streams/{stream}/records", l.handleAppend)
	l.mux.HandleFunc("GET /v1/streams/{stream}/records", l.handleRead)
	l.mux.Handle("POST /standin/faults", &l.faults)
	l.mux.HandleFunc("GET /standin/journal/{stream}", l.handleJournal)
	return l
}

// ServeHTTP serves the log over HTTP; appends and reads block until Run is called.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// SetFaults changes the fault settings.
func (l *Log) SetFaults(set func(*LogFaults)) { l.faults.update(set) }

// Faults returns the current fault settings.
func (l *Log) Faults() LogFaults { return l.faults.get() }

// Run owns the streams and applies appends and reads to them until ctx ends.
func (l *Log) Run(ctx context.Context) error { return l.inbox.receive(ctx, l.apply) }

// logEvent is a message to the goroutine that owns the streams.
type logEvent interface{ isLogEvent() }

type (
	appendRequested struct {
		stream  cs.StreamID
		payload []byte
		reply   chan<- appendReply
	}
	readRequested struct {
		stream cs.StreamID
		from   cs.Offset
		max    int
		reply  chan<- readReply
	}
	historyRequested struct {
		stream cs.StreamID
		reply  chan<- []LogRecord
	}
)

func (appendRequested) isLogEvent()  {}
func (readRequested) isLogEvent()    {}
func (historyRequested) isLogEvent() {}

// appendReply holds the offset of an appended record, or says that the append exceeded the rate limit.
type appendReply struct {
	offset      cs.Offset
	rateLimited bool
	// dropResponse closes the connection without a response to the append.
	dropResponse bool
}

func (l *Log) apply(e logEvent) {
	now, settings := l.clock.Now(), l.faults.get()
	l.streams.applyRetention(now, settings.Retention)
	switch e := e.(type) {
	case appendRequested:
		e.reply <- l.append(e, now, settings)
	case readRequested:
		e.reply <- l.streams.read(e.stream, e.from, e.max)
	case historyRequested:
		e.reply <- l.streams.history(e.stream)
	}
}

func (l *Log) append(e appendRequested, now cs.Instant, settings LogFaults) appendReply {
	if limit := rate.Limit(settings.AppendRate); l.limiter.Limit() != limit {
		l.limiter.SetLimit(limit)
	}
	if !l.limiter.Allow() {
		return appendReply{rateLimited: true}
	}
	offset := l.streams.append(e.stream, now, e.payload)
	return appendReply{offset: offset, dropResponse: l.random.Float64() < float64(settings.DropResponseRate)}
}

// applyFaults applies the outage and the delay; if it returns false, it has sent the response.
func (l *Log) applyFaults(w http.ResponseWriter) bool {
	settings := l.faults.get()
	if !settings.Outage && settings.Delay > 0 {
		pause(l.inbox.done, settings.Delay)
		settings = l.faults.get()
	}
	if settings.Outage {
		writeError(w, http.StatusServiceUnavailable, "the log is unavailable")
		return false
	}
	return true
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	payload, ok := readBody(w, r, maxPayloadBytes)
	if !ok || !l.applyFaults(w) {
		return
	}
	ctx := context.WithoutCancel(r.Context())
	result, ok := sendForReply(ctx, &l.inbox, func(reply chan<- appendReply) logEvent {
		return appendRequested{stream: cs.StreamID(r.PathValue("stream")), payload: payload, reply: reply}
	})
	if !ok {
		abort()
	}
	if result.rateLimited {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "more than %v appends a second", l.faults.get().AppendRate)
		return
	}
	if result.dropResponse || l.faults.consume(func(f *LogFaults) *int { return &f.DropResponseNext }) {
		abort()
	}
	writeJSON(w, http.StatusOK, struct {
		Offset cs.Offset `json:"offset"`
	}{result.offset})
}

// handleRead responds as soon as there is a record at or after the offset, at the latest when the
// requested wait has passed. The page is empty then.
func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	query, err := parseReadQuery(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), query.wait.Std())
	defer cancel()
	for {
		if !l.applyFaults(w) {
			return
		}
		result, ok := sendForReply(r.Context(), &l.inbox, func(reply chan<- readReply) logEvent {
			return readRequested{stream: cs.StreamID(r.PathValue("stream")), from: query.from, max: query.max, reply: reply}
		})
		if !ok {
			abort()
		}
		if len(result.page.Records) > 0 || ctx.Err() != nil {
			writeJSON(w, http.StatusOK, result.page)
			return
		}
		select {
		case <-result.appended:
		case <-ctx.Done():
		}
	}
}

func (l *Log) handleJournal(w http.ResponseWriter, r *http.Request) {
	records, ok := sendForReply(r.Context(), &l.inbox, func(reply chan<- []LogRecord) logEvent {
		return historyRequested{stream: cs.StreamID(r.PathValue("stream")), reply: reply}
	})
	if !ok {
		abort()
	}
	writeJSONLines(w, records)
}

// readQuery holds the query parameters of a read.
type readQuery struct {
	from cs.Offset
	max  int
	wait cs.Span
}

func parseReadQuery(r *http.Request) (readQuery, error) {
	query := readQuery{max: defaultReadRecords}
	values := r.URL.Query()
	for name, set := range map[string]func(int64){
		"from":   func(n int64) { query.from = cs.Offset(max(0, n)) },
		"max":    func(n int64) { query.max = max(1, int(n)) },
		"waitMs": func(n int64) { query.wait = min(cs.Span(max(0, n)), maxReadWait) },
	} {
		if !values.Has(name) {
			continue
		}
		n, err := strconv.ParseInt(values.Get(name), 10, 64)
		if err != nil {
			return query, err
		}
		set(n)
	}
	return query, nil
}
