package link

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// node is a VM with links over TCP; it collects the events.
type node struct {
	*Links
	vm     cs.VM
	events chan fleet.Event
}

func newNode(t *testing.T, id cs.VMID, configure func(*Config)) *node {
	n := &node{events: make(chan fleet.Event, 1000)}
	server := httptest.NewUnstartedServer(nil)
	n.vm = cs.VM{ID: id, Incarnation: 10, DataCentre: "a", Address: cs.Address(server.Listener.Addr().String())}
	c := Config{Self: n.vm, OnEvent: func(e fleet.Event) { n.events <- e }}
	if configure != nil {
		configure(&c)
	}
	n.Links, n.vm = New(c), c.Self
	mux := http.NewServeMux()
	mux.Handle(Path, n.Handler())
	server.Config.Handler = mux
	server.Start()
	t.Cleanup(func() {
		n.Close()
		server.Close()
	})
	return n
}

// next returns the next event; it fails the test if there is none within 2 s.
func (n *node) next(t *testing.T) fleet.Event {
	t.Helper()
	select {
	case e := <-n.events:
		return e
	case <-time.After(2 * time.Second):
		t.Fatalf("%s: no event", n.vm.ID)
		return nil
	}
}

// expect fails the test unless the next event is e.
func (n *node) expect(t *testing.T, e fleet.Event) {
	t.Helper()
	qt.Assert(t, n.next(t), qt.DeepEquals, e)
}

// newPair returns two VMs with an open link, dialled by the first.
func newPair(t *testing.T, configure func(*Config)) (a, b *node) {
	a, b = newNode(t, "a", configure), newNode(t, "b", configure)
	a.Dial(b.vm)
	a.expect(t, fleet.LinkOpened{VM: b.vm})
	b.expect(t, fleet.LinkOpened{VM: a.vm})
	return a, b
}

// shortTimeouts sets timeouts that let a test observe them within a second.
func shortTimeouts(c *Config) {
	c.PeerTimeout, c.PingInterval, c.WriteTimeout, c.HandshakeTimeout = 300, 100, 300, 300
}

// TestMessagesAndCloseLink guards against lost messages, missing events and a link that stays open
// after CloseLink.
func TestMessagesAndCloseLink(t *testing.T) {
	a, b := newPair(t, nil)
	a.Send("c", cs.TicketsRequest{})
	qt.Check(t, a.Stats().DroppedNotConnected, qt.Equals, int64(1))
	preempt := cs.Preempt{Runner: "r", Slots: 2}
	outcome := cs.ItemOutcome{Output: strings.Repeat("x", 200_000)} // is sent in four chunks
	a.Send("b", preempt)
	b.expect(t, fleet.PeerMessageReceived{From: "a", Message: preempt})
	b.Send("a", outcome)
	a.expect(t, fleet.PeerMessageReceived{From: "b", Message: outcome})
	a.CloseLink("b")
	a.expect(t, fleet.LinkClosed{VM: "b", Incarnation: 10})
	b.expect(t, fleet.LinkClosed{VM: "a", Incarnation: 10})
}

// TestSimultaneousDials guards against a pair of VMs that is left with two links, or with none, after
// they have dialled each other at the same time.
func TestSimultaneousDials(t *testing.T) {
	for range 20 {
		a, b := newNode(t, "a", nil), newNode(t, "b", nil)
		a.Dial(b.vm)
		b.Dial(a.vm)
		one := func() bool { return oneLink(a, b) }
		waitFor(t, one)
		time.Sleep(5 * time.Millisecond) // a second link would replace the first within this time
		qt.Assert(t, one(), qt.IsTrue)
		for _, n := range []*node{a, b} {
			n.Close()
			qt.Check(t, openLinks(n), qt.Equals, 0)
		}
	}
}

// oneLink reports whether both ends hold the same link, and whether the lower id dialled it if there
// were two.
func oneLink(lower, higher *node) bool {
	p, q := lower.linkTo(higher.vm.ID), higher.linkTo(lower.vm.ID)
	if p == nil || q == nil || p.conn.LocalAddr().String() != q.conn.RemoteAddr().String() {
		return false
	}
	return p.dialled || lower.Stats().Opened == 1
}

