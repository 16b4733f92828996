// Package link holds the links between VMs: one WebSocket for each pair, with the messages of
// package wire.
//
// Each link has one goroutine that reads and one that writes. A bulk message is sent in chunks, and
// control messages are sent between them. A message is encoded on the writing goroutine, hence it
// must not be changed after Send.
package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gorilla/websocket"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// bufferBytes is the size of the buffers of a connection. Write buffers are shared by all links.
const bufferBytes = 4 << 10

// Links holds the links of a VM.
type Links struct {
	config      Config
	ctx         context.Context
	cancel      context.CancelFunc
	dialer      websocket.Dialer
	upgrader    websocket.Upgrader
	stats       counters
	queuedBytes atomic.Int64 // bytes in all queues
	// tasks counts the goroutines that Close waits for.
	tasks sync.WaitGroup

	mu     sync.Mutex
	closed bool
	peers  map[cs.VMID]*peer
	// dials holds the dials in progress.
	dials map[cs.VMID]context.CancelFunc
}

// Stats counts what the links of a VM did since the start.
type Stats struct {
	// Opened counts links, and DialsFailed dials that led to none.
	Opened, DialsFailed int64
	// Unlinked counts messages dropped because no link to the peer was open or the link ended before
	// they were written.
	Unlinked int64
	// Full counts messages dropped because the queues had no room.
	Full int64
	// Invalid counts messages dropped because they could not be encoded or decoded.
	Invalid int64
	// Sent and Received count the bytes of messages.
	Sent, Received cs.Bytes
}

type counters struct {
	opened, dialsFailed, unlinked, full, invalid, sent, received atomic.Int64
}

// New returns links without a peer; Close or Run ends them.
func New(c Config) *Links {
	c = c.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	pool := &sync.Pool{}
	timeout := c.HandshakeTimeout.Std()
	return &Links{
		config: c, ctx: ctx, cancel: cancel,
		dialer: websocket.Dialer{
			NetDialContext:   (&net.Dialer{Timeout: timeout}).DialContext,
			HandshakeTimeout: timeout,
			ReadBufferSize:   bufferBytes, WriteBufferSize: bufferBytes, WriteBufferPool: pool,
		},
		upgrader: websocket.Upgrader{
			HandshakeTimeout: timeout,
			ReadBufferSize:   bufferBytes, WriteBufferSize: bufferBytes, WriteBufferPool: pool,
		},
		peers: make(map[cs.VMID]*peer),
		dials: make(map[cs.VMID]context.CancelFunc),
	}
}

// Run waits until ctx is done and closes the links. It returns the cause of the end of ctx, or nil
// if Close came first.
func (l *Links) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	l.Close()
	return context.Cause(ctx)
}

// Close closes all links and returns when their goroutines have ended. No link opens afterwards.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.tasks.Wait()
}

// startTask registers a goroutine that Close waits for; it returns false after Close.
func (l *Links) startTask() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.tasks.Add(1)
	return true
}

// Send queues a message to a peer. It never blocks: a message that finds no open link, or a full
// queue, is dropped and counted. A VM has no link to itself.
func (l *Links) Send(to cs.VMID, m cs.PeerMessage) {
	l.mu.Lock()
	p := l.peers[to]
	l.mu.Unlock()
	if p == nil {
		l.stats.unlinked.Add(1)
		return
	}
	if !p.queue.push(m) {
		l.stats.full.Add(1)
	}
}

// HangUp closes the link to a peer and ends a dial in progress.
func (l *Links) HangUp(id cs.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel := l.dials[id]; cancel != nil {
		cancel()
	}
	if p := l.peers[id]; p != nil {
		p.close()
	}
}

// Stats returns the counts so far.
func (l *Links) Stats() Stats {
	return Stats{
		Opened: l.stats.opened.Load(), DialsFailed: l.stats.dialsFailed.Load(),
		Unlinked: l.stats.unlinked.Load(), Full: l.stats.full.Load(), Invalid: l.stats.invalid.Load(),
		Sent: cs.Bytes(l.stats.sent.Load()), Received: cs.Bytes(l.stats.received.Load()),
	}
}

// admit makes p the link to its peer. It returns the link that p replaces, if any, and false if p
// must give way to the present one.
func (l *Links) admit(p *peer) (replaced *peer, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, false
	}
	old := l.peers[p.vm.ID]
	if old != nil && !l.replaces(p, old) {
		return nil, false
	}
	l.peers[p.vm.ID] = p
	if old != nil {
		old.close()
	}
	return old, true
}

// replaces reports whether p takes the place of old. Both ends decide alike: of two VMs that dial
// each other at once, the lower id's link stays. A VM that dials again has lost its earlier link.
func (l *Links) replaces(p, old *peer) bool {
	if p.vm.Incarnation != old.vm.Incarnation {
		return p.vm.Incarnation > old.vm.Incarnation
	}
	lowerDialled := p.dialled == (l.config.Self.ID < p.vm.ID)
	return lowerDialled || p.dialled == old.dialled
}

func (l *Links) remove(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[p.vm.ID] == p {
		delete(l.peers, p.vm.ID)
	}
}

func (l *Links) post(e fleet.Event) { l.config.Events(e) }
