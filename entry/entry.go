package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/batchjob"
	"github.com/crocusstile/crocusstile/budget"
	"github.com/crocusstile/crocusstile/forward"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/gossip"
	"github.com/crocusstile/crocusstile/meter"
	"github.com/crocusstile/crocusstile/platform"
	"github.com/crocusstile/crocusstile/wire"
)

// Timeouts and intervals of an entry VM.
const (
	// readHeaderTimeout bounds the time to receive the header of a request.
	readHeaderTimeout = 10 * cs.Second
	// callerIdleTimeout is how long a caller's connection may stay idle. It is longer than the operator's
	// limit, so that the server does not close a connection on which a caller within that limit is sending.
	callerIdleTimeout = 2 * cs.Minute
	// groupTimeout is the time without contact after which this VM's batch work moves to another VM.
	groupTimeout = 2 * cs.Second
	// registrationGrace is the time for which the registration of a live runner may be missing after the
	// store has recovered.
	registrationGrace = 2500 * cs.Millisecond
	// settingsPollInterval is the time between checks of the settings file, which may change without a
	// SIGHUP.
	settingsPollInterval = 2 * cs.Second
)

// VM is one entry VM: a control loop, the clients and servers that exchange events and actions with it,
// and the HTTP servers for callers, readiness checks, metrics and peers.
type VM struct {
	settings      Settings
	settingsPath  string
	self          cs.VM
	log           zerolog.Logger
	loop          *loop
	store         *platform.Store
	feeds         *platform.Feeds
	runners       *platform.Runners
	gossip        *gossip.Gossip
	stateExchange *gossip.StateExchange
	jobExchange   *gossip.JobStateExchange
	noteLogger    *noteLogger
	meter         *meter.Meter
	forward       *forward.Traffic
	batchjob      *batchjob.Traffic
	callers       *http.Server
	budget        *budget.Budget
	callerConns   *callerConns
	checkConns    *callerConns
	ingress       *platform.Ingress
	ready         *http.Server
	metrics       *http.Server
	peers         *http.Server
	clock         *cs.Clock
	drained       chan gateway.Exit
	tasks         sync.WaitGroup
	ctx           context.Context
	cancel        context.CancelFunc
}

// New builds an entry VM from a settings file; Run starts it.
func New(settingsPath string, log zerolog.Logger) (*VM, error) {
	s, err := LoadSettings(settingsPath)
	if err != nil {
		return nil, err
	}
	v := &VM{settings: s, settingsPath: settingsPath, log: log.With().Str("vm", string(s.VM)).Logger(), drained: make(chan gateway.Exit, 1)}
	v.ctx, v.cancel = context.WithCancel(context.Background())
	clock := cs.NewClock()
	v.clock = clock
	// The incarnation is the start time in milliseconds followed by 20 random bits, so that a later start has
	// a higher one.
	v.self = cs.VM{
		ID: s.VM, DataCentre: s.DataCentre, Address: s.addressOf(s.Listen.PeerPort),
		Incarnation:  cs.Incarnation(clock.Now())<<20 | cs.Incarnation(rand.Uint64N(1<<20)),
		JobLogFormat: wire.NewestJobLogFormat, Memory: cs.Bytes(s.MemoryMB) << 20,
	}
	limitMemory(s.MemoryMB)
	tables := gateway.New(gateway.Config{
		Grace: s.Grace, RegistrationGrace: registrationGrace, ResultRetention: s.ResultRetention, PartitionCount: s.Store.PartitionCount,
		GroupTimeout: s.groupTimeout(), JobLogFollowers: s.JobLogFollowers, RevokeBound: s.revokeBound(), Quota: s.Quota,
		MaxAppend: s.Store.MaxAppend, MaxOutput: wire.MaxOutput(s.Store.MaxRecord),
	}, v.self, clock.Now(), rand.Uint64())
	v.loop = newLoop(clock, tables)
	return v, v.buildComponents(clock)
}

