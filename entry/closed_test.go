package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// resetAfterBody is a path whose responses without a length are reset in place of closed.
const resetAfterBody = "/reset"

// respondToClose responds without a length and chunks. The first run of a stream ends inside its third event.
func respondToClose(r *scriptedRunner, conn *scriptedConn, req *http.Request) {
	id := req.Header.Get("Request-Id")
	switch {
	case strings.HasPrefix(req.URL.Path, "/ask/"), strings.HasPrefix(req.URL.Path, "/quiz/"), strings.HasPrefix(req.URL.Path, "/mark/"):
		if r.sendsOf(id) == 1 {
			conn.send(streamHead(id) + eventsFrom(1, 2) + "id: 3\ndata: event 3\n")
		} else {
			conn.send(streamHead(id) + eventsFrom(lastEvent(req)+1, 4))
		}
	default:
		conn.send(signedHead(id) + "\r\nok " + id)
	}
	if strings.HasSuffix(req.URL.Path, resetAfterBody) {
		time.Sleep(20 * time.Millisecond) // a reset discards what the peer has not read
		conn.reset()
	}
	_ = conn.Close()
}

// Guards against a response without a length and chunks that is not passed on as whole after its runner closed the
// connection, against one that is after a reset, and against a stream or an item that counts as complete though it ends
// inside an event.
func TestResponseThatEndsWithConnection(t *testing.T) {
	s, m, runner := startScripted(t, 4, respondToClose)
	for _, path := range []string{"/fetch/", "/once/"} {
		id := path[1:2]
		conn := s.open(m, path, id, "HTTP/1.1", "")
		in := bufio.NewReader(conn)
		for range 2 { // on one connection of the caller
			resp, err := http.ReadResponse(in, nil)
			s.Assert(err, qt.IsNil)
			body, err := io.ReadAll(resp.Body)
			s.Check(err, qt.IsNil)
			s.Check(resp.StatusCode, qt.Equals, http.StatusOK)
			s.Check(string(body), qt.Equals, "ok "+id)
			s.Check(resp.ContentLength, qt.Equals, int64(len(body)))
			s.Check(resp.Header.Get("Response-Signature"), qt.Equals, "s")
			s.Check(resp.Close, qt.IsFalse)
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", path, id)
			s.Assert(err, qt.IsNil)
		}
		_ = conn.Close()
	}
	s.Check(s.exchange(m, "/ask/x", "s1"), qt.Equals, answer{http.StatusOK, eventsFrom(1, 4), true})
	s.Check(s.exchange(m, "/quiz/x", "s2"), qt.Equals, answer{http.StatusOK, eventsFrom(1, 2), false})
	s.Check(runner.sendsOf("s2"), qt.Equals, 1)
	results := s.runJob(m, []string{"i1"})
	s.Check(results, qt.Contains, `{"id":"i1","state":"completed","text":"event 1\nevent 2\nevent 3\nevent 4"}`)

	s.Check(s.exchange(m, "/once"+resetAfterBody, "r1").status, qt.Equals, http.StatusBadGateway)
	s.Check(runner.sendsOf("r1"), qt.Equals, 1)
	a := s.exchange(m, "/fetch"+resetAfterBody, "r2")
	s.Check(a.status, qt.Equals, http.StatusBadGateway)
	s.Check(runner.sendsOf("r2") > 1, qt.IsTrue)
}

// Guards against a stream that reaches its caller as complete although its runner crashed between two events (review/9). The end of
// a stream that may not be resumed cannot be confirmed.
func TestCrashBetweenEventsCompletesNoStream(t *testing.T) {
	s, m, runner := startScripted(t, 4, func(r *scriptedRunner, conn *scriptedConn, req *http.Request) {
		id := req.Header.Get("Request-Id")
		last := 4
		if req.URL.Path == "/ask/crash" && r.sendsOf(id) == 1 {
			last = 2
		}
		conn.send(streamHead(id) + eventsFrom(lastEvent(req)+1, last))
		_ = conn.Close()
	})
	s.Check(s.exchange(m, "/ask/crash", "c1"), qt.Equals, answer{http.StatusOK, eventsFrom(1, 4), true})
	s.Check(runner.sendsOf("c1"), qt.Equals, 3)
	s.Check(s.exchange(m, "/ask/whole", "c2"), qt.Equals, answer{http.StatusOK, eventsFrom(1, 4), true})
	s.Check(runner.sendsOf("c2"), qt.Equals, 2)
	s.Check(s.exchange(m, "/quiz/whole", "c3"), qt.Equals, answer{http.StatusOK, eventsFrom(1, 4), true})
	s.Check(runner.sendsOf("c3"), qt.Equals, 1)
}
