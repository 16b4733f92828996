package batch

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
	"github.com/crocusstile/crocusstile/quarantine"
)

// declinedFirst and declinedLongest bound the time for which an owner that granted fewer items than
// it was offered gets no offer for the runner, unless it says that more work waits. The time doubles
// with each empty grant: items that must be in the log before they run fit soon after, while items of
// another model may not fit for long.
const (
	declinedFirst   = 50 * cs.Millisecond
	declinedLongest = cs.Second
)

// take handles what owners said: work that waits, and items granted for offers.
func take(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for _, e := range t.Events {
		p, ok := e.(fleet.PeerSaid)
		if !ok {
			continue
		}
		switch m := p.Message.(type) {
		case cs.WorkWaiting:
			workWaiting(t, p.From, m, now)
		case cs.ItemsGranted:
			granted(t, p.From, m, now, out)
		default:
		}
	}
}

func workWaiting(t *fleet.Tables, from cs.VMID, m cs.WorkWaiting, now cs.Instant) {
	vm := t.VMs.Get(from)
	if vm == nil {
		return
	}
	if vm.Backlog == nil {
		vm.Backlog = make(map[cs.ShardID]cs.ItemIndex)
	}
	vm.Backlog[m.Shard] = m.Waiting
	list, _ := limit.Sending(t, now)
	for _, id := range list {
		if r := t.Runners.Get(id); r != nil {
			delete(r.Declined, from)
		}
	}
}

// granted starts the items that an owner granted, and returns those that no longer fit.
func granted(t *fleet.Tables, from cs.VMID, m cs.ItemsGranted, now cs.Instant, out *fleet.Actions) {
	r := t.Runners.Get(m.Runner)
	var offered cs.Slots
	if r != nil {
		offered = closeOffer(r, m.Offer)
		if cs.Slots(len(m.Items)) < offered {
			decline(r, from, len(m.Items) == 0, now)
			restore(t, from, m.Shard, offered-cs.Slots(len(m.Items)))
		}
	}
	for _, item := range m.Items {
		run := fleet.Run{GrantedItem: item, Grant: item.Attempt, Runner: m.Runner, Owner: from, Shard: m.Shard, Since: now}
		on := placed(t, r, run, now)
		if on != nil {
			run.Runner = on.ID
		}
		if !accepts(t, on, now) || !start(t, on, run, now, out) {
			giveBack(t, run, nil, out)
		}
	}
}

// placed returns the runner for an item: a suspect goes to the one that quarantine gives it, if this
// VM sends batch to that one too, and any other item to the one that was offered.
func placed(t *fleet.Tables, offered *fleet.Runner, run fleet.Run, now cs.Instant) *fleet.Runner {
	h := cs.HashTarget(run.Item.Target)
	if run.Suspect {
		quarantine.Mark(t, h, now)
	}
	if !quarantine.Suspect(t, h, now) {
		return offered
	}
	if id, ok := quarantine.Place(t, h, run.Item.Target, now); ok {
		if r := t.Runners.Get(id); r != nil && r.Sender == t.Self.ID {
			return r
		}
	}
	return offered
}

// closeOffer forgets an offer and returns its slots, 0 if it has expired.
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

// decline bars offers of the runner to an owner for a time.
func decline(r *fleet.Runner, owner cs.VMID, empty bool, now cs.Instant) {
	if r.Declined == nil {
		r.Declined = make(map[cs.VMID]fleet.Decline)
	}
	span := declinedFirst
	if empty {
		span = min(max(2*r.Declined[owner].For, declinedFirst), declinedLongest)
	}
	r.Declined[owner] = fleet.Decline{Until: now.Add(span), For: span}
}

// restore gives back to an owner's backlog what an offer had taken off and the owner did not grant:
// those items are for other runners. Without it the runners that are offered first starve them.
func restore(t *fleet.Tables, owner cs.VMID, s cs.ShardID, n cs.Slots) {
	if vm := t.VMs.Get(owner); vm != nil && vm.Backlog != nil {
		vm.Backlog[s] += cs.ItemIndex(n)
	}
}

// accepts reports whether a granted item still fits on the runner.
func accepts(t *fleet.Tables, r *fleet.Runner, now cs.Instant) bool {
	if r == nil || r.Sender != t.Self.ID || t.Drain.Phase >= fleet.DrainFinishing || !healthy(r, now) {
		return false
	}
	if t.Config.Policy.NoClasses {
		return r.Batch < limit.Slots(r)
	}
	// A run that takes the margin is stopped at the next online request and has prefilled for nothing.
	online := limit.Needed(r, now)
	return online+r.Batch+margin(t, r, online) < limit.Slots(r)
}

// start runs an item unless quarantine bars it from the runner.
func start(t *fleet.Tables, r *fleet.Runner, run fleet.Run, now cs.Instant, out *fleet.Actions) bool {
	if old := t.Runs.Get(run.Key); old != nil {
		adopt(old, run, now, out)
		return true
	}
	h := cs.HashTarget(run.Item.Target)
	if quarantine.Blocked(t, h, now) {
		giveBack(t, run, quarantine.Refusal(), out)
		return true
	}
	if !quarantine.Placeable(t, h, run.Item.Target, r.ID, now) {
		return false
	}
	t.Runs.Insert(run.Key, run)
	limit.Occupy(r, cs.Batch, 1, now)
	out.Add(fleet.RunItem{Item: run.GrantedItem, Runner: r.ID, Address: r.Address})
	return true
}

// adopt gives the outcome of a run to the VM that granted the item anew: the same grant came twice,
// or a new owner granted an item that still runs here or whose outcome nobody took.
func adopt(old *fleet.Run, run fleet.Run, now cs.Instant, out *fleet.Actions) {
	old.Owner, old.Grant, old.Discard = run.Owner, run.Grant, false
	old.RetryAt = now
	out.WakeAt(now)
}

// giveBack returns an item that did not run, because of the refusal, or else for want of a slot.
func giveBack(t *fleet.Tables, run fleet.Run, refusal *cs.Refusal, out *fleet.Actions) {
	if refusal == nil {
		refusal = cs.Refuse(cs.ReasonUnavailable, "the slot offered is taken")
	}
	run.Ended = &cs.ItemReturned{
		Key: run.Key, Attempt: run.Attempt, Output: run.Partial, Tokens: run.Tokens, Refusal: refusal,
	}
	deliver(t, &run, out)
}
