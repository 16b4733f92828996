package batch

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
)

const (
	// outcomeRetention is the time for which an outcome is kept when it cannot be delivered.
	outcomeRetention = cs.Minute
	// resendInterval is the time between two attempts to deliver an outcome.
	resendInterval = 500 * cs.Millisecond
)

// Settle processes ended runs, returns their outcomes to the owners of the items, and stops the
// runs of cancelled jobs.
func Settle(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.ItemRunEnded:
			runEnded(t, e, now, out)
		case fleet.PeerMessageReceived:
			if m, ok := e.Message.(cs.StopItems); ok {
				stopJob(t, m.Job, e.From, out)
			}
		case fleet.LinkOpened:
			sendHeldItems(t, e.VM.ID, out)
		default:
		}
	}
	resend(t, now, out)
}

func runEnded(t *fleet.Tables, e fleet.ItemRunEnded, now cs.Instant, out *fleet.Actions) {
	run := t.Runs.Get(e.Key)
	if run == nil || run.Attempt != e.Attempt || run.Outcome != nil {
		return
	}
	if r := t.Runners.Get(run.Runner); r != nil {
		limit.AddInFlight(r, cs.Batch, -1, now)
	}
	if run.Discard {
		out.Count(fleet.CountTokensWasted, run.Tenant, int64(e.Tokens))
		t.Runs.Delete(e.Key)
		return
	}
	message := outcomeOf(e)
	run.Outcome, run.EndedAt = &message, now
	if deliver(t, run, out) {
		t.Runs.Delete(e.Key)
		return
	}
	run.RetryAt = now.Add(resendInterval)
}

// sendHeldItems sends an owner, when a link to it opens, the keys of its items that run here.
// Grants and outcomes in transit when the previous link broke are lost; the owner finds them by
// comparing this list with its own.
func sendHeldItems(t *fleet.Tables, owner cs.VMID, out *fleet.Actions) {
	held := cs.ItemsHeld{}
	for key, run := range t.Runs.All() {
		if run.Owner == owner {
			held.Items = append(held.Items, key)
		}
	}
	out.Add(fleet.Send{To: owner, Message: held})
}

// outcomeOf translates the end of a run into the message for the item's owner.
func outcomeOf(e fleet.ItemRunEnded) cs.ItemOutcome {
	message := cs.ItemOutcome{Key: e.Key, Attempt: e.Attempt, Output: e.Output, Tokens: e.Tokens}
	switch x := e.Result.(type) {
	case fleet.RunCompleted:
	case fleet.RunCancelled:
		message.Stopped = true
	case fleet.RunInterrupted:
		message.Refusal = &cs.Refusal{Reason: cs.ReasonBroken, Ran: cs.RanUnknown, Message: x.Message}
		message.Crashed = x.Crashed
		if !x.Sent {
			message.Refusal.Ran = cs.RanNotRun
		}
	case fleet.RunRejected:
		message.Refusal = &cs.Refusal{Reason: cs.ReasonRejected, Ran: cs.RanFailed, Message: x.Message}
		if x.NotRun {
			message.Refusal.Ran = cs.RanNotRun
		}
		if x.Invalid {
			message.Refusal.Reason = cs.ReasonInvalid
		}
	}
	return message
}

// deliver sends a run's outcome to the present owner of the item, or, without a link to it, to the VM
// that granted the item, which passes it on. It returns false if that VM cannot be reached, or is this
// one and does not own the shard.
func deliver(t *fleet.Tables, run *fleet.Run, out *fleet.Actions) bool {
	run.Outcome.Attempt = run.Grant
	to := ownerOf(t, run)
	if vm := t.VMs.Get(to); to != t.Self.ID && vm != nil && vm.Live && !vm.Linked {
		to = run.Owner
	}
	if !reachable(t, to) || to == t.Self.ID && !ownsShard(t, run.Shard) {
		return false
	}
	out.Add(fleet.Send{To: to, Message: *run.Outcome})
	return true
}

func reachable(t *fleet.Tables, id cs.VMID) bool {
	if id == t.Self.ID {
		return true
	}
	vm := t.VMs.Get(id)
	return vm != nil && vm.Live && vm.Linked
}

func ownsShard(t *fleet.Tables, id cs.ShardID) bool {
	s := t.Shards.Get(id)
	return s != nil && s.Owned
}

// ownerOf returns the present owner of a run's item: the VM with the newest claim known, which may be
// the one under which the item was granted. This VM's own claim counts only if no newer one is known,
// since it learns late of its successor while it cannot read the log.
func ownerOf(t *fleet.Tables, run *fleet.Run) cs.VMID {
	newest := t.NewestClaim(run.Shard)
	if newest.VM == "" || run.Fence > newest.Fence {
		return run.Owner
	}
	return newest.VM
}

// resend retries the delivery of outcomes whose owner could not be reached, and drops those that
// have waited too long.
func resend(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	t.Runs.DeleteFunc(func(_ cs.ItemKey, run *fleet.Run) bool {
		if run.Outcome == nil {
			return false
		}
		if now.Sub(run.EndedAt) >= outcomeRetention {
			out.Count(fleet.CountTokensWasted, run.Tenant, int64(run.Outcome.Tokens))
			return true
		}
		if now < run.RetryAt {
			out.WakeAt(run.RetryAt)
			return false
		}
		run.RetryAt = now.Add(resendInterval)
		out.WakeAt(run.RetryAt)
		return deliver(t, run, out)
	})
}

// stopJob stops the runs of a job and discards their outcomes, at the request of the VM that
// granted the items or that owns the shard now. A former owner cannot stop what a new owner
// granted.
func stopJob(t *fleet.Tables, job cs.JobID, from cs.VMID, out *fleet.Actions) {
	t.Runs.DeleteFunc(func(k cs.ItemKey, run *fleet.Run) bool {
		if k.Job != job || run.Owner != from && ownerOf(t, run) != from {
			return false
		}
		run.Discard = true
		stopRun(run, out)
		return run.Outcome != nil
	})
}

// stopRun requests that a run be stopped, unless that was requested before or the run has ended.
func stopRun(run *fleet.Run, out *fleet.Actions) {
	if run.Stopping || run.Outcome != nil {
		return
	}
	run.Stopping = true
	out.Add(fleet.StopItem{Key: run.Key, Attempt: run.Attempt})
}
