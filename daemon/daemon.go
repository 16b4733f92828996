// Package daemon builds the components of an entry VM and runs them as a group that stops together.
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
	"github.com/crocusstile/crocusstile/api"
	"github.com/crocusstile/crocusstile/control"
	"github.com/crocusstile/crocusstile/engine"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/link"
	"github.com/crocusstile/crocusstile/meter"
	"github.com/crocusstile/crocusstile/registry"
	"github.com/crocusstile/crocusstile/relay"
	"github.com/crocusstile/crocusstile/setting"
)

// Timeouts of a daemon.
const (
	// appendTimeout bounds one append to the job log. If the response takes longer, the outcome of the
	// append is determined by reading the log back.
	appendTimeout = 3 * cs.Second
	// orderTimeout bounds the request for the load report of a runner and an order to a runner.
	orderTimeout = 2 * cs.Second
	// readHeaderTimeout bounds the time in which a caller must send the header of a request.
	readHeaderTimeout = 10 * cs.Second
	// postTimeout bounds the wait of a link for space in the inbox of the control loop.
	postTimeout = cs.Second
)

// Daemon is one entry VM with all its components.
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

// New returns a daemon that serves on the listener once Run is called.
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
		Runners: d.poller, Telemetry: d.meter, Exit: func() { close(d.drained) },
	})
	d.server = &http.Server{Handler: d.handler(clock), ReadHeaderTimeout: readHeaderTimeout.Std()}
	return d
}

// buildComponents creates the components that post events to the control loop.
func (d *Daemon) buildComponents(clock *cs.Clock, incarnation cs.Incarnation) {
	s, post := d.settings, d.loop.Post
	client := engine.New(engine.Config{
		Clock: clock, DialTimeout: s.Runners.DialTimeout, FirstByteTimeout: s.Runners.FirstByteTimeout,
		IdleTimeout: s.Runners.IdleTimeout, MaxResponse: s.Limits.MaxResponse,
	})
	d.relay = relay.New(relay.Config{
		Clock: clock, Engine: client, Meter: d.meter, Post: post, VM: d.self.ID,
		RequestIDPrefix: string(d.self.ID) + "-" + strconv.FormatUint(uint64(incarnation), 36),
	})
	d.log = registry.NewLog(registry.LogConfig{Address: s.Log.Address, AppendTimeout: appendTimeout, Post: post})
	d.list = registry.NewList(registry.ListConfig{Address: s.List.Address, Poll: s.List.Poll, Post: post})
	d.poller = registry.NewPoller(registry.PollerConfig{Client: client, Poll: s.Runners.LoadPoll, Timeout: orderTimeout, Post: post})
	d.links = link.New(link.Config{Self: d.self, PeerTimeout: s.Control().PeerTimeout, OnEvent: func(e fleet.Event) {
		ctx, cancel := context.WithTimeout(context.Background(), postTimeout.Std())
		defer cancel()
		_ = post(ctx, e) // peers send important messages again
	}})
}

// handler returns the HTTP handler for callers, operators and peers.
func (d *Daemon) handler(clock *cs.Clock) http.Handler {
	return api.Handler(api.Config{
		Clock: clock, Relay: d.relay, View: d.loop.View, Meter: d.meter, Links: d.links.Handler(),
		Drain:  func(ctx context.Context) error { return d.loop.Post(ctx, fleet.DrainRequested{}) },
		Shards: d.settings.Control().Shards, MaxBody: d.settings.Limits.MaxBody, MaxItems: d.settings.Limits.MaxItems,
	})
}

// incarnationRandomBits is the number of random low bits of an incarnation, which distinguish starts
// within the same millisecond.
const incarnationRandomBits = 20

// newIncarnation returns a number unique to this start of the process. Later starts have higher
// numbers, so that peers can distinguish a VM from its replacement.
func newIncarnation(now cs.Instant) cs.Incarnation {
	return cs.Incarnation(now)<<incarnationRandomBits | cs.Incarnation(rand.Uint64N(1<<incarnationRandomBits))
}

// Self returns the description of this VM that is sent to peers.
func (d *Daemon) Self() cs.VM { return d.self }

// View returns the latest state published by the control loop.
func (d *Daemon) View() *fleet.View { return d.loop.View() }

// Run serves until a drain started by a signal on signals is complete, a second signal arrives, or ctx
// ends. If one component fails, all are stopped.
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

// serve serves HTTP until the group ends. During a graceful shutdown Serve returns at once, while the
// last responses are still being written, so serve then waits for serverClosed.
func (d *Daemon) serve(serverClosed <-chan struct{}) error {
	err := d.server.Serve(d.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-serverClosed
		return nil
	}
	return err
}

// errDrained is returned by waitForDrain after a complete drain; Run converts it to nil.
var errDrained = errors.New("the drain is complete")

// shutdownTimeout bounds the time for writing the last responses after a drain.
const shutdownTimeout = 5 * cs.Second

// waitForDrain starts a drain on the first signal and returns when it is complete, or on the second
// signal.
func (d *Daemon) waitForDrain(ctx context.Context, signals <-chan os.Signal) error {
	draining := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signals:
			if draining {
				return errors.New("second signal received before the drain was complete")
			}
			draining = true
			if err := d.loop.Post(ctx, fleet.DrainRequested{}); err != nil {
				return err
			}
		case <-d.drained:
			shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout.Std())
			defer cancel()
			if err := d.server.Shutdown(shutdownCtx); err != nil {
				return errors.Wrap(err, "shut down with responses in flight")
			}
			return errDrained
		}
	}
}
