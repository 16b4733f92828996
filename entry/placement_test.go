package entry_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// The load of the users' site whose requests differ most: sizes are lognormal, runners have three speeds, and each shares its
// machine, so that it is slower in episodes.
const (
	placementVMs     = 81
	placementRunners = 89
	placementRate    = 407.0 // streams a second on average
	placementJobRate = 5.1   // jobs of ten items a second

	engineSlots     = 8
	engineQueue     = 2    // requests that may wait at a runner beyond its slots
	engineStepMs    = 2.27 // for each token
	engineEventSize = 15   // tokens of an event
	engineReadRate  = 10   // prompt tokens read in a millisecond
	engineMemory    = 147_261

	medianEvents = 18
	spreadEvents = 0.57
	minEvents    = 5
	maxEvents    = 28
	spreadHint   = 0.5
	jobEvents    = 122

	slowFactor   = 2.5
	slowShare    = 0.15
	slowLengthMs = 300.0

	sharedParts    = 60
	sharedPartMin  = 100
	sharedPartMax  = 600
	ownPartTokens  = 150
	placementFirst = 300 * cs.Millisecond
)

var engineSpeeds = []float64{1.0, 1.0, 1.3}

// engineRequest is a request or an item at a simulated engine.
type engineRequest struct {
	attempt *simAttempt // nil for an item
	item    *simRun
	key     gateway.ItemKey
	// readMs and outputMs are the work that is left, at speed 1.
	readMs, outputMs float64
	events, from     cs.EventID
	begun            bool
}

// engineRunner is the state of a simulated engine.
type engineRunner struct {
	*simRunner
	speed       float64
	slowUntil   cs.Instant
	quietUntil  cs.Instant
	running     []*engineRequest
	waiting     []*engineRequest
	cached      map[cs.PromptPart]cs.Instant
	cachedSizes int
}

// enginePrompt is what a caller sends.
type enginePrompt struct {
	part   cs.PromptPart
	events cs.EventID
	hint   cs.Tokens
}

// engineFleet runs simulated engines behind a simFleet.
type engineFleet struct {
	*simFleet
	engines map[cs.RunnerID]*engineRunner
	order   []*engineRunner
	prompts map[gateway.ForwardID]enginePrompt
	jobs    bool
	// figures lets the engines state the figure by which requests are placed by their work.
	figures bool
	// sharedRead counts the tokens of shared parts that runners have read.
	sharedRead int
	// factor is the load as a multiple of that of the site.
	factor    float64
	begin     cs.Instant // of the time that is measured
	firsts    []cs.Span
	rejected  int
	sends     int
	itemsDone int
	itemStops int
}

// placementResult is what became of the load.
type placementResult struct {
	arrived, within, sends, rejected, refused, sharedRead, itemsDone, itemStops int
	p50, p99                                                                    cs.Span
}

func (r placementResult) String() string {
	return fmt.Sprintf("%d requests, %.4f begun within %d ms, p50 %d ms, p99 %d ms; %d sends, %d rejected, %d refused; %d tokens of shared parts read; %d items done, %d stopped",
		r.arrived, r.share(), placementFirst, r.p50, r.p99, r.sends, r.rejected, r.refused, r.sharedRead, r.itemsDone, r.itemStops)
}

// share returns the share of the requests whose first event came in time.
func (r placementResult) share() float64 { return float64(r.within) / float64(r.arrived) }

// newEngineFleet returns a fleet in three data centres with engines of three speeds.
func newEngineFleet(seed uint64, jobs, figures bool) *engineFleet {
	f := newSimFleetWith(simFleetConfig{dataCentres: []cs.DataCentreID{"a", "b", "c"}, seed: seed, vms: placementVMs, runners: placementRunners})
	e := &engineFleet{simFleet: f, engines: make(map[cs.RunnerID]*engineRunner), prompts: make(map[gateway.ForwardID]enginePrompt), jobs: jobs, figures: figures}
	f.engine = e
	mark := cs.Route{
		Name: "mark", Kind: cs.RouteBatch, MaxAttempts: 3, Target: 1200, Completion: 18 * cs.Second,
		Shares: []cs.ServiceShare{{Service: "s", Weight: 1}},
	}
	for i, r := range f.runners {
		er := &engineRunner{simRunner: r, speed: engineSpeeds[i/3%3], cached: make(map[cs.PromptPart]cs.Instant)}
		e.engines[r.spec.ID], e.order = er, append(e.order, er)
	}
	for _, v := range f.vms {
		v.tables.Catalog = cs.NewCatalog(1, []cs.Route{f.route, mark}, nil, cs.CallerLimits{})
		v.tables.Config.PartitionCount = itemOwners
		v.tables.Pace = gateway.Pace{EventsPerOutput: jobEvents, EventIntervalMs: engineStepMs * engineEventSize}
	}
	f.startBatch()
	return e
}

