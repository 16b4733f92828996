package standin

import (
	"strings"
	"time"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// runKey identifies a run of a runner. It is separate from the request id because clients may send an id
// twice.
type runKey uint64

// generationRun is the state of a request that waits for a slot or runs.
type generationRun struct {
	id     cs.RequestID
	target cs.Generation
	hash   cs.ContentHash
	// tokens is the number of the last token generated; on a resumed stream it starts above 0.
	tokens  cs.Tokens
	running bool
	// progress holds the newest progress and has capacity 1; newer progress replaces one not yet received.
	progress chan runProgress
}

// runProgress is the progress of a run, sent to the goroutine of its request.
type runProgress struct {
	tokens cs.Tokens
	state  runState
	load   cs.Load // set with runCompleted
}

// runState tells whether a run is active or how it ended.
type runState int

const (
	runActive runState = iota
	runCompleted
	runCancelled
)

// updateProgress sends progress to the goroutine of the request and replaces any not yet received.
func (run *generationRun) updateProgress(p runProgress) {
	select {
	case <-run.progress:
	default:
	}
	run.progress <- p
}

// admission is the engine's decision on a new request.
type admission interface{ isAdmission() }

type (
	admitted         struct{ key runKey }
	refusedNotRun    struct{ message string }
	refusedNotLoaded struct{}
)

func (admitted) isAdmission()         {}
func (refusedNotRun) isAdmission()    {}
func (refusedNotLoaded) isAdmission() {}

// engine is the state of a runner: tables and the functions that run over them in each step. It does no
// I/O.
type engine struct {
	config  RunnerConfig
	runs    *fleet.Table[runKey, generationRun]
	lastKey runKey
	// waiting holds the runs without a slot, in order of arrival.
	waiting  []runKey
	running  cs.Slots
	stepping bool
	crashed  bool
	leaving  bool
	loaded   *fleet.Table[cs.LoadedModel, loadedRow]
	cache    prefixCache
	blocks   *blockTable
	orders   orderHistory
	reports  loadHistory
}

// loadedRow is the state of a model that is ready or, otherwise, being loaded.
type loadedRow struct{ ready bool }

func newEngine(c RunnerConfig) engine {
	g := engine{
		config: c,
		runs:   fleet.NewTable[runKey, generationRun](),
		loaded: fleet.NewTable[cs.LoadedModel, loadedRow](),
		cache:  newPrefixCache(c),
		blocks: newBlockTable(),
		orders: orderHistory{highestFence: cs.NoOffset},
	}
	for _, m := range c.Loaded {
		g.loaded.Insert(m, loadedRow{ready: true})
	}
	g.recordLoad(c.Clock.Now())
	return g
}

// enqueue adds a request to the end of the queue unless it has to be refused.
func (g *engine) enqueue(now cs.Instant, run generationRun) admission {
	switch {
	case g.leaving:
		return refusedNotRun{message: "the runner is leaving"}
	case !g.hasModel(run.target):
		return refusedNotLoaded{}
	case len(g.waiting) >= g.config.MaxWaiting:
		return refusedNotRun{message: "too many requests are waiting"}
	}
	g.lastKey++
	g.runs.Insert(g.lastKey, run)
	g.waiting = append(g.waiting, g.lastKey)
	g.recordLoad(now)
	return admitted{key: g.lastKey}
}

// hasModel tells whether the target's model is ready; an empty version matches any.
func (g *engine) hasModel(target cs.Generation) bool {
	for m, row := range g.loaded.All() {
		if row.ready && m.Model == target.Model && (target.Version == "" || m.Version == target.Version) {
			return true
		}
	}
	return false
}

// startStep fills the free slots and returns the duration of the step that begins, or 0 if a step is in
// progress or no request runs. The prefill of the requests that start extends the step, as it does in
// engines without chunked prefill.
func (g *engine) startStep(now cs.Instant, j *journal) time.Duration {
	if g.stepping {
		return 0
	}
	prefill := g.fillSlots(now, j)
	if g.running == 0 || g.crashed {
		return 0
	}
	g.stepping = true
	return (g.config.StepBase + g.config.StepPerRequest*cs.Span(g.running)).Std() + prefill
}

// fillSlots starts waiting requests in order of arrival while slots are free and returns the duration of
// their prefill.
func (g *engine) fillSlots(now cs.Instant, j *journal) time.Duration {
	var prefill time.Duration
	started := false
	for g.running < g.config.Slots && len(g.waiting) > 0 && !g.crashed {
		run := g.runs.Get(g.waiting[0])
		g.waiting = g.waiting[1:]
		run.running = true
		g.running++
		started = true
		j.add(run.entry(JournalStart, now))
		if strings.Contains(run.target.Prompt, MarkCrash) {
			j.add(run.entry(JournalCrash, now))
			g.crashed = true
		}
		prefill += g.prefill(now, run)
	}
	if started {
		g.recordLoad(now)
	}
	return prefill
}

// prefill looks up the prompt's prefix in the cache, adds it if missing, and returns the prefill time of
// the bytes that were not cached.
func (g *engine) prefill(now cs.Instant, run *generationRun) time.Duration {
	key, prefixLength := prefixOf(run.target, g.config.PrefixBytes)
	uncached := len(run.target.Prompt)
	if g.cache.touch(key, now) {
		uncached -= prefixLength
	}
	g.blocks.put(run.id, key.blockContent())
	return time.Duration(float64(uncached) / float64(g.config.PrefillRate) * float64(time.Second))
}

// finishStep generates the next token of each run and ends the runs that are complete. A stalled engine
// generates nothing.
func (g *engine) finishStep(now cs.Instant, stalled bool, j *journal) {
	g.stepping = false
	if stalled {
		return
	}
	var completed []runKey
	for key, run := range g.runs.All() {
		if !run.running {
			continue
		}
		if run.tokens < run.target.MaxTokens {
			run.tokens++
		}
		if run.tokens >= run.target.MaxTokens {
			completed = append(completed, key)
			continue
		}
		run.updateProgress(runProgress{tokens: run.tokens})
	}
	g.running -= cs.Slots(len(completed))
	for _, key := range completed {
		run := g.runs.Get(key)
		j.add(run.entry(JournalEnd, now))
		run.updateProgress(runProgress{tokens: run.tokens, state: runCompleted, load: g.load()})
		g.runs.Delete(key)
	}
	if len(completed) > 0 {
		g.recordLoad(now)
	}
}

// cancelRuns stops the matching runs, waiting or running, and returns their number.
func (g *engine) cancelRuns(now cs.Instant, j *journal, match func(runKey, *generationRun) bool) int {
	var cancelled []runKey
	for key, run := range g.runs.All() {
		if match(key, run) {
			cancelled = append(cancelled, key)
		}
	}
	for _, key := range cancelled {
		run := g.runs.Get(key)
		if run.running {
			g.running--
		} else {
			g.removeWaiting(key)
		}
		j.add(run.entry(JournalCancel, now))
		run.updateProgress(runProgress{tokens: run.tokens, state: runCancelled})
		g.runs.Delete(key)
	}
	if len(cancelled) > 0 {
		g.recordLoad(now)
	}
	return len(cancelled)
}

func (g *engine) removeWaiting(key runKey) {
	for i, k := range g.waiting {
		if k == key {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return
		}
	}
}

// setLoaded records that a model is ready or, otherwise, being loaded.
func (g *engine) setLoaded(now cs.Instant, m cs.LoadedModel, ready bool) {
	g.loaded.Insert(m, loadedRow{ready: ready})
	g.recordLoad(now)
}

// load returns the current load.
func (g *engine) load() cs.Load {
	return cs.Load{Running: g.running, Waiting: cs.Slots(len(g.waiting)), Slots: g.config.Slots}
}

func (run *generationRun) entry(e JournalEvent, now cs.Instant) JournalEntry {
	return JournalEntry{ID: run.id, Hash: run.hash, Body: run.target.Prompt, Event: e, At: now}
}
