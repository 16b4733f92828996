package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// closingServer is a server whose connections can be closed as at the end of a drain.
type closingServer struct {
	*qt.C
	conns   *callerConns
	address string
	served  sync.Map
	closing atomic.Bool
}

// newClosingServer starts a server.
func newClosingServer(t *testing.T) *closingServer {
	s := &closingServer{C: qt.New(t), conns: newCallerConns()}
	server := &http.Server{ConnState: s.conns.track, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.served.Store(r.URL.Path, true)
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, "ok") // the client notices a lost answer
	})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	s.Assert(err, qt.IsNil)
	s.address = l.Addr().String()
	go func() { _ = server.Serve(s.conns.wrap(l)) }()
	s.Cleanup(func() { _ = server.Close() })
	return s
}

// close closes all connections and reports how many are left.
func (s *closingServer) close() int {
	s.closing.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return s.conns.closeAll(ctx)
}

// keep opens a connection that is kept after a request.
func (s *closingServer) keep() (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp4", s.address)
	s.Check(err, qt.IsNil)
	s.Cleanup(func() { _ = conn.Close() })
	in := bufio.NewReader(conn)
	s.Check(exchange(conn, in, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"), qt.IsNil)
	return conn, in
}

// exchange sends a request and reads the response.
func exchange(conn net.Conn, in *bufio.Reader, request string) error {
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against a kept connection that is closed when a part of the next request has been read from it.
func TestRequestThatIsBeingReadIsAnswered(t *testing.T) {
	s := newClosingServer(t)
	conn, in := s.keep()
	_, err := io.WriteString(conn, "GET /second HTTP/1.1\r\n")
	s.Assert(err, qt.IsNil)
	time.Sleep(100 * time.Millisecond) // until the server has read it
	left := make(chan int)
	go func() { left <- s.close() }()
	time.Sleep(100 * time.Millisecond)
	s.Check(exchange(conn, in, "Host: h\r\n\r\n"), qt.IsNil)
	s.Check(<-left, qt.Equals, 0)
}

// Guards against requests that are served although their connections are closed, so that their callers get no answer.
func TestNoRequestIsLostWhenConnectionsAreClosed(t *testing.T) {
	const connections = 400
	s := newClosingServer(t)
	var lost, answered atomic.Int64
	var clients sync.WaitGroup
	for i := range connections {
		conn, in := s.keep()
		clients.Go(func() {
			time.Sleep(time.Duration(i%50) * time.Millisecond)
			path := fmt.Sprint("/", i)
			if err := exchange(conn, in, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err == nil {
				answered.Add(1)
			} else if _, ok := s.served.Load(path); ok {
				lost.Add(1)
			}
		})
	}
	time.Sleep(15 * time.Millisecond)
	s.Check(s.close(), qt.Equals, 0)
	clients.Wait()
	s.Check(lost.Load(), qt.Equals, int64(0))
	t.Logf("%d of %d requests answered", answered.Load(), connections)
}