// play plays a time of the load and returns what became of it.
func (e *engineFleet) play(length cs.Span) placementResult {
	e.firsts, e.rejected, e.sends, e.sharedRead, e.itemsDone, e.itemStops = nil, 0, 0, 0, 0, 0
	refused, arrived := e.counts.refused, 0
	e.begin = e.now + 1
	for begin := e.now; e.now < begin.Add(length+drainTime); e.step() {
		if e.now%500 == 0 {
			e.renewMemberships()
		}
		factor := valleyShare
		if e.now.Sub(begin)%peakPeriod >= valleyLength {
			factor = valleyPeakFactor
		}
		if e.now >= begin.Add(length) {
			factor = 0 // lets the requests end that are measured
		}
		for n := placementRate * e.factor * factor * float64(simStep) / 1000; n > 0; n-- {
			if e.rand.Float64() < n {
				e.arrive()
				arrived++
			}
		}
		if e.jobs && e.rand.Float64() < placementJobRate*float64(simStep)/1000 {
			e.addJob()
		}
		for _, r := range e.order {
			e.advance(r)
		}
	}
	result := placementResult{
		arrived: arrived, sends: e.sends, rejected: e.rejected, refused: e.counts.refused - refused, sharedRead: e.sharedRead,
		itemsDone: e.itemsDone, itemStops: e.itemStops,
	}
	slices.Sort(e.firsts)
	for _, w := range e.firsts {
		if w <= placementFirst {
			result.within++
		}
	}
	if n := len(e.firsts); n > 0 {
		result.p50, result.p99 = e.firsts[n/2], e.firsts[n*99/100]
	}
	return result
}

// The load in valleys and in peaks as a multiple of the mean, and the time after a load in which its requests end.
const (
	valleyShare      = 0.38
	valleyPeakFactor = 1.87
	drainTime        = 2 * cs.Second
)

// arrive sends a request with a size of its own to one of the VMs.
func (e *engineFleet) arrive() {
	v := e.anyVM()
	e.lastID++
	events := min(max(math.Round(medianEvents*math.Exp(e.rand.NormFloat64()*spreadEvents)), minEvents), maxEvents)
	// Parts are used with a frequency that falls with their number, as prompts of few tenants make up most of the traffic.
	part := cs.PromptPart(1 + int(float64(sharedParts)*e.rand.Float64()*e.rand.Float64()))
	p := enginePrompt{
		part: part, events: cs.EventID(events), hint: cs.Tokens(math.Round(events * engineEventSize * math.Exp(e.rand.NormFloat64()*spreadHint))),
	}
	e.prompts[e.lastID] = p
	v.requests[e.lastID], v.arrived[e.lastID] = []cs.PromptPart{part}, e.now
	v.inbox = append(v.inbox, gateway.ForwardArrived{Forward: gateway.Forward{
		ID: e.lastID, Request: cs.RequestID(fmt.Sprint(e.lastID)), Route: e.route, Content: cs.ContentHash(e.lastID) + 1<<40, Parts: []cs.PromptPart{part},
		Arrived: e.now, Deadline: e.now.Add(e.route.Timeout),
		Size: cs.RequestSize{
			Prompt: cs.Tokens(partTokens(part) + ownPartTokens), Maximum: maxEvents * engineEventSize, Hint: p.hint, Parts: []cs.Tokens{cs.Tokens(partTokens(part))},
		},
	}})
}

// partTokens returns the size of a shared part.
func partTokens(p cs.PromptPart) int {
	return sharedPartMin + int(uint64(p)*2654435761%(sharedPartMax-sharedPartMin))
}

// send sends an attempt to an engine, or refuses it if the engine is full.
func (e *engineFleet) send(v *simVM, d gateway.Dispatch) {
	r := e.engines[d.Runner]
	a := &simAttempt{vm: v, id: d.ID, attempt: d.Attempt, runner: r.simRunner}
	e.sends++
	if len(r.running)+len(r.waiting) >= engineSlots+engineQueue {
		e.rejected++
		e.at(simStep, func() { a.end(gateway.OutcomeNotRun{Reason: "full"}) })
		return
	}
	p := e.prompts[d.ID]
	read := ownPartTokens + r.readShared(e, p.part)
	r.admit(&engineRequest{
		attempt: a, readMs: float64(read) / engineReadRate, events: p.events, outputMs: float64(p.events) * engineEventSize * engineStepMs,
	})
}

