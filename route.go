package crocusstile

import "strings"

// Named types for routes.
type (
	// RouteName identifies a route across all versions of the catalog.
	RouteName string
	// CatalogVersion numbers the versions of the catalog; they increase, but not always by one.
	CatalogVersion int64
)

//go:generate enumer -type RouteKind -text -transform title-lower -trimprefix Route

// RouteKind determines how a route's requests are executed and whether they may be retried.
type RouteKind int

// The route kinds.
const (
	// RouteOnce means that a request is executed at most once.
	RouteOnce RouteKind = iota
	// RouteIdempotent means that a request may be executed more than once.
	RouteIdempotent
	// RouteStreaming means that the response is a stream of events with increasing ids.
	RouteStreaming
	// RouteBatch means that the route accepts batch jobs.
	RouteBatch
)

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RouteKind
	// Timeout is the maximum time that a request waits for its response.
	Timeout Span
	// Target is the latency objective: a response (for a stream, its first event) within this time has
	// its full value.
	Target Span
	// GapTarget is the latency objective between two consecutive events of a stream.
	GapTarget Span
	// Priority ranks the route against others; 0 is the highest priority.
	Priority int
	Shares   []ServiceShare
	// MaxAttempts is the maximum number of runners to which one request is dispatched.
	MaxAttempts Attempt
	// Resumable means that an interrupted stream may be continued by another runner.
	Resumable bool
	// Completion is the time after a batch job's submission at which its results are due.
	Completion Span
	// Retention is the time after a batch job's submission at which unfinished items may be abandoned.
	Retention Span
	// MaxWaiting limits the total tokens of the items waiting on a batch route; 0 means no limit. In a catalog with
	// workspaces it limits those of each workspace.
	MaxWaiting Tokens
	// Public means that requests need no key of a workspace.
	Public bool
}

// Repeatable reports whether a request of the route may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStreaming && r.Resumable
}

// ServiceShare is the weight of a service in a route's traffic split.
type ServiceShare struct {
	Service ServiceID
	Weight  float64
}

// RunnerGroup is a service of the catalog: a group of runners that serve the same requests.
type RunnerGroup struct {
	ID ServiceID
	// Kind distinguishes model engines from plain services.
	Kind RunnerKind
	// Memory is the number of tokens that an engine can hold of all requests that it runs, or 0 if that is not known.
	Memory Tokens `cbor:",omitempty"`
}

// CallerLimits limits the size of the requests that callers may send.
type CallerLimits struct {
	MaxHeader Bytes
	MaxBody   Bytes
}

// Catalog is an immutable version of the operator's routes, services and workspaces.
type Catalog struct {
	Version CatalogVersion
	Groups  map[ServiceID]RunnerGroup
	Limits  CallerLimits
	// RequiresKeys means that requests need a key of a workspace, unless their route is public.
	RequiresKeys bool
	routesByHost map[string][]Route
	routesByName map[RouteName]*Route
	workspaces   map[WorkspaceID]*Workspace
	byKey        map[KeyDigest]*Workspace
}

// NewCatalog returns a catalog with the routes indexed by host and by name.
func NewCatalog(v CatalogVersion, routes []Route, groups map[ServiceID]RunnerGroup, limits CallerLimits) *Catalog {
	c := &Catalog{
		Version: v, Groups: groups, Limits: limits,
		routesByHost: make(map[string][]Route), routesByName: make(map[RouteName]*Route),
	}
	for _, r := range routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, hostRoutes := range c.routesByHost {
		for i := range hostRoutes {
			c.routesByName[hostRoutes[i].Name] = &hostRoutes[i]
		}
	}
	return c
}

// WithWorkspaces returns the catalog with workspaces, of which requests need a key. A key that two workspaces have belongs to the
// first one.
func (c *Catalog) WithWorkspaces(workspaces []Workspace) *Catalog {
	next := *c
	next.RequiresKeys = true
	next.workspaces = make(map[WorkspaceID]*Workspace, len(workspaces))
	next.byKey = make(map[KeyDigest]*Workspace, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		next.workspaces[w.ID] = w
		for _, key := range w.Keys {
			if _, taken := next.byKey[key]; !taken {
				next.byKey[key] = w
			}
		}
	}
	return &next
}

// Workspace returns the workspace with the given ID, or nil.
func (c *Catalog) Workspace(id WorkspaceID) *Workspace { return c.workspaces[id] }

// WorkspaceOf returns the workspace that has a key, or nil.
func (c *Catalog) WorkspaceOf(key KeyDigest) *Workspace { return c.byKey[key] }

// Workspaces returns all workspaces in unspecified order.
func (c *Catalog) Workspaces() []Workspace {
	all := make([]Workspace, 0, len(c.workspaces))
	for _, w := range c.workspaces {
		all = append(all, *w)
	}
	return all
}

// Routes returns all routes in unspecified order.
func (c *Catalog) Routes() []Route {
	var all []Route
	for _, hostRoutes := range c.routesByHost {
		all = append(all, hostRoutes...)
	}
	return all
}

// HasPublicJobs reports whether jobs may be submitted without a key.
func (c *Catalog) HasPublicJobs() bool {
	for _, hostRoutes := range c.routesByHost {
		for i := range hostRoutes {
			if hostRoutes[i].Kind == RouteBatch && hostRoutes[i].Public {
				return true
			}
		}
	}
	return false
}

// Match returns the host's route with the longest matching path prefix, or nil.
func (c *Catalog) Match(host, path string) *Route {
	var longest *Route
	routes := c.routesByHost[host]
	for i := range routes {
		r := &routes[i]
		if strings.HasPrefix(path, r.Prefix) && (longest == nil || len(r.Prefix) > len(longest.Prefix)) {
			longest = r
		}
	}
	return longest
}

// Route returns the route with the given name, or nil.
func (c *Catalog) Route(name RouteName) *Route { return c.routesByName[name] }
