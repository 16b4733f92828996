package batch

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
)

const (
	// keepEnded is the time for which an outcome that no owner takes is kept.
	keepEnded = cs.Minute
	// resendAfter is the time between two attempts to deliver an outcome.
	resendAfter = 500 * cs.Millisecond
)

// Settle takes ended runs, returns their outcomes to the owners of the items, and stops the runs of
// cancelled jobs.
func Settle(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.ItemRunEnded:
			ended(t, e, now, out)
		case fleet.PeerSaid:
			if m, ok := e.Message.(cs.ItemsStop); ok {
				stopJob(t, m.Job, out)
			}
		case fleet.LinkOpened:
			tellHeld(t, e.VM.ID, out)
		default:
		}
	}
	resend(t, now, out)
}

func ended(t *fleet.Tables, e fleet.ItemRunEnded, now cs.Instant, out *fleet.Actions) {
	run := t.Runs.Get(e.Key)
	if run == nil || run.Attempt != e.Attempt || run.Ended != nil {
		return
	}
	if r := t.Runners.Get(run.Runner); r != nil {
		limit.Occupy(r, cs.Batch, -1, now)
	}
	if run.Discard {
		out.Count(fleet.CountTokensWasted, run.Tenant, int64(e.Tokens))
		t.Runs.Delete(e.Key)
		return
	}
	back := outcome(e)
	run.Ended, run.EndedAt = &back, now
	if deliver(t, run, out) {
		t.Runs.Delete(e.Key)
		return
	}
	run.RetryAt = now.Add(resendAfter)
}

// tellHeld tells an owner, on a new link, which of its items run here. Grants and outcomes that were
// on their way when the last link broke are lost, which only the difference shows.
func tellHeld(t *fleet.Tables, owner cs.VMID, out *fleet.Actions) {
	held := cs.ItemsHeld{}
	for key, run := range t.Runs.All() {
		if run.Owner == owner {
			held.Items = append(held.Items, key)
		}
	}
	out.Add(fleet.Send{To: owner, Message: held})
}

// outcome translates the end of a run for the item's owner.
func outcome(e fleet.ItemRunEnded) cs.ItemReturned {
	back := cs.ItemReturned{Key: e.Key, Attempt: e.Attempt, Output: e.Output, Tokens: e.Tokens}
	switch x := e.Result.(type) {
	case fleet.RunWhole:
	case fleet.RunCancelled:
		back.Stopped = true
	case fleet.RunBroken:
		back.Refusal = &cs.Refusal{Reason: cs.ReasonBroken, Ran: cs.RanUnknown, Message: x.Message}
		if !x.Sent {
			back.Refusal.Ran = cs.RanNotRun
		}
	case fleet.RunRejected:
		back.Refusal = &cs.Refusal{Reason: cs.ReasonRejected, Ran: cs.RanFailed, Message: x.Message}
		if x.NotRun {
			back.Refusal.Ran = cs.RanNotRun
		}
		if x.Invalid {
			back.Refusal.Reason = cs.ReasonInvalid
		}
	}
	return back
}

// deliver sends a run's outcome to the VM that granted the item, or if it is dead to the one that
// owns the shard now, and reports whether there was one to send it to.
func deliver(t *fleet.Tables, run *fleet.Run, out *fleet.Actions) bool {
	run.Ended.Attempt = run.Grant
	to := run.Owner
	if !reachable(t, to) {
		to = ownerOf(t, run.Shard)
	}
	if to == "" {
		return false
	}
	out.Add(fleet.Send{To: to, Message: *run.Ended})
	return true
}

func reachable(t *fleet.Tables, id cs.VMID) bool {
	if id == t.Self.ID {
		return true
	}
	vm := t.VMs.Get(id)
	return vm != nil && vm.Live && vm.Linked
}

// ownerOf returns the reachable VM whose heartbeat shows the newest claim of a shard, or "".
func ownerOf(t *fleet.Tables, s cs.ShardID) cs.VMID {
	if row := t.Shards.Get(s); row != nil && row.Owned {
		return t.Self.ID
	}
	var (
		best  cs.VMID
		fence = cs.NoOffset
	)
	for id, vm := range t.VMs.All() {
		if id == t.Self.ID || !reachable(t, id) {
			continue
		}
		for _, o := range vm.Beat.Owned {
			if o.Shard == s && (best == "" || o.Fence > fence) {
				best, fence = id, o.Fence
			}
		}
	}
	return best
}

// resend tries again to deliver outcomes whose owner was dead.
func resend(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	t.Runs.DeleteFunc(func(_ cs.ItemKey, run *fleet.Run) bool {
		if run.Ended == nil {
			return false
		}
		if now.Sub(run.EndedAt) >= keepEnded {
			out.Count(fleet.CountTokensWasted, run.Tenant, int64(run.Ended.Tokens))
			return true
		}
		if now < run.RetryAt {
			out.WakeAt(run.RetryAt)
			return false
		}
		run.RetryAt = now.Add(resendAfter)
		out.WakeAt(run.RetryAt)
		return deliver(t, run, out)
	})
}

// stopJob stops the runs of a cancelled job, whose outcomes are of no use.
func stopJob(t *fleet.Tables, job cs.JobID, out *fleet.Actions) {
	t.Runs.DeleteFunc(func(k cs.ItemKey, run *fleet.Run) bool {
		if k.Job != job {
			return false
		}
		run.Discard = true
		stop(run, out)
		return run.Ended != nil
	})
}

// stop stops a run, once.
func stop(run *fleet.Run, out *fleet.Actions) {
	if run.Stopping || run.Ended != nil {
		return
	}
	run.Stopping = true
	out.Add(fleet.StopItem{Key: run.Key, Attempt: run.Attempt})
}
