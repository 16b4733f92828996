package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkRequest measures a request with a short body on a kept connection through a VM to a runner and back; the client and
// the runner run in the same process.
func BenchmarkRequest(b *testing.B) {
	c := qt.New(b)
	s := newClusterOf(c, b.TempDir())
	m := s.start("vm-1")
	conn, err := net.Dial("tcp4", m.callersAddr)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		_, err := io.WriteString(conn, "POST /fetch/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\nContent-Length: 6\r\n\r\nprompt")
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(in, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, resp.Body)
		c.Assert(err, qt.IsNil)
	}
}
