package batch

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
)

const (
	// offerFor is the time after which an offer without an answer expires.
	offerFor = 500 * cs.Millisecond
	// onlineRecent is the time after an online request for which more are expected.
	onlineRecent = cs.Second
	// paceShare divides the slots of a runner into those that are offered at once.
	paceShare cs.Slots = 8
)

// Offer offers the free batch slots of the runners of which this VM is the batch sender, and runs
// the items granted for earlier offers.
func Offer(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	take(t, now, out)
	if t.Config.Policy.NoBatch {
		return
	}
	var (
		owners []*fleet.VM
		listed bool
	)
	list, fresh := limit.Sending(t, now)
	if fresh {
		withdraw(t)
	}
	// A random first runner gives each a turn where few items wait: a suspect may run on one only.
	first := 0
	if len(list) > 1 {
		first = t.Rand.IntN(len(list))
	}
	for i := range list {
		r := t.Runners.Get(list[(first+i)%len(list)])
		if r == nil {
			continue
		}
		expire(r, now, out)
		free := Free(t, r, now)
		if free <= 0 {
			continue
		}
		if !listed {
			owners, listed = waitingOwners(t), true
		}
		if len(owners) == 0 {
			continue
		}
		if now < r.YieldUntil {
			out.WakeAt(r.YieldUntil)
			continue
		}
		if free = min(free, paced(t, r, now, out)); free > 0 {
			offerAll(t, r, free, owners, now, out)
		}
	}
}

// paced returns the slots that may be offered at once on a runner. Runs that start together add up
// their prefills in one step, and an online request in that step waits for all of them. While online
// requests come, at most an eighth of the slots is offered in the time between two tokens, which is
// scaled by the weight.
func paced(t *fleet.Tables, r *fleet.Runner, now cs.Instant, out *fleet.Actions) cs.Slots {
	slots := limit.Slots(r)
	if t.Config.Policy.NoClasses || now.Sub(r.OnlineAt) > onlineRecent {
		return slots
	}
	next := r.PacedAt.Add(cs.Span(float64(t.Config.Weight) * r.Gap))
	if now < next {
		out.WakeAt(next)
		return 0
	}
	r.PacedAt = now
	return max(slots/paceShare, 1)
}

// Free returns the slots of a runner that may be offered to batch now; it is not above 0 if there
// are none.
func Free(t *fleet.Tables, r *fleet.Runner, now cs.Instant) cs.Slots {
	if r.Sender != t.Self.ID || t.Drain.Phase != fleet.DrainNone || !healthy(r, now) {
		return 0
	}
	if r.Kind == cs.KindEngine && len(r.Report.Loaded) == 0 {
		return 0
	}
	slots := limit.Slots(r)
	if t.Config.Policy.NoClasses {
		return slots - r.Batch - r.Offered
	}
	online := limit.Needed(r, now)
	room := slots - online - limit.Headroom(t.Config, r, online)
	return min(cs.Slots(r.BatchLimit), room) - r.Batch - r.Offered
}

func healthy(r *fleet.Runner, now cs.Instant) bool {
	return limit.Up(r) && now >= r.EjectedUntil
}

// expire drops offers without an answer. Offered is summed up anew, since the row of a runner's new
// process keeps it without the offers.
func expire(r *fleet.Runner, now cs.Instant, out *fleet.Actions) {
	r.Offered = 0
	r.Offers = slices.DeleteFunc(r.Offers, func(o fleet.SlotOffer) bool {
		if now.Sub(o.At) >= offerFor {
			return true
		}
		r.Offered += o.Slots
		out.WakeAt(o.At.Add(offerFor))
		return false
	})
}

// withdraw forgets the offers for runners of which this VM is no longer the batch sender.
func withdraw(t *fleet.Tables) {
	for _, r := range t.Runners.All() {
		if r.Offered != 0 && r.Sender != t.Self.ID {
			r.Offers, r.Offered = nil, 0
		}
	}
}

// waitingOwners lists the VMs with waiting items, those of the own data centre first and then the
// one that has waited longest for an offer.
func waitingOwners(t *fleet.Tables) []*fleet.VM {
	var all []*fleet.VM
	for id, vm := range t.VMs.All() {
		if waiting(vm) > 0 && reachable(t, id) {
			all = append(all, vm)
		}
	}
	slices.SortStableFunc(all, func(a, b *fleet.VM) int {
		near, far := a.DataCentre == t.Self.DataCentre, b.DataCentre == t.Self.DataCentre
		if near != far {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.OfferedAt, b.OfferedAt), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// waiting returns the number of items that wait at an owner.
func waiting(vm *fleet.VM) cs.Slots {
	var n cs.ItemIndex
	for _, w := range vm.Backlog {
		n += w
	}
	return cs.Slots(n)
}

// offerAll shares free slots out among owners, an equal share to each as far as it has items.
func offerAll(t *fleet.Tables, r *fleet.Runner, free cs.Slots, owners []*fleet.VM, now cs.Instant, out *fleet.Actions) {
	left := cs.Slots(len(owners))
	for _, vm := range owners {
		share := (free + left - 1) / left
		left--
		if until := r.Declined[vm.ID].Until; now < until {
			out.WakeAt(until)
			continue
		}
		n := min(share, waiting(vm), free)
		if n <= 0 {
			continue
		}
		free -= n
		reduce(vm, cs.ItemIndex(n))
		vm.OfferedAt = now
		o := fleet.SlotOffer{ID: t.Rand.Uint64(), To: vm.ID, Slots: n, At: now}
		r.Offers = append(r.Offers, o)
		r.Offered += n
		out.WakeAt(now.Add(offerFor))
		out.Add(fleet.Send{To: vm.ID, Message: cs.SlotsOffered{
			Offer: o.ID, Runner: r.ID, Slots: n, Loaded: r.Report.Loaded, Service: r.Service,
		}})
	}
}

// reduce takes offered slots off an owner's backlog, until its next message corrects it.
func reduce(vm *fleet.VM, n cs.ItemIndex) {
	for s, w := range vm.Backlog {
		k := min(w, n)
		vm.Backlog[s] = w - k
		n -= k
	}
}
