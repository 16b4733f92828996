package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/budget"
	"github.com/crocusstile/crocusstile/meter"
)

// Limits of the connections of clients that do not depend on settings.
const (
	// callerBuffer and checkBuffer are the sizes of the kernel's buffers of a connection in each direction. Without a limit they
	// grow to megabytes for a client that does not read.
	callerBuffer cs.Bytes = 128 << 10
	checkBuffer  cs.Bytes = 16 << 10
	// unreadBodyTimeout bounds the time to receive a body that nobody reads, which net/http does after a response.
	unreadBodyTimeout = 10 * cs.Second
	// headerWait is how long the header of a request waits for memory.
	headerWait = cs.Second
	// refusalTimeout bounds the time to write a refusal to a connection that is closed.
	refusalTimeout = 100 * cs.Millisecond
	// descriptorPause is the time between two attempts to accept a connection while no descriptor is free.
	descriptorPause = 10 * cs.Millisecond
)

// Memory of header fields.
const (
	// bytesPerField is what net/http and the copy for the runner take for a field of a header beside its text, and textCopies how
	// often they hold the text.
	bytesPerField cs.Bytes = 256
	textCopies    cs.Bytes = 3
	// includedHeader is what the header of a request may take without being counted: about 30 fields of 64 bytes.
	includedHeader cs.Bytes = 16 << 10
)

// Refusals that are written to a connection before a request has been read from it.
const (
	refuseBusy = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"
	refuseSize = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// errRefused ends the connection of a request that was refused while its header was received. It is a net.Error, upon which
// net/http closes the connection without a further response.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("request refused")}

// headerCount is what the header that is being received takes.
type headerCount struct {
	size  cs.Bytes
	count int
	// taken are the bytes taken from the share of headers.
	taken cs.Bytes
}

// listen opens the listener of a server whose connections have kernel buffers of a bounded size.
func listenBounded(address string, size cs.Bytes) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var err error
		if controlErr := conn.Control(func(fd uintptr) {
			for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} { // inherited by the connections
				err = errors.CombineErrors(err, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, int(size)))
			}
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	return c.Listen(context.Background(), "tcp4", address)
}

// acceptTCP accepts a connection. While no descriptor is free it ends other connections for it.
func (c *callerConns) acceptTCP() (*net.TCPConn, error) {
	for {
		conn, err := c.listener.Accept()
		if err == nil {
			return conn.(*net.TCPConn), nil //nolint:forcetypeassert // of a listener for TCP
		}
		if c.budget == nil || !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return nil, err
		}
		c.budget.StopWorst(&budget.Holder{Pool: c.pool})
		time.Sleep(descriptorPause.Std())
	}
}

// admit takes a connection into the budget, or refuses and closes it.
func (c *callerConns) admit(conn *callerConn) bool {
	if c.budget == nil {
		return true
	}
	address, _ := netip.ParseAddrPort(conn.RemoteAddr().String()) // the zero address of a connection that is closed already
	conn.holder = &budget.Holder{Pool: c.pool, Address: address.Addr(), Connection: conn}
	if c.budget.Admit(conn.holder) {
		return true
	}
	conn.refuse(refuseBusy)
	_ = conn.TCPConn.Close() // nothing has been read from it
	return false
}

// refuse writes a refusal to a connection that is closed next.
func (c *callerConn) refuse(response string) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout.Std())) // fails only if the connection is closed
	_, _ = io.WriteString(c.TCPConn, response)                   // a client that has disconnected needs no response
}

// Write writes to the connection.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.holder == nil {
		return c.TCPConn.Write(p)
	}
	c.holder.BeginWrite(c.conns.clock.Now())
	defer c.holder.EndWrite()
	return c.TCPConn.Write(p)
}

// Close closes the connection.
func (c *callerConn) Close() error {
	if c.holder != nil {
		c.conns.budget.Remove(c.holder)
	}
	return c.TCPConn.Close()
}

// Stop ends what the connection is doing in a phase.
func (c *callerConn) Stop(p budget.Phase) {
	switch p {
	case budget.PhaseResponse:
		_ = c.SetLinger(0)    // frees what the client has not read
		_ = c.TCPConn.Close() // the pending write fails
	case budget.PhaseIdle:
		c.closeIfIdle()
	case budget.PhaseHeader, budget.PhaseBody:
		c.readEnded.Store(true)
		_ = c.SetReadDeadline(past) // fails only if the connection is closed already
	case budget.PhaseServing:
	}
}

// past is a deadline that makes a pending read fail.
var past = time.Unix(1, 0)

// SetReadDeadline sets the deadline of reads, which net/http does between the parts of a request. It does not undo Stop.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if c.readEnded.Load() {
		err = c.TCPConn.SetReadDeadline(past)
	}
	return err
}

