package batch

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
)

const (
	// offerTimeout is the time after which an unanswered offer expires.
	offerTimeout = 500 * cs.Millisecond
	// onlineWindow is the time after an online request during which more are expected.
	onlineWindow = cs.Second
	// paceDivisor divides a runner's slots into the number of them that may be offered at once
	// while online requests keep coming.
	paceDivisor cs.Slots = 8
)

// Offer offers the free batch slots of the runners of which this VM is the batch sender, and starts
// the items granted for earlier offers.
func Offer(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	handlePeerMessages(t, now, out)
	if t.Config.Policy.NoBatch {
		return
	}
	var (
		owners       []*fleet.VM
		ownersListed bool
	)
	list, changed := limit.AssignedRunners(t, now)
	if changed {
		dropForeignOffers(t)
	}
	// Starting at a random runner gives each of them a chance when few items wait, since a suspect
	// item may run on one of them only.
	first := 0
	if len(list) > 1 {
		first = t.Rand.IntN(len(list))
	}
	for i := range list {
		r := t.Runners.Get(list[(first+i)%len(list)])
		if r == nil {
			continue
		}
		expireOffers(r, now, out)
		free := FreeSlots(t, r, now)
		if free <= 0 {
			continue
		}
		if !ownersListed {
			owners, ownersListed = waitingOwners(t), true
		}
		if len(owners) == 0 {
			continue
		}
		if now < r.BatchPausedUntil {
			out.WakeAt(r.BatchPausedUntil)
			continue
		}
		if free = min(free, paceLimit(t, r, now, out)); free > 0 {
			offerToOwners(t, r, free, owners, now, out)
		}
	}
}

// paceLimit returns the number of slots of a runner that may be offered at once. Runs that start
// together have their prefills in one step of the engine, and an online request in that step waits
// for all of them. While online requests keep coming, at most an eighth of the slots is offered per
// token gap, multiplied by the configured weight.
func paceLimit(t *fleet.Tables, r *fleet.Runner, now cs.Instant, out *fleet.Actions) cs.Slots {
	slots := limit.Slots(r)
	if t.Config.Policy.NoClasses || now.Sub(r.OnlineAt) > onlineWindow {
		return slots
	}
	next := r.PacedOfferAt.Add(cs.Span(float64(t.Config.Weight) * r.MeanTokenGap))
	if now < next {
		out.WakeAt(next)
		return 0
	}
	r.PacedOfferAt = now
	return max(slots/paceDivisor, 1)
}

// FreeSlots returns the number of slots of a runner that may be offered to batch now; zero or a
// negative number means none.
func FreeSlots(t *fleet.Tables, r *fleet.Runner, now cs.Instant) cs.Slots {
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
	online := limit.OnlineDemand(r, now)
	room := slots - online - limit.Headroom(t.Config, r, online)
	return min(cs.Slots(r.BatchLimit), room) - r.Batch - r.Offered
}

func healthy(r *fleet.Runner, now cs.Instant) bool {
	return limit.Available(r) && now >= r.EjectedUntil
}

// expireOffers drops unanswered offers. It recomputes Offered, since the row of a restarted runner
// keeps that sum but not the offers.
func expireOffers(r *fleet.Runner, now cs.Instant, out *fleet.Actions) {
	r.Offered = 0
	r.Offers = slices.DeleteFunc(r.Offers, func(o fleet.SlotOffer) bool {
		if now.Sub(o.At) >= offerTimeout {
			return true
		}
		r.Offered += o.Slots
		out.WakeAt(o.At.Add(offerTimeout))
		return false
	})
}

// dropForeignOffers drops the offers for runners of which this VM is no longer the batch sender.
func dropForeignOffers(t *fleet.Tables) {
	for _, r := range t.Runners.All() {
		if r.Offered != 0 && r.Sender != t.Self.ID {
			r.Offers, r.Offered = nil, 0
		}
	}
}

// waitingOwners lists the reachable VMs with waiting items: first those in this VM's data centre,
// then the others, and in each group those without an offer for the longest time first.
func waitingOwners(t *fleet.Tables) []*fleet.VM {
	var all []*fleet.VM
	for id, vm := range t.VMs.All() {
		if backlogOf(vm) > 0 && reachable(t, id) {
			all = append(all, vm)
		}
	}
	slices.SortStableFunc(all, func(a, b *fleet.VM) int {
		aLocal, bLocal := a.DataCentre == t.Self.DataCentre, b.DataCentre == t.Self.DataCentre
		if aLocal != bLocal {
			if aLocal {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.OfferedAt, b.OfferedAt), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// backlogOf returns the number of items that wait at an owner.
func backlogOf(vm *fleet.VM) cs.Slots {
	var n cs.ItemIndex
	for _, w := range vm.Backlog {
		n += w
	}
	return cs.Slots(n)
}

// offerToOwners divides the free slots among the owners in equal shares, but offers no owner more
// slots than it has waiting items.
func offerToOwners(t *fleet.Tables, r *fleet.Runner, free cs.Slots, owners []*fleet.VM, now cs.Instant, out *fleet.Actions) {
	ownersLeft := cs.Slots(len(owners))
	for _, vm := range owners {
		share := (free + ownersLeft - 1) / ownersLeft
		ownersLeft--
		if until := r.Declined[vm.ID].Until; now < until {
			out.WakeAt(until)
			continue
		}
		n := min(share, backlogOf(vm), free)
		if n <= 0 {
			continue
		}
		free -= n
		reduceBacklog(vm, cs.ItemIndex(n))
		vm.OfferedAt = now
		o := fleet.SlotOffer{ID: t.Rand.Uint64(), To: vm.ID, Slots: n, At: now}
		r.Offers = append(r.Offers, o)
		r.Offered += n
		out.WakeAt(now.Add(offerTimeout))
		out.Add(fleet.Send{To: vm.ID, Message: cs.SlotsOffered{
			Offer: o.ID, Runner: r.ID, Slots: n, Loaded: r.Report.Loaded, Service: r.Service,
		}})
	}
}

// reduceBacklog subtracts offered slots from an owner's backlog until the owner's next report
// replaces it.
func reduceBacklog(vm *fleet.VM, n cs.ItemIndex) {
	for s, w := range vm.Backlog {
		taken := min(w, n)
		vm.Backlog[s] = w - taken
		n -= taken
	}
}
