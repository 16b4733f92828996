package link

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/wire"
)

// Dial opens a link to a VM and returns at once. LinkOpened follows, or LinkClosed with incarnation
// 0 if no link is open afterwards. It does nothing while a link or a dial to the VM exists.
func (l *Links) Dial(vm cs.VM) {
	if !l.startTask() {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	if !l.registerDial(vm, cancel) {
		cancel()
		l.tasks.Done()
		return
	}
	go func() {
		defer l.tasks.Done()
		defer cancel()
		p, replaced, err := l.connect(ctx, vm)
		failed := l.unregisterDial(vm.ID, err)
		if err == nil {
			l.serve(p, replaced)
			return
		}
		if failed {
			l.stats.dialsFailed.Add(1)
			l.post(fleet.LinkClosed{VM: vm.ID})
		}
	}()
}

func (l *Links) registerDial(vm cs.VM, cancel context.CancelFunc) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[vm.ID]; p != nil && p.vm.Incarnation >= vm.Incarnation {
		return false
	}
	if l.dials[vm.ID] != nil {
		return false
	}
	l.dials[vm.ID] = cancel
	return true
}

// unregisterDial reports whether the dial failed and no other link to the VM is open.
func (l *Links) unregisterDial(id cs.VMID, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.dials, id)
	return err != nil && l.peers[id] == nil && !l.closed
}

// connect dials a VM, exchanges Hello and admits the link.
func (l *Links) connect(ctx context.Context, vm cs.VM) (p, replaced *peer, err error) {
	conn, resp, err := l.dialer.DialContext(ctx, "ws://"+string(vm.Address)+Path, nil)
	if resp != nil {
		_ = resp.Body.Close() // DialContext has read what it needs
	}
	if err != nil {
		return nil, nil, errors.Wrapf(err, "dial %s", vm.ID)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	remote, err := l.exchangeHello(conn)
	if err == nil && (remote.ID != vm.ID || remote.Incarnation < vm.Incarnation) {
		err = errors.Newf("%s/%d answers at the address of %s/%d", remote.ID, remote.Incarnation, vm.ID, vm.Incarnation)
	}
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	p = l.newPeer(conn, remote, true)
	replaced, ok := l.admit(p)
	if !ok {
		p.close()
		return nil, nil, errors.Newf("another link to %s is open", vm.ID)
	}
	return p, replaced, nil
}

// exchangeHello sends Hello and reads the one of the peer.
func (l *Links) exchangeHello(conn *websocket.Conn) (cs.VM, error) {
	if err := l.sendHello(conn); err != nil {
		return cs.VM{}, err
	}
	return l.readHello(conn)
}

func (l *Links) sendHello(conn *websocket.Conn) error {
	data, err := wire.EncodeMessage(cs.Hello{VM: l.config.Self})
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(l.config.HandshakeTimeout.Std())); err != nil {
		return errors.Wrap(err, "send hello")
	}
	return errors.Wrap(conn.WriteMessage(websocket.BinaryMessage, data), "send hello")
}

func (l *Links) readHello(conn *websocket.Conn) (cs.VM, error) {
	conn.SetReadLimit(int64(wire.MaxMessage) + 1) // a frame has one byte before its data
	if err := conn.SetReadDeadline(time.Now().Add(l.config.HandshakeTimeout.Std())); err != nil {
		return cs.VM{}, errors.Wrap(err, "read hello")
	}
	_, data, err := conn.ReadMessage()
	if err != nil {
		return cs.VM{}, errors.Wrap(err, "read hello")
	}
	m, err := wire.DecodeMessage(data)
	if err != nil {
		return cs.VM{}, err
	}
	hello, ok := m.(cs.Hello)
	if !ok || hello.VM.ID == "" || hello.VM.ID == l.config.Self.ID {
		return cs.VM{}, errors.Newf("no hello of another VM but %T", m)
	}
	return hello.VM, nil
}

// Handler accepts links of peers; it is to be served at Path.
func (l *Links) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !l.startTask() {
			http.Error(w, "the VM is leaving", http.StatusServiceUnavailable)
			return
		}
		defer l.tasks.Done()
		conn, err := l.upgrader.Upgrade(w, r, nil)
		if err != nil {
			return // Upgrade has answered
		}
		l.accept(conn)
	})
}

// accept reads Hello, admits the link and answers with Hello, in this order, so that a link that is
// refused here never opens on the other side.
func (l *Links) accept(conn *websocket.Conn) {
	stop := context.AfterFunc(l.ctx, func() { _ = conn.Close() })
	vm, err := l.readHello(conn)
	stop()
	if err != nil {
		_ = conn.Close()
		return
	}
	p := l.newPeer(conn, vm, false)
	replaced, ok := l.admit(p)
	if !ok {
		p.close()
		return
	}
	l.serve(p, replaced)
}
