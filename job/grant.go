package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// tellEvery is the time between two messages about waiting items to a batch sender.
const tellEvery = cs.Second

// Grant gives items to the batch senders that offer slots, and takes in the outcomes of runs.
func Grant(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	var inForce *versions
	for _, e := range t.Events {
		said, ok := e.(fleet.PeerSaid)
		if !ok {
			continue
		}
		switch m := said.Message.(type) {
		case cs.SlotsOffered:
			if inForce == nil {
				inForce = &versions{}
			}
			offered(t, said.From, m, inForce, now, out)
		case cs.ItemReturned:
			returned(t, said.From, m, now, out)
		case cs.ItemsHeld:
			held(t, said.From, m, now, out)
		default:
		}
	}
	for id, s := range t.Shards.All() {
		if !acts(s) {
			continue
		}
		if now >= s.SweepAt {
			sweep(t, id, s, now, out)
		}
		out.WakeAt(s.SweepAt)
	}
}

// offered answers an offer with the items chosen for it, or with none.
func offered(t *fleet.Tables, from cs.VMID, m cs.SlotsOffered, v *versions, now cs.Instant, out *fleet.Actions) {
	g := cs.ItemsGranted{Offer: m.Offer, Runner: m.Runner}
	if t.Drain.Phase < fleet.DrainFinishing && !t.Config.Policy.NoBatch {
		c := newChoice(t, m, v, now)
		g.Shard = c.shard
		for cs.Slots(len(g.Items)) < m.Slots {
			o := c.next()
			if o == nil {
				break
			}
			g.Items = append(g.Items, grant(t, c.s, o, v.choose(t, o.lane, m), from, now))
			out.Count(fleet.CountItemsGranted, o.job.Tenant, 1)
		}
		c.start(int(m.Slots) - len(g.Items))
	}
	out.Add(fleet.Send{To: from, Message: g})
}

// grant takes the next item out of an option's lane and lends it to a sender. What another version
// generated is of no use to the one that runs the item now.
func grant(t *fleet.Tables, s *fleet.Shard, o *option, by cs.VersionID, from cs.VMID, now cs.Instant) cs.GrantedItem {
	i := pop(o.job, o.lane)
	it := &o.job.Items[i]
	if it.PartialBy != by {
		it.Partial, it.Tokens, it.PartialBy = "", 0, by
	}
	it.Attempts++
	it.Grants++
	lend(o.job, i, it, from, incarnationOf(t, from), now, now.Add(maxRun))
	s.Turn++
	g := cs.GrantedItem{
		Key: cs.ItemKey{Job: o.job.ID, Index: i}, Tenant: o.job.Tenant, Item: it.Item, Attempt: it.Grants,
		Partial: it.Partial, Tokens: it.Tokens, Suspect: it.Suspect || suspect(t, it),
	}
	if generation, ok := g.Item.Target.(cs.Generation); ok {
		generation.Version = by
		g.Item.Target = generation
	}
	return g
}

func suspect(t *fleet.Tables, it *fleet.Item) bool {
	return t.Suspects.Len() > 0 && t.Suspects.Get(cs.HashTarget(it.Target)) != nil
}

// ready reports whether the lane has an item to grant, and drops entries of items that have ended.
func ready(j *fleet.Job, l *fleet.Lane) bool {
	for n := len(l.Front); n > 0; n = len(l.Front) {
		if j.Items[l.Front[n-1]].State == cs.ItemWaiting {
			return true
		}
		l.Front = l.Front[:n-1]
	}
	return !l.NonIdempotent && startable(j, l)
}

// startable reports whether the lane's queue has a waiting item.
func startable(j *fleet.Job, l *fleet.Lane) bool {
	for len(l.Queue) > 0 {
		if j.Items[l.Queue[0]].State == cs.ItemWaiting {
			return true
		}
		l.Queue = l.Queue[1:]
	}
	return false
}

// pop takes the next item out of a lane that is ready.
func pop(j *fleet.Job, l *fleet.Lane) cs.ItemIndex {
	if n := len(l.Front); n > 0 {
		i := l.Front[n-1]
		l.Front = l.Front[:n-1]
		return i
	}
	i := l.Queue[0]
	l.Queue = l.Queue[1:]
	return i
}

// sweep looks through what is due on an owned shard.
func sweep(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
	var waiting cs.ItemIndex
	active := s.Active[:0]
	for _, jid := range s.Active {
		j := t.Jobs.Get(jid)
		if j == nil || j.State != cs.JobOpen {
			continue
		}
		active = append(active, jid)
		sweepRunning(t, s, j, now, out)
		sweepDelayed(s, j, now)
		if !j.Stopping {
			waiting += j.Counts[cs.ItemWaiting]
		}
	}
	s.Active = active
	sweepOrphans(t, s, now)
	sweepCalls(t, s, now)
	tell(t, id, s, waiting, now, out)
	s.SweepAt = now.Add(sweepEvery)
}

// sweepRunning takes items back from senders that are gone or take too long.
func sweepRunning(t *fleet.Tables, s *fleet.Shard, j *fleet.Job, now cs.Instant, out *fleet.Actions) {
	kept := j.Running[:0]
	for _, r := range j.Running {
		it := &j.Items[r.Index]
		if it.State != cs.ItemRunning || it.Grants != r.Grant {
			continue
		}
		gone := lostSince(t, it.Sender, r.Incarnation, it.Granted)
		if !gone && now < r.Until {
			kept = append(kept, r)
			continue
		}
		o := outcome{t: t, s: s, j: j, it: it, key: cs.ItemKey{Job: j.ID, Index: r.Index}, now: now, out: out}
		o.takeBack(gone)
	}
	j.Running = kept
}

// sweepDelayed queues items whose backoff is over.
func sweepDelayed(s *fleet.Shard, j *fleet.Job, now cs.Instant) {
	kept := j.Delayed[:0]
	for _, i := range j.Delayed {
		it := &j.Items[i]
		if it.State != cs.ItemWaiting {
			continue
		}
		if now < it.NotBefore {
			kept = append(kept, i)
			continue
		}
		l := laneOf(j, it)
		l.Front = append(l.Front, i)
	}
	j.Delayed = kept
}

// sweepOrphans ends non-idempotent items that an earlier owner started and nobody gave back.
func sweepOrphans(t *fleet.Tables, s *fleet.Shard, now cs.Instant) {
	if len(s.Orphans) == 0 || now < s.GraceAt {
		return
	}
	for _, k := range s.Orphans {
		j, it := itemOf(t, k)
		if it == nil || j.State != cs.JobOpen || j.Stopping || it.State != cs.ItemWaiting {
			continue
		}
		end(s, j, k, it, cs.ItemResult{
			State: cs.ItemUnknown, Error: "started by an earlier owner; the outcome is not known", Attempts: 1,
		})
	}
	s.Orphans = nil
}

// tell informs the batch senders of waiting items.
func tell(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, waiting cs.ItemIndex, now cs.Instant, out *fleet.Actions) {
	if waiting == 0 {
		s.Told = false
		return
	}
	if now < s.TellAt {
		return
	}
	s.Told, s.TellAt = true, now.Add(tellEvery)
	m := cs.WorkWaiting{Shard: id, Waiting: waiting}
	out.Add(fleet.Send{To: t.Self.ID, Message: m})
	for vm, row := range t.VMs.All() {
		if vm != t.Self.ID && row.Live && row.Linked {
			out.Add(fleet.Send{To: vm, Message: m})
		}
	}
}
