package membership

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Broadcast sends a heartbeat to all linked VMs every Config.Heartbeat, and at once when this
// VM begins to drain or the shards it owns change. A VM whose link was just opened gets one at once
// as well.
func Broadcast(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	m := &t.Membership
	due := m.BroadcastAt.Add(t.Config.Heartbeat)
	if now >= due || m.Broadcast.Leaving != draining(t) || ownedShardsChanged(t) {
		sendHeartbeats(t, now, out)
		due = now.Add(t.Config.Heartbeat)
	} else {
		sendToNewLinks(t, out)
	}
	out.WakeAt(due)
}

// sendHeartbeats sends a heartbeat to all linked VMs and records it in this VM's own row.
func sendHeartbeats(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	m := &t.Membership
	m.Broadcast, m.BroadcastAt = commonHeartbeat(t, now), now
	online := onlineBySender(t)
	for id, v := range t.VMs.All() {
		if v.Linked {
			heartbeat := m.Broadcast
			heartbeat.Online = online[id]
			out.Add(fleet.Send{To: id, Message: heartbeat})
		}
	}
	if self := t.VMs.Get(t.Self.ID); self != nil {
		recordHeartbeat(self, m.Broadcast, now)
	}
}

// sendToNewLinks sends the last heartbeat to the VMs whose link was opened on this tick.
func sendToNewLinks(t *fleet.Tables, out *fleet.Actions) {
	for _, e := range t.Events {
		if o, ok := e.(fleet.LinkOpened); ok {
			out.Add(fleet.Send{To: o.VM.ID, Message: t.Membership.Broadcast})
		}
	}
}

func draining(t *fleet.Tables) bool { return t.Drain.Phase != fleet.DrainNone }

// ownedShardsChanged reports whether the owned shards differ from those in the last heartbeat.
func ownedShardsChanged(t *fleet.Tables) bool {
	sent, owned := t.Membership.Broadcast.Owned, 0
	for id, s := range t.Shards.All() {
		if !s.Owned {
			continue
		}
		owned++
		same := func(o cs.OwnedShard) bool { return o.Shard == id && o.Fence == s.Claim }
		if !slices.ContainsFunc(sent, same) {
			return true
		}
	}
	return owned != len(sent)
}

// commonHeartbeat returns the heartbeat without the field Online, which differs between peers.
func commonHeartbeat(t *fleet.Tables, now cs.Instant) cs.Heartbeat {
	return cs.Heartbeat{
		Leaving: draining(t), LogAge: t.Log.Age(now), Owned: ownedShards(t),
		Highest: t.TicketLog.Highest, Tickets: t.Tickets.Len(),
	}
}

// ownedShards lists the shards that this VM owns, by number, with their waiting items.
func ownedShards(t *fleet.Tables) []cs.OwnedShard {
	var owned []cs.OwnedShard
	for id, s := range t.Shards.All() {
		if s.Owned {
			owned = append(owned, cs.OwnedShard{Shard: id, Fence: s.Claim})
		}
	}
	if len(owned) == 0 {
		return nil
	}
	slices.SortFunc(owned, func(a, b cs.OwnedShard) int { return cmp.Compare(a.Shard, b.Shard) })
	waiting := make(map[cs.ShardID]cs.ItemIndex, len(owned))
	for _, j := range t.Jobs.All() {
		waiting[j.Shard] += j.Counts[cs.ItemWaiting]
	}
	for i := range owned {
		owned[i].Waiting = waiting[owned[i].Shard]
	}
	return owned
}

// onlineBySender groups the counts of this VM's online requests by the batch sender of their
// runner. Only that VM needs them, and at full scale the whole list would be 8 KB for each of 150
// peers.
func onlineBySender(t *fleet.Tables) map[cs.VMID][]cs.RunnerCount {
	online := make(map[cs.VMID][]cs.RunnerCount)
	for id, r := range t.Runners.All() {
		if r.Online > 0 {
			online[r.Sender] = append(online[r.Sender], cs.RunnerCount{Runner: id, Count: r.Online})
		}
	}
	return online
}
