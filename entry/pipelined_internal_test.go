package entry

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/budget"
)

// Guards against a race between the read with which net/http notices a disconnect and the accounting of a header: a client that
// sends requests ahead has the next byte ready when that read begins.
func TestRequestsSentAheadAreCountedWithoutRace(t *testing.T) {
	c := qt.New(t)
	clock := cs.NewClock()
	b := budget.New(budget.Config{Clock: clock, Limits: budget.DefaultLimits(64<<20, 1000)})
	conns := newClientConns(b, budget.Callers, clock, defaultMaxFields)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	guarded := conns.guard(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	// The pause stands for a goroutine that is not scheduled at once: net/http begins the read before it calls the handler.
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		guarded.ServeHTTP(w, r)
	})
	s := &http.Server{Handler: handler, ConnState: conns.track, ConnContext: connContext}
	go func() { _ = s.Serve(conns.wrap(listener)) }()
	defer func() { _ = s.Close() }()
	const requests = 100
	client, err := net.Dial("tcp4", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = client.Close() }()
	go func() {
		_, _ = client.Write([]byte(strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\nA: "+strings.Repeat("a", 7997)+"\r\n\r\n", requests)))
	}()
	in := bufio.NewReader(client)
	for range requests {
		resp, err := http.ReadResponse(in, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	}
}
