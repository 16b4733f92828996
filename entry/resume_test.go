package entry_test

import (
	"fmt"
	"net/http"
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

// lastEvent returns the event after which a request resumes a stream, or 0.
func lastEvent(req *http.Request) int {
	n := 0
	_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &n) // 0 without the header
	return n
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