// Acknowledged returns the number of bytes that the client's side has acknowledged.
func (c *callerConn) Acknowledged() cs.Bytes {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	acked := cs.Bytes(0)
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acked = cs.Bytes(info.Bytes_acked)
		}
	})
	return acked
}

// received accounts for bytes that were read, and returns an error if the request is refused.
func (c *callerConn) received(p []byte) error {
	if c.holder == nil || len(p) == 0 {
		return nil
	}
	switch c.holder.Phase() {
	case budget.PhaseIdle:
		c.holder.Enter(budget.PhaseHeader, c.conns.clock.Now())
		return c.receivedHeader(p)
	case budget.PhaseHeader:
		return c.receivedHeader(p)
	case budget.PhaseBody:
		c.conns.budget.Received(c.holder, len(p))
	case budget.PhaseServing, budget.PhaseResponse:
	}
	return nil
}

// receivedHeader accounts for bytes of the header of a request.
func (c *callerConn) receivedHeader(p []byte) error {
	if end := bytes.Index(p, []byte("\r\n\r\n")); end >= 0 {
		p = p[:end]
	}
	c.header.size += cs.Bytes(len(p))
	c.header.count += bytes.Count(p, []byte("\n"))
	if c.header.count > c.conns.maxFields {
		c.refuse(refuseSize)
		return errRefused
	}
	if !c.takeHeader(context.Background(), c.header.size*textCopies+cs.Bytes(c.header.count)*bytesPerField) {
		c.refuse(refuseBusy)
		return errRefused
	}
	return nil
}

// takeHeader takes what a header needs beyond what was taken for it, and reports whether there is room.
func (c *callerConn) takeHeader(ctx context.Context, size cs.Bytes) bool {
	more := size - includedHeader - c.header.taken
	if more <= 0 {
		return true
	}
	taken, ok := c.conns.budget.Take(budget.WithHolder(ctx, c.holder), budget.Headers, more, more, headerWait)
	c.header.taken += taken
	return ok
}

// endRequest gives back what the header of the last request has taken.
func (c *callerConn) endRequest() {
	if c.holder == nil {
		return
	}
	c.conns.budget.GiveHeld(c.holder, budget.Headers, c.header.taken)
	c.header = headerCount{}
}

// connKey is the key of a callerConn in the context of its requests.
type connKey struct{}

// connContext returns the context of the requests of a connection.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	c, ok := conn.(*callerConn)
	if !ok || c.holder == nil {
		return ctx
	}
	return budget.WithHolder(context.WithValue(ctx, connKey{}, c), c.holder)
}

// guard returns a handler that accounts for the header and the phases of requests before it passes them on.
func (c *callerConns) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*callerConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		phase := budget.PhaseServing
		if r.ContentLength != 0 {
			phase = budget.PhaseBody
			_ = conn.SetReadDeadline(time.Now().Add(unreadBodyTimeout.Std())) // fails only if the connection is closed
		}
		conn.holder.Enter(phase, c.clock.Now())
		if conn.holder.Stopped() || c.pool == budget.Checks && r.ContentLength != 0 { // a readiness check has no body
			w.Header().Set("Connection", "close")
		}
		// Requests that arrived together with the one before are not counted when they are received.
		if conn.readEnded.Load() || !conn.takeHeader(r.Context(), cs.Bytes(len(r.Header))*bytesPerField) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// observeLimit logs the beginning and the end of a limit of the budget.
func (v *VM) observeLimit(a budget.Action) {
	use := v.budget.Use()
	switch a := a.(type) {
	case budget.ShareChanged:
		v.log.Warn().Stringer("share", a.Share).Bool("limited", a.Limited).Int64("bytes", int64(use.Shares[a.Share])).
			Int64("refused", use.Refused).Int64("stopped", use.Stopped).Msg("clientMemoryChanged")
	case budget.PoolChanged:
		v.log.Warn().Stringer("pool", a.Pool).Bool("limited", a.Limited).Int("connections", use.Connections[a.Pool]).
			Int64("refused", use.Refused).Int64("stopped", use.Stopped).Msg("clientConnectionsChanged")
	case budget.StopConnection:
	}
}

// measureClients sets the metrics of the budget.
func (v *VM) measureClients() {
	use := v.budget.Use()
	for gauge, n := range map[meter.Gauge]int64{
		meter.ClientBodyBytes: int64(use.Shares[budget.Bodies]), meter.ClientHeaderBytes: int64(use.Shares[budget.Headers]),
		meter.ClientResponseBytes: int64(use.Shares[budget.Responses]), meter.CallerConnections: int64(use.Connections[budget.Callers]),
		meter.CheckConnections: int64(use.Connections[budget.Checks]), meter.ClientsRefused: use.Refused, meter.ClientsStopped: use.Stopped,
	} {
		v.meter.SetGauge(gauge, float64(n))
	}
}
