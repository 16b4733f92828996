package gossip_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/gossip"
)

// statePeers answers requests for a peer with the next one of a list, and requests for a state with one, in place of the
// control loop.
type statePeers struct {
	exchange *gossip.JobStateExchange
	clock    *cs.Clock
	state    *gateway.JobLogState

	mu      sync.Mutex
	servers []*httptest.Server
	tried   []int // the number of peers that were tried before each request for a peer
	reads   []gateway.JobStateRead
}

func newStatePeers(state *gateway.JobLogState, servers ...*httptest.Server) *statePeers {
	p := &statePeers{clock: cs.NewClock(), state: state, servers: servers}
	p.exchange = gossip.NewJobStateExchange(gossip.JobStateConfig{Clock: p.clock, Post: p.post, Log: zerolog.Nop()})
	return p
}

func (p *statePeers) post(_ context.Context, e gateway.Event) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch e := e.(type) {
	case gateway.JobStateRequested:
		go p.exchange.AnswerState(gateway.AnswerJobState{Query: e.Query, State: p.state})
	case gateway.StatePeerRequested:
		p.tried = append(p.tried, len(e.Tried))
		answer := gateway.AnswerStatePeer{Query: e.Query}
		if n := len(e.Tried); n < len(p.servers) {
			answer.Peer, answer.Address = cs.VMID(fmt.Sprint("vm", n)), cs.Address(p.servers[n].Listener.Addr().String())
		}
		go p.exchange.AnswerPeer(answer)
	case gateway.JobStateRead:
		p.reads = append(p.reads, e)
	default:
	}
	return nil
}

// serveState serves a state to peers until the test ends.
func serveState(t *testing.T, h http.Handler) *httptest.Server {
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// jobLog returns a state with results of 12 KB each.
func jobLog(jobs, results int) *gateway.JobLogState {
	s := &gateway.JobLogState{End: 10_000, Age: 300, Unreadable: map[cs.JobID]cs.Offset{"u": 7}}
	for n := range jobs {
		j := gateway.JobState{Spec: gateway.JobSpec{ID: cs.JobID(fmt.Sprint("j", n)), Route: "r", Host: "h", Accepted: 1}, Opened: cs.Offset(n), Ended: n == 1}
		for i := range results + 1 {
			item := cs.ItemID(fmt.Sprint("i", i))
			j.Spec.Items = append(j.Spec.Items, gateway.Item{ID: item, Target: "/p", Body: []byte("body"), Header: map[string]string{"Model": "m"}})
			if i < results {
				j.Results = append(j.Results, gateway.Result{Item: item, Done: true, Text: strings.Repeat("x\n", 6000)})
				j.ResultKeys = append(j.ResultKeys, gateway.ResultKey{Index: i, AppendID: gateway.AppendID{Writer: 1 << 60, Number: uint64(i)}})
			}
		}
		j.Saved = []gateway.SavedProgress{{Index: results, SavedEvent: 3, Progress: gateway.Progress{Text: []byte("a\xff"), LastEvent: 4}}}
		s.Jobs = append(s.Jobs, j)
	}
	return s
}

// Guards against a part of the state that a peer does not get, and against a state that counts as newer than it is.
func TestJobStateIsHandedOver(t *testing.T) {
	c := qt.New(t)
	source := newStatePeers(jobLog(5, 50)) // 3 MB
	v := newStatePeers(nil, serveState(t, source.exchange))
	begin := v.clock.Now()
	end, err := v.exchange.Obtain(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(end, qt.Equals, cs.Offset(10_000))
	c.Assert(v.reads, qt.HasLen, 1)
	c.Assert(v.reads[0].Peer, qt.Equals, cs.VMID("vm0"))
	c.Assert(v.reads[0].State, qt.DeepEquals, *source.state)
	asOf := v.reads[0].AsOf
	c.Assert(asOf >= begin.Add(-300) && asOf < begin.Add(-200), qt.IsTrue, qt.Commentf("as of %d after the request", asOf.Sub(begin)))
}

// Guards against a VM that does without a state, although another peer has it, or takes one that no VM can have sent: peers that
// are busy, have none, die during the transfer, fall silent or send something else are left out.
func TestJobStateIsTakenFromAnotherPeer(t *testing.T) {
	state := jobLog(3, 60)
	whole := func() http.Handler { return newStatePeers(state).exchange }
	malformed := func(change func(*gateway.JobLogState)) http.Handler {
		bad := jobLog(2, 2)
		change(bad)
		return newStatePeers(bad).exchange
	}
	for name, h := range map[string]http.Handler{
		"no state":   newStatePeers(nil).exchange,
		"other path": http.NotFoundHandler(),
		"not CBOR":   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }),
		"empty":      http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		"dies midway": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			whole().ServeHTTP(&dyingWriter{ResponseWriter: w, left: 1 << 20}, r)
		}),
		"falls silent": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, _ := cbor.Marshal(map[string]any{"e": 5, "a": 1, "j": 3})
			_, _ = w.Write(data)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}),
		"end before the log": malformed(func(s *gateway.JobLogState) { s.End = -1 }),
		"negative age":       malformed(func(s *gateway.JobLogState) { s.Age = -5 }),
		"job twice":          malformed(func(s *gateway.JobLogState) { s.Jobs[1] = s.Jobs[0] }),
		"job after the end":  malformed(func(s *gateway.JobLogState) { s.Jobs[1].Opened = s.End }),
		"job without ID":     malformed(func(s *gateway.JobLogState) { s.Jobs[1].Spec.ID = "" }),
		"job without items":  malformed(func(s *gateway.JobLogState) { s.Jobs[1].Spec.Items = nil }),
		"foreign result":     malformed(func(s *gateway.JobLogState) { s.Jobs[1].Results[0].Item = "x" }),
		"item listed twice":  malformed(func(s *gateway.JobLogState) { s.Jobs[1].Results[1].Item = s.Jobs[1].Results[0].Item }),
		"key out of range":   malformed(func(s *gateway.JobLogState) { s.Jobs[1].ResultKeys[0].Index = 99 }),
		"progress out of range": malformed(func(s *gateway.JobLogState) {
			s.Jobs[1].Saved[0].Index = -1
		}),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			v := newStatePeers(nil, serveState(t, h), serveState(t, whole()))
			end, err := v.exchange.Obtain(context.Background())
			c.Assert(err, qt.IsNil)
			c.Assert(end, qt.Equals, state.End)
			c.Assert(v.tried, qt.DeepEquals, []int{0, 1})
			c.Assert(v.reads, qt.HasLen, 1)
			c.Assert(v.reads[0].State, qt.DeepEquals, *state)
		})
	}
}