// linkTo returns the link to a VM, or nil if there is none or any dial is in progress.
func (n *node) linkTo(id cs.VMID) *peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.dials) > 0 {
		return nil
	}
	return n.peers[id]
}

// openLinks returns the number of links opened and not closed according to the events so far.
func openLinks(n *node) (count int) {
	for len(n.events) > 0 {
		switch e := (<-n.events).(type) {
		case fleet.LinkOpened:
			count++
		case fleet.LinkClosed:
			count -= int(min(e.Incarnation, 1))
		}
	}
	return count
}

// waitFor waits until ok returns true; it fails the test after 2 s.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for range 400 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition not met within 2 s")
}

// TestDialChecksIdentity guards against a link to a process other than the dialled one, such as another
// VM that reuses the address or an older incarnation.
func TestDialChecksIdentity(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*cs.VM)
		opens  bool
	}{
		{"nobody listens", func(vm *cs.VM) { vm.Address = "127.0.0.1:1" }, false},
		{"address of another VM", func(vm *cs.VM) { vm.ID = "c" }, false},
		{"older process answers", func(vm *cs.VM) { vm.Incarnation = 11 }, false},
		{"replacement answers", func(vm *cs.VM) { vm.Incarnation = 9 }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newNode(t, "a", nil), newNode(t, "b", nil)
			want := b.vm
			c.change(&want)
			a.Dial(want)
			if c.opens {
				a.expect(t, fleet.LinkOpened{VM: b.vm})
				return
			}
			a.expect(t, fleet.LinkClosed{VM: want.ID})
			qt.Check(t, a.Stats().DialsFailed, qt.Equals, int64(1))
		})
	}
}

// TestReplacementIncarnation guards against events of a VM that are interleaved with those of its
// replacement, which has the same id and a higher incarnation.
func TestReplacementIncarnation(t *testing.T) {
	a, _ := newPair(t, nil)
	second := newNode(t, "b", func(c *Config) { c.Self.Incarnation = 11 })
	second.Dial(a.vm)
	a.expect(t, fleet.LinkClosed{VM: "b", Incarnation: 10})
	a.expect(t, fleet.LinkOpened{VM: second.vm})
}

// proxy forwards bytes between the ends of a link until it is frozen. Then it reads no more and keeps
// the connections open, which simulates a network that drops all packets.
type proxy struct {
	vm     cs.VM // the VM behind the proxy, with the proxy's address
	frozen chan struct{}
	// pause precedes each read of at most 32 KiB, which limits the bandwidth.
	pause time.Duration
}

func newProxy(t *testing.T, vm cs.VM, pause time.Duration) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := &proxy{vm: vm, frozen: make(chan struct{}), pause: pause}
	p.vm.Address = cs.Address(listener.Addr().String())
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", string(vm.Address))
			if err != nil {
				return
			}
			t.Cleanup(func() { in.Close(); out.Close() })
			go p.copy(in, out)
			go p.copy(out, in)
		}
	}()
	t.Cleanup(func() { listener.Close() })
	return p
}

func (p *proxy) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		select {
		case <-p.frozen:
			return
		default:
		}
		time.Sleep(p.pause)
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-p.frozen:
			return
		default:
			_, _ = to.Write(buffer[:n])
		}
	}
}

// TestIdleTimeout guards against a link that stays open while the network drops all packets, and
// against a Send that blocks or a queue that grows without bound until the timeout.
func TestIdleTimeout(t *testing.T) {
	a, b := newNode(t, "a", shortTimeouts), newNode(t, "b", shortTimeouts)
	p := newProxy(t, b.vm, 0)
	a.Dial(p.vm)
	a.next(t)
	b.next(t)
	time.Sleep(500 * time.Millisecond) // without messages, pings keep the link open
	qt.Assert(t, len(a.events)+len(b.events), qt.Equals, 0)

	frozen := time.Now()
	close(p.frozen)
	big := cs.ItemOutcome{Output: strings.Repeat("x", 10<<20)}
	for range 8 {
		a.Send("b", big)
	}
	qt.Check(t, time.Since(frozen) < 100*time.Millisecond, qt.IsTrue)
	qt.Check(t, a.Stats().DroppedQueueFull >= 3, qt.IsTrue, qt.Commentf("%+v", a.Stats()))
	a.expect(t, fleet.LinkClosed{VM: "b", Incarnation: 10})
	b.expect(t, fleet.LinkClosed{VM: "a", Incarnation: 10})
	qt.Check(t, time.Since(frozen) < time.Second, qt.IsTrue)
	qt.Check(t, a.queuedBytes.Load(), qt.Equals, int64(0))

	a.Dial(b.vm) // a new link can be opened afterwards
	a.expect(t, fleet.LinkOpened{VM: b.vm})
}

