package membership

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Connect dials the VMs to which a link is to be held. Links that a peer opened stay.
func Connect(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
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
			backOff(t, row, now, failedDial)
			m.Dials.At(row.DialAt)
		default: // of other packages
		}
	}
	if m.PeersChanged {
		m.PeersChanged = false
		choose(t)
		m.Dials.At(now)
	}
	if m.Dials.Begin(now, out) {
		dial(t, now, out)
	}
}

// backOff sets when a VM may be dialled again: at once after a link that lasted, else after a time
// that doubles from minBackoff to maxBackoff, with jitter so that VMs do not dial in step.
func backOff(t *fleet.Tables, row *fleet.VM, now cs.Instant, failedDial bool) {
	row.Dialing = false
	if !failedDial && now.Sub(row.LinkedAt) >= stableLink {
		row.Dials, row.DialAt = 0, now
		return
	}
	wait := min(minBackoff<<min(row.Dials, 10), maxBackoff)
	row.Dials++
	row.DialAt = now.Add(wait/2 + cs.Span(t.Rand.Int64N(int64(wait/2)+1)))
}

// choose marks the VMs to which a link is to be held.
func choose(t *fleet.Tables) {
	vms := make([]cs.VM, 0, t.VMs.Len())
	for _, v := range t.VMs.All() {
		v.Wanted = false
		if listed(t, v) && !v.Leaving {
			vms = append(vms, v.VM)
		}
	}
	for _, id := range Peers(t.Self, vms, t.Config.CrossLinks) {
		t.VMs.Get(id).Wanted = true
	}
}

// Peers returns the VMs to which self holds a link: all others of its data centre, and crossLinks of
// each other data centre, ranked by rendezvous hashing. The key is the same for both VMs of a pair,
// so that VMs tend to choose each other and the links are fewer.
//
// VMs that do not answer are chosen like others: the list drops the dead ones, and a choice that
// followed reachability would open ever more links each time a data centre is cut off.
func Peers(self cs.VM, vms []cs.VM, crossLinks int) []cs.VMID {
	var peers []cs.VMID
	ranked := make(map[cs.DataCentreID][]rank)
	for _, vm := range vms {
		switch {
		case vm.ID == self.ID:
		case vm.DataCentre == self.DataCentre:
			peers = append(peers, vm.ID)
		default:
			r := rank{id: vm.ID, weight: pairWeight(self.ID, vm.ID)}
			ranked[vm.DataCentre] = append(ranked[vm.DataCentre], r)
		}
	}
	for _, ranks := range ranked {
		slices.SortFunc(ranks, func(a, b rank) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
		})
		for _, r := range ranks[:min(crossLinks, len(ranks))] {
			peers = append(peers, r.id)
		}
	}
	slices.Sort(peers)
	return peers
}

// rank is a VM with its weight as a peer.
type rank struct {
	id     cs.VMID
	weight uint64
}

func pairWeight(a, b cs.VMID) uint64 {
	return cs.Rendezvous(string(min(a, b)), string(max(a, b)))
}

// dial opens the links that are missing. A VM whose link broke is dialled even if no link to it was
// chosen, because only a link can show that it lives.
func dial(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for id, v := range t.VMs.All() {
		if v.Dialing && now.Sub(v.DialedAt) >= dialLimit {
			v.Dialing = false
		}
		if id == t.Self.ID || v.Linked || v.Leaving || !v.Wanted && v.Broken == 0 {
			continue
		}
		switch {
		case v.Dialing:
			t.Membership.Dials.At(v.DialedAt.Add(dialLimit))
		case now < v.DialAt:
			t.Membership.Dials.At(v.DialAt)
		default:
			v.Dialing, v.DialedAt = true, now
			out.Add(fleet.Dial{VM: v.VM})
			t.Membership.Dials.At(now.Add(dialLimit))
		}
	}
	if due := t.Membership.Dials.Due; due != 0 {
		out.WakeAt(due)
	}
}
