package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/budget"
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
	// budget has the connections of the pool; nil means that they are not limited.
	budget *budget.Budget
	pool   budget.Pool
	clock  *cs.Clock
	// maxFields bounds the number of lines of a request's header.
	maxFields int
}

// callerConn is the connection of a caller.
type callerConn struct {
	*net.TCPConn
	mu sync.Mutex
	// unansweredBytes means that bytes have been read since the last response.
	unansweredBytes bool
	// newUntil is when a connection without a request yet counts as idle.
	newUntil time.Time
	conns    *callerConns
	// holder is the row of the connection in the budget, or nil. header belongs to the goroutine that serves the connection.
	holder *budget.Holder
	header headerCount
	// readEnded means that nothing more is read, since the client makes no progress.
	readEnded atomic.Bool
}

// newCallerConns returns a callerConns without connections.
func newCallerConns() *callerConns { return &callerConns{conns: make(map[*callerConn]struct{})} }

// newClientConns returns a callerConns whose connections are those of a pool of a budget.
func newClientConns(b *budget.Budget, p budget.Pool, clock *cs.Clock, maxFields int) *callerConns {
	c := newCallerConns()
	c.budget, c.pool, c.clock, c.maxFields = b, p, clock, maxFields
	return c
}

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
	for {
		conn, err := l.conns.acceptTCP()
		if err != nil {
			return nil, err
		}
		tcp := &callerConn{TCPConn: conn, newUntil: time.Now().Add(newConnTime.Std()), conns: l.conns}
		if !l.conns.admit(tcp) {
			continue
		}
		l.conns.mu.Lock()
		l.conns.conns[tcp] = struct{}{}
		l.conns.mu.Unlock()
		return tcp, nil
	}
}

// Read reads from the connection.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.unansweredBytes = true
		c.mu.Unlock()
		if refused := c.received(p[:n]); refused != nil {
			return 0, refused
		}
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
		switch {
		case tracked.holder == nil:
		case state == http.StateActive:
			// net/http next reads a byte in another goroutine, which must not be counted as one of the header.
			tracked.holder.Enter(budget.PhaseServing, c.clock.Now())
		default:
			tracked.endRequest()
			tracked.holder.Enter(budget.PhaseIdle, c.clock.Now())
		}
	case http.StateClosed, http.StateHijacked:
		tracked.endRequest()
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
		_ = c.SetReadDeadline(past) // fails only if the connection is closed already
	}
}
