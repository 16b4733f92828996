package routing

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
)

// pool holds the runners that can serve one kind of target.
type pool struct {
	key poolKey
	// localGroup holds the runners of this VM's data centre, remoteGroup those of the others;
	// remoteGroup is nil until it is needed.
	localGroup, remoteGroup *group
	// vmShare is this VM's share of a runner: 1 over the number of live VMs of the data centre.
	vmShare float64
	// medianMs is the median first-token time of the local runners, 0 if none has been measured; it
	// is valid once medianKnown is set.
	medianMs    float64
	medianKnown bool
	// full means that no runner has room.
	full bool
}

// group holds the usable runners of a pool in this VM's data centre, or those in the others.
type group struct {
	usable []candidate
	// estimatedOnline is the estimated number of online requests on all of them.
	estimatedOnline float64
}

// candidate is a runner with its load on this tick.
type candidate struct {
	group   *group
	row     *fleet.Runner
	rankKey uint64
	slots   cs.Slots
	// online counts the online requests of this VM and its peers on the runner; totalLoad estimates
	// all requests there, batch included.
	online    cs.Slots
	totalLoad float64
	// onTrial means that the runner was ejected and has not answered within the usual time since.
	onTrial bool
}

// poolKey identifies the targets that the same runners can serve.
type poolKey struct {
	service cs.ServiceID
	model   cs.ModelID
	version cs.VersionID
}

// poolKeyOf returns the pool key of a target.
func poolKeyOf(target cs.Target) poolKey {
	switch x := target.(type) {
	case cs.Generation:
		return poolKey{model: x.Model, version: x.Version}
	case cs.ServiceCall:
		return poolKey{service: x.Service}
	}
	return poolKey{}
}

// updateLoad recomputes the candidate's load from the runner's row.
func (c *candidate) updateLoad(now cs.Instant) {
	c.online = limit.Online(c.row)
	c.totalLoad = limit.EstimatedRequests(c.row, now)
}

// pool returns the pool for a target, which is built at most once per pass.
func (d *dispatchPass) pool(target cs.Target) *pool {
	key := poolKeyOf(target)
	for _, p := range d.pools {
		if p.key == key {
			return p
		}
	}
	p := &pool{key: key, vmShare: 1 / float64(d.liveVMs())}
	p.localGroup = d.newGroup(target, true)
	d.pools = append(d.pools, p)
	return p
}

// remote returns the runners of other data centres. The group is built only when the local
// runners do not suffice.
func (d *dispatchPass) remote(p *pool, target cs.Target) *group {
	if p.remoteGroup == nil {
		p.remoteGroup = d.newGroup(target, false)
	}
	return p.remoteGroup
}

// newGroup returns the usable runners for a target in this VM's data centre, or those in the
// others. While runners hold several versions of a model, a generation that names no version gets
// the deployed one.
func (d *dispatchPass) newGroup(target cs.Target, local bool) *group {
	g := d.usable(target, local)
	gen, ok := target.(cs.Generation)
	if !ok || gen.Version != "" || !g.hasSeveralVersions(gen.Model) {
		return g
	}
	for _, ticket := range d.t.Tickets.All() {
		dep, ok := ticket.Ticket.State.(cs.Deployment)
		if !ok || dep.Model != gen.Model {
			continue
		}
		gen.Version = dep.Version
		if only := d.usable(gen, local); len(only.usable) > 0 {
			return only
		}
	}
	return g
}

// usable returns the usable runners for exactly this target. Runners whose trial after an
// ejection has to wait for the retry budget are included only if there are no others.
func (d *dispatchPass) usable(target cs.Target, local bool) *group {
	g, deferred := &group{}, []*fleet.Runner(nil)
	for _, r := range d.t.Runners.All() {
		switch {
		case (r.DataCentre == d.t.Self.DataCentre) != local || !limit.Usable(r, d.now) || !d.serves(r, target):
		case limit.TrialAllowed(d.t, r, d.now):
			g.add(r, d.now)
		default:
			deferred = append(deferred, r)
		}
	}
	if len(g.usable) == 0 {
		for _, r := range deferred {
			g.add(r, d.now)
		}
	}
	return g
}

// serves reports whether a runner can serve the target. Runners of other data centres are not
// polled by this VM, so the model that their deployment names is used in place of a load report; a
// runner that does not hold it refuses the request as not run.
func (d *dispatchPass) serves(r *fleet.Runner, target cs.Target) bool {
	gen, ok := target.(cs.Generation)
	if !ok || r.ReportAt != 0 || r.Kind != cs.KindEngine {
		return limit.Serves(r, target)
	}
	for _, ticket := range d.t.Tickets.All() {
		dep, ok := ticket.Ticket.State.(cs.Deployment)
		if ok && dep.Service == r.Service && dep.Model == gen.Model && (gen.Version == "" || gen.Version == dep.Version) {
			return true
		}
	}
	return false
}

// add appends a runner to the group with its current load.
func (g *group) add(r *fleet.Runner, now cs.Instant) {
	c := candidate{group: g, row: r, rankKey: limit.RunnerKey(r.ID), slots: limit.Slots(r), onTrial: r.Ejections > 0}
	c.updateLoad(now)
	g.usable = append(g.usable, c)
	g.estimatedOnline += c.estimatedOnline()
}

// hasSeveralVersions reports whether the runners hold more than one version of a model.
func (g *group) hasSeveralVersions(m cs.ModelID) bool {
	var first cs.VersionID
	for _, c := range g.usable {
		for _, l := range c.row.Report.Loaded {
			if l.Model != m || l.Version == first {
				continue
			}
			if first != "" {
				return true
			}
			first = l.Version
		}
	}
	return false
}

// liveVMs counts the live VMs of this VM's data centre, including itself.
func (d *dispatchPass) liveVMs() int {
	n := 1
	for id, vm := range d.t.VMs.All() {
		if id != d.t.Self.ID && vm.Live && vm.DataCentre == d.t.Self.DataCentre {
			n++
		}
	}
	return n
}

// medianFirstToken returns the median first-token time of the local runners in milliseconds, or 0
// if none has been measured.
func (p *pool) medianFirstToken() float64 {
	if p.medianKnown {
		return p.medianMs
	}
	p.medianKnown = true
	var averages []float64
	for _, c := range p.localGroup.usable {
		if c.row.FirstToken > 0 {
			averages = append(averages, c.row.FirstToken)
		}
	}
	if len(averages) > 0 {
		slices.Sort(averages)
		p.medianMs = averages[len(averages)/2]
	}
	return p.medianMs
}