// buildComponents creates the components that post events to the control loop or execute its actions.
func (v *VM) buildComponents(clock *cs.Clock) error {
	s, post := v.settings, v.loop.Post
	v.meter = meter.New(v.log)
	v.noteLogger = newNoteLogger(v.log, v.meter)
	v.budget = budget.New(budget.Config{Clock: clock, Limits: s.clients().limits(), Observe: v.observeLimit})
	v.store = platform.NewStore(s.Store.Address)
	v.jobExchange = gossip.NewJobStateExchange(gossip.JobStateConfig{Clock: clock, Post: post, Log: v.log})
	v.feeds = platform.NewFeeds(platform.FeedsConfig{
		Clock: clock, Store: v.store, Post: post, Log: v.log, GroupTimeout: s.groupTimeout(), Self: v.self, MaxRecord: s.Store.MaxRecord,
		ObtainJobs: v.jobExchange.Obtain, WaitForRole: true, RevokeBound: s.revokeBound(),
	})
	v.runners = platform.NewRunners(platform.RunnersConfig{Clock: clock, Post: post, Log: v.log})
	v.forward = forward.NewTraffic(forward.TrafficConfig{
		Clock: clock, Runners: v.runners, Post: post, ObserveFirstByte: v.noteLogger.recordFirstByte, ObserveDuration: v.noteLogger.recordResponse,
		Budget: v.budget,
	})
	v.batchjob = batchjob.NewTraffic(v.runners, post)
	var err error
	if v.gossip, err = gossip.New(gossip.Config{
		Listen: v.self.Address, Post: post, Pause: func() cs.Span { return v.loop.View().ReceivePause }, Log: v.log,
	}); err != nil {
		return errors.Wrap(err, "listen for peer reports")
	}
	v.stateExchange = gossip.NewStateExchange(post)
	peerHandler := http.NewServeMux()
	peerHandler.Handle("/", v.stateExchange)
	peerHandler.Handle(gossip.JobStatePath, v.jobExchange)
	v.ingress = platform.NewIngress(platform.IngressConfig{
		Clock: clock, Forward: v.forward, BatchJobs: v.batchjob, View: v.loop.View, Note: v.noteLogger.logNote, Loaded: v.loop.loaded,
		WallClock: func() cs.Instant { return cs.Instant(time.Now().UnixMilli()) }, Budget: v.budget,
	})
	peerHandler.Handle(platform.ForwardedPath, v.ingress.Forwarded())
	v.peers = &http.Server{Addr: string(v.self.Address), Handler: peerHandler, ReadHeaderTimeout: readHeaderTimeout.Std()}
	v.buildClientServers(clock)
	if s.Listen.MetricsPort > 0 {
		handler := http.NewServeMux()
		handler.Handle("/", v.meter.Handler())
		handler.Handle("GET "+platform.WherePath, platform.Where(clock, v.loop.View, v.batchjob.Ask))
		v.metrics = &http.Server{
			Addr: string(s.addressOf(s.Listen.MetricsPort)), Handler: handler, ReadHeaderTimeout: readHeaderTimeout.Std(),
		}
	}
	v.loop.handlers = handlers{
		forward: v.forward, batchjob: v.batchjob, runTask: v.startTask, appendJobs: v.appendJobs(clock), fenceJobs: v.feeds.FenceJobs, readJobs: v.feeds.WakeJobs,
		leaveGroup: v.feeds.LeaveGroup, setJobLogRole: v.feeds.SetJobLogRole,
		rereadJobs: func(a gateway.RereadJobs) { v.feeds.RereadJobs(a.From) },
		sendReport: v.gossip.Send, sendSlots: v.gossip.SendSlots, sendAllowance: v.gossip.SendAllowance, requestPeerState: v.requestPeerState, answerPeerState: v.stateExchange.Answer,
		answerJobState: v.jobExchange.AnswerState, answerStatePeer: v.jobExchange.AnswerPeer, logNote: v.noteLogger.logNote, itemsCtx: v.ctx,
		recordEstimateError: func(a gateway.RecordEstimateError) {
			v.meter.SetServiceGauge(meter.EstimateErrorRatio, a.Service, float64(a.Error))
		},
		drainComplete: func(e gateway.Exit) { v.drained <- e }, // a drain completes once
	}
	return nil
}

