package batch

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
)

// minDeclineTime and maxDeclineTime bound the time during which an owner that granted fewer items
// than it was offered gets no further offers for the runner. The time doubles with each empty grant
// and ends early when the owner reports waiting items: items that must be recorded in the log
// before they run are ready soon after, while items for another model may not match the runner for
// long.
const (
	minDeclineTime = 50 * cs.Millisecond
	maxDeclineTime = cs.Second
)

// handlePeerMessages processes reports of waiting items and the items granted for offers.
func handlePeerMessages(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for _, e := range t.Events {
		p, ok := e.(fleet.PeerMessageReceived)
		if !ok {
			continue
		}
		switch m := p.Message.(type) {
		case cs.BacklogReport:
			recordBacklog(t, p.From, m, now)
		case cs.ItemsGranted:
			handleGrant(t, p.From, m, now, out)
		default:
		}
	}
}

func recordBacklog(t *fleet.Tables, from cs.VMID, m cs.BacklogReport, now cs.Instant) {
	vm := t.VMs.Get(from)
	if vm == nil {
		return
	}
	if vm.Backlog == nil {
		vm.Backlog = make(map[cs.ShardID]cs.ItemIndex)
	}
	vm.Backlog[m.Shard] = m.Waiting
	list, _ := limit.AssignedRunners(t, now)
	for _, id := range list {
		if r := t.Runners.Get(id); r != nil {
			delete(r.Declined, from)
		}
	}
}

// handleGrant starts the items that an owner granted, and returns those for which there is no
// longer a slot.
func handleGrant(t *fleet.Tables, from cs.VMID, m cs.ItemsGranted, now cs.Instant, out *fleet.Actions) {
	r := t.Runners.Get(m.Runner)
	var offered cs.Slots
	if r != nil {
		offered = closeOffer(r, m.Offer)
		if cs.Slots(len(m.Items)) < offered {
			pauseOffers(r, from, len(m.Items) == 0, now)
			restoreBacklog(t, from, m.Shard, offered-cs.Slots(len(m.Items)))
		}
	}
	for _, item := range m.Items {
		run := fleet.Run{
			GrantedItem: item, Grant: item.Attempt, Runner: m.Runner, Owner: from, Shard: m.Shard, Fence: m.Fence, Since: now,
		}
		if !accepts(t, r, now) {
			returnUnstarted(t, run, out)
			continue
		}
		startRun(t, r, run, now, out)
	}
}

// closeOffer removes an offer and returns its number of slots, or 0 if it has expired.
func closeOffer(r *fleet.Runner, id uint64) cs.Slots {
	i := slices.IndexFunc(r.Offers, func(o fleet.SlotOffer) bool { return o.ID == id })
	if i < 0 {
		return 0
	}
	n := r.Offers[i].Slots
	r.Offers = slices.Delete(r.Offers, i, i+1)
	r.Offered = max(r.Offered-n, 0)
	return n
}

// pauseOffers makes this VM offer no slots of the runner to an owner for some time.
func pauseOffers(r *fleet.Runner, owner cs.VMID, empty bool, now cs.Instant) {
	if r.Declined == nil {
		r.Declined = make(map[cs.VMID]fleet.Decline)
	}
	pause := minDeclineTime
	if empty {
		pause = min(max(2*r.Declined[owner].For, minDeclineTime), maxDeclineTime)
	}
	r.Declined[owner] = fleet.Decline{Until: now.Add(pause), For: pause}
}

// restoreBacklog adds the offered slots that an owner did not use back to its backlog, since the
// waiting items need other runners. Otherwise the runners offered first would use up the backlog
// each time, and the runners that can run these items would offer none of their slots.
func restoreBacklog(t *fleet.Tables, owner cs.VMID, s cs.ShardID, n cs.Slots) {
	if vm := t.VMs.Get(owner); vm != nil && vm.Backlog != nil {
		vm.Backlog[s] += cs.ItemIndex(n)
	}
}

// accepts reports whether a granted item can still start on the runner.
func accepts(t *fleet.Tables, r *fleet.Runner, now cs.Instant) bool {
	if r == nil || r.Sender != t.Self.ID || t.Drain.Phase >= fleet.DrainFinishing || !healthy(r, now) {
		return false
	}
	if t.Config.Policy.NoClasses {
		return r.Batch < limit.Slots(r)
	}
	// A run in the margin would be stopped at the next online request, and its prefill would be
	// wasted.
	online := limit.OnlineDemand(r, now)
	return online+r.Batch+margin(t, r, online) < limit.Slots(r)
}

// startRun starts an item on a runner. The quarantine doesn't apply to items: they never crash runners by
// themselves, and an item under which runners crashed is still owed.
func startRun(t *fleet.Tables, r *fleet.Runner, run fleet.Run, now cs.Instant, out *fleet.Actions) {
	if old := t.Runs.Get(run.Key); old != nil {
		reassign(old, run, now, out)
		return
	}
	t.Runs.Insert(run.Key, run)
	limit.AddInFlight(r, cs.Batch, 1, now)
	out.Add(fleet.RunItem{Item: run.GrantedItem, Runner: r.ID, Address: r.Address})
}

// reassign directs the outcome of a run to the VM that granted the item again: either the same
// grant came twice, or a new owner granted an item that still runs here or whose outcome could not
// be delivered. A grant under an older claim is that of a former owner and changes nothing.
func reassign(old *fleet.Run, run fleet.Run, now cs.Instant, out *fleet.Actions) {
	if run.Fence < old.Fence {
		return
	}
	old.Owner, old.Fence, old.Grant, old.Discard = run.Owner, run.Fence, run.Grant, false
	old.RetryAt = now
	out.WakeAt(now)
}

// returnUnstarted returns an item that did not run since no slot was free.
func returnUnstarted(t *fleet.Tables, run fleet.Run, out *fleet.Actions) {
	run.Outcome = &cs.ItemOutcome{
		Key: run.Key, Attempt: run.Attempt, Output: run.Partial, Tokens: run.Tokens,
		Refusal: cs.Refuse(cs.ReasonUnavailable, "the slot offered is taken"),
	}
	deliver(t, &run, out)
}