// readShared returns the tokens of a shared part that the engine must read, and caches the part.
func (r *engineRunner) readShared(e *engineFleet, p cs.PromptPart) int {
	if _, ok := r.cached[p]; ok {
		r.cached[p] = e.now
		return 0
	}
	size := partTokens(p)
	for r.cachedSizes+size > engineMemory/2 {
		oldest := p
		for other, at := range r.cached {
			if o, ok := r.cached[oldest]; !ok || at < o || at == o && other < oldest {
				oldest = other
			}
		}
		delete(r.cached, oldest)
		r.cachedSizes -= partTokens(oldest)
	}
	r.cached[p] = e.now
	r.cachedSizes += size
	e.sharedRead += size
	return size
}

// admit starts a request in a free slot, or lets it wait.
func (r *engineRunner) admit(q *engineRequest) {
	if len(r.running) < engineSlots {
		r.running = append(r.running, q)
	} else {
		r.waiting = append(r.waiting, q)
	}
}

// runItem runs an item at an engine.
func (e *engineFleet) runItem(v *simVM, a gateway.RunItem) {
	r := e.engines[a.Runner]
	if len(r.running)+len(r.waiting) >= engineSlots+engineQueue {
		e.rejected++
		e.at(simStep, func() {
			v.inbox = append(v.inbox, gateway.ItemRunEnded{Key: a.Key, Attempt: a.Attempt, Outcome: gateway.ItemNotRun{}})
		})
		return
	}
	run := &simRun{attempt: a.Attempt, runner: r.simRunner, vm: v, from: a.LastEvent, started: e.now}
	e.batch.runs[a.Key] = run
	r.admit(&engineRequest{
		item: run, key: a.Key, readMs: 500 / engineReadRate, events: jobEvents, from: a.LastEvent,
		outputMs: float64(jobEvents-a.LastEvent) * engineEventSize * engineStepMs,
	})
}

// stopItem stops a run of an item.
func (e *engineFleet) stopItem(v *simVM, a gateway.StopItem) {
	run := e.batch.runs[a.Key]
	if run == nil || run.attempt != a.Attempt {
		return
	}
	r := e.engines[run.runner.spec.ID]
	is := func(q *engineRequest) bool { return q.item == run }
	i := slices.IndexFunc(r.running, is)
	last := cs.EventID(0)
	if i >= 0 {
		q := r.running[i]
		if done := jobEvents - cs.EventID(math.Ceil(q.outputMs/(engineEventSize*engineStepMs))); done > run.from {
			last = done
		}
	} else if !slices.ContainsFunc(r.waiting, is) {
		return // it has ended
	}
	r.running = slices.DeleteFunc(r.running, is)
	r.waiting = slices.DeleteFunc(r.waiting, is)
	e.itemStops++
	e.at(simStep, func() {
		v.inbox = append(v.inbox, gateway.ItemRunEnded{Key: a.Key, Attempt: a.Attempt, LastEvent: last, Outcome: gateway.ItemStopped{}})
	})
}

// figure returns what the engine states about its machine: 100 is the usual value.
func (r *engineRunner) figure(now cs.Instant) float64 {
	if now < r.slowUntil {
		return 100 * slowFactor
	}
	return 100
}

// advance lets an engine work for one step.
func (e *engineFleet) advance(r *engineRunner) {
	if e.now >= r.slowUntil && e.now >= r.quietUntil {
		if r.quietUntil != 0 {
			r.slowUntil = e.now.Add(cs.Span(e.rand.ExpFloat64() * slowLengthMs))
		}
		r.quietUntil = max(r.slowUntil, e.now).Add(cs.Span(e.rand.ExpFloat64() * slowLengthMs * (1 - slowShare) / slowShare))
	}
	for len(r.waiting) > 0 && len(r.running) < engineSlots {
		r.running, r.waiting = append(r.running, r.waiting[0]), r.waiting[1:]
	}
	progress := float64(simStep) * r.speed * 100 / r.figure(e.now)
	r.running = slices.DeleteFunc(r.running, func(q *engineRequest) bool { return e.advanceRequest(r, q, progress) })
}