// buildClientServers creates the servers for callers and for readiness checks.
func (v *VM) buildClientServers(clock *cs.Clock) {
	s, limits := v.settings, v.settings.clients()
	v.callerConns = newClientConns(v.budget, budget.Callers, clock, limits.MaxFields)
	v.callers = &http.Server{
		Addr: string(s.Listen.Callers), Handler: v.callerConns.guard(v.ingress), ReadHeaderTimeout: readHeaderTimeout.Std(), IdleTimeout: callerIdleTimeout.Std(),
		MaxHeaderBytes: int(limits.MaxHeader), ConnState: v.callerConns.track, ConnContext: connContext,
	}
	v.checkConns = newClientConns(v.budget, budget.Checks, clock, limits.MaxFields)
	v.ready = &http.Server{
		Addr: string(s.Listen.Ready), Handler: v.checkConns.guard(platform.Ready(v.loop.View)), ReadHeaderTimeout: readHeaderTimeout.Std(),
		IdleTimeout: callerIdleTimeout.Std(), MaxHeaderBytes: int(limits.MaxHeader), ConnState: v.checkConns.track, ConnContext: connContext,
	}
}

// appendJobs returns a handler that appends to the job log and records how long that took.
func (v *VM) appendJobs(clock *cs.Clock) func(context.Context, gateway.AppendJobs) {
	return func(ctx context.Context, a gateway.AppendJobs) {
		start := clock.Now()
		v.feeds.AppendJobs(ctx, a)
		v.noteLogger.recordAppend(clock.Now().Sub(start))
	}
}

// requestPeerState requests the state of a peer.
func (v *VM) requestPeerState(ctx context.Context, a gateway.RequestPeerState) {
	if err := v.stateExchange.Request(ctx, a); err != nil && ctx.Err() == nil {
		v.log.Warn().Err(err).Str("peer", string(a.Peer)).Msg("failed to read peer state")
	}
}

// startTask runs a function on a goroutine of its own; Run waits for it to return.
func (v *VM) startTask(f func(context.Context)) { v.tasks.Go(func() { f(v.ctx) }) }

// Run serves until ctx ends or until the drain that SIGTERM starts is complete. If one component fails, all
// of them are shut down.
func (v *VM) Run(ctx context.Context, signals <-chan os.Signal) error {
	v.log.Info().Uint64("incarnation", uint64(v.self.Incarnation)).Str("address", string(v.settings.Listen.Callers)).Msg("started")
	listeners, err := v.listen()
	if err != nil {
		return err
	}
	var g run.Group
	for _, f := range []func(context.Context) error{
		v.loop.Run, v.feeds.RunCatalog, v.feeds.RunRunners, v.feeds.RunVMs, v.feeds.RunJobs, v.feeds.RunMembership,
		v.noteLogger.run, v.logActivity, v.watchSettings, v.budget.Run,
	} {
		g.Add(func() error { return f(v.ctx) }, func(error) { v.cancel() })
	}
	g.Add(func() error { return v.gossip.Run(v.ctx) }, func(error) { v.gossip.Close() })
	for i, s := range v.servers() {
		g.Add(func() error { return v.serve(s, listeners[i]) }, func(error) { _ = s.Close() }) // the drain has ended the requests
	}
	waitCtx, cancelWait := context.WithCancel(ctx)
	g.Add(func() error { return v.waitForShutdown(waitCtx, signals) }, func(error) { cancelWait() })
	err = g.Run()
	v.batchjob.Close()
	v.tasks.Wait()
	v.store.Close()
	v.runners.Close()
	if closeErr := v.meter.Close(); closeErr != nil {
		v.log.Warn().Err(closeErr).Msg("failed to close metrics")
	}
	if errors.Is(err, errDrained) || errors.Is(err, context.Canceled) {
		v.log.Info().Msg("stopped")
		return nil
	}
	return err
}

