package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// EndlessRunner is a faulty runner: it responds to each request with bytes that do not end until its peer
// closes the connection.
type EndlessRunner struct {
	listener net.Listener
	respond  func(n int) string
	pause    time.Duration
	handlers sync.WaitGroup

	mu        sync.Mutex
	conns     map[net.Conn]bool
	mostBytes int
}

// endlessSendBuffer is the size in bytes of the send buffer of a connection of an EndlessRunner. Bytes in it
// count as sent although the peer may not have received them.
const endlessSendBuffer = 16 << 10

// NewEndlessRunner returns a runner on a local port. Its response begins with respond(0), respond(1) and so on,
// with a pause between two of them; an empty part ends the sending, and the connection stays open.
func NewEndlessRunner(respond func(n int) string, pause time.Duration) (*EndlessRunner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &EndlessRunner{listener: l, respond: respond, pause: pause, conns: make(map[net.Conn]bool)}
	r.handlers.Go(r.accept)
	return r, nil
}

// RequestID stands for the ID of the request in the parts of a response of an EndlessRunner.
const RequestID = "{request id}"

// Repeat returns a response for NewEndlessRunner: a beginning, followed by the same part without end.
func Repeat(beginning, part string) func(n int) string {
	return func(n int) string {
		if n == 0 {
			return beginning + part
		}
		return part
	}
}

// Address returns the address on which the runner listens.
func (r *EndlessRunner) Address() string { return r.listener.Addr().String() }

// MostBytes returns the number of bytes sent on the connection on which most were sent.
func (r *EndlessRunner) MostBytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mostBytes
}

// OpenConns returns the number of connections that the peer has not closed.
func (r *EndlessRunner) OpenConns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Close closes the listener and all connections.
func (r *EndlessRunner) Close() {
	_ = r.listener.Close() // fails only if it is closed already
	r.mu.Lock()
	for conn := range r.conns {
		_ = conn.Close() // its goroutines end on an error
	}
	r.mu.Unlock()
	r.handlers.Wait()
}

func (r *EndlessRunner) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		r.handlers.Go(func() { r.serve(conn) })
	}
}

// serve responds to the first request of a connection and waits until the peer closes it.
func (r *EndlessRunner) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	if request, err := http.ReadRequest(in); err == nil {
		_, _ = io.Copy(io.Discard, request.Body) // a peer that has closed is detected below
		id := request.Header.Get("Request-Id")
		r.handlers.Go(func() { r.send(conn, id) })
	}
	_, _ = io.Copy(io.Discard, in) // returns when the peer has closed the connection
	r.mu.Lock()
	delete(r.conns, conn)
	r.mu.Unlock()
	_ = conn.Close() // ends send
}

func (r *EndlessRunner) send(conn net.Conn, id string) {
	if tcp, ok := conn.(*net.TCPConn); ok && tcp.SetWriteBuffer(endlessSendBuffer) != nil {
		return
	}
	total := 0
	for n := 0; ; n++ {
		part := strings.ReplaceAll(r.respond(n), RequestID, id)
		if part == "" {
			return
		}
		sent, err := io.WriteString(conn, part)
		total += sent
		r.mu.Lock()
		r.mostBytes = max(r.mostBytes, total)
		r.mu.Unlock()
		if err != nil {
			return
		}
		time.Sleep(r.pause)
	}
}