// advanceRequest lets a request progress, and reports whether it has ended.
func (e *engineFleet) advanceRequest(r *engineRunner, q *engineRequest, progress float64) bool {
	if read := min(q.readMs, progress); read > 0 {
		q.readMs -= read
		progress -= read
	}
	q.outputMs -= progress
	if q.item != nil {
		if q.outputMs > 0 {
			return false
		}
		e.itemsDone++
		q.item.vm.inbox = append(q.item.vm.inbox, gateway.ItemRunEnded{Key: q.key, Attempt: q.item.attempt, LastEvent: jobEvents, Outcome: gateway.ItemCompleted{}})
		return true
	}
	a := q.attempt
	if !q.begun && q.outputMs <= float64(q.events-1)*engineEventSize*engineStepMs {
		q.begun = true
		if e.figures {
			a.vm.inbox = append(a.vm.inbox, gateway.RunnerLoadRead{Runner: r.spec.ID, Figure: r.figure(e.now)})
		}
		if at := a.vm.arrived[a.id]; at >= e.begin {
			e.firsts = append(e.firsts, e.now.Sub(at))
		}
		a.vm.inbox = append(a.vm.inbox, gateway.ForwardStarted{ID: a.id, Attempt: a.attempt})
	}
	if q.outputMs > 0 {
		return false
	}
	a.end(gateway.OutcomeAnswered{Status: 200, LastEvent: q.events})
	return true
}

// placementSeeds are the seeds of the simulated loads.
var placementSeeds = []uint64{1, 2, 3}

// Guards against a choice by expected times that is worse than the one by the number of requests on the same loads: first events that
// come late, sends that runners reject, and parts of prompts that are read again. Guards as well against batch work that delays online
// requests.
func TestPlacementByWork(t *testing.T) {
	p99 := make(map[bool]cs.Span)
	for _, jobs := range []bool{false, true} {
		t.Run(fmt.Sprintf("jobs=%t", jobs), func(t *testing.T) {
			c := qt.New(t)
			requests, work := playPlacement(1, jobs, false), playPlacement(1, jobs, true)
			c.Logf("requests: %v", requests)
			c.Logf("work:     %v", work)
			c.Check(work.share() >= requests.share()-0.0005, qt.IsTrue)
			c.Check(work.p99 <= requests.p99, qt.IsTrue)
			c.Check(work.rejected <= requests.rejected+work.sends/1000, qt.IsTrue)
			c.Check(work.sharedRead <= requests.sharedRead, qt.IsTrue)
			c.Check(float64(work.itemsDone) >= 0.98*float64(requests.itemsDone), qt.IsTrue)
			c.Check(work.itemStops <= requests.itemStops, qt.IsTrue)
			p99[jobs] = work.p99
		})
	}
	if len(p99) < 2 {
		return // only one of the loads was to be played
	}
	qt.Check(t, float64(p99[true]) <= 1.1*float64(p99[false]), qt.IsTrue, qt.Commentf("p99 %d ms with batch work, %d ms without", p99[true], p99[false]))
}

// BenchmarkPlacement compares requests as the weight with work as the weight, without and with batch work.
func BenchmarkPlacement(b *testing.B) {
	for _, load := range []float64{1, 1.3} {
		for _, jobs := range []bool{false, true} {
			for _, figures := range []bool{false, true} {
				b.Run(fmt.Sprintf("load=%g/jobs=%t/work=%t", load, jobs, figures), func(b *testing.B) {
					for b.Loop() {
						b.Log(playPlacement(load, jobs, figures))
					}
				})
			}
		}
	}
}

// playPlacement plays the load with each seed, and returns the results together.
func playPlacement(load float64, jobs, figures bool) placementResult {
	var sum placementResult
	var firsts []cs.Span
	for _, seed := range placementSeeds {
		e := newEngineFleet(seed, jobs, figures)
		e.factor = load
		e.play(peakPeriod)
		r := e.play(2 * peakPeriod)
		firsts = append(firsts, e.firsts...)
		sum.arrived += r.arrived
		sum.within += r.within
		sum.sends += r.sends
		sum.rejected += r.rejected
		sum.refused += r.refused
		sum.sharedRead += r.sharedRead
		sum.itemsDone += r.itemsDone
		sum.itemStops += r.itemStops
	}
	slices.Sort(firsts)
	sum.p50, sum.p99 = firsts[len(firsts)/2], firsts[len(firsts)*99/100]
	return sum
}
