package membership

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// updateLiveness decides which VMs are live, and deletes obsolete VMs and runners.
func updateLiveness(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	m := &t.Membership
	if !m.Liveness.Begin(now, out) {
		return
	}
	var reachable []cs.DataCentreID // data centres with a VM that was heard recently
	for _, v := range t.VMs.All() {
		if heardRecently(t, v, now) && !slices.Contains(reachable, v.DataCentre) {
			reachable = append(reachable, v.DataCentre)
		}
	}
	for _, v := range t.VMs.All() {
		setLive(t, now, out, v, isLive(t, v, now, reachable))
		m.Liveness.ScheduleAt(nextLivenessCheck(t, v, now))
	}
	t.VMs.DeleteFunc(func(id cs.VMID, v *fleet.VM) bool {
		if !obsolete(t, v, now) {
			return false
		}
		out.Add(fleet.CloseLink{VM: id}) // ends a dial in progress
		return true
	})
	deleteUnlistedRunners(t)
	out.WakeAt(m.Liveness.Due)
}

// heardRecently reports whether a VM is this one, or linked and not beyond its idle timeout.
func heardRecently(t *fleet.Tables, v *fleet.VM, now cs.Instant) bool {
	return v.ID == t.Self.ID || v.Linked && now.Sub(v.LastMessageAt) < t.Config.PeerTimeout
}

// isLive reports whether a VM counts as live. A live VM whose link broke stays live for
// Config.PeerTimeout. A VM that never had a link counts as live if it is listed and another VM of
// its data centre is reachable; the list alone is not enough, since it lags behind.
func isLive(t *fleet.Tables, v *fleet.VM, now cs.Instant, reachable []cs.DataCentreID) bool {
	switch {
	case heardRecently(t, v, now):
		return true
	case v.Linked:
		return false
	case v.BrokenAt != 0:
		return v.Live && now.Sub(v.BrokenAt) < t.Config.PeerTimeout
	default:
		return listed(t, v) && !v.Leaving && slices.Contains(reachable, v.DataCentre)
	}
}

// listed reports whether the latest platform list contains the VM.
func listed(t *fleet.Tables, v *fleet.VM) bool {
	return v.Listed != 0 && v.Listed == t.Membership.ListReadAt
}

// obsolete reports whether a VM has been neither linked nor seen for longer than vmRetention.
func obsolete(t *fleet.Tables, v *fleet.VM, now cs.Instant) bool {
	return v.ID != t.Self.ID && !v.Linked && !listed(t, v) && now.Sub(lastSeen(v)) > vmRetention
}

// lastSeen returns the latest time at which a VM was listed or heard, or its liveness changed.
func lastSeen(v *fleet.VM) cs.Instant { return max(v.Listed, v.LastMessageAt, v.LiveSince) }

// nextLivenessCheck returns when the liveness of a VM can next change, or its row become obsolete,
// without an event.
func nextLivenessCheck(t *fleet.Tables, v *fleet.VM, now cs.Instant) cs.Instant {
	switch {
	case v.ID != t.Self.ID && v.Linked && v.Live:
		return v.LastMessageAt.Add(t.Config.PeerTimeout)
	case v.BrokenAt != 0 && v.Live:
		return v.BrokenAt.Add(t.Config.PeerTimeout)
	case !listed(t, v) && !v.Linked && v.ID != t.Self.ID:
		return lastSeen(v).Add(vmRetention + 1)
	default:
		return now.Add(vmRetention)
	}
}

// setLive sets and logs the liveness of a VM, if it has changed.
func setLive(t *fleet.Tables, now cs.Instant, out *fleet.Actions, v *fleet.VM, live bool) {
	if v.Live == live {
		return
	}
	v.Live, v.LiveSince = live, now
	invalidateSenders(t, now, v.DataCentre)
	change := "live"
	if !live {
		change = "dead"
	}
	out.LogChange("vm", change, fleet.Field{Name: "peer", Value: v.ID}, fleet.Field{Name: "incarnation", Value: v.Incarnation})
}