// TestRedialReplacesLostLink guards against a VM that cannot connect again because its peer still holds
// the link that the VM has lost.
func TestRedialReplacesLostLink(t *testing.T) {
	a, b := newNode(t, "a", nil), newNode(t, "b", nil)
	p := newProxy(t, a.vm, 0)
	b.Dial(p.vm)
	a.expect(t, fleet.LinkOpened{VM: b.vm})
	b.next(t)
	close(p.frozen)
	b.CloseLink("a")
	b.next(t)
	b.Dial(a.vm)
	a.expect(t, fleet.LinkClosed{VM: "b", Incarnation: 10})
	a.expect(t, fleet.LinkOpened{VM: b.vm})
}

// TestControlOvertakesBulk guards against a heartbeat that is delayed by the transfer of a large job.
// The job exceeds the socket buffers on the path and takes about 0.5 s through the proxy.
func TestControlOvertakesBulk(t *testing.T) {
	a, b := newNode(t, "a", nil), newNode(t, "b", nil)
	a.Dial(newProxy(t, b.vm, time.Millisecond).vm)
	a.next(t)
	b.next(t)
	job := cs.SubmitJob{Items: make([]cs.Item, 500)}
	for i := range job.Items {
		job.Items[i].Target = cs.Generation{Model: "m", Prompt: strings.Repeat("p", 32_000)}
	}
	a.Send("b", cs.Forward{ID: 1, Query: job})
	waitFor(t, func() bool { return a.Stats().Sent > 0 })
	a.Send("b", cs.Heartbeat{Tickets: 5})
	b.expect(t, fleet.PeerMessageReceived{From: "a", Message: cs.Heartbeat{Tickets: 5}})
	forward := b.next(t).(fleet.PeerMessageReceived).Message.(cs.Forward)
	qt.Assert(t, len(forward.Query.(cs.SubmitJob).Items), qt.Equals, len(job.Items))
}

// TestCloseEndsGoroutines guards against goroutines that outlive their links.
func TestCloseEndsGoroutines(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("links", func(t *testing.T) {
		a := newNode(t, "a", nil)
		for _, id := range []cs.VMID{"b", "c", "d"} {
			a.Dial(newNode(t, id, nil).vm)
			a.next(t)
		}
		a.Dial(cs.VM{ID: "e", Address: "127.0.0.1:1"})
	})
	waitFor(t, func() bool { return runtime.NumGoroutine() <= before })
}

// TestQueueBounds guards against a lane that exceeds its bound, and against queues that together exceed
// theirs.
func TestQueueBounds(t *testing.T) {
	var total atomic.Int64
	small, big := cs.TicketsRequest{}, cs.ItemOutcome{Output: strings.Repeat("x", 1000)}
	c := Config{ControlBytes: 2 * headerSize, BulkBytes: 5000, TotalBytes: 4 * 1064} // big has an estimated size of 64 + 1000 bytes
	p, q := newQueue(c, &total), newQueue(c, &total)
	for _, ok := range []bool{true, true, false} {
		qt.Check(t, p.push(small), qt.Equals, ok)
	}
	for _, ok := range []bool{true, true, true, false} {
		qt.Check(t, q.push(big), qt.Equals, ok) // the total is reached because p holds two messages
	}
	qt.Check(t, p.close(), qt.Equals, int64(2))
	qt.Check(t, q.push(big) && !q.push(big) && !p.push(small), qt.IsTrue)
	qt.Check(t, q.pop(laneControl) == nil && q.pop(laneBulk) != nil, qt.IsTrue)
	qt.Check(t, total.Load(), qt.Equals, int64(3*1064))
}
