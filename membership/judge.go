package membership

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// judge decides which VMs are live and drops those that are long gone.
func judge(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	m := &t.Membership
	if !m.Verdicts.Begin(now, out) {
		return
	}
	var vouched []cs.DataCentreID // data centres with a linked VM that is live
	for _, v := range t.VMs.All() {
		if hears(t, v, now) && !slices.Contains(vouched, v.DataCentre) {
			vouched = append(vouched, v.DataCentre)
		}
	}
	for _, v := range t.VMs.All() {
		setLive(t, now, out, v, verdict(t, v, now, vouched))
		m.Verdicts.At(nextVerdict(t, v, now))
	}
	t.VMs.DeleteFunc(func(id cs.VMID, v *fleet.VM) bool {
		if !forgotten(t, v, now) {
			return false
		}
		out.Add(fleet.HangUp{VM: id}) // ends a dial in progress
		return true
	})
	dropRunners(t)
	out.WakeAt(m.Verdicts.Due)
}

// hears reports whether this VM knows at first hand that a VM lives.
func hears(t *fleet.Tables, v *fleet.VM, now cs.Instant) bool {
	return v.ID == t.Self.ID || v.Linked && now.Sub(v.Heard) < t.Config.PeerTimeout
}

// verdict reports whether a VM counts as live. A VM to which no link is held is vouched for by the
// list together with another VM of its data centre, since the list alone lags behind.
func verdict(t *fleet.Tables, v *fleet.VM, now cs.Instant, vouched []cs.DataCentreID) bool {
	switch {
	case hears(t, v, now):
		return true
	case v.Linked:
		return false
	case v.Broken != 0:
		return v.Live && now.Sub(v.Broken) < t.Config.PeerTimeout
	default:
		return listed(t, v) && !v.Leaving && slices.Contains(vouched, v.DataCentre)
	}
}

// listed reports whether the list showed the VM when it was last read.
func listed(t *fleet.Tables, v *fleet.VM) bool {
	return v.Listed != 0 && v.Listed == t.Membership.ListReadAt
}

func forgotten(t *fleet.Tables, v *fleet.VM, now cs.Instant) bool {
	return v.ID != t.Self.ID && !v.Linked && !listed(t, v) && now.Sub(lastSign(v)) > dropAfter
}

// lastSign returns when a VM was last listed, heard or judged to be live.
func lastSign(v *fleet.VM) cs.Instant { return max(v.Listed, v.Heard, v.LiveSince) }

// nextVerdict returns when the verdict on a VM can change without an event.
func nextVerdict(t *fleet.Tables, v *fleet.VM, now cs.Instant) cs.Instant {
	switch {
	case v.ID != t.Self.ID && v.Linked && v.Live:
		return v.Heard.Add(t.Config.PeerTimeout)
	case v.Broken != 0 && v.Live:
		return v.Broken.Add(t.Config.PeerTimeout)
	case !listed(t, v) && !v.Linked && v.ID != t.Self.ID:
		return lastSign(v).Add(dropAfter + 1)
	default:
		return now.Add(dropAfter)
	}
}

func setLive(t *fleet.Tables, now cs.Instant, out *fleet.Actions, v *fleet.VM, live bool) {
	if v.Live == live {
		return
	}
	v.Live, v.LiveSince = live, now
	markSenders(t, now, v.DataCentre)
	change := "live"
	if !live {
		change = "dead"
	}
	out.Note("vm", change, fleet.Field{Name: "peer", Value: v.ID}, fleet.Field{Name: "incarnation", Value: v.Incarnation})
}
