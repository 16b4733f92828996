package job

import (
	"cmp"
	"math/bits"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// urgentSlack is the slack up to which jobs count as equally urgent. Each further class is
	// twice as wide as the one before.
	urgentSlack = 30 * cs.Second
	// noDueClass is the class of jobs without a due time; it comes after all others.
	noDueClass = 64
	// nonUrgentEvery is the number of grants of a shard of which one is set aside for jobs that are
	// not in the most urgent class. Otherwise a large job that can no longer meet its due time
	// would take all slots.
	nonUrgentEvery = 4
	// maxPrestarted bounds the non-idempotent items of a lane that are recorded as started but not
	// granted, since each of them ends with an unknown outcome if the owner dies.
	maxPrestarted = 16
)

// option is a lane of a job whose items the offered runner can run.
type option struct {
	job    *fleet.Job
	lane   *fleet.Lane
	tenant *fleet.Tenant
	shard  cs.ShardID
	class  int
}

// selection picks the items for one offer by urgency and, among equally urgent jobs, by deficit
// round robin between tenants.
type selection struct {
	shard   cs.ShardID
	s       *fleet.Shard
	options []option
	// urgent and others are buffers that eligible reuses.
	urgent, others []*option
}

// newSelection collects the options of the shard that has the most urgent job. All items of a grant
// belong to one shard, since ItemsGranted names a single one.
func newSelection(t *fleet.Tables, m cs.SlotsOffered, v *versions, now cs.Instant) *selection {
	sel := &selection{}
	for id, s := range t.Shards.All() {
		if isActiveOwner(s) {
			sel.addLanes(t, id, s, m, v, now)
		}
	}
	if len(sel.options) == 0 {
		return sel
	}
	slices.SortFunc(sel.options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.class, b.class),
			cmp.Compare(a.job.Count-a.job.Ended, b.job.Count-b.job.Ended), cmp.Compare(a.job.ID, b.job.ID))
	})
	sel.shard = sel.options[0].shard
	sel.s = t.Shards.Get(sel.shard)
	sel.trim(int(m.Slots))
	for i := range sel.options {
		tenantOf(t, sel.options[i].job.Tenant)
	}
	for i := range sel.options {
		sel.options[i].tenant = t.Tenants.Get(sel.options[i].job.Tenant)
	}
	return sel
}

// trim keeps only the options that the offer can use. For each tenant these are the first ones,
// separately for the most urgent class and the others, that together have as many items as there
// are slots. Otherwise each item taken would cost a scan of all jobs.
func (sel *selection) trim(slots int) {
	type itemCounts struct{ ready, startable int }
	type group struct {
		tenant cs.TenantID
		urgent bool
	}
	groups, first := map[group]itemCounts{}, sel.options[0].class
	sel.options = slices.DeleteFunc(sel.options, func(o option) bool {
		g := group{o.job.Tenant, o.class == first}
		counts := groups[g]
		if o.shard != sel.shard || counts.ready >= slots || o.lane.NonIdempotent && counts.startable >= slots {
			return true
		}
		counts.ready += len(o.lane.Returned)
		if o.lane.NonIdempotent {
			counts.startable += len(o.lane.Queue)
		} else {
			counts.ready += len(o.lane.Queue)
		}
		groups[g] = counts
		return false
	})
}

// addLanes adds the lanes of a shard's jobs that the offered runner can run.
func (sel *selection) addLanes(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, m cs.SlotsOffered, v *versions, now cs.Instant) {
	var running cs.ItemIndex
	firstNew := len(sel.options)
	for _, jid := range s.Active {
		j := t.Jobs.Get(jid)
		if j == nil || j.State != cs.JobOpen || j.Stopping {
			continue
		}
		running += j.Counts[cs.ItemRunning]
		for i := range j.Lanes {
			l := &j.Lanes[i]
			if (hasReady(j, l) || l.NonIdempotent && hasWaiting(j, l)) && v.matches(t, l, m) {
				sel.options = append(sel.options, option{job: j, lane: l, shard: id})
			}
		}
	}
	for i := range sel.options[firstNew:] {
		o := &sel.options[firstNew+i]
		o.class = urgencyClass(s, o.job, running, now)
	}
}

// urgencyClass returns the job's class of slack. The slack is the time left before the due time
// once the waiting items have run, at the shard's average run time and present number of running
// items.
func urgencyClass(s *fleet.Shard, j *fleet.Job, running cs.ItemIndex, now cs.Instant) int {
	if j.Due == 0 {
		return noDueClass
	}
	remainingMs := float64(j.Counts[cs.ItemWaiting]) * s.ItemTime / float64(max(1, running))
	slack := j.Due.Sub(now) - cs.Span(remainingMs)
	if slack <= urgentSlack {
		return 0
	}
	return bits.Len64(uint64(slack / urgentSlack))
}

