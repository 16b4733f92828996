package crocusstile

import "strings"

// Named types for routes.
type (
	// RouteName names a route in all versions of the catalog.
	RouteName string
	// CatalogVersion numbers catalogs; versions increase in uneven steps.
	CatalogVersion int64
)

//go:generate enumer -type RouteKind -text -transform title-lower -trimprefix Route

// RouteKind says what may be repeated of a route's requests.
type RouteKind int

// The kinds of route.
const (
	// RouteOnce means that a request runs at most once.
	RouteOnce RouteKind = iota
	// RouteIdempotent means that a request may run more than once.
	RouteIdempotent
	// RouteStreaming means that the answer is a stream of events with increasing ids.
	RouteStreaming
	// RouteBatch means that the route takes batch jobs.
	RouteBatch
)

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RouteKind
	// Timeout is the longest time for which a request is kept waiting.
	Timeout Span
	// Target is the time within which an answer earns its full worth; the first event of a stream.
	Target Span
	// GapTarget is the longest pause between two events of a stream that is on time.
	GapTarget Span
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	Shares   []ServiceShare
	// MaxAttempts bounds the runners to which one request is sent.
	MaxAttempts Attempt
	// Resumable means that a stream may go on at another runner.
	Resumable bool
	// Completion is the time from a batch job's submission until its results are due.
	Completion Span
	// Retention is the time from a batch job's submission after which an item may be given up.
	Retention Span
	// MaxWaiting bounds the tokens of the items that wait on a batch route; 0 means no bound.
	MaxWaiting Tokens
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStreaming && r.Resumable
}

// ServiceShare is the weight of a service among those of a route.
type ServiceShare struct {
	Service ServiceID
	Weight  float64
}

// RunnerGroup is a service of the catalog: runners that can answer the same requests.
type RunnerGroup struct {
	ID ServiceID
	// Kind tells model engines from plain services.
	Kind RunnerKind
}

// CallerLimits bounds what a caller may send.
type CallerLimits struct {
	MaxHeader Bytes
	MaxBody   Bytes
}

// Catalog is one version of the operator's routes and services; it is not changed once it is built.
type Catalog struct {
	Version CatalogVersion
	Groups  map[ServiceID]RunnerGroup
	Limits  CallerLimits
	hosts   map[string][]Route
	names   map[RouteName]*Route
}

// NewCatalog returns a catalog of the routes.
func NewCatalog(v CatalogVersion, routes []Route, groups map[ServiceID]RunnerGroup, limits CallerLimits) *Catalog {
	c := &Catalog{
		Version: v, Groups: groups, Limits: limits,
		hosts: make(map[string][]Route), names: make(map[RouteName]*Route),
	}
	for _, r := range routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, of := range c.hosts {
		for i := range of {
			c.names[of[i].Name] = &of[i]
		}
	}
	return c
}

// Routes returns all routes, in no order.
func (c *Catalog) Routes() []Route {
	var all []Route
	for _, of := range c.hosts {
		all = append(all, of...)
	}
	return all
}

// Match returns the route of a host with the longest prefix of the path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	var best *Route
	routes := c.hosts[host]
	for i := range routes {
		r := &routes[i]
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Route returns the route of a name, or nil.
func (c *Catalog) Route(name RouteName) *Route { return c.names[name] }

// HasHost reports whether any route bears the host.
func (c *Catalog) HasHost(host string) bool { return len(c.hosts[host]) > 0 }
