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
	// local are those of the own data centre, remote the others.
	local, remote group
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
	target = d.deployedVersion(target)
	for _, r := range d.t.Runners.All() {
		if limit.Usable(r, d.now) && limit.Serves(r, target) {
			p.add(r, r.DataCentre == d.t.Self.DataCentre, d.now)
		}
	}
	d.pools = append(d.pools, p)
	return p
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

func (p *pool) add(r *fleet.Runner, near bool, now cs.Instant) {
	g := &p.remote
	if near {
		g = &p.local
	}
	c := candidate{group: g, row: r, key: limit.RunnerKey(r.ID), slots: limit.Slots(r), trial: r.Ejections > 0}
	c.measure(now)
	g.list = append(g.list, c)
	g.seen += c.seen()
}

// deployedVersion adds the deployed version to a generation that names none, if runners hold several
// versions of the model and one of them the deployed one.
func (d *round) deployedVersion(target cs.Target) cs.Target {
	g, ok := target.(cs.Generation)
	if !ok || g.Version != "" || !d.severalVersions(g.Model) {
		return target
	}
	for _, k := range d.t.Tickets.All() {
		dep, ok := k.Ticket.State.(cs.Deployment)
		if !ok || dep.Model != g.Model {
			continue
		}
		x := g
		x.Version = dep.Version
		for _, r := range d.t.Runners.All() {
			if limit.Up(r) && limit.Serves(r, x) {
				return x
			}
		}
	}
	return target
}

func (d *round) severalVersions(m cs.ModelID) bool {
	var first cs.VersionID
	for _, r := range d.t.Runners.All() {
		for _, l := range r.Report.Loaded {
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

// usual returns the median first-token time of the pool in milliseconds, or 0 while it is unknown.
func (p *pool) usual() float64 {
	if p.measured {
		return p.median
	}
	p.measured = true
	var all []float64
	for _, g := range [...]*group{&p.local, &p.remote} {
		for _, c := range g.list {
			if c.row.FirstToken > 0 {
				all = append(all, c.row.FirstToken)
			}
		}
	}
	if len(all) > 0 {
		slices.Sort(all)
		p.median = all[len(all)/2]
	}
	return p.median
}
