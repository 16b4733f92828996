package forward

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// authorize decides by the newest catalog whether a request that has arrived may run, and sets its workspace and its priority. The
// ingress has decided the same by the view before it read the body of the request.
func authorize(t *gateway.Tables, f *gateway.Forward, now cs.Instant) *cs.Refusal {
	f.Workspace, f.Priority = "", f.Route.Priority
	if t.Catalog == nil || !t.Catalog.RequiresKeys {
		return nil
	}
	if f.ArrivedBoot == 0 { // the ingress knew only a catalog without workspaces
		f.ArrivedBoot = t.BootTime(now)
	}
	feed := t.Feeds[gateway.FeedCatalog]
	switch a := gateway.Authorize(&gateway.AccessRequest{
		Catalog: t.Catalog, Key: f.Key, Public: isPublic(t.Catalog, &f.Route), Age: feed.Age(now), BootAge: f.ArrivedBoot.Sub(feed.ConfirmedAt),
		Unreadable: feed.Unreadable, RevokeBound: t.Config.RevokeBound,
	}).(type) {
	case gateway.AccessDenied:
		return a.Refusal
	case gateway.AccessGranted:
		if a.Workspace == nil {
			return nil
		}
		f.Workspace = a.Workspace.ID
		if a.Workspace.HasPriority {
			f.Priority = a.Workspace.Priority
		}
	}
	return nil
}

// isPublic reports whether the requests of a route need no key by the newest catalog. A request keeps the route by which it arrived if
// that was removed since.
func isPublic(catalog *cs.Catalog, route *cs.Route) bool {
	if newest := catalog.Route(route.Name); newest != nil {
		return newest.Public
	}
	return route.Public
}

// withdrawnRefusal returns the refusal of a request that waits for a runner and whose key was withdrawn since it was admitted, or nil.
// On a public route such a request is sent without its workspace. A request that was admitted before keys were required is decided on
// again. One whose response has begun is not refused: its caller sent it while the key was in force, and would get a part of the response.
func withdrawnRefusal(t *gateway.Tables, f *gateway.Forward, now cs.Instant, out *gateway.Actions) *cs.Refusal {
	if f.Begun || t.Catalog == nil || !t.Catalog.RequiresKeys || f.Workspace == "" && isPublic(t.Catalog, &f.Route) {
		return nil
	}
	if f.Workspace == "" {
		if refusal := authorize(t, f, now); refusal != nil {
			return &cs.Refusal{Reason: refusal.Reason, Ran: ranSoFar(f), Message: refusal.Message}
		}
		out.WakeAt(now) // the workspace may be limited
		return nil
	}
	if t.HasWorkspaceKey(f) {
		return nil
	}
	if isPublic(t.Catalog, &f.Route) {
		f.Workspace = ""
		return nil
	}
	if t.Catalog.WorkspaceOf(f.Key) != nil {
		return &cs.Refusal{Reason: cs.ReasonUnavailable, Ran: ranSoFar(f), Message: "the key belongs to another workspace now"}
	}
	return &cs.Refusal{Reason: cs.ReasonUnauthorized, Ran: ranSoFar(f), Message: "the key has been withdrawn"}
}

// accessRetryAfter returns the retry delay to give to the caller of a request whose key is unknown or cannot be judged, or 0 for none.
func accessRetryAfter(refusal *cs.Refusal) cs.Span {
	if refusal.Reason == cs.ReasonUnavailable {
		return gateway.RetryUnconfirmed
	}
	return 0
}
