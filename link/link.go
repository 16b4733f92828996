// Package link connects the VMs: each pair shares one WebSocket, which carries the messages of package
// wire.
//
// Each link has one goroutine that reads and one that writes. Bulk messages are sent in chunks, and
// control messages are sent between the chunks. The writing goroutine encodes the messages, so a
// message must not be changed after Send.
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

// bufferBytes is the size of the read and write buffers of a connection. Write buffers come from a pool
// shared by all links.
const bufferBytes = 4 << 10

// Links holds the links of one VM and the dials in progress.
type Links struct {
	config      Config
	ctx         context.Context
	cancel      context.CancelFunc
	dialer      websocket.Dialer
	upgrader    websocket.Upgrader
	stats       counters
	queuedBytes atomic.Int64 // estimated bytes of the messages in all queues
	// tasks counts the goroutines that Close waits for.
	tasks sync.WaitGroup

	mu     sync.Mutex
	closed bool
	peers  map[cs.VMID]*peer
	// dials holds the cancel functions of the dials in progress.
	dials map[cs.VMID]context.CancelFunc
}

// Stats counts the activity of the links of a VM since its start.
type Stats struct {
	// Opened counts opened links, and DialsFailed dials after which no link to the VM was open.
	Opened, DialsFailed int64
	// DroppedNotConnected counts messages dropped because no link to the peer was open, or because
	// the link was closed before they were written.
	DroppedNotConnected int64
	// DroppedQueueFull counts messages dropped because a bound on the queues was reached.
	DroppedQueueFull int64
	// Invalid counts messages dropped because they could not be encoded or decoded.
	Invalid int64
	// Sent and Received count the bytes of encoded messages.
	Sent, Received cs.Bytes
}

type counters struct {
	opened, dialsFailed, droppedNotConnected, droppedQueueFull, invalid, sent, received atomic.Int64
}

// New returns Links without peers. Close ends them, and so does Run when its context ends.
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

// Run waits until ctx is done and closes all links. It returns the cause of the end of ctx, or nil if
// Close was called first.
func (l *Links) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	l.Close()
	return context.Cause(ctx)
}

// Close closes all links and waits for their goroutines. No link opens afterwards.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.tasks.Wait()
}

// startTask registers a goroutine that Close waits for. It returns false after Close.
func (l *Links) startTask() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.tasks.Add(1)
	return true
}

// Send queues a message for a peer. It never blocks: if no link to the peer is open or the queue is
// full, the message is dropped and counted. A VM has no link to itself.
func (l *Links) Send(to cs.VMID, m cs.PeerMessage) {
	l.mu.Lock()
	p := l.peers[to]
	l.mu.Unlock()
	if p == nil {
		l.stats.droppedNotConnected.Add(1)
		return
	}
	if !p.queue.push(m) {
		l.stats.droppedQueueFull.Add(1)
	}
}

// CloseLink closes the link to a peer and cancels a dial in progress.
func (l *Links) CloseLink(id cs.VMID) {
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
		DroppedNotConnected: l.stats.droppedNotConnected.Load(), DroppedQueueFull: l.stats.droppedQueueFull.Load(), Invalid: l.stats.invalid.Load(),
		Sent: cs.Bytes(l.stats.sent.Load()), Received: cs.Bytes(l.stats.received.Load()),
	}
}

// admit makes p the link to its peer. It returns the link that p replaces, if any, or false if the
// existing link is kept instead.
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

// replaces reports whether p replaces old. Both ends come to the same decision: if two VMs dial each
// other at the same time, the link dialled by the lower id is kept. A VM that dials a second time has
// lost its earlier link, so that the new link replaces it.
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

func (l *Links) post(e fleet.Event) { l.config.OnEvent(e) }
