package job

import (
	"cmp"
	"math/bits"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// urgent is the slack up to which jobs count as equally urgent; each further class of slack is
	// twice as wide as the one before.
	urgent = 30 * cs.Second
	// noDue is the class of jobs without a due time.
	noDue = 64
	// openTurn is the share of grants, one in openTurn, set aside for jobs that are not in the most
	// urgent class. Without it a large job that can no longer meet its due time would take all slots.
	openTurn = 4
	// lookAhead bounds the non-idempotent items of a lane that are started and not granted, since
	// each of them ends as unknown if the owner dies.
	lookAhead = 16
)

// option is a lane of a job whose items the offered runner can run.
type option struct {
	job    *fleet.Job
	lane   *fleet.Lane
	tenant *fleet.Tenant
	shard  cs.ShardID
	class  int
}

// choice picks the items for one offer.
type choice struct {
	shard   cs.ShardID
	s       *fleet.Shard
	options []option
	// urgent and others are the memory of competing.
	urgent, others []*option
}

// newChoice gathers the options of the shard that has the most urgent job. All items of a grant are
// of one shard, since ItemsGranted names one.
func newChoice(t *fleet.Tables, m cs.SlotsOffered, v *versions, now cs.Instant) *choice {
	c := &choice{}
	for id, s := range t.Shards.All() {
		if acts(s) {
			c.gather(t, id, s, m, v, now)
		}
	}
	if len(c.options) == 0 {
		return c
	}
	slices.SortFunc(c.options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.class, b.class),
			cmp.Compare(a.job.Count-a.job.Ended, b.job.Count-b.job.Ended), cmp.Compare(a.job.ID, b.job.ID))
	})
	c.shard = c.options[0].shard
	c.s = t.Shards.Get(c.shard)
	c.trim(int(m.Slots))
	for i := range c.options {
		tenantOf(t, c.options[i].job.Tenant)
	}
	for i := range c.options {
		c.options[i].tenant = t.Tenants.Get(c.options[i].job.Tenant)
	}
	return c
}

// trim keeps the options that the offer can use: of each tenant those that come first, in the most
// urgent class and beyond it, until they have as many items as there are slots. Without it each item
// taken would cost a look at all jobs.
func (c *choice) trim(slots int) {
	type have struct{ ready, startable int }
	type group struct {
		tenant cs.TenantID
		urgent bool
	}
	groups, first := map[group]have{}, c.options[0].class
	c.options = slices.DeleteFunc(c.options, func(o option) bool {
		g := group{o.job.Tenant, o.class == first}
		h := groups[g]
		if o.shard != c.shard || h.ready >= slots || o.lane.NonIdempotent && h.startable >= slots {
			return true
		}
		h.ready += len(o.lane.Front)
		if o.lane.NonIdempotent {
			h.startable += len(o.lane.Queue)
		} else {
			h.ready += len(o.lane.Queue)
		}
		groups[g] = h
		return false
	})
}

// gather adds the lanes of a shard's jobs that the offered runner can run.
func (c *choice) gather(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, m cs.SlotsOffered, v *versions, now cs.Instant) {
	var running cs.ItemIndex
	from := len(c.options)
	for _, jid := range s.Active {
		j := t.Jobs.Get(jid)
		if j == nil || j.State != cs.JobOpen || j.Stopping {
			continue
		}
		running += j.Counts[cs.ItemRunning]
		for i := range j.Lanes {
			l := &j.Lanes[i]
			if (ready(j, l) || l.NonIdempotent && startable(j, l)) && v.matches(t, l, m) {
				c.options = append(c.options, option{job: j, lane: l, shard: id})
			}
		}
	}
	for i := range c.options[from:] {
		o := &c.options[from+i]
		o.class = classOf(s, o.job, running, now)
	}
}

// classOf returns the job's class of slack: the time to its due time that its remaining items, run
// as many at once as now, would leave.
func classOf(s *fleet.Shard, j *fleet.Job, running cs.ItemIndex, now cs.Instant) int {
	if j.Due == 0 {
		return noDue
	}
	left := float64(j.Counts[cs.ItemWaiting]) * s.ItemTime / float64(max(1, running))
	slack := j.Due.Sub(now) - cs.Span(left)
	if slack <= urgent {
		return 0
	}
	return bits.Len64(uint64(slack / urgent))
}

func tenantOf(t *fleet.Tables, id cs.TenantID) *fleet.Tenant {
	if row := t.Tenants.Get(id); row != nil {
		return row
	}
	return t.Tenants.Insert(id, fleet.Tenant{})
}

