package entry_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// breakAfter sends the beginning of a stream, with half of the event that follows, and resets the connection.
func breakAfter(conn *scriptedConn, req *http.Request, from, to int) {
	conn.send(signedHead(req.Header.Get("Request-Id")) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	if to >= from {
		conn.send(chunk(eventsFrom(from, to)))
	}
	conn.send(chunk(fmt.Sprintf("id: %d\nda", to+1)))
	time.Sleep(20 * time.Millisecond) // a reset discards what the peer has not read
	conn.reset()
}

// withLength returns a response with a body of known length.
func withLength(head, body string) string {
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// errorText is the text of the errors of runners in these tests.
const errorText = "the model has no memory left"

// errorAnswers are answers to a request that resumes a stream after event 2, none of which continues the stream. A close
// after it ends a response without a length.
var errorAnswers = map[string]func(id string) string{
	"error": func(id string) string {
		return withLength("HTTP/1.1 500 X\r\nRequest-Id: "+id+"\r\nContent-Type: text/plain\r\n", errorText)
	},
	"error that breaks off": func(id string) string {
		return "HTTP/1.1 500 X\r\nRequest-Id: " + id + "\r\nContent-Length: 1000\r\n\r\n" + errorText
	},
	"error as a stream": func(id string) string {
		return withLength("HTTP/1.1 500 X\r\nRequest-Id: "+id+"\r\nContent-Type: text/event-stream\r\n", eventsFrom(3, 3)+"data: "+errorText+"\n\n")
	},
	"refusal": func(id string) string {
		return withLength("HTTP/1.1 503 X\r\nRequest-Id: "+id+"\r\nNot-Executed: 1\r\n", errorText)
	},
	"invalid request": func(id string) string {
		return withLength("HTTP/1.1 400 X\r\nRequest-Id: "+id+"\r\n", errorText)
	},
	"redirect": func(id string) string {
		return withLength("HTTP/1.1 302 X\r\nRequest-Id: "+id+"\r\nLocation: /x\r\n", errorText)
	},
	"no content": func(id string) string {
		return "HTTP/1.1 204 X\r\nRequest-Id: " + id + "\r\nResponse-Signature: s\r\n\r\n"
	},
	"partial content": func(id string) string {
		return withLength("HTTP/1.1 206 X\r\nRequest-Id: "+id+"\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n", eventsFrom(3, 4))
	},
	"success that is no stream": func(id string) string {
		return withLength(signedHead(id)+"Content-Type: application/json\r\n", `{"error":"`+errorText+`"}`)
	},
	"error as an event without id": func(id string) string {
		return withLength(signedHead(id)+"Content-Type: text/event-stream\r\n", "event: error\ndata: "+errorText+"\n\n")
	},
	"error as an event without id, then events": func(id string) string {
		return withLength(signedHead(id)+"Content-Type: text/event-stream\r\n", "data: "+errorText+"\n\n"+eventsFrom(3, 4))
	},
	"error with its head in a stream": func(id string) string {
		return streamHead(id) + "HTTP/1.1 500 X\r\nRequest-Id: " + id + "\r\n\r\n" + errorText + "\r\n\r\n"
	},
	"empty stream that ends with its connection": streamHead,
	"unsigned stream": func(id string) string {
		return withLength("HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nContent-Type: text/event-stream\r\n", eventsFrom(3, 4))
	},
	"stream from a later event": func(id string) string {
		return withLength(signedHead(id)+"Content-Type: text/event-stream\r\n", eventsFrom(4, 5))
	},
	"stream of another request": func(string) string {
		return withLength(signedHead("other")+"Content-Type: text/event-stream\r\n", eventsFrom(3, 4))
	},
	"bytes that are no response": func(string) string { return "\x00\x01" + errorText + "\r\n\r\n" },
}

// Guards against text of one runner in the stream of another one.
// An error with which a runner answers after a stream has begun at another one must not get into the stream, neither its
// text nor its head, and must not end the stream as if it were complete.
func TestErrorAfterBrokenStream(t *testing.T) {
	for name, respond := range errorAnswers {
		t.Run(name, func(t *testing.T) {
			s, m, runner := startScripted(t, 2, func(r *scriptedRunner, conn *scriptedConn, req *http.Request) {
				if id := req.Header.Get("Request-Id"); r.sendsOf(id) > 1 {
					conn.send(respond(id))
					_ = conn.Close()
					return
				}
				breakAfter(conn, req, 1, 2)
			})
			s.Check(s.exchange(m, "/ask/x", "s1"), qt.Equals, answer{http.StatusOK, eventsFrom(1, 2), false})
			s.Check(runner.sendsOf("s1") > 1, qt.IsTrue)
			s.Check(s.exchange(m, "/quiz/x", "s2"), qt.Equals, answer{http.StatusOK, eventsFrom(1, 2), false})
			s.Check(runner.sendsOf("s2"), qt.Equals, 1)
		})
	}
}

// After such an error, a stream must go on at a runner that continues it, and be whole.
func TestStreamGoesOnAfterError(t *testing.T) {
	for name, respond := range errorAnswers {
		t.Run(name, func(t *testing.T) {
			s, m, _ := startScripted(t, 2, func(r *scriptedRunner, conn *scriptedConn, req *http.Request) {
				id := req.Header.Get("Request-Id")
				switch r.sendsOf(id) {
				case 1:
					breakAfter(conn, req, 1, 2)
				case 2:
					conn.send(respond(id))
					_ = conn.Close()
				default:
					conn.send(withLength(signedHead(id)+"Content-Type: text/event-stream\r\n", eventsFrom(lastEvent(req)+1, 4)))
				}
			})
			s.Check(s.exchange(m, "/ask/x", "s1"), qt.Equals, answer{http.StatusOK, eventsFrom(1, 4), true})
		})
	}
}

// Nor may such an error complete an item or get into its output.
func TestItemGoesOnAfterError(t *testing.T) {
	names := slices.Sorted(maps.Keys(errorAnswers))
	ids := make([]string, len(names))
	for i := range names {
		ids[i] = fmt.Sprintf("i%d", i)
	}
	s, m, _ := startScripted(t, 2*len(names), func(r *scriptedRunner, conn *scriptedConn, req *http.Request) {
		id := req.Header.Get("Request-Id")
		switch r.sendsOf(id) {
		case 1:
			breakAfter(conn, req, 1, 2)
		case 2:
			conn.send(errorAnswers[names[slices.Index(ids, id)]](id))
			_ = conn.Close()
		default:
			conn.send(withLength(signedHead(id)+"Content-Type: text/event-stream\r\n", eventsFrom(lastEvent(req)+1, 4)))
		}
	})
	results := s.runJob(m, ids)
	for i, id := range ids {
		want := fmt.Sprintf(`{"id":%q,"state":"completed","text":"event 1\nevent 2\nevent 3\nevent 4"}`, id)
		s.Check(results, qt.Contains, want, qt.Commentf("%s", names[i]))
	}
}

// An error that was kept, in case that no runner answers otherwise, must not follow a stream that began later.
func TestErrorBeforeBrokenStream(t *testing.T) {
	s, m, runner := startScripted(t, 2, func(r *scriptedRunner, conn *scriptedConn, req *http.Request) {
		id := req.Header.Get("Request-Id")
		if r.sendsOf(id) == 1 {
			conn.send(errorAnswers["error"](id))
			return
		}
		breakAfter(conn, req, lastEvent(req)+1, lastEvent(req)+2)
	})
	s.Check(s.exchange(m, "/ask/x", "s1"), qt.Equals, answer{http.StatusOK, eventsFrom(1, 4), false})
	s.Check(runner.sendsOf("s1"), qt.Equals, 3)
}

// lastEvent returns the event after which a request resumes a stream, or 0.
func lastEvent(req *http.Request) int {
	n := 0
	_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &n) // 0 without the header
	return n
}

// Before the first event is complete, a stream has not begun for its caller: what a runner answers next is the response,
// an error or a stream that begins where the caller wants it, and nothing else.
func TestErrorBeforeFirstEvent(t *testing.T) {
	for name, respond := range errorAnswers {
		t.Run(name, func(t *testing.T) {
			s, m, _ := startScripted(t, 2, func(r *scriptedRunner, conn *scriptedConn, req *http.Request) {
				if id := req.Header.Get("Request-Id"); r.sendsOf(id) > 1 {
					conn.send(respond(id))
					_ = conn.Close()
					return
				}
				breakAfter(conn, req, lastEvent(req)+1, lastEvent(req))
			})
			a := s.exchange(m, "/ask/x", "s1")
			s.Check(strings.Contains(a.body, "id: "), qt.Equals, name == "error as a stream" || name == "partial content", qt.Commentf("%+v", a))
			s.Check(a.status == http.StatusOK, qt.Equals, name == "success that is no stream", qt.Commentf("%+v", a))
			s.Check(a.complete, qt.IsTrue)
			s.Check(promisesNotRun(a.status), qt.IsFalse)
			a = s.exchange(m, "/quiz/x", "s2")
			s.Check(a.status, qt.Equals, http.StatusBadGateway)
		})
	}
}

// A stream that its caller resumes must go on after the event that the caller names, also at a further runner and where a
// runner begins from the start again.
func TestStreamResumedByCaller(t *testing.T) {
	for name, test := range map[string]struct {
		first, second func(last int) string
		want          answer
	}{
		"whole":          {func(last int) string { return eventsFrom(last+1, 4) }, nil, answer{http.StatusOK, eventsFrom(3, 4), true}},
		"from the start": {func(int) string { return eventsFrom(1, 4) }, nil, answer{http.StatusOK, eventsFrom(3, 4), true}},
		"later event": {
			func(int) string { return eventsFrom(4, 4) }, func(last int) string { return eventsFrom(last+1, 4) },
			answer{http.StatusOK, eventsFrom(3, 4), true},
		},
		"broken before its first event": {nil, func(last int) string { return eventsFrom(last+1, 4) }, answer{http.StatusOK, eventsFrom(3, 4), true}},
		"broken, then from the start":   {nil, func(int) string { return eventsFrom(1, 4) }, answer{http.StatusOK, eventsFrom(3, 4), true}},
	} {
		t.Run(name, func(t *testing.T) {
			s, m, _ := startScripted(t, 2, func(r *scriptedRunner, conn *scriptedConn, req *http.Request) {
				id := req.Header.Get("Request-Id")
				stream := test.second
				if r.sendsOf(id) == 1 {
					stream = test.first
				}
				if stream == nil {
					breakAfter(conn, req, 1, 0)
					return
				}
				conn.send(withLength(signedHead(id)+"Content-Type: text/event-stream\r\n", stream(lastEvent(req))))
			})
			conn := s.open(m, "/ask/x", "s1", "HTTP/1.1", "Last-Event-Id: 2\r\n")
			defer func() { _ = conn.Close() }()
			s.Check(readAnswer(conn), qt.Equals, test.want)
		})
	}
}

// A response that breaks off must not look complete to a caller whose protocol version has no chunks, or that has sent
// all that it will send and closed its side of the connection.
func TestBrokenResponseIsNotComplete(t *testing.T) {
	s, m, _ := startScripted(t, 1, func(_ *scriptedRunner, conn *scriptedConn, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, "/quiz/") {
			breakAfter(conn, req, 1, 2)
			return
		}
		conn.send(signedHead(req.Header.Get("Request-Id")) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		if lastEvent(req) == 0 {
			conn.send(chunk(eventsFrom(1, 2)))
		}
		time.Sleep(2 * time.Second)
	})
	for name, version := range map[string]string{"1.0": "HTTP/1.0", "1.1": "HTTP/1.1"} {
		conn := s.open(m, "/quiz/x", "q"+name, version, "")
		a := readAnswer(conn)
		_ = conn.Close()
		s.Check(a.complete, qt.IsFalse, qt.Commentf("%s: %+v", version, a))
	}
	for _, lastEvent := range []string{"", "Last-Event-Id: 2\r\n"} { // with an event before the close, and without
		conn := s.open(m, "/ask/x", "h"+lastEvent[:min(1, len(lastEvent))], "HTTP/1.1", lastEvent)
		time.Sleep(200 * time.Millisecond)
		s.Assert(conn.CloseWrite(), qt.IsNil)
		a := readAnswer(conn)
		_ = conn.Close()
		s.Check(a.complete, qt.IsFalse, qt.Commentf("%q: %+v", lastEvent, a))
	}
	code, _, _ := s.call(m, "POST", "/mark/x", "job1", `{"items":[{"id":"i1","path":"/mark/1","body":"","tokens":10}]}`)
	s.Assert(code, qt.Equals, http.StatusAccepted)
	conn := s.dial(m, "GET /lots/job1?after=0 HTTP/1.1\r\nHost: h.example\r\nWait-Ms: 5000\r\n\r\n")
	defer func() { _ = conn.Close() }()
	time.Sleep(100 * time.Millisecond)
	s.Assert(conn.CloseWrite(), qt.IsNil)
	s.Check(readAnswer(conn), qt.Equals, answer{})
}
