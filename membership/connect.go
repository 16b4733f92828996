package membership

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// DialPeers dials the selected peers to which no link is open. Links opened by a peer that this VM
// did not select are kept.
func DialPeers(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	m := &t.Membership
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.LinkOpened:
			if row := t.VMs.Get(e.VM.ID); row != nil && row.Incarnation == e.VM.Incarnation {
				row.Dialing = false
			}
		case fleet.LinkClosed:
			failedDial := e.Incarnation == 0
			row := t.VMs.Get(e.VM)
			if row == nil || row.Linked || failedDial && !row.Dialing || !failedDial && e.Incarnation != row.Incarnation {
				continue
			}
			scheduleRedial(t, row, now, failedDial)
			m.Dials.ScheduleAt(row.NextDialAt)
		default: // handled by other systems
		}
	}
	if m.PeersChanged {
		m.PeersChanged = false
		selectPeers(t)
		m.Dials.ScheduleAt(now)
	}
	if m.Dials.Begin(now, out) {
		dialUnlinked(t, now, out)
	}
}

// scheduleRedial sets when a VM may be dialled again: at once after a stable link, otherwise after
// a backoff that doubles from minBackoff to maxBackoff, with jitter so that VMs do not dial in
// step.
func scheduleRedial(t *fleet.Tables, row *fleet.VM, now cs.Instant, failedDial bool) {
	row.Dialing = false
	if !failedDial && now.Sub(row.LinkedAt) >= minStableLink {
		row.FailedDials, row.NextDialAt = 0, now
		return
	}
	backoff := min(minBackoff<<min(row.FailedDials, 10), maxBackoff)
	row.FailedDials++
	row.NextDialAt = now.Add(backoff/2 + cs.Span(t.Rand.Int64N(int64(backoff/2)+1)))
}

// selectPeers sets Selected for the VMs to which this VM keeps a link.
func selectPeers(t *fleet.Tables) {
	vms := make([]cs.VM, 0, t.VMs.Len())
	for _, v := range t.VMs.All() {
		v.Selected = false
		if listed(t, v) && !v.Leaving {
			vms = append(vms, v.VM)
		}
	}
	for _, id := range Peers(t.Self, vms, t.Config.CrossLinks) {
		t.VMs.Get(id).Selected = true
	}
}

// Peers returns the VMs to which self keeps a link: all others in its data centre, and the
// crossLinks first-ranked ones in each other data centre. The rank comes from rendezvous hashing
// with a key that is the same for both VMs of a pair, so that VMs tend to select each other and
// fewer links are needed.
//
// Unreachable VMs are selected like others. The platform's list drops dead VMs, and a selection by
// reachability would open more and more links with each network partition.
func Peers(self cs.VM, vms []cs.VM, crossLinks int) []cs.VMID {
	var peers []cs.VMID
	byDataCentre := make(map[cs.DataCentreID][]rankedVM)
	for _, vm := range vms {
		switch {
		case vm.ID == self.ID:
		case vm.DataCentre == self.DataCentre:
			peers = append(peers, vm.ID)
		default:
			r := rankedVM{id: vm.ID, weight: pairWeight(self.ID, vm.ID)}
			byDataCentre[vm.DataCentre] = append(byDataCentre[vm.DataCentre], r)
		}
	}
	for _, candidates := range byDataCentre {
		slices.SortFunc(candidates, func(a, b rankedVM) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
		})
		for _, r := range candidates[:min(crossLinks, len(candidates))] {
			peers = append(peers, r.id)
		}
	}
	slices.Sort(peers)
	return peers
}

// rankedVM is a VM with its rendezvous weight as a peer.
type rankedVM struct {
	id     cs.VMID
	weight uint64
}

// pairWeight returns the rendezvous weight of two VMs, which does not depend on their order.
func pairWeight(a, b cs.VMID) uint64 {
	return cs.RendezvousWeight(string(min(a, b)), string(max(a, b)))
}

// dialUnlinked dials the VMs to which a link is missing. A VM whose link broke is dialled even if
// it is not a selected peer, because only a link can show that it is live.
func dialUnlinked(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for id, v := range t.VMs.All() {
		if v.Dialing && now.Sub(v.DialedAt) >= dialTimeout {
			v.Dialing = false
		}
		if id == t.Self.ID || v.Linked || v.Leaving || !v.Selected && v.BrokenAt == 0 {
			continue
		}
		switch {
		case v.Dialing:
			t.Membership.Dials.ScheduleAt(v.DialedAt.Add(dialTimeout))
		case now < v.NextDialAt:
			t.Membership.Dials.ScheduleAt(v.NextDialAt)
		default:
			v.Dialing, v.DialedAt = true, now
			out.Add(fleet.Dial{VM: v.VM})
			t.Membership.Dials.ScheduleAt(now.Add(dialTimeout))
		}
	}
	if due := t.Membership.Dials.Due; due != 0 {
		out.WakeAt(due)
	}
}
