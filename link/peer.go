package link

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/wire"
)

// frameKind is the first byte of each frame after the handshake.
type frameKind byte

// The kinds of frames.
const (
	// frameComplete carries a complete message.
	frameComplete frameKind = iota
	// frameMore carries a part of a message that continues in a later frame.
	frameMore
	// frameLast carries the last part of a message.
	frameLast
)

// peer is the link to one other VM.
type peer struct {
	links *Links
	vm    cs.VM
	conn  *websocket.Conn
	// dialled is set if this VM dialled the link, and not the peer.
	dialled bool
	queue   *queue
	// done is closed once all events of the link have been posted.
	done chan struct{}
}

func (l *Links) newPeer(conn *websocket.Conn, vm cs.VM, dialled bool) *peer {
	return &peer{
		links: l, vm: vm, conn: conn, dialled: dialled,
		queue: newQueue(l.config, &l.queuedBytes), done: make(chan struct{}),
	}
}

// close closes the connection, which makes serve return.
func (p *peer) close() { _ = p.conn.Close() }

// serve runs an admitted link until its connection is closed. It first waits for the end of the link
// that it replaces, so that the events of the two are not interleaved.
func (l *Links) serve(p, replaced *peer) {
	defer close(p.done)
	defer p.queue.close()
	defer l.remove(p)
	defer p.close()
	stop := context.AfterFunc(l.ctx, p.close)
	defer stop()
	if replaced != nil {
		<-replaced.done
	}
	if !p.dialled {
		if err := l.sendHello(p.conn); err != nil {
			return
		}
	}
	l.stats.opened.Add(1)
	l.post(fleet.LinkOpened{VM: p.vm})
	readDone, writeDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(writeDone)
		defer p.close()
		p.write(readDone)
	}()
	p.read()
	p.close()
	close(readDone)
	<-writeDone
	l.remove(p)
	l.stats.droppedNotConnected.Add(p.queue.close())
	l.post(fleet.LinkClosed{VM: p.vm.ID, Incarnation: p.vm.Incarnation})
}

// read posts the peer's messages until the connection fails or nothing is received for PeerTimeout.
func (p *peer) read() {
	extendDeadline := func(string) error {
		return p.conn.SetReadDeadline(time.Now().Add(p.links.config.PeerTimeout.Std()))
	}
	p.conn.SetPingHandler(extendDeadline) // both ends send pings, so no pong is needed
	var partial []byte
	for {
		if err := extendDeadline(""); err != nil {
			return
		}
		_, frame, err := p.conn.ReadMessage()
		if err != nil || len(frame) == 0 {
			return
		}
		partial, err = p.reassemble(partial, frameKind(frame[0]), frame[1:])
		if err != nil {
			return
		}
	}
}

// reassemble adds a frame to the partial bulk message and posts the message once it is complete. It
// returns the partial message that remains.
func (p *peer) reassemble(partial []byte, kind frameKind, data []byte) ([]byte, error) {
	p.links.stats.received.Add(int64(len(data)))
	if kind == frameComplete {
		p.deliver(data)
		return partial, nil
	}
	if len(partial)+len(data) > int(wire.MaxMessage) {
		return nil, errors.Wrapf(wire.ErrTooLarge, "message from VM %s", p.vm.ID)
	}
	partial = append(partial, data...)
	if kind == frameMore {
		return partial, nil
	}
	p.deliver(partial)
	return nil, nil
}

// deliver decodes and posts a message. A message that cannot be decoded is dropped without closing the
// link, because a peer with a newer version may send types unknown to this one.
func (p *peer) deliver(data []byte) {
	m, err := wire.DecodeMessage(data)
	if err != nil {
		p.links.stats.invalid.Add(1)
		return
	}
	p.links.post(fleet.PeerMessageReceived{From: p.vm.ID, Message: m})
}

// write sends queued messages, and pings while there are none, until readDone is closed or a write
// fails.
func (p *peer) write(readDone <-chan struct{}) {
	interval := p.links.config.PingInterval.Std()
	idle := time.NewTimer(interval)
	defer idle.Stop()
	var unsent []byte // the rest of the bulk message in progress
	for {
		wrote, err := p.writeNext(&unsent)
		if err != nil {
			return
		}
		if wrote {
			idle.Reset(interval)
			continue
		}
		select {
		case <-readDone:
			return
		case <-p.queue.wake:
		case <-idle.C:
			if err := p.ping(); err != nil {
				return
			}
			idle.Reset(interval)
		}
	}
}

// writeNext writes a control message if there is one, else the next chunk of a bulk message. It
// returns false if there is neither.
func (p *peer) writeNext(unsent *[]byte) (bool, error) {
	if m := p.queue.pop(laneControl); m != nil {
		return true, p.writeFrame(frameComplete, p.encode(m))
	}
	kind := frameMore
	if *unsent == nil {
		m := p.queue.pop(laneBulk)
		if m == nil {
			return false, nil
		}
		*unsent = p.encode(m)
		kind = frameComplete
	}
	chunk := *unsent
	if limit := int(p.links.config.ChunkBytes); len(chunk) > limit {
		chunk, *unsent = chunk[:limit], chunk[limit:]
		return true, p.writeFrame(frameMore, chunk)
	}
	if kind == frameMore {
		kind = frameLast
	}
	*unsent = nil
	return true, p.writeFrame(kind, chunk)
}

// encode returns the encoded message, or nil if it cannot be encoded; that is counted as invalid.
func (p *peer) encode(m cs.PeerMessage) []byte {
	data, err := wire.EncodeMessage(m)
	if err != nil {
		p.links.stats.invalid.Add(1)
		return nil
	}
	return data
}

func (p *peer) writeFrame(kind frameKind, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if err := p.conn.SetWriteDeadline(time.Now().Add(p.links.config.WriteTimeout.Std())); err != nil {
		return errors.Wrap(err, "write")
	}
	w, err := p.conn.NextWriter(websocket.BinaryMessage)
	if err != nil {
		return errors.Wrap(err, "write")
	}
	if _, err := w.Write([]byte{byte(kind)}); err != nil {
		return errors.Wrap(err, "write")
	}
	if _, err := w.Write(data); err != nil {
		return errors.Wrap(err, "write")
	}
	p.links.stats.sent.Add(int64(len(data)))
	return errors.Wrap(w.Close(), "write")
}

func (p *peer) ping() error {
	deadline := time.Now().Add(p.links.config.WriteTimeout.Std())
	return errors.Wrap(p.conn.WriteControl(websocket.PingMessage, nil, deadline), "ping")
}