// dyingWriter closes its connection after some bytes.
type dyingWriter struct {
	http.ResponseWriter
	left int
}

// Write writes, or closes the connection.
func (w *dyingWriter) Write(p []byte) (int, error) {
	if w.left -= len(p); w.left < 0 {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer for http.ResponseController.
func (w *dyingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Guards against a VM that waits for peers that cannot help, in place of reading the store.
func TestNoPeerHasJobState(t *testing.T) {
	c := qt.New(t)
	v := newStatePeers(nil)
	_, err := v.exchange.Obtain(context.Background())
	c.Assert(err, qt.IsNotNil)
	var busy []*httptest.Server
	for range 5 {
		busy = append(busy, serveState(t, newStatePeers(nil).exchange))
	}
	v = newStatePeers(nil, busy...)
	begin := time.Now()
	_, err = v.exchange.Obtain(context.Background())
	c.Assert(err, qt.IsNotNil)
	c.Assert(len(v.tried) <= 3, qt.IsTrue, qt.Commentf("%d peers", len(v.tried)))
	c.Assert(time.Since(begin) < 2*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(begin)))
}

// Guards against a VM whose link, processor time and memory go to peers that start together: it serves one transfer at a time,
// with pauses between its pages, and ends one whose receiver no longer reads.
func TestJobStateIsServedOnceAtATime(t *testing.T) {
	c := qt.New(t)
	source := newStatePeers(jobLog(20, 50)) // 12 MB
	server := serveState(t, source.exchange)
	get := func() (*http.Response, error) { return http.Get(server.URL + gossip.JobStatePath) }
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(conn.(*net.TCPConn).SetReadBuffer(4096), qt.IsNil)
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", gossip.JobStatePath)
	c.Assert(err, qt.IsNil)
	_, err = conn.Read(make([]byte, 100)) // the transfer has begun, and the receiver reads no more
	c.Assert(err, qt.IsNil)
	resp, err := get()
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	v := newStatePeers(nil, server)
	deadline := time.Now().Add(10 * time.Second)
	for {
		begin := time.Now()
		if _, err = v.exchange.Obtain(context.Background()); err == nil {
			c.Assert(time.Since(begin) > 900*time.Millisecond, qt.IsTrue, qt.Commentf("12 MB in 47 pages took %s", time.Since(begin)))
			return
		}
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
		time.Sleep(50 * time.Millisecond)
	}
}
