package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// dialTimeout limits the time to connect to the target.
const dialTimeout = 5 * time.Second

// ProxyConfig configures a Proxy.
type ProxyConfig struct {
	// Target is the address to which connections are forwarded.
	Target cs.Address
	// Listener accepts the connections to forward; Run closes it.
	Listener net.Listener
}

// Proxy forwards TCP connections to a target and injects network faults. Its HTTP handler only serves
// POST /standin/faults.
type Proxy struct {
	config ProxyConfig
	mux    *http.ServeMux
	faults faults[ProxyFaults]
	inbox  inbox[proxyEvent]
	mode   ProxyMode
	conns  *fleet.Table[*proxyConn, proxyRow]
}

// proxyRow is the state of an open connection.
type proxyRow struct {
	// modeFixed means that the connection keeps its mode when another one is set.
	modeFixed bool
}

// NewProxy returns a proxy in the mode Pass.
func NewProxy(c ProxyConfig) *Proxy {
	p := &Proxy{
		config: c, mux: http.NewServeMux(), inbox: newInbox[proxyEvent](), mode: Pass{},
		conns: fleet.NewTable[*proxyConn, proxyRow](),
	}
	p.faults.onChange = func(ctx context.Context, f ProxyFaults) { p.SetMode(ctx, f.mode()) }
	p.mux.Handle("POST /standin/faults", &p.faults)
	return p
}

// ServeHTTP handles requests to change the fault settings.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Run accepts and forwards connections until ctx ends, then closes them.
func (p *Proxy) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = p.config.Listener.Close() })
	defer stop()
	var traffic sync.WaitGroup
	traffic.Go(func() {
		defer cancel()
		p.acceptLoop(ctx, &traffic)
	})
	err := p.inbox.receive(ctx, p.apply)
	for c := range p.conns.All() {
		c.close()
	}
	traffic.Wait()
	return err
}

// SetMode changes the mode and returns once it is applied to the open connections; it returns false if
// Run or ctx ended first.
func (p *Proxy) SetMode(ctx context.Context, m ProxyMode) bool {
	return sendAndWait(ctx, &p.inbox, func(applied chan<- struct{}) proxyEvent {
		return modeSet{mode: m, applied: applied}
	})
}

// proxyEvent is a message to the goroutine that owns the connections.
type proxyEvent interface{ isProxyEvent() }

type (
	modeSet struct {
		mode    ProxyMode
		applied chan<- struct{}
	}
	modeRequested struct{ reply chan<- ProxyMode }
	connOpened    struct {
		conn    *proxyConn
		applied chan<- struct{}
	}
	connClosed struct{ conn *proxyConn }
)

func (modeSet) isProxyEvent()       {}
func (modeRequested) isProxyEvent() {}
func (connOpened) isProxyEvent()    {}
func (connClosed) isProxyEvent()    {}

func (p *Proxy) apply(e proxyEvent) {
	switch e := e.(type) {
	case modeSet:
		p.mode = e.mode
		for c, row := range p.conns.All() {
			p.setConnMode(c, row, e.mode)
		}
		e.applied <- struct{}{}
	case modeRequested:
		e.reply <- modeForNewConns(p.mode)
	case connOpened:
		p.setConnMode(e.conn, p.conns.Insert(e.conn, proxyRow{}), modeForNewConns(p.mode))
		e.applied <- struct{}{}
	case connClosed:
		p.conns.Delete(e.conn)
	}
}

// setConnMode applies a mode to a connection. Cut closes any connection; other modes do not affect one
// whose mode is fixed.
func (p *Proxy) setConnMode(c *proxyConn, row *proxyRow, m ProxyMode) {
	if _, ok := m.(Cut); ok {
		c.close()
	}
	if row.modeFixed {
		return
	}
	c.mode.Store(&m)
	switch m.(type) {
	case Freeze:
		row.modeFixed = true
	case HalfClose:
		row.modeFixed = true
		_ = c.client.CloseWrite()
	case Pass, Cut, Delay, DropResponses:
	}
}

// acceptLoop starts a goroutine for each connection until the listener is closed.
func (p *Proxy) acceptLoop(ctx context.Context, traffic *sync.WaitGroup) {
	for {
		client, err := p.config.Listener.Accept()
		if err != nil {
			return
		}
		traffic.Go(func() { p.forward(ctx, client.(*net.TCPConn)) })
	}
}

// forward connects a client to the target and copies data until both directions have ended.
func (p *Proxy) forward(ctx context.Context, client *net.TCPConn) {
	defer func() { _ = client.Close() }()
	mode, ok := sendForReply(ctx, &p.inbox, func(reply chan<- ProxyMode) proxyEvent {
		return modeRequested{reply: reply}
	})
	if _, cut := mode.(Cut); cut || !ok {
		_ = client.SetLinger(0) // makes Close send a reset
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", string(p.config.Target))
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	c := newProxyConn(client, target.(*net.TCPConn))
	defer c.close()
	if !sendAndWait(ctx, &p.inbox, func(applied chan<- struct{}) proxyEvent {
		return connOpened{conn: c, applied: applied}
	}) {
		return
	}
	c.copyBoth()
	p.inbox.send(context.WithoutCancel(ctx), connClosed{conn: c})
}