// next returns the option to take the next item from, or nil if none has an item ready.
func (c *choice) next() *option {
	all := c.competing()
	if len(all) == 0 {
		return nil
	}
	best := richest(all)
	if best.tenant.Deficit < 1 {
		topUp(all)
		best = richest(all)
	}
	best.tenant.Deficit--
	return best
}

// competing returns the options that are ready and of the most urgent class, or on an open turn
// those of the other classes, if there are any.
func (c *choice) competing() []*option {
	urgent, others := c.urgent[:0], c.others[:0]
	for i := range c.options {
		o := &c.options[i]
		switch {
		case !ready(o.job, o.lane):
		case len(urgent) == 0 || o.class == urgent[0].class:
			urgent = append(urgent, o)
		default:
			others = append(others, o)
		}
	}
	c.urgent, c.others = urgent, others
	if len(others) > 0 && c.s.Turn%openTurn == openTurn-1 {
		return others
	}
	return urgent
}

// richest returns the first option of the tenant with the most credit.
func richest(all []*option) *option {
	best := all[0]
	for _, o := range all[1:] {
		if o.tenant.Deficit > best.tenant.Deficit {
			best = o
		}
	}
	return best
}

// topUp gives each tenant that competes credit by its weight, until one can pay for an item.
func topUp(all []*option) {
	var tenants []*fleet.Tenant
	for _, o := range all {
		if !slices.Contains(tenants, o.tenant) {
			tenants = append(tenants, o.tenant)
		}
	}
	rounds := 0.0
	for i, tenant := range tenants {
		if r := (1 - tenant.Deficit) / weightOf(tenant); i == 0 || r < rounds {
			rounds = r
		}
	}
	for _, tenant := range tenants {
		// The slack of a billionth keeps rounding from leaving the first tenant just below 1.
		tenant.Deficit += rounds*weightOf(tenant) + 1e-9
	}
}

func weightOf(tenant *fleet.Tenant) float64 {
	if tenant.Limits.Weight <= 0 {
		return 1
	}
	return float64(tenant.Limits.Weight)
}

// start writes ItemStarted for non-idempotent items that can be granted to a later offer.
func (c *choice) start(room int) {
	for i := range c.options {
		o := &c.options[i]
		if !o.lane.NonIdempotent {
			continue
		}
		for room > 0 && o.lane.Starting+len(o.lane.Front) < lookAhead && startable(o.job, o.lane) {
			index := o.lane.Queue[0]
			o.lane.Queue = o.lane.Queue[1:]
			o.lane.Starting++
			o.job.Items[index].Starting = true
			c.s.Pending = append(c.s.Pending, cs.ItemStarted{Item: cs.ItemKey{Job: o.job.ID, Index: index}})
			room--
		}
	}
}

// versions looks up the versions of models in force, once in a tick.
type versions struct {
	read        bool
	deployments []cs.Deployment
}

// matches reports whether the offered runner can run the lane's items.
func (v *versions) matches(t *fleet.Tables, l *fleet.Lane, m cs.SlotsOffered) bool {
	if l.Service != "" {
		return len(m.Loaded) == 0 && m.Service == l.Service
	}
	_, ok := v.held(t, l, m)
	return ok
}

// choose returns the version with which the offered runner runs the lane's items.
func (v *versions) choose(t *fleet.Tables, l *fleet.Lane, m cs.SlotsOffered) cs.VersionID {
	version, _ := v.held(t, l, m)
	return version
}

func (v *versions) held(t *fleet.Tables, l *fleet.Lane, m cs.SlotsOffered) (version cs.VersionID, ok bool) {
	for _, held := range m.Loaded {
		if held.Model != l.Model {
			continue
		}
		if held.Version == l.Version || l.Version == "" && v.serves(t, m.Service, held) {
			return held.Version, true
		}
	}
	return "", false
}

// serves reports whether a version of a model serves items that name none: one that a deployment on
// the runner's group puts in force, or any if no deployment names the model.
func (v *versions) serves(t *fleet.Tables, group cs.ServiceID, held cs.LoadedModel) bool {
	if !v.read {
		v.read = true
		for _, k := range t.Tickets.All() {
			if d, ok := k.Ticket.State.(cs.Deployment); ok {
				v.deployments = append(v.deployments, d)
			}
		}
	}
	named := false
	for _, d := range v.deployments {
		if d.Model != held.Model || d.Service != group {
			continue
		}
		if d.Version == held.Version {
			return true
		}
		named = true
	}
	return !named
}
