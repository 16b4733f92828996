package entry_test

import (
	"fmt"
	"math/rand/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/entry"
	"github.com/crocusstile/crocusstile/gateway"
)

// The simulated network and runners.
const (
	// simStep is the resolution of simulated time. An event reaches a VM in the step after it happened.
	simStep = 5 * cs.Millisecond
	// runnerPrefill is the time from the arrival of a request at a runner until its response begins, and
	// runnerService the time until it is complete.
	runnerPrefill = 30 * cs.Millisecond
	runnerService = 400 * cs.Millisecond
	// runnerDowntime is the time from the crash of a runner until its next start is registered.
	runnerDowntime = 3400 * cs.Millisecond
	// connectTime is the time until a connection to a runner that is down is refused.
	connectTime = 2 * cs.Millisecond
)

// simRunner is a simulated runner.
type simRunner struct {
	spec cs.Runner
	// downUntil is the end of the time after a crash during which connections are refused.
	downUntil cs.Instant
	inFlight  map[*simAttempt]bool
	items     map[*simRun]bool
	// limit is the limit that the runner names in its responses, or 0.
	limit cs.PerSecond
	// told holds the VMs that have learned of a limit from the runner's last response to them.
	told map[*simVM]bool
	// arrivals are the times at which requests reached the runner.
	arrivals []cs.Instant
}

// simAttempt is one attempt of a request at a runner.
type simAttempt struct {
	vm      *simVM
	id      gateway.ForwardID
	attempt cs.Attempt
	parts   []cs.PromptPart
	runner  *simRunner
	begun   bool
}

// simRefusal is a request that a VM refused.
type simRefusal struct {
	at     cs.Instant
	vm     cs.VMID
	parts  []cs.PromptPart
	refuse gateway.Refuse
	// waited is the time since the request arrived.
	waited cs.Span
}

// simDispatch is a request that a VM sent to a runner.
type simDispatch struct {
	at      cs.Instant
	vm      cs.VMID
	runner  cs.RunnerID
	attempt cs.Attempt
	parts   []cs.PromptPart
}

// simVM is a simulated VM with the control loop's systems.
type simVM struct {
	tables *gateway.Tables
	inbox  []gateway.Event
	dueAt  cs.Instant
	// cutUntil is the end of a network partition between this VM and all others.
	cutUntil cs.Instant
	requests map[gateway.ForwardID][]cs.PromptPart
	arrived  map[gateway.ForwardID]cs.Instant
	// stopped means that the process has been killed.
	stopped bool
}

// simFleet runs the systems of many VMs in front of simulated runners, in simulated time.
type simFleet struct {
	now      cs.Instant
	rand     *rand.Rand
	vms      []*simVM
	runners  []*simRunner
	timeline map[cs.Instant][]func()
	lastID   gateway.ForwardID
	route    cs.Route
	// key is the digest of the key of the requests, or zero.
	key cs.KeyDigest
	// deadly is a part that crashes each runner that begins a response to a prompt with it, or 0.
	deadly cs.PromptPart

	// dataCentres are those of the VMs and runners, in turn.
	dataCentres []cs.DataCentreID
	// jobLogFollowers is the number of VMs of each data centre that follow the job log; 0 means that all do.
	jobLogFollowers int
	// withoutAllocators runs the VMs without the systems that share the slots of runners.
	withoutAllocators bool
	// full is the load at which runners refuse requests, or 0, and service the time of a response.
	full    int
	service cs.Span
	counts  struct{ sends, rejected, answered, refused int }
	// waits are the times from the arrival of requests until they were sent to the runners that answered them.
	waits []cs.Span
	// sentTwice counts the sends of requests that were in flight at a runner already.
	sentTwice int
	// batch is the batch load, or nil.
	batch *simBatch
	// engine runs the requests and items, if it is set.
	engine *engineFleet

	// observeReport is called with each report, if it is set.
	observeReport func(gateway.Report)
	// observeSend is called with each report and its receivers, if it is set.
	observeSend func(gateway.SendReport)
	// maxTransit is the longest time of a report on the network, and lost the share of reports that do not arrive there.
	maxTransit cs.Span
	lost       float64

	crashes    []cs.Instant
	dispatches []simDispatch
	refusals   []simRefusal
	begun      int
}

