// Package daemon builds the parts of a VM and runs them as one group that stops together.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/control"
	"github.com/crocusstile/crocusstile/engine"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/front"
	"github.com/crocusstile/crocusstile/link"
	"github.com/crocusstile/crocusstile/meter"
	"github.com/crocusstile/crocusstile/registry"
	"github.com/crocusstile/crocusstile/relay"
	"github.com/crocusstile/crocusstile/setting"
)

// Time limits of a daemon.
const (
	// appendTimeout bounds one append; a slower answer counts as lost and read-back decides.
	appendTimeout = 3 * cs.Second
	// orderTimeout bounds a load report or an order of a runner.
	orderTimeout = 2 * cs.Second
	// readHeaderTimeout bounds the time in which a caller sends the header of a request.
	readHeaderTimeout = 10 * cs.Second
	// postTimeout bounds the wait of a link for room in the control loop's inbox.
	postTimeout = cs.Second
)

// Daemon is one VM of the system.
type Daemon struct {
	settings setting.Settings
	self     cs.VM
	listener net.Listener
	loop     *control.Loop
	relay    *relay.Relay
	log      *registry.Log
	list     *registry.List
	poller   *registry.Poller
	links    *link.Links
	meter    *meter.Meter
	server   *http.Server
	drained  chan struct{}
}

// New builds a daemon that serves on the listener.
func New(s setting.Settings, listener net.Listener, log zerolog.Logger) *Daemon {
	clock := cs.NewClock()
	incarnation := newIncarnation(clock.Now())
	d := &Daemon{
		settings: s, self: s.Self(incarnation), listener: listener, meter: meter.New(log), drained: make(chan struct{}),
	}
	if d.self.Address == "" {
		d.self.Address = cs.Address(listener.Addr().String())
	}
	tables := fleet.New(s.Control(), d.self, clock.Now(), uint64(incarnation))
	d.loop = control.New(control.Config{Clock: clock, Tables: tables, Systems: control.Systems()})
	d.buildComponents(clock, incarnation)
	d.loop.SetPorts(control.Ports{
		Requests: d.relay, Items: d.relay, Queries: d.relay, Log: d.log, Peers: d.links,
		Runners: d.poller, Journal: d.meter, Leave: func() { close(d.drained) },
	})
	d.server = &http.Server{Handler: d.handler(clock), ReadHeaderTimeout: readHeaderTimeout.Std()}
	return d
}

// buildComponents makes the parts that post events to the loop.
func (d *Daemon) buildComponents(clock *cs.Clock, incarnation cs.Incarnation) {
	s, post := d.settings, d.loop.Post
	client := engine.New(engine.Config{
		Clock: clock, DialTimeout: s.Runners.DialTimeout, FirstByte: s.Runners.FirstByte,
		Progress: s.Runners.Progress, MaxAnswer: s.Limits.MaxAnswer,
	})
	d.relay = relay.New(relay.Config{
		Clock: clock, Engine: client, Meter: d.meter, Post: post, VM: d.self.ID,
		Prefix: string(d.self.ID) + "-" + strconv.FormatUint(uint64(incarnation), 36),
	})
	d.log = registry.NewLog(registry.LogConfig{Address: s.Log.Address, AppendTimeout: appendTimeout, Post: post})
	d.list = registry.NewList(registry.ListConfig{Address: s.List.Address, Poll: s.List.Poll, Post: post})
	d.poller = registry.NewPoller(registry.PollerConfig{Client: client, Poll: s.Runners.LoadPoll, Timeout: orderTimeout, Post: post})
	d.links = link.New(link.Config{Self: d.self, PeerTimeout: s.Control().PeerTimeout, Events: func(e fleet.Event) {
		ctx, cancel := context.WithTimeout(context.Background(), postTimeout.Std())
		defer cancel()
		_ = post(ctx, e) // a peer repeats what matters
	}})
}

// handler serves callers, operators and peers.
func (d *Daemon) handler(clock *cs.Clock) http.Handler {
	return front.Handler(front.Config{
		Clock: clock, Relay: d.relay, View: d.loop.View, Meter: d.meter, Links: d.links.Handler(),
		Drain:  func(ctx context.Context) error { return d.loop.Post(ctx, fleet.DrainAsked{}) },
		Shards: d.settings.Control().Shards, MaxBody: d.settings.Limits.MaxBody, MaxItems: d.settings.Limits.MaxItems,
	})
}

// incarnationRandomBits is the number of random bits that tell apart starts within a millisecond.
const incarnationRandomBits = 20

// newIncarnation returns a number that no other start of a process has. Later starts have higher
// ones, so that peers can tell a replacement from what it replaced.
func newIncarnation(now cs.Instant) cs.Incarnation {
	return cs.Incarnation(now)<<incarnationRandomBits | cs.Incarnation(rand.Uint64N(1<<incarnationRandomBits))
}

// Self returns this VM as its peers see it.
func (d *Daemon) Self() cs.VM { return d.self }

// View returns the state that the control loop last published.
func (d *Daemon) View() *fleet.View { return d.loop.View() }

// Run serves until a signal on stop has led to a complete drain, a second one comes, or ctx ends.
//
// The parts stop together: when one fails, all end.
func (d *Daemon) Run(ctx context.Context, signals <-chan os.Signal) error {
	var g run.Group
	loopCtx, cancelLoop := context.WithCancel(context.Background())
	g.Add(func() error { return d.loop.Run(loopCtx) }, func(error) { cancelLoop() })
	g.Add(func() error { return d.list.Run(loopCtx) }, func(error) { cancelLoop() })
	g.Add(func() error { return d.links.Run(loopCtx) }, func(error) { d.links.Close() })
	serverClosed := make(chan struct{})
	g.Add(func() error { return d.serve(serverClosed) }, func(error) {
		_ = d.server.Close()
		close(serverClosed)
	})
	waitCtx, cancelWait := context.WithCancel(ctx)
	g.Add(func() error { return d.waitForDrain(waitCtx, signals) }, func(error) { cancelWait() })
	err := g.Run()
	d.poller.Close()
	d.log.Close()
	d.relay.Close()
	if closeErr := d.meter.Close(); closeErr != nil && err == nil {
		err = closeErr
	}
	if errors.Is(err, errDrained) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serve serves until the group ends. A shutdown makes the listener return at once, while the last
// answers are still being written.
func (d *Daemon) serve(serverClosed <-chan struct{}) error {
	err := d.server.Serve(d.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-serverClosed
		return nil
	}
	return err
}

// errDrained says that the drain is complete.
var errDrained = errors.New("the drain is complete")

// shutdownTimeout bounds the time in which the last answers are written after a drain.
const shutdownTimeout = 5 * cs.Second

// waitForDrain starts a drain on a signal and returns when it is over.
func (d *Daemon) waitForDrain(ctx context.Context, signals <-chan os.Signal) error {
	draining := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signals:
			if draining {
				return errors.New("stopped before the end of the drain")
			}
			draining = true
			if err := d.loop.Post(ctx, fleet.DrainAsked{}); err != nil {
				return err
			}
		case <-d.drained:
			shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout.Std())
			defer cancel()
			if err := d.server.Shutdown(shutdownCtx); err != nil {
				return errors.Wrap(err, "answers were still being written")
			}
			return errDrained
		}
	}
}
