package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	cs "github.com/crocusstile/crocusstile"
)

// Timing of the end of the connections of callers.
const (
	// closeInterval is the time between two attempts to close the idle connections.
	closeInterval = 20 * cs.Millisecond
	// newConnTime is how long a new connection is left open for its first request.
	newConnTime = 200 * cs.Millisecond
)

// callerConns tracks the connections of callers, so that at the end of a drain each one is closed only when no request has
// been read from it that is not answered. http.Server.Shutdown may close a connection on which a request is being read.
type callerConns struct {
	mu       sync.Mutex
	listener net.Listener
	conns    map[*callerConn]struct{}
}

// callerConn is the connection of a caller.
type callerConn struct {
	*net.TCPConn
	mu sync.Mutex
	// unansweredBytes means that bytes have been read since the last response.
	unansweredBytes bool
	// newUntil is when a connection without a request yet counts as idle.
	newUntil time.Time
}

// newCallerConns returns a callerConns without connections.
func newCallerConns() *callerConns { return &callerConns{conns: make(map[*callerConn]struct{})} }

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// wrap returns a listener whose connections are tracked.
func (c *callerConns) wrap(l net.Listener) net.Listener {
	c.listener = l
	return &callerListener{Listener: l, conns: c}
}

// Accept accepts a connection.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp := &callerConn{TCPConn: conn.(*net.TCPConn), newUntil: time.Now().Add(newConnTime.Std())} //nolint:forcetypeassert // of a listener for TCP
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.conns[tcp] = struct{}{}
	return tcp, nil
}

// Read reads from the connection.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.unansweredBytes = true
		c.mu.Unlock()
	}
	return n, err
}

// track follows the states of the connections of an http.Server.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
	case http.StateActive, http.StateIdle:
		tracked.mu.Lock()
		tracked.unansweredBytes, tracked.newUntil = state == http.StateActive, time.Time{}
		tracked.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		delete(c.conns, tracked)
		c.mu.Unlock()
	}
}

// closeAll closes the listener, and each connection once its request is answered. It returns when none is left or ctx has
// ended, with the number of connections that are left.
func (c *callerConns) closeAll(ctx context.Context) int {
	_ = c.listener.Close() // no more connections are accepted even if it fails
	ticker := time.NewTicker(closeInterval.Std())
	defer ticker.Stop()
	for {
		open := c.closeIdle()
		if open == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return open
		case <-ticker.C:
		}
	}
}

// closeIdle makes the idle connections close, and returns how many connections are open.
func (c *callerConns) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.closeIfIdle()
	}
	return len(c.conns)
}

// closeIfIdle ends the wait for a request, upon which the server closes the connection. If the bytes of a request are
// read at the same moment, the server sets a new deadline for it, so that the request is answered.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unansweredBytes && !time.Now().Before(c.newUntil) {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed already
	}
}
