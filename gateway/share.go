package gateway

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fairness"
)

// ShareKey identifies the account of a workspace in the division of the room of a service.
type ShareKey struct {
	Service   cs.ServiceID
	Workspace cs.WorkspaceID
}

// WorkspaceShare is the account of a workspace in the division of the room of a service between workspaces, as far as this VM has
// sent requests. Workspaces that have sent none for some time have no row.
type WorkspaceShare struct {
	fairness.Account
	// Waiting is the number of requests of the workspace that wait at this VM and can still meet their target, while it is beyond its
	// share. They do not count as demand of the service, since they do not delay others.
	Waiting int
	// Demand is the number of requests of the workspace in the demand of the service at this VM.
	Demand int
	// PausedUntil is until when the requests of the workspace request no slots while it is beyond its share, or 0.
	PausedUntil cs.Instant
	// RefusingSince is since when requests of the workspace are refused for exceeding its share, or 0, RefusedAt when the last one
	// was, and Refused their number.
	RefusingSince, RefusedAt cs.Instant
	Refused                  int
}

// WorkKey identifies requests that are expected to cause the same work.
type WorkKey struct {
	Service cs.ServiceID
	Route   cs.RouteName
}

// LiveVMs returns the number of VMs that report and are not leaving, this one included.
func (t *Tables) LiveVMs() int {
	live := 1
	for _, p := range t.Peers.All() {
		if p.LastReportAt != 0 && !p.VM.Leaving {
			live++
		}
	}
	return live
}
