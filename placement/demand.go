package placement

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
)

// shouldLoad reports whether the runner is to load a deployment's version now.
//
// All VMs rank the runners in the same order, and only the first Config.LoadsAtOnce of those
// without the version may load it. This limits the share of the weight store's bandwidth that one
// deployment uses.
func shouldLoad(t *fleet.Tables, deployed []deployment, r *fleet.Runner, d cs.Deployment) bool {
	if holds(r, d.Model, d.Version) {
		return false
	}
	var (
		holding, replacing int
		lacking            []*fleet.Runner
	)
	for _, o := range t.Runners.All() {
		if o.Kind != cs.KindEngine || o.Service != d.Service || !limit.Available(o) {
			continue
		}
		if holds(o, d.Model, d.Version) {
			holding++
			continue
		}
		if _, hasOld := undeployedVersion(deployed, o, d); hasOld {
			replacing++
		}
		lacking = append(lacking, o)
	}
	wanted := max(d.MinRunners, holding+replacing, holding+runnersNeeded(t, d, holding))
	allowed := min(wanted-holding, max(t.Config.LoadsAtOnce, 1), len(lacking))
	if allowed <= 0 {
		return false
	}
	ahead := 0
	for _, o := range lacking {
		if o != r && compareForLoad(deployed, d, o, r) < 0 {
			ahead++
		}
	}
	return ahead < allowed && slices.Contains(lacking, r)
}

// compareForLoad returns -1 if a comes before b for loading, and 1 otherwise. Runners that hold a
// version of the model that is no longer deployed come first, since they already serve the model;
// otherwise rendezvous hashing decides.
func compareForLoad(deployed []deployment, d cs.Deployment, a, b *fleet.Runner) int {
	_, hasOldA := undeployedVersion(deployed, a, d)
	_, hasOldB := undeployedVersion(deployed, b, d)
	if hasOldA != hasOldB {
		if hasOldA {
			return -1
		}
		return 1
	}
	key := string(d.Scope())
	if cs.RendezvousWeight(key, string(a.ID)) > cs.RendezvousWeight(key, string(b.ID)) {
		return -1
	}
	return 1
}

// runnersNeeded returns the number of additional runners needed for queued work: 1 if online
// requests for the deployment are queued, or if batch items wait and no runner holds the version.
// Waiting items are counted by shard and not by model, so they never justify more than the first
// runner.
func runnersNeeded(t *fleet.Tables, d cs.Deployment, holding int) int {
	queued := 0
	for _, tenant := range t.Tenants.All() {
		for _, id := range tenant.Pending {
			if q := t.Requests.Get(id); q != nil && q.Phase == fleet.PhaseQueued && matches(q.Target, d) {
				queued++
			}
		}
	}
	if queued > 0 {
		return 1
	}
	if holding > 0 {
		return 0
	}
	for _, vm := range t.VMs.All() {
		for _, n := range vm.Backlog {
			if n > 0 {
				return 1
			}
		}
	}
	return 0
}

// matches reports whether the deployment can serve the target.
func matches(target cs.Target, d cs.Deployment) bool {
	g, ok := target.(cs.Generation)
	return ok && g.Model == d.Model && (g.Version == "" || g.Version == d.Version)
}

// versionToUnload returns a version of the deployment's model to unload from the runner. There is
// one only once the runner itself and enough runners in all hold the deployment's version.
func versionToUnload(t *fleet.Tables, deployed []deployment, r *fleet.Runner, d cs.Deployment) (cs.VersionID, bool) {
	v, hasOld := undeployedVersion(deployed, r, d)
	if !hasOld || !holds(r, d.Model, d.Version) {
		return "", false
	}
	holding := 0
	for _, o := range t.Runners.All() {
		if limit.Available(o) && o.Service == d.Service && holds(o, d.Model, d.Version) {
			holding++
		}
	}
	return v, holding >= max(d.MinRunners, 1)
}

// undeployedVersion returns a version of the deployment's model that the runner holds and no
// deployment names.
func undeployedVersion(deployed []deployment, r *fleet.Runner, d cs.Deployment) (cs.VersionID, bool) {
	for _, m := range r.Report.Loaded {
		if m.Model == d.Model && m.Version != d.Version && !isDeployed(deployed, m) {
			return m.Version, true
		}
	}
	return "", false
}

// isDeployed reports whether a deployment in force names the model version.
func isDeployed(deployed []deployment, m cs.LoadedModel) bool {
	return slices.ContainsFunc(deployed, func(d deployment) bool { return d.Model == m.Model && d.Version == m.Version })
}

func holds(r *fleet.Runner, m cs.ModelID, v cs.VersionID) bool {
	return slices.Contains(r.Report.Loaded, cs.LoadedModel{Model: m, Version: v})
}
