package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// notifyInterval is the time between two reports of waiting items to the batch senders.
const notifyInterval = cs.Second

// Grant gives items to the batch senders that offer slots, and processes the outcomes of runs.
func Grant(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	var deployed *versions
	for _, e := range t.Events {
		received, ok := e.(fleet.PeerMessageReceived)
		if !ok {
			continue
		}
		switch m := received.Message.(type) {
		case cs.SlotsOffered:
			if deployed == nil {
				deployed = &versions{}
			}
			answerOffer(t, received.From, m, deployed, now, out)
		case cs.ItemOutcome:
			handleOutcome(t, received.From, m, now, out)
		case cs.ItemsHeld:
			reclaimUnheld(t, received.From, m, now, out)
		default:
		}
	}
	for id, s := range t.Shards.All() {
		if !isActiveOwner(s) {
			continue
		}
		if now >= s.SweepAt {
			sweepShard(t, id, s, now, out)
		}
		out.WakeAt(s.SweepAt)
	}
}

// answerOffer answers an offer with the items chosen for it; the list may be empty.
func answerOffer(t *fleet.Tables, from cs.VMID, m cs.SlotsOffered, v *versions, now cs.Instant, out *fleet.Actions) {
	g := cs.ItemsGranted{Offer: m.Offer, Runner: m.Runner}
	if t.Drain.Phase < fleet.DrainFinishing && !t.Config.Policy.NoBatch {
		sel := newSelection(t, m, v, now)
		g.Shard = sel.shard
		if sel.s != nil {
			g.Fence = sel.s.Claim
		}
		for cs.Slots(len(g.Items)) < m.Slots {
			o := sel.next()
			if o == nil {
				break
			}
			g.Items = append(g.Items, grantNext(t, sel.s, o, v.versionFor(t, o.lane, m), from, now))
			out.Count(fleet.CountItemsGranted, o.job.Tenant, 1)
		}
		sel.prestart(int(m.Slots) - len(g.Items))
	}
	out.Add(fleet.Send{To: from, Message: g})
}

// grantNext takes the next item out of an option's lane and grants it to a sender. Partial output
// of another model version is dropped, since the version that runs the item now cannot continue it.
func grantNext(t *fleet.Tables, s *fleet.Shard, o *option, version cs.VersionID, from cs.VMID, now cs.Instant) cs.GrantedItem {
	i := popItem(o.job, o.lane)
	it := &o.job.Items[i]
	if it.PartialBy != version {
		it.Partial, it.Tokens, it.PartialBy = "", 0, version
	}
	it.Attempts++
	it.Grants++
	markRunning(o.job, i, it, from, incarnationOf(t, from), now, now.Add(maxRunTime))
	s.GrantCount++
	g := cs.GrantedItem{
		Key: cs.ItemKey{Job: o.job.ID, Index: i}, Tenant: o.job.Tenant, Item: it.Item, Attempt: it.Grants,
		Partial: it.Partial, Tokens: it.Tokens,
	}
	if generation, ok := g.Item.Target.(cs.Generation); ok {
		generation.Version = version
		g.Item.Target = generation
	}
	return g
}

// hasReady reports whether the lane has an item to grant, and removes the items at its head that no
// longer wait.
func hasReady(j *fleet.Job, l *fleet.Lane) bool {
	for n := len(l.Returned); n > 0; n = len(l.Returned) {
		if j.Items[l.Returned[n-1]].State == cs.ItemWaiting {
			return true
		}
		l.Returned = l.Returned[:n-1]
	}
	return !l.NonIdempotent && hasWaiting(j, l)
}

// hasWaiting reports whether the lane's queue has a waiting item, and removes the items at its head
// that no longer wait.
func hasWaiting(j *fleet.Job, l *fleet.Lane) bool {
	for len(l.Queue) > 0 {
		if j.Items[l.Queue[0]].State == cs.ItemWaiting {
			return true
		}
		l.Queue = l.Queue[1:]
	}
	return false
}

// popItem removes and returns the next item of a lane for which hasReady returned true.
func popItem(j *fleet.Job, l *fleet.Lane) cs.ItemIndex {
	if n := len(l.Returned); n > 0 {
		i := l.Returned[n-1]
		l.Returned = l.Returned[:n-1]
		return i
	}
	i := l.Queue[0]
	l.Queue = l.Queue[1:]
	return i
}

// sweepShard performs the periodic work of an owned shard.
func sweepShard(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, now cs.Instant, out *fleet.Actions) {
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
	notifySenders(t, id, s, waiting, now, out)
	s.SweepAt = now.Add(sweepInterval)
}

// sweepRunning takes back items whose sender is lost or whose run takes too long.
func sweepRunning(t *fleet.Tables, s *fleet.Shard, j *fleet.Job, now cs.Instant, out *fleet.Actions) {
	kept := j.Running[:0]
	for _, r := range j.Running {
		it := &j.Items[r.Index]
		if it.State != cs.ItemRunning || it.Grants != r.Grant {
			continue
		}
		senderLost := lostSince(t, it.Sender, r.Incarnation, it.Granted)
		if !senderLost && now < r.Until {
			kept = append(kept, r)
			continue
		}
		o := runOutcome{t: t, s: s, j: j, it: it, key: cs.ItemKey{Job: j.ID, Index: r.Index}, now: now, out: out}
		o.abandon(senderLost)
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
		l.Returned = append(l.Returned, i)
	}
	j.Delayed = kept
}

// sweepOrphans ends non-idempotent items that an earlier owner started and whose outcome did not
// arrive within the grace period.
func sweepOrphans(t *fleet.Tables, s *fleet.Shard, now cs.Instant) {
	if len(s.Orphans) == 0 || now < s.GraceAt {
		return
	}
	for _, k := range s.Orphans {
		j, it := itemOf(t, k)
		if it == nil || j.State != cs.JobOpen || j.Stopping || it.State != cs.ItemWaiting {
			continue
		}
		endItem(s, j, k, it, cs.ItemResult{
			State: cs.ItemUnknown, Error: "started by an earlier owner; the outcome is not known", Attempts: 1,
		})
	}
	s.Orphans = nil
}

// notifySenders reports the number of waiting items to the batch senders.
func notifySenders(t *fleet.Tables, id cs.ShardID, s *fleet.Shard, waiting cs.ItemIndex, now cs.Instant, out *fleet.Actions) {
	if waiting == 0 {
		s.Notified = false
		return
	}
	if now < s.NotifyAt {
		return
	}
	s.Notified, s.NotifyAt = true, now.Add(notifyInterval)
	m := cs.BacklogReport{Shard: id, Waiting: waiting}
	out.Add(fleet.Send{To: t.Self.ID, Message: m})
	for vm, row := range t.VMs.All() {
		if vm != t.Self.ID && row.Live && row.Linked {
			out.Add(fleet.Send{To: vm, Message: m})
		}
	}
}
