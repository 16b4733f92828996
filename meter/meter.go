// Package meter records counters and latency histograms, by tenant and class, and serves them in the
// Prometheus text format. It also logs state changes.
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

// Timing identifies a latency histogram.
type Timing int

// The latency histograms.
const (
	// QueueWait is the time from the arrival of a request to its first dispatch.
	QueueWait Timing = iota
	// FirstToken is the time from the arrival of a request to the first event of its response.
	FirstToken
	// TokenGap is the mean time between the tokens of a response.
	TokenGap
	// Request is the time from the arrival of a request to the end of its response.
	Request
	// BatchItem is the duration of one completed attempt of a batch item.
	BatchItem
	// Append is the time from sending an append to the job log until the response.
	Append
)

//go:generate enumer -type Gauge -text -transform snake

// Gauge identifies a value that is set from time to time.
type Gauge int

// The gauges.
const (
	// AppendAgeSeconds is the time since the append to the job log that is in flight was sent, or 0.
	AppendAgeSeconds Gauge = iota
	// ChangesAside is the number of changes of the job log that the store has refused and that are sent apart from others.
	ChangesAside
	// EstimateErrorRatio is the mean error of the expected times of the requests of a service, as a share of their real times.
	EstimateErrorRatio
	// ClientBodyBytes, ClientHeaderBytes and ClientResponseBytes are the bytes that clients hold of the shares of the budget.
	ClientBodyBytes
	ClientHeaderBytes
	ClientResponseBytes
	// CallerConnections and CheckConnections are the open connections at the addresses for callers and for readiness checks.
	CallerConnections
	CheckConnections
	// ClientsRefused and ClientsStopped count since the start what found no room, and the connections that were ended since
	// they made too little progress.
	ClientsRefused
	ClientsStopped
)

// maxTenants bounds the number of tenants with time series of their own, so that metrics use bounded
// memory. All further tenants are recorded as "other".
const maxTenants = 200

// buckets are the 30 bounds of the latency histograms: from 1 ms to about 2 minutes, each 1.5 times the
// previous.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 30)

// otherTenants is the label of tenants without time series of their own.
const otherTenants cs.TenantID = "other"

// Meter records metrics; it is safe for concurrent use. Since callers choose the names of tenants, the
// number of time series is bounded by maxTenants.
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

// New returns a Meter without metrics that logs state changes to log.
func New(log zerolog.Logger) *Meter {
	registry := prom.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "crocusstile", CachedReporter: r, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, time.Second)
	return &Meter{scope: scope, closer: closer, reporter: r, log: log, tenants: map[cs.TenantID]bool{}}
}

// Close reports the remaining values and stops reporting.
func (m *Meter) Close() error { return m.closer.Close() }

// Handler returns the handler that serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Count adds to the counter of a tenant.
func (m *Meter) Count(c fleet.CounterAdded) {
	key := counterKey{c.Counter, m.tenantLabel(c.Tenant)}
	if counter, ok := m.counters.Load(key); ok {
		counter.(tally.Counter).Inc(c.N)
		return
	}
	counter := m.tenantScope(key.tenant).Counter(c.Counter.String() + "_total")
	m.counters.Store(key, counter)
	counter.Inc(c.N)
}

// SetGauge sets a gauge.
func (m *Meter) SetGauge(g Gauge, v float64) { m.scope.Gauge(g.String()).Update(v) }

// SetServiceGauge sets a gauge of a service. The services are those of the operator's configuration, so that there are few.
func (m *Meter) SetServiceGauge(g Gauge, service cs.ServiceID, v float64) {
	m.scope.Tagged(map[string]string{"service": string(service)}).Gauge(g.String()).Update(v)
}

// Time records a duration in the histogram of a tenant and class.
func (m *Meter) Time(kind Timing, tenant cs.TenantID, class cs.Class, s cs.Span) {
	key := histogramKey{kind, m.tenantLabel(tenant), class}
	histogram, ok := m.histograms.Load(key)
	if !ok {
		scope := m.tenantScope(key.tenant).Tagged(map[string]string{"class": class.String()})
		histogram = scope.Histogram(kind.String()+"_seconds", buckets)
		m.histograms.Store(key, histogram)
	}
	histogram.(tally.Histogram).RecordDuration(s.Std())
}

// TimeUnlabelled records a duration that belongs to no tenant, in a histogram without labels.
func (m *Meter) TimeUnlabelled(kind Timing, s cs.Span) {
	key := histogramKey{timing: kind}
	histogram, ok := m.histograms.Load(key)
	if !ok {
		histogram = m.scope.Histogram(kind.String()+"_seconds", buckets)
		m.histograms.Store(key, histogram)
	}
	histogram.(tally.Histogram).RecordDuration(s.Std())
}

// LogChange logs a state change with its subject and fields.
func (m *Meter) LogChange(n fleet.StateLogged) {
	e := m.log.Info().Str("subject", n.Subject)
	for _, f := range n.Fields {
		e = e.Interface(f.Name, f.Value)
	}
	e.Msg(n.Change)
}

// tenantLabel returns the label of a tenant: its own name, or "other" for a new tenant once there are
// maxTenants.
func (m *Meter) tenantLabel(tenant cs.TenantID) cs.TenantID {
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

// tenantScope returns the metrics scope with a tenant label.
func (m *Meter) tenantScope(label cs.TenantID) tally.Scope {
	return m.scope.Tagged(map[string]string{"tenant": string(label)})
}

// CountNote counts a decision of an entry VM by its kind.
func (m *Meter) CountNote(n gateway.Note) {
	key := noteKey{n.Kind}
	if counter, ok := m.counters.Load(key); ok {
		counter.(tally.Counter).Inc(1)
		return
	}
	counter := m.scope.Tagged(map[string]string{"kind": n.Kind.String()}).Counter("decisions_total")
	m.counters.Store(key, counter)
	counter.Inc(1)
}
