package standin_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/standin"
)

// idleTimeout is the time without received data after which a connection counts as frozen.
const idleTimeout = 50 * time.Millisecond

// startEchoServer starts a server that sends back all data until the test ends, and returns its address.
func startEchoServer(t testing.TB) cs.Address {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return cs.Address(ln.Addr().String())
}

// proxyFixture is a proxy in front of an echo server.
type proxyFixture struct {
	proxy   *standin.Proxy
	address string // of the proxied connections
	control string // URL for fault settings
}

func newProxyFixture(t testing.TB) proxyFixture {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := standin.NewProxy(standin.ProxyConfig{Target: startEchoServer(t), Listener: ln})
	return proxyFixture{proxy: p, address: ln.Addr().String(), control: serve(t, p)}
}

// set changes the mode of the proxy.
func (f proxyFixture) set(t testing.TB, m standin.ProxyMode) {
	qt.Assert(t, f.proxy.SetMode(context.Background(), m), qt.IsTrue)
}

// dial opens a connection through the proxy.
func (f proxyFixture) dial(t testing.TB) *net.TCPConn {
	c, err := net.Dial("tcp", f.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// open opens a connection through the proxy and checks that it passes data.
func (f proxyFixture) open(t testing.TB) *net.TCPConn {
	c := f.dial(t)
	qt.Assert(t, roundTrip(c, 5*time.Second), qt.IsNil)
	return c
}

// roundTrip sends one byte and waits up to limit for its echo.
func roundTrip(c net.Conn, limit time.Duration) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	c.SetReadDeadline(time.Now().Add(limit))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// isTimeout tells whether an error is a time-out: no data and no end of the connection was received.
func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// TestProxyCut guards against connections that stay open in the mode Cut, and against a mode Cut that
// cannot be ended.
func TestProxyCut(t *testing.T) {
	f := newProxyFixture(t)
	oldConn := f.open(t)
	f.set(t, standin.Cut{})
	err := roundTrip(oldConn, 5*time.Second)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, isTimeout(err), qt.IsFalse)
	// The reset of a new connection may arrive before or after Dial returns.
	c, err := net.Dial("tcp", f.address)
	if err == nil {
		defer c.Close()
		err = roundTrip(c, 5*time.Second)
	}
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, isTimeout(err), qt.IsFalse)
	setFaults(t, f.control, `{"mode":"pass"}`)
	f.open(t)
}

// TestProxyDelay guards against a delay that applies to only one direction.
func TestProxyDelay(t *testing.T) {
	f := newProxyFixture(t)
	c := f.open(t)
	setFaults(t, f.control, `{"mode":"delay","delay":"20ms"}`)
	start := time.Now()
	qt.Assert(t, roundTrip(c, 5*time.Second), qt.IsNil)
	qt.Assert(t, time.Since(start) >= 38*time.Millisecond, qt.IsTrue)
}

// TestProxyFreeze guards against frozen connections that are closed or forward data again.
func TestProxyFreeze(t *testing.T) {
	f := newProxyFixture(t)
	oldConn := f.open(t)
	setFaults(t, f.control, `{"mode":"freeze","newWork":true}`)
	qt.Assert(t, isTimeout(roundTrip(oldConn, idleTimeout)), qt.IsTrue)
	laterConn := f.open(t)
	f.set(t, standin.Freeze{})
	qt.Assert(t, isTimeout(roundTrip(laterConn, idleTimeout)), qt.IsTrue)
	heldConn := f.dial(t)
	qt.Assert(t, isTimeout(roundTrip(heldConn, idleTimeout)), qt.IsTrue)
	f.set(t, standin.Pass{})
	for _, c := range []net.Conn{oldConn, laterConn, heldConn} {
		qt.Assert(t, isTimeout(roundTrip(c, idleTimeout)), qt.IsTrue)
	}
	f.open(t)
}

// TestProxyHalfClose guards against a half-close that closes both directions or none.
func TestProxyHalfClose(t *testing.T) {
	f := newProxyFixture(t)
	c := f.open(t)
	f.set(t, standin.HalfClose{})
	qt.Assert(t, roundTrip(c, 5*time.Second), qt.Equals, io.EOF)
	_, err := c.Write([]byte("still open"))
	qt.Assert(t, err, qt.IsNil)
	f.open(t)
}

// TestProxyDropsResponses guards against a response that reaches the client, and against a request that
// does not reach the target.
func TestProxyDropsResponses(t *testing.T) {
	log := standin.NewLog(standin.LogConfig{})
	logURL := serve(t, log)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := standin.NewProxy(standin.ProxyConfig{Target: cs.Address(logURL[len("http://"):]), Listener: ln})
	serve(t, p)
	proxyURL := "http://" + ln.Addr().String()
	qt.Assert(t, appendTo(t, proxyURL, "s", "zero").status, qt.Equals, 200)
	qt.Assert(t, p.SetMode(context.Background(), standin.DropResponses{}), qt.IsTrue)
	qt.Assert(t, appendTo(t, proxyURL, "s", "one").err, qt.IsNotNil)
	qt.Assert(t, readPage(t, logURL, "from=0").Records, qt.HasLen, 2)
}
