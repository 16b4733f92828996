package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// drainCatalog has time limits that are longer than the grace period of the VMs.
const drainCatalog = `{"version":3,"routes":[
{"name":"ask","host":"h.example","path_prefix":"/ask/","kind":"streaming","timeout_ms":12000,"target_latency_ms":300,"gap_target_ms":2000,"service":"x","max_attempts":1,"resumable":true},
{"name":"quiz","host":"h.example","path_prefix":"/quiz/","kind":"streaming","timeout_ms":12000,"target_latency_ms":300,"gap_target_ms":2000,"service":"x","max_attempts":1},
{"name":"once","host":"h.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":12000,"target_latency_ms":400,"service":"x","max_attempts":3},
{"name":"fetch","host":"h.example","path_prefix":"/fetch/","kind":"idempotent","timeout_ms":12000,"target_latency_ms":400,"service":"x","max_attempts":1},
{"name":"mark","host":"h.example","path_prefix":"/mark/","kind":"batch","timeout_ms":15000,"target_latency_ms":400,"service":"x","max_attempts":3,"completion_target_ms":18000,"retention_s":60,"max_count":100000}],
"services":[{"name":"x","engine":{"slots":200}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// startDraining starts a VM with drainCatalog in front of scripted runners that have a free slot for each request.
func startDraining(t *testing.T, respond func(r *scriptedRunner, conn *scriptedConn, req *http.Request)) (*cluster, *entryVM, *scriptedRunner) {
	s, m, r := startScripted(t, 15, func(r *scriptedRunner, conn *scriptedConn, req *http.Request) {
		r.begin(req.Header.Get("Request-Id"), 1000)
		respond(r, conn, req)
	})
	s.store.Put("keyed.op", "config", []byte(drainCatalog))
	s.eventually(func() bool { return strings.Contains(m.logs.String(), `"catalog":3`) })
	return s, m, r
}

// streamFor sends an event each 100 ms for a time, and then the end of the stream.
func streamFor(conn *scriptedConn, id string, length time.Duration) {
	conn.send(signedHead(id) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i, end := 1, time.Now().Add(length); time.Now().Before(end); i++ {
		conn.send(chunk(eventsFrom(i, i)))
		time.Sleep(100 * time.Millisecond)
	}
	conn.send("0\r\n\r\n")
}

// drainExchange is a request that was sent to a draining VM, and what came of it.
type drainExchange struct {
	id   string
	sent time.Time
	answer
	// closing means that the response asked for the connection to be closed.
	closing bool
	err     error
}

// keptConns are the connections on which callers send requests one after another.
type keptConns struct {
	s       *cluster
	m       *entryVM
	mu      sync.Mutex
	idle    []*keptConn
	results []drainExchange
}

type keptConn struct {
	net.Conn
	in *bufio.Reader
}

// take returns an idle connection, or a new one, or nil if the VM accepts none.
func (k *keptConns) take() *keptConn {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := len(k.idle); n > 0 {
		c := k.idle[0]
		k.idle = k.idle[1:]
		return c
	}
	conn, err := net.Dial("tcp4", k.m.callersAddr)
	if err != nil {
		return nil
	}
	return &keptConn{conn, bufio.NewReader(conn)}
}

// send sends a request on a connection, reads the response and records both.
func (k *keptConns) send(c *keptConn, path, id string) {
	e := drainExchange{id: id, sent: time.Now()}
	deadline := 2000
	if isStream(path) {
		deadline = 5000
	}
	_, e.err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 6\r\n\r\nprompt", path, id, deadline)
	if e.err == nil {
		var resp *http.Response
		if resp, e.err = http.ReadResponse(c.in, nil); e.err == nil {
			var body []byte
			body, e.err = io.ReadAll(resp.Body)
			e.answer = answer{status: resp.StatusCode, body: string(body), complete: e.err == nil}
			e.closing = resp.Close
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.results = append(k.results, e)
	if e.complete && !e.closing {
		k.idle = append(k.idle, c)
		return
	}
	_ = c.Close()
}

// isStream reports whether a path is that of a streaming route.
func isStream(path string) bool {
	return strings.HasPrefix(path, "/ask/") || strings.HasPrefix(path, "/quiz/")
}

// Guards against requests that a VM takes in a drain although they may not end before it exits, and cuts at its exit: their
// callers cannot tell whether they have run. Streams in the drain take longer than all before. Callers use their open
// connections until the process is gone.
func TestDrainCutsNoRequest(t *testing.T) {
	var draining atomic.Bool
	s, m, runner := startDraining(t, func(_ *scriptedRunner, conn *scriptedConn, req *http.Request) {
		id := req.Header.Get("Request-Id")
		if isStream(req.URL.Path) {
			length := 400 * time.Millisecond
			if draining.Load() {
				length = 4 * time.Second
			}
			streamFor(conn, id, length)
			return
		}
		time.Sleep(200 * time.Millisecond)
		conn.send(wholeOutput(req))
	})
	k := &keptConns{s: s, m: m}
	var callers sync.WaitGroup
	paths := []string{"/ask/x", "/once/x", "/quiz/x", "/fetch/x"}
	start := func(i int) bool {
		c := k.take()
		if c == nil {
			return false
		}
		callers.Go(func() { k.send(c, paths[i%len(paths)], fmt.Sprintf("d%d", i)) })
		return true
	}
	for i := range 4 * len(paths) { // more connections than requests at a time, so that some stay idle
		start(i)
	}
	callers.Wait()
	draining.Store(true)
	m.signals <- syscall.SIGTERM
	drainStart := time.Now()
	s.eventually(func() bool { return readyStatus(m.readyAddr) == http.StatusServiceUnavailable })
	gone := false
	for i := 100; !gone; i++ {
		gone = !start(i)
		s.Assert(time.Since(drainStart) < 8*time.Second, qt.IsTrue, qt.Commentf("the VM still runs at the end of its grace period"))
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	served := 0
	for _, e := range k.results {
		runs, at := runner.runsOf(e.id), e.sent.Sub(drainStart)
		comment := qt.Commentf("%s, sent at %v: status %d, %d runs, %v", e.id, at, e.status, runs, e.err)
		s.Check(!e.complete && runs > 0, qt.IsFalse, comment)
		s.Check(promisesNotRun(e.status) && runs > 0, qt.IsFalse, comment)
		s.Check(e.complete && at > 500*time.Millisecond && !e.closing, qt.IsFalse, comment)
		if e.status == http.StatusOK && at > 0 {
			served++
		}
	}
	s.Check(served > 20, qt.IsTrue, qt.Commentf("%d requests served in the drain", served))
}

// Guards against requests that are cut without an answer at the end of the grace period: one that a runner does not
// answer, a stream, one whose body is still being read, and a query for results that waits.
func TestRemainingRequestsAreAnsweredBeforeExit(t *testing.T) {
	released := make(chan struct{}, 10)
	s, m, runner := startDraining(t, func(_ *scriptedRunner, conn *scriptedConn, req *http.Request) {
		id := req.Header.Get("Request-Id")
		switch {
		case strings.HasPrefix(req.URL.Path, "/quiz/"):
			streamFor(conn, id, 9*time.Second)
		case strings.HasPrefix(req.URL.Path, "/once/"):
			if _, err := conn.Read(make([]byte, 1)); err != nil { // until the VM closes the connection
				released <- struct{}{}
			}
		case strings.HasPrefix(req.URL.Path, "/mark/"):
			time.Sleep(9 * time.Second)
		default:
			conn.send(wholeOutput(req))
		}
	})
	code, _, _ := s.call(m, "POST", "/mark/x", "job1", `{"items":[{"id":"i1","path":"/mark/1","body":"","tokens":10}]}`)
	s.Assert(code, qt.Equals, http.StatusAccepted)
	const head = " HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 12000\r\n"
	send := func(request string) net.Conn {
		conn := s.dial(m, request)
		s.Assert(conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
		s.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	once := send("POST /once/x" + head + "Request-Id: once\r\nContent-Length: 1\r\n\r\nx")
	quiz := send("POST /quiz/x" + head + "Request-Id: quiz\r\nContent-Length: 1\r\n\r\nx")
	s.eventually(func() bool { return runner.runsOf("once") == 1 && runner.runsOf("quiz") == 1 })
	m.signals <- syscall.SIGTERM
	drainStart := time.Now()
	time.Sleep(3500 * time.Millisecond)
	query := send("GET /lots/job1?after=0" + head + "Wait-Ms: 5000\r\n\r\n")
	body := send("POST /fetch/x" + head + "Request-Id: body\r\nContent-Length: 100\r\n\r\nx")

	answers := make(map[string]answer)
	for name, conn := range map[string]net.Conn{"once": once, "quiz": quiz, "query": query, "body": body} {
		answers[name] = readAnswer(conn)
	}
	s.Check(time.Since(drainStart) < 8*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(drainStart)))
	s.Check(answers["once"].status, qt.Equals, http.StatusBadGateway)
	s.Check(answers["once"].complete, qt.IsTrue)
	s.Check(answers["quiz"].status, qt.Equals, http.StatusOK)
	s.Check(answers["quiz"].complete, qt.IsFalse)
	s.Check(answers["body"].status, qt.Equals, http.StatusServiceUnavailable)
	s.Check(answers["query"].status, qt.Equals, http.StatusOK)
	s.Check(answers["query"].complete, qt.IsTrue)
	select {
	case <-released:
	case <-time.After(time.Second):
		s.Error("the runner still works on a request that was given up")
	}
}
