package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// ClosingRunner is a runner that ends the connection after each response, which need not be whole.
type ClosingRunner struct {
	listener net.Listener
	respond  func(r *http.Request) ClosingResponse
	handlers sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// ClosingResponse is what a ClosingRunner sends before it ends the connection.
type ClosingResponse struct {
	Bytes string
	// Pause is the time between the last byte and the end of the connection.
	Pause time.Duration
	// Reset ends the connection with a reset. Bytes that the peer has not read by then are lost.
	Reset bool
}

// NewClosingRunner returns a runner on a local port. It reads the body of each request before it responds.
func NewClosingRunner(respond func(r *http.Request) ClosingResponse) (*ClosingRunner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &ClosingRunner{listener: l, respond: respond, conns: make(map[net.Conn]bool)}
	r.handlers.Go(r.accept)
	return r, nil
}

// Address returns the address on which the runner listens.
func (r *ClosingRunner) Address() string { return r.listener.Addr().String() }

// Close closes the listener and all connections.
func (r *ClosingRunner) Close() {
	_ = r.listener.Close() // fails only if it is closed already
	r.mu.Lock()
	for conn := range r.conns {
		_ = conn.Close() // its handler ends on an error
	}
	r.mu.Unlock()
	r.handlers.Wait()
}

func (r *ClosingRunner) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		r.handlers.Go(func() {
			r.serve(conn)
			r.mu.Lock()
			delete(r.conns, conn)
			r.mu.Unlock()
		})
	}
}

// serve responds to the first request of a connection and ends the connection.
func (r *ClosingRunner) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body) // a peer that has closed needs no response
	response := r.respond(request)
	_, _ = io.WriteString(conn, response.Bytes)
	time.Sleep(response.Pause)
	if tcp, ok := conn.(*net.TCPConn); ok && response.Reset {
		_ = tcp.SetLinger(0) // fails only if it is closed already
	}
}