func tenantOf(t *fleet.Tables, id cs.TenantID) *fleet.Tenant {
	if row := t.Tenants.Get(id); row != nil {
		return row
	}
	return t.Tenants.Insert(id, fleet.Tenant{})
}

// next returns the option to take the next item from, or nil if none has an item ready.
func (sel *selection) next() *option {
	all := sel.eligible()
	if len(all) == 0 {
		return nil
	}
	best := largestDeficit(all)
	if best.tenant.Deficit < 1 {
		addQuanta(all)
		best = largestDeficit(all)
	}
	best.tenant.Deficit--
	return best
}

// eligible returns the options that have an item ready and are in the most urgent class. For each
// grant set aside for other jobs it returns the options of the other classes instead, if there are
// any.
func (sel *selection) eligible() []*option {
	urgent, others := sel.urgent[:0], sel.others[:0]
	for i := range sel.options {
		o := &sel.options[i]
		switch {
		case !hasReady(o.job, o.lane):
		case len(urgent) == 0 || o.class == urgent[0].class:
			urgent = append(urgent, o)
		default:
			others = append(others, o)
		}
	}
	sel.urgent, sel.others = urgent, others
	if len(others) > 0 && sel.s.GrantCount%nonUrgentEvery == nonUrgentEvery-1 {
		return others
	}
	return urgent
}

// largestDeficit returns the first option of the tenant with the largest deficit counter.
func largestDeficit(all []*option) *option {
	best := all[0]
	for _, o := range all[1:] {
		if o.tenant.Deficit > best.tenant.Deficit {
			best = o
		}
	}
	return best
}

// addQuanta raises the deficit counters of the options' tenants in proportion to their weights,
// until the first of them reaches 1, the cost of an item.
func addQuanta(all []*option) {
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
		// The added 1e-9 keeps rounding errors from leaving the first counter just below 1.
		tenant.Deficit += rounds*weightOf(tenant) + 1e-9
	}
}

func weightOf(tenant *fleet.Tenant) float64 {
	if tenant.Limits.Weight <= 0 {
		return 1
	}
	return float64(tenant.Limits.Weight)
}

// prestart queues ItemStarted for non-idempotent items, so that they can be granted for a later
// offer.
func (sel *selection) prestart(room int) {
	for i := range sel.options {
		o := &sel.options[i]
		if !o.lane.NonIdempotent {
			continue
		}
		for room > 0 && o.lane.Starting+len(o.lane.Returned) < maxPrestarted && hasWaiting(o.job, o.lane) {
			index := o.lane.Queue[0]
			o.lane.Queue = o.lane.Queue[1:]
			o.lane.Starting++
			o.job.Items[index].Starting = true
			sel.s.Pending = append(sel.s.Pending, cs.ItemStarted{Item: cs.ItemKey{Job: o.job.ID, Index: index}})
			room--
		}
	}
}

// versions looks up the model versions that deployments put in force, at most once in a tick.
type versions struct {
	deploymentsRead bool
	deployments     []cs.Deployment
}

// matches reports whether the offered runner can run the lane's items.
func (v *versions) matches(t *fleet.Tables, l *fleet.Lane, m cs.SlotsOffered) bool {
	if l.Service != "" {
		return len(m.Loaded) == 0 && m.Service == l.Service
	}
	_, ok := v.loaded(t, l, m)
	return ok
}

// versionFor returns the model version with which the offered runner runs the lane's items.
func (v *versions) versionFor(t *fleet.Tables, l *fleet.Lane, m cs.SlotsOffered) cs.VersionID {
	version, _ := v.loaded(t, l, m)
	return version
}

func (v *versions) loaded(t *fleet.Tables, l *fleet.Lane, m cs.SlotsOffered) (version cs.VersionID, ok bool) {
	for _, loaded := range m.Loaded {
		if loaded.Model != l.Model {
			continue
		}
		if loaded.Version == l.Version || l.Version == "" && v.serves(t, m.Service, loaded) {
			return loaded.Version, true
		}
	}
	return "", false
}

// serves reports whether a loaded version serves items that name no version: it must be the one
// that a deployment for the runner's group puts in force; if no deployment names the model, any
// version does.
func (v *versions) serves(t *fleet.Tables, group cs.ServiceID, loaded cs.LoadedModel) bool {
	if !v.deploymentsRead {
		v.deploymentsRead = true
		for _, row := range t.Tickets.All() {
			if d, ok := row.Ticket.State.(cs.Deployment); ok {
				v.deployments = append(v.deployments, d)
			}
		}
	}
	named := false
	for _, d := range v.deployments {
		if d.Model != loaded.Model || d.Service != group {
			continue
		}
		if d.Version == loaded.Version {
			return true
		}
		named = true
	}
	return !named
}