// newSimFleet returns a fleet in which each VM knows all others and all runners.
func newSimFleet(seed uint64, vms, runners int) *simFleet {
	return newSimFleetWith(simFleetConfig{dataCentres: []cs.DataCentreID{"a"}, seed: seed, vms: vms, runners: runners})
}

// simFleetConfig describes a fleet.
type simFleetConfig struct {
	// dataCentres are those of the VMs and runners, in turn.
	dataCentres  []cs.DataCentreID
	seed         uint64
	vms, runners int
	// jobLogFollowers is the number of VMs of each data centre that follow the job log; 0 means that all do.
	jobLogFollowers int
}

// newSimFleetWith returns a fleet in which each VM knows all others and all runners.
func newSimFleetWith(cfg simFleetConfig) *simFleet {
	vms, runners, dataCentres, seed := cfg.vms, cfg.runners, cfg.dataCentres, cfg.seed
	f := &simFleet{
		dataCentres: dataCentres, service: runnerService, jobLogFollowers: cfg.jobLogFollowers,
		now: 1_000_000, rand: rand.New(rand.NewPCG(seed, 2)), timeline: make(map[cs.Instant][]func()),
		route: cs.Route{
			Name: "ask", Kind: cs.RouteStreaming, Resumable: true, MaxAttempts: 2, Target: 300, GapTarget: 300, Timeout: 5 * cs.Second,
			Shares: []cs.ServiceShare{{Service: "s", Weight: 1}},
		},
	}
	for i := range runners {
		f.runners = append(f.runners, &simRunner{inFlight: make(map[*simAttempt]bool), items: make(map[*simRun]bool), told: make(map[*simVM]bool), spec: cs.Runner{
			ID: cs.RunnerID(fmt.Sprintf("r%d", i)), Service: "s", DataCentre: dataCentres[i%len(dataCentres)], Slots: 8, Incarnation: 1,
			Address: cs.Address(fmt.Sprintf("r%d:1", i)),
		}})
	}
	for i := range vms {
		f.vms = append(f.vms, f.newVM(i, 1))
	}
	return f
}

// newVM returns the VM with a number, in a new incarnation.
func (f *simFleet) newVM(i int, incarnation cs.Incarnation) *simVM {
	self := cs.VM{ID: cs.VMID(fmt.Sprintf("vm%03d", i)), DataCentre: f.dataCentres[i%len(f.dataCentres)], Incarnation: incarnation, Address: cs.Address(fmt.Sprintf("vm%d:1", i))}
	v := &simVM{
		tables: gateway.New(gateway.Config{RegistrationGrace: 2500, JobLogFollowers: f.jobLogFollowers}, self, f.now, f.rand.Uint64()), requests: make(map[gateway.ForwardID][]cs.PromptPart),
		arrived: make(map[gateway.ForwardID]cs.Instant),
	}
	v.tables.Catalog = cs.NewCatalog(1, []cs.Route{f.route}, nil, cs.CallerLimits{})
	v.tables.Feeds[gateway.FeedRunners].Loaded = true
	for _, r := range f.runners {
		if f.now >= r.downUntil {
			v.inbox = append(v.inbox, gateway.RunnersRead{Changes: []gateway.RunnerChange{{ID: r.spec.ID, Runner: &r.spec}}})
		}
	}
	for j := range max(len(f.vms), i) {
		if j != i {
			other := cs.VM{ID: cs.VMID(fmt.Sprintf("vm%03d", j)), DataCentre: "a", Incarnation: 1, Address: cs.Address(fmt.Sprintf("vm%d:1", j))}
			v.tables.Peers.Insert(other.ID, gateway.Peer{VM: other})
			if j < len(f.vms) && f.vms[j].tables.Peers.Get(self.ID) == nil {
				f.vms[j].tables.Peers.Insert(self.ID, gateway.Peer{VM: self})
			}
		}
	}
	return v
}

