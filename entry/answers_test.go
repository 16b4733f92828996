package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// answersCatalog sends all routes to one service.
const answersCatalog = `{"version":2,"routes":[
{"name":"ask","host":"h.example","path_prefix":"/ask/","kind":"streaming","timeout_ms":5000,"target_latency_ms":300,"gap_target_ms":600,"service":"x","max_attempts":3,"resumable":true},
{"name":"quiz","host":"h.example","path_prefix":"/quiz/","kind":"streaming","timeout_ms":5000,"target_latency_ms":300,"gap_target_ms":600,"service":"x","max_attempts":3},
{"name":"once","host":"h.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"x","max_attempts":3},
{"name":"fetch","host":"h.example","path_prefix":"/fetch/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"x","max_attempts":3},
{"name":"mark","host":"h.example","path_prefix":"/mark/","kind":"batch","timeout_ms":15000,"target_latency_ms":400,"service":"x","max_attempts":3,"completion_target_ms":18000,"retention_s":60,"max_count":100000}],
"services":[{"name":"x","engine":{"slots":8}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// scriptedConn is a connection of a VM to a runner whose responses a test scripts.
type scriptedConn struct {
	net.Conn
	// refusal is the last refusal that was sent on the connection.
	refusal string
}

// send sends bytes; a peer that has closed the connection is noticed when the next request is read.
func (c *scriptedConn) send(s string) { _, _ = io.WriteString(c.Conn, s) }

// reset closes the connection with a reset.
func (c *scriptedConn) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Conn.Close()
}

// scriptedRunner is a runner that responds as a test prescribes. Its counts are by request id.
type scriptedRunner struct {
	respond func(r *scriptedRunner, conn *scriptedConn, req *http.Request)

	mu          sync.Mutex
	sends, runs map[string]int
	running     int
}

// begin begins to run a request unless as many run as there are slots, and counts its executions.
func (r *scriptedRunner) begin(id string, slots int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= slots {
		return false
	}
	r.running++
	r.runs[id]++
	return true
}

// end ends a run.
func (r *scriptedRunner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// runsOf returns how often a request was executed, and sendsOf how often it was received.
func (r *scriptedRunner) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *scriptedRunner) sendsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sends[id]
}

func (r *scriptedRunner) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in, c := bufio.NewReader(conn), &scriptedConn{Conn: conn}
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		r.mu.Lock()
		r.sends[req.Header.Get("Request-Id")]++
		r.mu.Unlock()
		r.respond(r, c, req)
	}
}

// startScripted starts a VM whose only runners, i-1 to i-n, respond as respond prescribes. They share their counts.
func startScripted(t *testing.T, n int, respond func(r *scriptedRunner, conn *scriptedConn, req *http.Request)) (*cluster, *entryVM, *scriptedRunner) {
	s := newCluster(t)
	r := &scriptedRunner{respond: respond, sends: make(map[string]int), runs: make(map[string]int)}
	for i := range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		s.Assert(err, qt.IsNil)
		s.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go r.serve(conn)
			}
		}()
		s.store.Put("keyed.servers", fmt.Sprintf("i-%d", i+1), fmt.Appendf(nil,
			`{"service":"x","address":%q,"zone":"a","slots":8,"state":"ready","born":1}`, l.Addr()))
	}
	s.store.Put("keyed.op", "config", []byte(answersCatalog))
	m := s.start("vm-1")
	s.eventually(func() bool { return strings.Contains(m.logs.String(), fmt.Sprintf(`"runner":"i-%d"`, n)) })
	return s, m, r
}

// answer is a response as a caller sees it.
type answer struct {
	status int
	body   string
	// complete means that the end of the response shows that it is whole.
	complete bool
}

// exchange sends a request on a connection of its own and reads the response to its end.
func (s *cluster) exchange(m *entryVM, path, id string) answer {
	conn := s.open(m, path, id, "HTTP/1.1", "")
	defer func() { _ = conn.Close() }()
	return readAnswer(conn)
}

// open sends a request on a new connection, with a further header line unless it is empty.
func (s *cluster) open(m *entryVM, path, id, version, header string) *net.TCPConn {
	return s.dial(m, "POST "+path+" "+version+"\r\nHost: h.example\r\nRequest-Id: "+id+"\r\nDeadline-Ms: 4000\r\nContent-Length: 6\r\n"+header+"\r\nprompt")
}

// dial opens a connection and sends the bytes of a request.
func (s *cluster) dial(m *entryVM, request string) *net.TCPConn {
	conn, err := net.Dial("tcp4", m.callersAddr)
	s.Assert(err, qt.IsNil)
	s.Assert(conn.SetDeadline(time.Now().Add(8*time.Second)), qt.IsNil)
	_, err = io.WriteString(conn, request)
	s.Assert(err, qt.IsNil)
	return conn.(*net.TCPConn)
}

// readAnswer reads a response to its end; a status of 0 means that there is none.
func readAnswer(conn net.Conn) answer {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), complete: err == nil}
}

// promisesNotRun reports whether a status tells a caller that its request has not run.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// signedHead is the head of a successful response, up to its framing.
func signedHead(id string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s\r\n"
}

// streamHead is the head of a stream that ends with its connection.
func streamHead(id string) string { return signedHead(id) + "Content-Type: text/event-stream\r\n\r\n" }

// chunk returns a chunk of a body.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// eventsFrom returns the events of a stream from one number to another.
func eventsFrom(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

// wholeOutput returns a whole response for a request: two events for an item, and a body otherwise.
func wholeOutput(req *http.Request) string {
	id := req.Header.Get("Request-Id")
	if strings.HasPrefix(req.URL.Path, "/mark/") {
		e := eventsFrom(1, 2)
		return signedHead(id) + fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(e), e)
	}
	return signedHead(id) + fmt.Sprintf("Content-Length: %d\r\n\r\nok %s", len(id)+3, id)
}

// refusals are the refusals that a faulty runner writes once more, as functions of the id of the refused request.
var refusals = map[string]func(id string) string{
	"full": func(id string) string {
		return "HTTP/1.1 503 X\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	},
	"full, without id": func(string) string { return "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" },
	"full, of another request": func(string) string {
		return "HTTP/1.1 503 X\r\nRequest-Id: other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	},
	"full, with a body": func(id string) string {
		return "HTTP/1.1 503 X\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
	},
	"full, after an interim response": func(id string) string {
		return "HTTP/1.1 103 X\r\nRequest-Id: " + id + "\r\n\r\nHTTP/1.1 503 X\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	},
	"limit": func(id string) string {
		return "HTTP/1.1 429 X\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	},
	"another runner": func(id string) string {
		return "HTTP/1.1 421 X\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	},
	"another runner, without id": func(string) string { return "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n" },
	"time-out of the connection": func(string) string { return "HTTP/1.1 408 X\r\nContent-Length: 0\r\n\r\n" },
	"unavailable, may have run": func(id string) string {
		return "HTTP/1.1 503 X\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	},
}

// replayRefusals is a faulty runner that runs two requests at once and refuses others: before its response to each later
// request on a connection it writes the last refusal there once more.
func replayRefusals(refusal func(id string) string) func(r *scriptedRunner, conn *scriptedConn, req *http.Request) {
	return func(r *scriptedRunner, conn *scriptedConn, req *http.Request) {
		id := req.Header.Get("Request-Id")
		if !r.begin(id, 2) {
			conn.refusal = refusal(id)
			conn.send(conn.refusal)
			return
		}
		conn.send(conn.refusal)
		time.Sleep(60 * time.Millisecond)
		r.end()
		conn.send(wholeOutput(req))
	}
}

// A runner that writes an earlier refusal once more on a kept connection must not make a VM tell a caller that a
// request has not run which a runner has run, or pass on the response to another request.
func TestReplayedRefusalIsNotBelieved(t *testing.T) {
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			s, m, runner := startScripted(t, 1, replayRefusals(refusal))
			var callers sync.WaitGroup
			for caller := range 8 {
				callers.Go(func() {
					for i := range 5 {
						for _, path := range []string{"/fetch/x", "/once/x"} {
							id := fmt.Sprintf("r%d-%d%s", caller, i, path[1:2])
							a := s.exchange(m, path, id)
							runs := runner.runsOf(id)
							s.Check(runs > 0 && promisesNotRun(a.status), qt.IsFalse, qt.Commentf("%s: status %d after %d runs", id, a.status, runs))
							s.Check(path == "/once/x" && runs > 1, qt.IsFalse, qt.Commentf("%s: %d runs", id, runs))
							if a.status == http.StatusOK {
								s.Check(a, qt.Equals, answer{http.StatusOK, "ok " + id, true})
							}
						}
					}
				})
			}
			callers.Wait()
		})
	}
}

// A request that a runner has refused must be sent there again on a connection on which it cannot write the refusal
// once more: it runs once, and its caller gets the response.
func TestRequestRunsOnceAfterRefusal(t *testing.T) {
	s, m, runner := startScripted(t, 1, func(r *scriptedRunner, conn *scriptedConn, req *http.Request) {
		id := req.Header.Get("Request-Id")
		if r.sendsOf(id) == 1 {
			conn.refusal = refusals["full"](id)
			conn.send(conn.refusal)
			return
		}
		conn.send(conn.refusal)
		r.begin(id, 100)
		time.Sleep(100 * time.Millisecond)
		conn.send(wholeOutput(req))
	})
	for _, path := range []string{"/fetch/x", "/once/x"} {
		id := path[1:2]
		s.Check(s.exchange(m, path, id), qt.Equals, answer{http.StatusOK, "ok " + id, true})
	}
	ids := []string{"i0", "i1", "i2", "i3"}
	results := s.runJob(m, ids)
	s.Check(strings.Count(results, `"text":"event 1\nevent 2"`), qt.Equals, len(ids), qt.Commentf("%s", results))
	time.Sleep(200 * time.Millisecond) // a send beyond the response would run by now
	for _, id := range append(ids, "f", "o") {
		s.Check(runner.runsOf(id), qt.Equals, 1, qt.Commentf("%s", id))
	}
}

// runJob submits a job and returns its results when all of its items are listed.
func (s *cluster) runJob(m *entryVM, ids []string) string {
	var items []string
	for _, id := range ids {
		items = append(items, fmt.Sprintf(`{"id":%q,"path":"/mark/1","body":"","tokens":10}`, id))
	}
	code, _, _ := s.call(m, "POST", "/mark/x", "job1", `{"items":[`+strings.Join(items, ",")+`]}`)
	s.Assert(code, qt.Equals, http.StatusAccepted)
	var results string
	s.eventually(func() bool {
		_, results, _ = s.call(m, "GET", "/lots/job1?after=0", "", "")
		return strings.Contains(results, fmt.Sprintf(`"next":%d,`, len(ids)))
	})
	return results
}
