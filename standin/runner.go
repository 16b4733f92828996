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

// ErrCrashed is returned by the Run method of a runner that a prompt made crash.
var ErrCrashed = errors.New("the runner crashed")

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// Slots is the number of requests that run concurrently; 0 selects 8.
	Slots cs.Slots
	// MaxWaiting limits the requests that wait for a slot; more are refused. 0 selects 1024.
	MaxWaiting int
	// StepBase is the part of a step's duration that does not depend on the batch size; 0 selects 8 ms.
	StepBase cs.Span
	// StepPerRequest is added to a step's duration for each running request; 0 selects 1 ms.
	StepPerRequest cs.Span
	// PrefillRate is the number of prompt bytes processed per second; 0 selects 200,000.
	PrefillRate cs.PerSecond
	// PrefixBytes is the maximum length of the prompt prefix that is cached; 0 selects 256.
	PrefixBytes cs.Bytes
	// Prefixes is the capacity of the prefix cache; 0 selects 64 prefixes.
	Prefixes int
	// CacheEventLag is the time until readers can see a cache event; 0 selects 500 ms.
	CacheEventLag cs.Span
	// CacheEventGap is n if every nth cache event is never published; 0 selects 10.
	CacheEventGap int
	// ChecksFencingToken makes the runner reject orders whose fencing token is lower than the highest it has received.
	ChecksFencingToken bool
	// Loaded are the models that are loaded at the start.
	Loaded []cs.LoadedModel
	// LoadTime is the time to load a model after its weights are fetched; 0 selects 200 ms.
	LoadTime cs.Span
	// WeightStore is the address of the weight store; if it is empty, no weights are fetched.
	WeightStore cs.Address
	// Faults are the initial fault settings; a LoadLag of 0 selects 300 ms and a StepFactor of 0 selects 1.
	Faults RunnerFaults
	// Crash, unless nil, is called when a prompt makes the runner crash, before its connections are closed.
	Crash func()
	// Journal, unless nil, receives a copy of each journal line, so that the lines survive a crash.
	Journal io.Writer
	// Clock gives the time of all events; nil selects the system clock.
	Clock *cs.Clock
}

// minStepFactor is the lower limit of StepFactor. It keeps the steps from following each other without
// any pause.
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

// setDefault sets a field to the value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// RunnerFaults are the fault settings of a Runner; POST /standin/faults changes them at run time.
type RunnerFaults struct {
	// StepFactor multiplies the duration of steps; 1 is the normal speed, and values below 0.1 count as 0.1.
	StepFactor float64 `json:"stepFactor"`
	// LoadLag is the age of the load reports that readers get.
	LoadLag cs.Span `json:"loadLag"`
	// Stall makes the runner accept requests and keep connections open without generating tokens.
	Stall bool `json:"silent"`
	// Refuse makes new requests fail with status 503 and the header X-Not-Run.
	Refuse bool `json:"refuse"`
	// ErrorNext is the number of following requests that fail with status 500.
	ErrorNext int `json:"errorNext"`
	// DisconnectNext is the number of following streams whose connection is closed after the first token.
	DisconnectNext int `json:"breakNext"`
	// TruncateNext is the number of following streams that end normally after the first token, without an
	// end marker.
	TruncateNext int `json:"truncateNext"`
	// MisattributeNext is the number of following streams that carry the id and the text of another request.
	MisattributeNext int `json:"crossNext"`
}

// Runner simulates a model runner with continuous batching. The goroutine of Run owns the batch and
// executes its steps; the goroutine of each request writes the tokens to the client.
type Runner struct {
	config  RunnerConfig
	mux     *http.ServeMux
	faults  faults[RunnerFaults]
	inbox   inbox[runnerEvent]
	journal journal
	engine  engine
	timer   *time.Timer
	loads   sync.WaitGroup // goroutines of loadModel
}

// NewRunner returns a runner; zero fields of the configuration select the defaults.
func NewRunner(c RunnerConfig) *Runner {
	c = c.withDefaults()
	r := &Runner{
		config: c, mux: http.NewServeMux(), faults: faults[RunnerFaults]{set: c.Faults}, inbox: newInbox[runnerEvent](),
		journal: journal{mirror: c.Journal}, engine: newEngine(c),
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

// ServeHTTP serves the runner protocol; requests that need the engine block until Run is called.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.mux.ServeHTTP(w, req) }

// SetFaults changes the fault settings.
func (r *Runner) SetFaults(set func(*RunnerFaults)) { r.faults.update(set) }

// Faults returns the current fault settings.
func (r *Runner) Faults() RunnerFaults { return r.faults.get() }

// Journal returns the journal entries of all runs so far.
func (r *Runner) Journal() []JournalEntry { return r.journal.snapshot() }

// Leave makes the runner refuse new requests and finish those it has; it returns false if Run or ctx
// ended first.
func (r *Runner) Leave(ctx context.Context) bool {
	return sendAndWait(ctx, &r.inbox, func(applied chan<- struct{}) runnerEvent {
		return leaveRequested{applied: applied}
	})
}

// Run owns the batch and executes its steps until ctx ends. If a prompt makes the runner crash, it
// returns ErrCrashed.
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
			r.engine.finishStep(r.now(), r.faults.get().Stall, &r.journal)
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