// at runs a function in a later step.
func (f *simFleet) at(delay cs.Span, run func()) {
	due := f.now.Add(max(delay, simStep)) / cs.Instant(simStep) * cs.Instant(simStep)
	f.timeline[due] = append(f.timeline[due], run)
}

// restart replaces a VM by a new process, which has forgotten everything.
func (f *simFleet) restart(i int) {
	f.vms[i] = f.newVM(i, f.vms[i].tables.Self.Incarnation+1)
}

// anyVM returns one of the VMs that run.
func (f *simFleet) anyVM() *simVM {
	for {
		if v := f.vms[f.rand.IntN(len(f.vms))]; !v.stopped {
			return v
		}
	}
}

// send sends a request of a caller to a VM; each has a content of its own.
func (f *simFleet) send(v *simVM, parts ...cs.PromptPart) {
	f.lastID++
	v.requests[f.lastID], v.arrived[f.lastID] = parts, f.now
	v.inbox = append(v.inbox, gateway.ForwardArrived{Forward: gateway.Forward{
		ID: f.lastID, Request: cs.RequestID(fmt.Sprint(f.lastID)), Route: f.route, Content: cs.ContentHash(f.lastID) + 1<<40, Parts: parts,
		Key: f.key, Arrived: f.now, Deadline: f.now.Add(f.route.Timeout),
	}})
}

// step advances the simulated time by one step.
func (f *simFleet) step() {
	f.now = f.now.Add(simStep)
	due := f.timeline[f.now]
	delete(f.timeline, f.now)
	for _, run := range due {
		run()
	}
	for _, v := range f.vms {
		if !v.stopped && (len(v.inbox) > 0 || v.dueAt <= f.now) {
			f.tick(v)
		}
	}
}

// tick runs the systems of a VM and carries out their actions.
func (f *simFleet) tick(v *simVM) {
	var out gateway.Actions
	v.tables.Events, v.inbox = v.inbox, nil
	for _, system := range entry.Systems() {
		system(v.tables, f.now, &out)
	}
	if f.withoutAllocators {
		for _, r := range v.tables.Runners.All() {
			r.Allocation = gateway.Allocation{}
		}
	}
	v.dueAt = f.now.Add(500)
	if due := out.NextWake(); due != 0 {
		v.dueAt = min(v.dueAt, due)
	}
	for _, a := range out.List {
		switch a := a.(type) {
		case gateway.Dispatch:
			if f.engine != nil {
				f.engine.send(v, a)
				continue
			}
			f.dispatch(v, a)
		case gateway.Refuse:
			f.counts.refused++
			f.refusals = append(f.refusals, simRefusal{at: f.now, vm: v.tables.Self.ID, parts: v.requests[a.ID], refuse: a, waited: f.now.Sub(v.arrived[a.ID])})
			delete(v.requests, a.ID)
		case gateway.SendReport:
			f.report(v, a)
		case gateway.SendSlots:
			f.sendSlots(v, a)
		case gateway.SendAllowance:
			f.sendAllowance(v, a)
		case gateway.RunItem:
			if f.engine != nil {
				f.engine.runItem(v, a)
				continue
			}
			f.batch.run(f, v, a)
		case gateway.StopItem:
			if f.engine != nil {
				f.engine.stopItem(v, a)
				continue
			}
			f.batch.stop(f, v, a)
		default:
		}
	}
}

// report delivers a report to the VMs to which it is addressed, as far as the sender can reach them.
func (f *simFleet) report(from *simVM, a gateway.SendReport) {
	if f.observeReport != nil {
		f.observeReport(a.Report)
	}
	if f.observeSend != nil {
		f.observeSend(a)
	}
	e := gateway.PeerReported{Address: from.tables.Self.Address, Report: a.Report}
	to := make(map[cs.Address]bool, len(a.To))
	for _, address := range a.To {
		to[address] = true
	}
	transit := simStep
	if f.maxTransit > 0 {
		transit += cs.Span(f.rand.IntN(int(f.maxTransit)))
	}
	f.at(transit, func() {
		for _, v := range f.vms {
			if to[v.tables.Self.Address] && v != from && !v.stopped && f.now >= v.cutUntil && f.now >= from.cutUntil && (f.lost == 0 || f.rand.Float64() >= f.lost) {
				v.inbox = append(v.inbox, e)
			}
		}
	})
}

