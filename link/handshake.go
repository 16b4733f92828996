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

// Dial starts to open a link to a VM and returns at once. The event LinkOpened follows, or LinkClosed
// with incarnation 0 if the dial failed and no other link to the VM is open. Dial does nothing while a
// link or a dial to the VM exists.
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

// registerDial registers a dial. It returns false if a link to this incarnation of the VM or a later
// one is open, or if another dial is in progress.
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

// unregisterDial removes a dial and reports whether it failed while no other link to the VM is open.
func (l *Links) unregisterDial(id cs.VMID, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.dials, id)
	return err != nil && l.peers[id] == nil && !l.closed
}

// connect dials a VM, exchanges Hello with it and admits the link. It also returns the link that is
// replaced, if any.
func (l *Links) connect(ctx context.Context, vm cs.VM) (p, replaced *peer, err error) {
	conn, resp, err := l.dialer.DialContext(ctx, "ws://"+string(vm.Address)+Path, nil)
	if resp != nil {
		_ = resp.Body.Close() // DialContext has read what it needs of the response
	}
	if err != nil {
		return nil, nil, errors.Wrapf(err, "dial VM %s", vm.ID)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	remote, err := l.exchangeHello(conn)
	if err == nil && (remote.ID != vm.ID || remote.Incarnation < vm.Incarnation) {
		err = errors.Newf("VM %s, incarnation %d, answered at the address of VM %s, incarnation %d", remote.ID, remote.Incarnation, vm.ID, vm.Incarnation)
	}
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	p = l.newPeer(conn, remote, true)
	replaced, ok := l.admit(p)
	if !ok {
		p.close()
		return nil, nil, errors.Newf("another link to VM %s is already open", vm.ID)
	}
	return p, replaced, nil
}

// exchangeHello sends Hello and returns the VM that the peer names in its Hello.
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
	conn.SetReadLimit(int64(wire.MaxMessage) + 1) // the frame kind precedes the data
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
		return cs.VM{}, errors.Newf("expected a hello of another VM, got %T", m)
	}
	return hello.VM, nil
}

// Handler returns the handler that accepts links of peers. It must be served at Path.
func (l *Links) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !l.startTask() {
			http.Error(w, "the VM is leaving", http.StatusServiceUnavailable)
			return
		}
		defer l.tasks.Done()
		conn, err := l.upgrader.Upgrade(w, r, nil)
		if err != nil {
			return // Upgrade has sent the error response
		}
		l.accept(conn)
	})
}

// accept reads Hello, admits the link and answers with Hello, in this order, so that a link refused
// here never opens at the peer.
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
