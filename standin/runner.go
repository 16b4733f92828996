package standin

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	cs "github.com/crocusstile/crocusstile"
)

// ErrCrashed is the error of a runner that ended because a prompt made it crash.
var ErrCrashed = errors.New("the runner crashed")

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// Slots is the number of requests that run at once; 0 stands for 8.
	Slots cs.Slots
	// MaxWaiting bounds the requests that wait for a slot, more are refused; 0 stands for 1024.
	MaxWaiting int
	// StepBase is the part of a step's time that does not depend on the batch; 0 stands for 8 ms.
	StepBase cs.Span
	// StepPerRequest is the part of a step's time for each request that runs; 0 stands for 1 ms.
	StepPerRequest cs.Span
	// PrefillRate is the number of prompt bytes processed a second; 0 stands for 200,000.
	PrefillRate cs.PerSecond
	// PrefixBytes is the length of the prompt prefix that is cached; 0 stands for 256.
	PrefixBytes cs.Bytes
	// Prefixes is the number of prefixes that fit into the cache; 0 stands for 64.
	Prefixes int
	// CacheEventLag is the time after which a cache event is published; 0 stands for 500 ms.
	CacheEventLag cs.Span
	// CacheEventGap is n if each nth cache event is never published; 0 stands for 10.
	CacheEventGap int
	// ChecksFencingToken makes the runner refuse orders with an old fencing token.
	ChecksFencingToken bool
	// Loaded are the models held from the start.
	Loaded []cs.LoadedModel
	// LoadTime is the time that loading a model takes besides fetching it; 0 stands for 200 ms.
	LoadTime cs.Span
	// WeightStore is the address from which weights are fetched; empty fetches nothing.
	WeightStore cs.Address
	// Faults are the settings at the start; a LoadLag of 0 stands for 300 ms.
	Faults RunnerFaults
	// Crash is called when a prompt makes the runner crash, before connections are broken.
	Crash func()
	// Journal receives a copy of the journal's lines, so that they survive a crash; may be nil.
	Journal io.Writer
	// Clock tells the time of entries; nil stands for the machine's clock.
	Clock *cs.Clock
}

// minStepFactor keeps a runner from stepping without a pause.
const minStepFactor = 0.1

func (c RunnerConfig) withDefaults() RunnerConfig {
	setDefault(&c.Slots, 8)
	setDefault(&c.MaxWaiting, 1024)
	setDefault(&c.StepBase, 8*cs.Millisecond)
	setDefault(&c.StepPerRequest, cs.Millisecond)
	setDefault(&c.PrefillRate, 200_000)
	setDefault(&c.PrefixBytes, 256)
	setDefault(&c.Prefixes, 64)
	setDefault(&c.CacheEventLag, 500*cs.Millisecond)
	setDefault(&c.CacheEventGap, 10)
	setDefault(&c.LoadTime, 200*cs.Millisecond)
	setDefault(&c.Faults.LoadLag, 300*cs.Millisecond)
	setDefault(&c.Faults.StepFactor, 1)
	if c.Clock == nil {
		c.Clock = cs.NewClock()
	}
	return c
}

// setDefault sets a field that is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// RunnerFaults are the settings of a Runner that POST /standin/faults changes.
type RunnerFaults struct {
	// StepFactor multiplies the time of steps; 1 is the normal speed, and the least is 0.1.
	StepFactor float64 `json:"stepFactor"`
	// LoadLag is the age of the load reports.
	LoadLag cs.Span `json:"loadLag"`
	// Silent takes requests and keeps connections open, but generates nothing.
	Silent bool `json:"silent"`
	// Refuse answers new requests 503 with X-Not-Run.
	Refuse bool `json:"refuse"`
	// ErrorNext is the number of coming requests that are answered 500.
	ErrorNext int `json:"errorNext"`
	// BreakNext is the number of coming streams whose connection breaks after the first token.
	BreakNext int `json:"breakNext"`
	// TruncateNext is the number of coming streams that end after the first token without end marker.
	TruncateNext int `json:"truncateNext"`
	// CrossNext is the number of coming streams that carry the id and text of another request.
	CrossNext int `json:"crossNext"`
}

// Runner is a model engine with continuous batching. One goroutine, in Run, owns the batch and
// steps it; each request's goroutine writes the tokens to its client.
type Runner struct {
	config  RunnerConfig
	mux     *http.ServeMux
	faults  faults[RunnerFaults]
	inbox   inbox[runnerEvent]
	journal journal
	engine  engine
	timer   *time.Timer
	loads   sync.WaitGroup
}

// NewRunner returns a runner.
func NewRunner(c RunnerConfig) *Runner {
	c = c.withDefaults()
	r := &Runner{
		config: c, mux: http.NewServeMux(), faults: faults[RunnerFaults]{set: c.Faults}, inbox: newInbox[runnerEvent](),
		journal: journal{copy: c.Journal}, engine: newEngine(c),
	}
	r.mux.HandleFunc("POST /v1/generate", r.handleGenerate)
	r.mux.HandleFunc("POST /v1/cancel", r.handleCancel)
	r.mux.HandleFunc("GET /v1/load", r.handleLoad)
	r.mux.HandleFunc("POST /v1/orders", r.handleOrder)
	r.mux.HandleFunc("GET /v1/cache/events", r.handleCacheEvents)
	r.mux.HandleFunc("GET /v1/kv/{id}", r.handleExport)
	r.mux.HandleFunc("PUT /v1/kv/{id}", r.handleImport)
	r.mux.HandleFunc("POST /standin/leaving", r.handleLeaving)
	r.mux.HandleFunc("GET /standin/orders", r.handleOrders)
	r.mux.Handle("POST /standin/faults", &r.faults)
	r.mux.Handle("GET /standin/journal", &r.journal)
	return r
}

// ServeHTTP answers requests; it needs Run.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) { r.mux.ServeHTTP(w, q) }

// SetFaults changes the settings.
func (r *Runner) SetFaults(set func(*RunnerFaults)) { r.faults.update(set) }

// Faults returns the present settings.
func (r *Runner) Faults() RunnerFaults { return r.faults.get() }

// Journal returns what was run.
func (r *Runner) Journal() []JournalEntry { return r.journal.all() }

// Leave makes the runner refuse new requests and finish those it has; it returns false if Run or ctx
// ended first.
func (r *Runner) Leave(ctx context.Context) bool {
	return tell(ctx, &r.inbox, func(applied chan<- struct{}) runnerEvent {
		return leavingSet{applied: applied}
	})
}

// Run owns the batch until ctx ends, or until a prompt makes it crash and it returns ErrCrashed.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.loads.Wait()
	defer cancel()
	defer close(r.inbox.done)
	r.timer = time.NewTimer(time.Hour)
	defer r.timer.Stop()
	r.timer.Stop()
	for {
		select {
		case e := <-r.inbox.events:
			r.apply(ctx, e)
		case <-r.timer.C:
			r.engine.finishStep(r.now(), r.faults.get().Silent, &r.journal)
		case <-ctx.Done():
			return nil
		}
		length := r.engine.startStep(r.now(), &r.journal)
		if r.engine.crashed {
			return r.crash()
		}
		if length > 0 {
			r.timer.Reset(time.Duration(float64(length) * max(r.faults.get().StepFactor, minStepFactor)))
		}
	}
}

func (r *Runner) now() cs.Instant { return r.config.Clock.Now() }

func (r *Runner) crash() error {
	if r.config.Crash != nil {
		r.config.Crash()
	}
	return ErrCrashed
}
