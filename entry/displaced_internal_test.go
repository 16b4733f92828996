package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/budget"
)

// Guards against a reader that is never ended since its connection was chosen to be closed while it was idle, and a request came
// instead.
func TestReaderOfConnectionChosenWhileIdleIsEnded(t *testing.T) {
	c := qt.New(t)
	clock := cs.NewClock()
	limits := budget.DefaultLimits(64<<20, 1000)
	limits.Window = cs.Second
	b := budget.New(budget.Config{Clock: clock, Limits: limits})
	go func() { _ = b.Run(t.Context()) }()
	conns := newClientConns(b, budget.Callers, clock, defaultMaxFields)
	listener, err := listenBounded("127.0.0.1:0", checkBuffer)
	c.Assert(err, qt.IsNil)
	ended := make(chan struct{}, 2)
	s := &http.Server{ConnState: conns.track, ConnContext: connContext, Handler: conns.guard(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, 32<<20))
			ended <- struct{}{}
		}
	}))}
	go func() { _ = s.Serve(conns.wrap(listener)) }()
	defer func() { _ = s.Close() }()
	client, err := net.Dial("tcp4", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = client.Close() }()
	_ = client.(*net.TCPConn).SetReadBuffer(4096)
	_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	time.Sleep(1200 * time.Millisecond)
	conns.mu.Lock()
	for conn := range conns.conns { // as if its first bytes were read at the moment at which it is chosen
		conn.mu.Lock()
		conn.unansweredBytes = true
		conn.mu.Unlock()
	}
	conns.mu.Unlock()
	b.StopWorst(&budget.Holder{Pool: budget.Callers})
	_, _ = io.WriteString(client, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		c.Error("the reader was not ended")
	}
}