// dispatch sends a request to a runner.
func (f *simFleet) dispatch(v *simVM, d gateway.Dispatch) {
	var r *simRunner
	for _, candidate := range f.runners {
		if candidate.spec.ID == d.Runner {
			r = candidate
		}
	}
	a := &simAttempt{vm: v, id: d.ID, attempt: d.Attempt, parts: v.requests[d.ID], runner: r}
	f.dispatches = append(f.dispatches, simDispatch{at: f.now, vm: v.tables.Self.ID, runner: d.Runner, attempt: d.Attempt, parts: a.parts})
	if f.now < r.downUntil {
		f.at(connectTime, func() { a.end(gateway.OutcomeNotRun{Reason: "connection refused", Unreachable: true, Refused: true}) })
		return
	}
	f.counts.sends++
	for _, other := range f.runners {
		for b := range other.inFlight {
			if b.vm == v && b.id == d.ID {
				f.sentTwice++
			}
		}
	}
	if f.full > 0 && r.load() >= f.full {
		f.counts.rejected++
		f.at(simStep, func() { a.end(gateway.OutcomeNotRun{Reason: "full"}) })
		return
	}
	if w := f.now.Sub(v.arrived[d.ID]); f.full > 0 {
		f.waits = append(f.waits, w+f.queueTime(r))
	}
	r.inFlight[a] = true
	r.arrivals = append(r.arrivals, f.now)
	f.at(runnerPrefill, func() { f.begin(a) })
}

// begin begins the response to an attempt, or crashes the runner.
func (f *simFleet) begin(a *simAttempt) {
	if !a.runner.inFlight[a] {
		return
	}
	for _, p := range a.parts {
		if p == f.deadly && p != 0 {
			f.crash(a.runner)
			return
		}
	}
	a.begun = true
	f.begun++
	a.runner.tellLimit(a.vm)
	a.vm.inbox = append(a.vm.inbox, gateway.ForwardStarted{ID: a.id, Attempt: a.attempt})
	f.at(f.service, func() {
		if a.runner.inFlight[a] {
			f.counts.answered++
			delete(a.runner.inFlight, a)
			a.end(gateway.OutcomeAnswered{Status: 200})
		}
	})
}

// tellLimit tells a VM the limit in a response.
func (r *simRunner) tellLimit(v *simVM) {
	switch {
	case r.limit > 0:
		v.inbox = append(v.inbox, gateway.RunnerLimitRead{Runner: r.spec.ID, Named: true, Limit: r.limit})
		r.told[v] = true
	case r.told[v]:
		v.inbox = append(v.inbox, gateway.RunnerLimitRead{Runner: r.spec.ID})
		delete(r.told, v)
	}
}

// crash ends a runner and all attempts at it, and registers it again after a time.
func (f *simFleet) crash(r *simRunner) {
	f.crashes = append(f.crashes, f.now)
	r.downUntil = f.now.Add(runnerDowntime)
	r.spec.Incarnation++
	for a := range r.inFlight {
		last := cs.EventID(0)
		if a.begun {
			last = 1
		}
		a.end(gateway.OutcomeInterrupted{Error: "unexpected EOF", Disconnected: true, LastEvent: last})
	}
	clear(r.inFlight)
	f.at(runnerDowntime, func() {
		spec := r.spec
		for _, v := range f.vms {
			v.inbox = append(v.inbox, gateway.RunnersRead{Changes: []gateway.RunnerChange{{ID: spec.ID, Runner: &spec}}})
		}
	})
}

// end reports the outcome of an attempt to its VM.
func (a *simAttempt) end(o gateway.Outcome) {
	a.vm.inbox = append(a.vm.inbox, gateway.ForwardEnded{ID: a.id, Attempt: a.attempt, Outcome: o})
}
