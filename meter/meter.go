// Package meter counts what the system does and measures how long it takes, for each tenant and
// class, and serves the figures in the Prometheus text format.
package meter

import (
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

//go:generate enumer -type Timing -text -transform snake

// Timing names a histogram.
type Timing int

// The histograms.
const (
	// QueueWait is from the arrival of a request to its first dispatch.
	QueueWait Timing = iota
	// FirstToken is from the arrival of a request to the first byte of its answer.
	FirstToken
	// TokenGap is the mean time between the tokens of an answer.
	TokenGap
	// Request is from the arrival of a request to the end of its answer.
	Request
	// BatchItem is the time of one run of a batch item.
	BatchItem
	// Append is from the sending of an append to the job log to its answer.
	Append
)

// maxTenants bounds the tenants with figures of their own, so that metrics stay in bounded memory;
// the rest is counted under "other".
const maxTenants = 200

// buckets grow by half from 1 ms to about 3 minutes.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 30)

// otherTenants stands for the tenants without figures of their own.
const otherTenants cs.TenantID = "other"

// Meter counts and measures; it is safe for concurrent use. Callers choose the names of tenants, so
// that all it holds is bounded by maxTenants.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	log      zerolog.Logger

	counters   sync.Map // counterKey or noteKey to tally.Counter
	histograms sync.Map // histogramKey to tally.Histogram
	mu         sync.RWMutex
	tenants    map[cs.TenantID]bool
}

type counterKey struct {
	counter fleet.Counter
	tenant  cs.TenantID
}

type noteKey struct{ kind gateway.NoteKind }

type histogramKey struct {
	timing Timing
	tenant cs.TenantID
	class  cs.Class
}

// New returns a meter that logs changes of state to log.
func New(log zerolog.Logger) *Meter {
	registry := prom.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "crocusstile", CachedReporter: r, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, time.Second)
	return &Meter{scope: scope, closer: closer, reporter: r, log: log, tenants: map[cs.TenantID]bool{}}
}

// Close stops reporting.
func (m *Meter) Close() error { return m.closer.Close() }

// Handler serves the figures in the Prometheus text format.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Count adds to a counter.
func (m *Meter) Count(c fleet.Counted) {
	key := counterKey{c.Counter, m.label(c.Tenant)}
	if f, ok := m.counters.Load(key); ok {
		f.(tally.Counter).Inc(c.N)
		return
	}
	f := m.tagged(key.tenant).Counter(c.Counter.String() + "_total")
	m.counters.Store(key, f)
	f.Inc(c.N)
}

// Time records a span.
func (m *Meter) Time(what Timing, tenant cs.TenantID, class cs.Class, s cs.Span) {
	key := histogramKey{what, m.label(tenant), class}
	f, ok := m.histograms.Load(key)
	if !ok {
		scope := m.tagged(key.tenant).Tagged(map[string]string{"class": class.String()})
		f = scope.Histogram(what.String()+"_seconds", buckets)
		m.histograms.Store(key, f)
	}
	f.(tally.Histogram).RecordDuration(s.Std())
}

// TimeUnlabelled records a span that belongs to no tenant.
func (m *Meter) TimeUnlabelled(what Timing, s cs.Span) {
	key := histogramKey{timing: what}
	f, ok := m.histograms.Load(key)
	if !ok {
		f = m.scope.Histogram(what.String()+"_seconds", buckets)
		m.histograms.Store(key, f)
	}
	f.(tally.Histogram).RecordDuration(s.Std())
}

// Note logs a change of state.
func (m *Meter) Note(n fleet.Noted) {
	e := m.log.Info().Str("subject", n.Subject)
	for _, f := range n.Fields {
		e = e.Interface(f.Name, f.Value)
	}
	e.Msg(n.Change)
}

// label returns the tenant under which figures are kept: its own name, or "other" once there are
// many.
func (m *Meter) label(tenant cs.TenantID) cs.TenantID {
	m.mu.RLock()
	known, full := m.tenants[tenant], len(m.tenants) >= maxTenants
	m.mu.RUnlock()
	if known {
		return tenant
	}
	if full {
		return otherTenants
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.tenants[tenant] && len(m.tenants) >= maxTenants {
		return otherTenants
	}
	m.tenants[tenant] = true
	return tenant
}

func (m *Meter) tagged(label cs.TenantID) tally.Scope {
	return m.scope.Tagged(map[string]string{"tenant": string(label)})
}

// CountNote counts a note of an entry VM by its kind.
func (m *Meter) CountNote(n gateway.Note) {
	key := noteKey{n.Kind}
	if f, ok := m.counters.Load(key); ok {
		f.(tally.Counter).Inc(1)
		return
	}
	f := m.scope.Tagged(map[string]string{"kind": n.Kind.String()}).Counter("decisions_total")
	m.counters.Store(key, f)
	f.Inc(1)
}