// servers returns the HTTP servers, that for readiness checks last.
func (v *VM) servers() []*http.Server {
	servers := []*http.Server{v.callers, v.peers}
	if v.metrics != nil {
		servers = append(servers, v.metrics)
	}
	return append(servers, v.ready)
}

// listen opens the listeners of the servers. It opens them all before anything is served: a VM that says that it is ready
// must accept the connections of callers.
func (v *VM) listen() ([]net.Listener, error) {
	var listeners []net.Listener
	for _, s := range v.servers() {
		l, err := v.listenFor(s)
		if err != nil {
			for _, l := range listeners {
				_ = l.Close() // nothing has been accepted
			}
			return nil, errors.Wrap(err, "listen")
		}
		listeners = append(listeners, l)
	}
	listeners[0] = v.callerConns.wrap(listeners[0])
	listeners[len(listeners)-1] = v.checkConns.wrap(listeners[len(listeners)-1])
	return listeners, nil
}

// listenFor opens the listener of a server.
func (v *VM) listenFor(s *http.Server) (net.Listener, error) {
	switch s {
	case v.callers:
		return listenBounded(s.Addr, callerBuffer)
	case v.ready:
		return listenBounded(s.Addr, checkBuffer)
	default:
		return net.Listen("tcp4", s.Addr)
	}
}

// serve runs an HTTP server until v.ctx ends. Serve returns as soon as a shutdown begins, while the last
// responses are still being written, so a server that shuts down must not end the run group.
func (v *VM) serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-v.ctx.Done()
	return v.ctx.Err()
}

// errDrained makes the run group end after a complete drain.
var errDrained = errors.New("drain complete")

// waitForShutdown starts the drain on SIGTERM and reloads the settings on SIGHUP, until the drain is
// complete.
func (v *VM) waitForShutdown(ctx context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-signals:
			if s == syscall.SIGHUP {
				v.reload()
				continue
			}
			v.log.Info().Str("signal", s.String()).Msg("stopping")
			if err := v.loop.Post(ctx, gateway.DrainRequested{}); err != nil {
				return err
			}
		case exit := <-v.drained:
			v.ingress.StopReading()
			closeCtx, cancel := context.WithTimeout(ctx, exit.By.Sub(v.clock.Now()).Std())
			defer cancel()
			if open := v.callerConns.closeAll(closeCtx); open > 0 {
				v.log.Warn().Int("connections", open).Msg("the process exits with responses still being written")
			}
			return errDrained
		}
	}
}

// reload reads the settings file again and applies the limits of memory and of clients. Changed addresses and store settings
// take effect when this VM restarts.
func (v *VM) reload() {
	next, err := LoadSettings(v.settingsPath)
	if err != nil {
		v.log.Error().Err(err).Msg("cannot reload settings; keeping the previous ones")
		return
	}
	limitMemory(next.MemoryMB)
	v.budget.SetLimits(next.clients().limits())
	v.log.Info().Bool("restartNeeded", next.needsRestart(v.settings)).Msg("settings read again")
}

// watchSettings reloads the settings when their file changes, until ctx ends.
func (v *VM) watchSettings(ctx context.Context) error {
	t := time.NewTicker(settingsPollInterval.Std())
	defer t.Stop()
	previous := v.settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			if modTime := v.settingsModTime(); !modTime.Equal(previous) {
				previous = modTime
				v.reload()
			}
		}
	}
}

// settingsModTime returns the modification time of the settings file, or the zero time if it cannot be read.
func (v *VM) settingsModTime() time.Time {
	info, err := os.Stat(v.settingsPath)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
