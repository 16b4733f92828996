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
	// openTurn is the share of grants, one in openTurn, for which all jobs compete regardless of
	// their slack. Without it a large job that can no longer meet its due time would take all slots.
	openTurn = 4
	// lookAhead bounds the non-idempotent items of a lane that are started and not granted, since
	// each of them ends as unknown if the owner dies.
	lookAhead = 8
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
	c.options = slices.DeleteFunc(c.options, func(o option) bool { return o.shard != c.shard })
	for i := range c.options {
		tenantOf(t, c.options[i].job.Tenant)
	}
	for i := range c.options {
		c.options[i].tenant = t.Tenants.Get(c.options[i].job.Tenant)
	}
	return c
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
	class, all := -1, c.s != nil && c.s.Turn%openTurn == openTurn-1
	var best *option
	for range 2 { // the second pass follows a top-up
		for i := range c.options {
			o := &c.options[i]
			if !ready(o.job, o.lane) {
				continue
			}
			if class < 0 {
				class = o.class
			}
			if o.class != class && !all {
				break
			}
			if best == nil || o.tenant.Deficit > best.tenant.Deficit {
				best = o
			}
		}
		if best == nil {
			return nil
		}
		if best.tenant.Deficit >= 1 {
			break
		}
		c.topUp(class, all)
		best = nil
	}
	if best != nil {
		best.tenant.Deficit--
	}
	return best
}

// topUp gives each tenant that competes credit by its weight, until one can pay for an item.
func (c *choice) topUp(class int, all bool) {
	var tenants []*fleet.Tenant
	for i := range c.options {
		o := &c.options[i]
		if ready(o.job, o.lane) && (all || o.class == class) && !slices.Contains(tenants, o.tenant) {
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
	for _, held := range m.Loaded {
		if held.Model != l.Model {
			continue
		}
		if held.Version == l.Version || l.Version == "" && v.serves(t, m.Service, held) {
			return true
		}
	}
	return false
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
