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
	// local are those of the own data centre, remote the others; remote is nil until it is needed.
	local, remote *group
	// share is this VM's share of a runner: one of the live VMs of the data centre.
	share float64
	// median is the median first-token time in milliseconds; 0 while unknown.
	median   float64
	measured bool
	// full means that no runner has room.
	full bool
}

// group is the usable runners of a pool on one side of the data centre's border.
type group struct {
	list []candidate
	// seen sums up the online requests on them.
	seen float64
}

// candidate is a runner with its load as of this tick.
type candidate struct {
	group  *group
	row    *fleet.Runner
	key    uint64
	slots  cs.Slots
	online cs.Slots
	total  float64
	// trial means that the runner was ejected and has not answered in good time since.
	trial bool
}

// poolKey identifies a kind of target.
type poolKey struct {
	service cs.ServiceID
	model   cs.ModelID
	version cs.VersionID
}

func keyOf(target cs.Target) poolKey {
	switch x := target.(type) {
	case cs.Generation:
		return poolKey{model: x.Model, version: x.Version}
	case cs.ServiceCall:
		return poolKey{service: x.Service}
	}
	return poolKey{}
}

func (c *candidate) measure(now cs.Instant) {
	c.online = limit.Online(c.row)
	c.total = limit.Total(c.row, now)
}

// pool returns the pool of a target, which is built once in a pass.
func (d *round) pool(target cs.Target) *pool {
	key := keyOf(target)
	for _, p := range d.pools {
		if p.key == key {
			return p
		}
	}
	p := &pool{key: key, share: 1 / float64(d.liveVMs())}
	p.local = d.gather(target, true)
	d.pools = append(d.pools, p)
	return p
}

// far returns the runners of other data centres, which are gathered only if the own ones do not do.
func (d *round) far(p *pool, target cs.Target) *group {
	if p.remote == nil {
		p.remote = d.gather(target, false)
	}
	return p.remote
}

// gather lists the usable runners for a target in the own data centre, or in the others. A
// generation that names no version gets the deployed one while runners hold several.
func (d *round) gather(target cs.Target, near bool) *group {
	g := d.list(target, near)
	gen, ok := target.(cs.Generation)
	if !ok || gen.Version != "" || !g.severalVersions(gen.Model) {
		return g
	}
	for _, k := range d.t.Tickets.All() {
		dep, ok := k.Ticket.State.(cs.Deployment)
		if !ok || dep.Model != gen.Model {
			continue
		}
		gen.Version = dep.Version
		if only := d.list(gen, near); len(only.list) > 0 {
			return only
		}
	}
	return g
}

// list leaves out ejected runners whose trial the retry budget does not allow, unless there are no
// others.
func (d *round) list(target cs.Target, near bool) *group {
	g, untried := &group{}, []*fleet.Runner(nil)
	for _, r := range d.t.Runners.All() {
		switch {
		case (r.DataCentre == d.t.Self.DataCentre) != near || !limit.Usable(r, d.now) || !d.serves(r, target):
		case limit.MayTry(d.t, r, d.now):
			g.add(r, d.now)
		default:
			untried = append(untried, r)
		}
	}
	if len(g.list) == 0 {
		for _, r := range untried {
			g.add(r, d.now)
		}
	}
	return g
}

// serves reports whether a runner holds what the target asks for. Runners of other data centres are
// not polled from here, so that what their deployment names stands in for a report; a runner that
// does not hold it refuses the request as not run.
func (d *round) serves(r *fleet.Runner, target cs.Target) bool {
	gen, ok := target.(cs.Generation)
	if !ok || r.ReportAt != 0 || r.Kind != cs.KindEngine {
		return limit.Serves(r, target)
	}
	for _, k := range d.t.Tickets.All() {
		dep, ok := k.Ticket.State.(cs.Deployment)
		if ok && dep.Service == r.Service && dep.Model == gen.Model && (gen.Version == "" || gen.Version == dep.Version) {
			return true
		}
	}
	return false
}

func (g *group) add(r *fleet.Runner, now cs.Instant) {
	c := candidate{group: g, row: r, key: limit.RunnerKey(r.ID), slots: limit.Slots(r), trial: r.Ejections > 0}
	c.measure(now)
	g.list = append(g.list, c)
	g.seen += c.seen()
}

// severalVersions reports whether the runners hold more than one version of a model.
func (g *group) severalVersions(m cs.ModelID) bool {
	var first cs.VersionID
	for _, c := range g.list {
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

// liveVMs counts the live VMs of the own data centre, this one included.
func (d *round) liveVMs() int {
	n := 1
	for id, vm := range d.t.VMs.All() {
		if id != d.t.Self.ID && vm.Live && vm.DataCentre == d.t.Self.DataCentre {
			n++
		}
	}
	return n
}

// usual returns the median first-token time of the own runners in milliseconds, or 0 while it is
// unknown.
func (p *pool) usual() float64 {
	if p.measured {
		return p.median
	}
	p.measured = true
	var all []float64
	for _, c := range p.local.list {
		if c.row.FirstToken > 0 {
			all = append(all, c.row.FirstToken)
		}
	}
	if len(all) > 0 {
		slices.Sort(all)
		p.median = all[len(all)/2]
	}
	return p.median
}
