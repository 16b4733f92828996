package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A request beyond the operator's limits must get the status for its violation and reach no runner. Guards
// against forwarding oversized headers, and against connections held open by a body that never arrives.
func TestCallerLimits(t *testing.T) {
	s := newCluster(t)
	m := s.start("vm-1")
	for _, test := range []struct {
		name, header, body string
		status             int
	}{
		{"within the limits", "X-Note: " + strings.Repeat("a", 8000) + "\r\nContent-Length: 4\r\n", "data", http.StatusOK},
		{"header too large", "X-Note: " + strings.Repeat("a", 20_000) + "\r\nContent-Length: 4\r\n", "data", http.StatusRequestHeaderFieldsTooLarge},
		{"body too large", "Content-Length: 200000\r\n", "", http.StatusRequestEntityTooLarge},
		{"body too slow", "Content-Length: 10\r\n", "half", http.StatusRequestTimeout},
		{"chunk without a size", "Transfer-Encoding: chunked\r\n", "zz\r\n", http.StatusBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := net.Dial("tcp", m.callersAddr)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST /fetch/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: l%d\r\nDeadline-Ms: 700\r\n%s\r\n%s", test.status, test.header, test.body)
			c.Assert(err, qt.IsNil)
			c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			defer func() { _ = resp.Body.Close() }()
			c.Assert(resp.StatusCode, qt.Equals, test.status)
			if test.status != http.StatusOK {
				c.Assert(s.appRunner.Runs(fmt.Sprint("l", test.status)), qt.Equals, 0)
				c.Assert(resp.Close, qt.IsTrue, qt.Commentf("the connection must close, since its unread rest cannot be parsed as a request"))
			}
		})
	}
}
