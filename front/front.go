// Package front serves callers and operators over HTTP with goa, and the health and metrics
// addresses.
package front

import (
	"context"
	_ "embed"
	"encoding/json"
	"net/http"

	goahttp "goa.design/goa/v3/http"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	inferencehttp "github.com/crocusstile/crocusstile/gen/http/inference/server"
	jobshttp "github.com/crocusstile/crocusstile/gen/http/jobs/server"
	operationshttp "github.com/crocusstile/crocusstile/gen/http/operations/server"
	serviceshttp "github.com/crocusstile/crocusstile/gen/http/services/server"
	"github.com/crocusstile/crocusstile/gen/inference"
	"github.com/crocusstile/crocusstile/gen/jobs"
	"github.com/crocusstile/crocusstile/gen/operations"
	"github.com/crocusstile/crocusstile/gen/services"
	"github.com/crocusstile/crocusstile/meter"
	"github.com/crocusstile/crocusstile/relay"
)

// openapi is a copy of gen/http/openapi3.json, made by .ci/generate.
//
//go:embed openapi.json
var openapi []byte

// defaultDeadline bounds an online request that names no deadline.
const defaultDeadline = 2 * cs.Minute

// maxDeadline and maxDue bound the times that callers name, so that no time derived from them
// overflows.
const (
	maxDeadline = 24 * cs.Hour
	maxDue      = 366 * 24 * cs.Hour
)

// queryTimeout bounds the wait for the owner of a shard.
const queryTimeout = 15 * cs.Second

// Config holds what a Front needs.
type Config struct {
	// Clock tells the time.
	Clock *cs.Clock
	// Relay carries requests.
	Relay *relay.Relay
	// View returns the state that the control loop last published.
	View func() *fleet.View
	// Drain tells the control loop to leave.
	Drain func(context.Context) error
	// Meter serves the metrics.
	Meter *meter.Meter
	// Links serves the links of peers.
	Links http.Handler
	// Shards is the number of work streams.
	Shards int
	// MaxBody bounds a request's body.
	MaxBody cs.Bytes
	// MaxItems bounds the items of a job.
	MaxItems int
}

// Front serves callers and operators.
type Front struct{ cfg Config }

// Handler returns the handler for all addresses of a daemon.
func Handler(c Config) http.Handler {
	f := &Front{cfg: c}
	mux := goahttp.NewMuxer()
	decode, encode := f.decoder, goahttp.ResponseEncoder
	inferencehttp.Mount(mux, inferencehttp.New(inference.NewEndpoints(f), mux, decode, encode, nil, formatError))
	serviceshttp.Mount(mux, serviceshttp.New(services.NewEndpoints(serviceCalls{f}), mux, decode, encode, nil, formatError))
	jobshttp.Mount(mux, jobshttp.New(jobs.NewEndpoints(batchJobs{f}), mux, decode, encode, nil, formatError))
	operationshttp.Mount(mux, operationshttp.New(operations.NewEndpoints(operator{f}), mux, decode, encode, nil, formatError))
	mux.Handle(http.MethodGet, "/livez", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "live") })
	mux.Handle(http.MethodGet, "/readyz", f.handleReady)
	mux.Handle(http.MethodGet, "/metrics", c.Meter.Handler().ServeHTTP)
	mux.Handle(http.MethodGet, "/openapi.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(openapi)
	})
	if c.Links != nil {
		mux.Handle(http.MethodGet, "/v1/link", c.Links.ServeHTTP)
	}
	return http.MaxBytesHandler(mux, int64(c.MaxBody))
}

// handleReady tells the balancer whether this VM takes requests.
func (f *Front) handleReady(w http.ResponseWriter, _ *http.Request) {
	v := f.cfg.View()
	switch {
	case v.Drain != fleet.DrainNone:
		writeJSON(w, http.StatusServiceUnavailable, "leaving")
	case !v.Ready:
		writeJSON(w, http.StatusServiceUnavailable, "the platform's list or the tickets are not read yet")
	default:
		writeJSON(w, http.StatusOK, "ready")
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}

// requestAttrs holds the attributes that all online requests share.
type requestAttrs struct {
	tenant        string
	class         *string
	deadlineMs    *int64
	key           *string
	nonIdempotent bool
}

// newRequest returns a newRequest of a caller.
func (f *Front) newRequest(attrs requestAttrs, target cs.Target) (cs.Request, error) {
	if err := f.checkTicketsKnown(); err != nil {
		return cs.Request{}, err
	}
	req := cs.Request{
		ID: f.cfg.Relay.NewID(), Tenant: cs.TenantID(attrs.tenant), Target: target,
		Key: cs.IdempotencyKey(deref(attrs.key)), NonIdempotent: attrs.nonIdempotent, Hash: cs.HashTarget(target),
	}
	if deref(attrs.class) == cs.Batch.String() {
		req.Class = cs.Batch
	}
	timeout := defaultDeadline
	if attrs.deadlineMs != nil {
		timeout = cs.Span(*attrs.deadlineMs)
	}
	if timeout > maxDeadline {
		return req, cs.Invalid("deadlineMs", "must be at most %d", maxDeadline)
	}
	req.Deadline = f.cfg.Clock.Now().Add(timeout)
	return req, nil
}

// deref returns what p points to, or the zero value.
func deref[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

// checkTicketsKnown refuses requests as long as a VM that has just started knows no tickets: it could run another
// version than the one in force, or repeat a call that must not be repeated.
func (f *Front) checkTicketsKnown() error {
	v := f.cfg.View()
	if v.TicketsKnown || v.Ready || v.Drain != fleet.DrainNone {
		return nil
	}
	return cs.Refuse(cs.ReasonUnavailable, "this VM has just started and does not know the tickets in force yet")
}

// versionInForce returns the version of a model that the deployment tickets name, or "".
func (f *Front) versionInForce(m cs.ModelID) cs.VersionID {
	for _, t := range f.cfg.View().Tickets {
		if d, ok := t.Ticket.State.(cs.Deployment); ok && d.Model == m {
			return d.Version
		}
	}
	return ""
}

// serviceInForce returns the state of a service that the tickets name.
func (f *Front) serviceInForce(s cs.ServiceID) cs.Service {
	for _, t := range f.cfg.View().Tickets {
		if service, ok := t.Ticket.State.(cs.Service); ok && service.Name == s {
			return service
		}
	}
	return cs.Service{Name: s}
}
