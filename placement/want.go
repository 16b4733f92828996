package placement

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
)

// shouldLoad reports whether the runner is the next to load a deployment's version.
//
// All VMs rank the runners alike, and only the first Config.LoadsAtOnce that lack the version may
// load it. This bounds the share of the weight store's rate that one deployment takes.
func shouldLoad(t *fleet.Tables, deployed []deployment, r *fleet.Runner, d cs.Deployment) bool {
	if holds(r, d.Model, d.Version) {
		return false
	}
	var (
		have, outdated int
		lack           []*fleet.Runner
	)
	for _, o := range t.Runners.All() {
		if o.Kind != cs.KindEngine || o.Service != d.Service || !limit.Up(o) {
			continue
		}
		if holds(o, d.Model, d.Version) {
			have++
			continue
		}
		if _, old := stale(deployed, o, d); old {
			outdated++
		}
		lack = append(lack, o)
	}
	want := max(d.MinRunners, have+outdated, have+demand(t, d, have))
	next := min(want-have, max(t.Config.LoadsAtOnce, 1), len(lack))
	if next <= 0 {
		return false
	}
	ahead := 0
	for _, o := range lack {
		if o != r && before(deployed, d, o, r) < 0 {
			ahead++
		}
	}
	return ahead < next && slices.Contains(lack, r)
}

// before ranks runners for loading: those that hold a version of the model which no deployment names
// come first, since they serve the model already.
func before(deployed []deployment, d cs.Deployment, a, b *fleet.Runner) int {
	_, oldA := stale(deployed, a, d)
	_, oldB := stale(deployed, b, d)
	if oldA != oldB {
		if oldA {
			return -1
		}
		return 1
	}
	key := string(d.Scope())
	if cs.Rendezvous(key, string(a.ID)) > cs.Rendezvous(key, string(b.ID)) {
		return -1
	}
	return 1
}

// demand returns the number of further runners that the queue calls for. Waiting items are counted
// by shard and not by model, so that they only call for a first runner.
func demand(t *fleet.Tables, d cs.Deployment, have int) int {
	queued := 0
	for _, tenant := range t.Tenants.All() {
		for _, id := range tenant.Pending {
			if q := t.Requests.Get(id); q != nil && q.Phase == fleet.PhaseQueued && asksFor(q.Target, d) {
				queued++
			}
		}
	}
	if queued > 0 {
		return 1
	}
	if have > 0 {
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

func asksFor(target cs.Target, d cs.Deployment) bool {
	g, ok := target.(cs.Generation)
	return ok && g.Model == d.Model && (g.Version == "" || g.Version == d.Version)
}

// outdated returns a version of the deployment's model to unload from the runner, once the runner
// itself and enough others hold the deployment's version.
func outdated(t *fleet.Tables, deployed []deployment, r *fleet.Runner, d cs.Deployment) (cs.VersionID, bool) {
	v, old := stale(deployed, r, d)
	if !old || !holds(r, d.Model, d.Version) {
		return "", false
	}
	have := 0
	for _, o := range t.Runners.All() {
		if limit.Up(o) && o.Service == d.Service && holds(o, d.Model, d.Version) {
			have++
		}
	}
	return v, have >= max(d.MinRunners, 1)
}

// stale returns a version of the deployment's model on the runner that no deployment names.
func stale(deployed []deployment, r *fleet.Runner, d cs.Deployment) (cs.VersionID, bool) {
	for _, m := range r.Report.Loaded {
		if m.Model == d.Model && m.Version != d.Version && !named(deployed, m) {
			return m.Version, true
		}
	}
	return "", false
}

// named reports whether a deployment in force names the model and version.
func named(deployed []deployment, m cs.LoadedModel) bool {
	return slices.ContainsFunc(deployed, func(d deployment) bool { return d.Model == m.Model && d.Version == m.Version })
}

func holds(r *fleet.Runner, m cs.ModelID, v cs.VersionID) bool {
	return slices.Contains(r.Report.Loaded, cs.LoadedModel{Model: m, Version: v})
}
