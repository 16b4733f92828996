package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// minBackoff and maxBackoff bound the backoff of an item that failed or could not run.
	minBackoff = 500 * cs.Millisecond
	maxBackoff = 30 * cs.Second
	// itemTimeWeight is the weight of the newest run in the moving average of run times.
	itemTimeWeight = 0.1
)

// runOutcome is the end of one run of an item, as processed by the shard's owner.
type runOutcome struct {
	t   *fleet.Tables
	s   *fleet.Shard
	j   *fleet.Job
	it  *fleet.Item
	key cs.ItemKey
	now cs.Instant
	out *fleet.Actions
	// current reports whether the run is of the item's latest grant by this owner.
	current bool
}

// handleOutcome processes the outcome of an item's run. The first completion counts, whichever
// sender ran it; other outcomes count only if they are of the item's latest grant.
func handleOutcome(t *fleet.Tables, from cs.VMID, m cs.ItemOutcome, now cs.Instant, out *fleet.Actions) {
	id := cs.ShardOf(string(m.Key.Job), t.Config.Shards)
	s := t.Shards.Get(id)
	if s == nil || !s.Owned {
		forwardOutcome(t, id, from, m, out)
		return
	}
	j, it := itemOf(t, m.Key)
	if it == nil || it.State.Ended() || j.Stopping || j.State != cs.JobOpen {
		return
	}
	o := runOutcome{t: t, s: s, j: j, it: it, key: m.Key, now: now, out: out}
	o.current = it.State == cs.ItemRunning && it.Sender == from && it.Grants == m.Attempt
	switch {
	case m.Refusal == nil && !m.Stopped:
		o.done(m.Output)
	case it.NonIdempotent:
		o.endNonIdempotent(m.Refusal)
	case !o.current:
		return
	case m.Stopped:
		o.stopped(m)
	case m.Crashed:
		o.runnerCrashed()
	default:
		o.refused(m.Refusal)
	}
}

// forwardOutcome sends an outcome to the owner of the shard, if one is known.
func forwardOutcome(t *fleet.Tables, id cs.ShardID, from cs.VMID, m cs.ItemOutcome, out *fleet.Actions) {
	owner := ownerOf(t, id)
	if owner == "" || owner == from || owner == t.Self.ID {
		return
	}
	out.Add(fleet.Send{To: owner, Message: m})
}

// isFinal reports whether a retry would be refused again.
func isFinal(r *cs.Refusal) bool { return r.Reason == cs.ReasonInvalid }

func (o runOutcome) done(output string) {
	if o.current {
		o.s.ItemTime += itemTimeWeight * (float64(o.now.Sub(o.it.Granted)) - o.s.ItemTime)
	}
	endItem(o.s, o.j, o.key, o.it, cs.ItemResult{
		State: cs.ItemDone, Output: output, Attempts: max(1, o.it.Attempts),
	})
	o.out.Count(fleet.CountItemsDone, o.j.Tenant, 1)
}

// refused processes a run of an idempotent item that was refused or failed.
func (o runOutcome) refused(r *cs.Refusal) {
	switch {
	case isFinal(r):
		o.fail(cs.ItemFailed, r.Message)
	case r.Ran == cs.RanNotRun:
		o.it.Attempts--
		o.requeue(minBackoff + o.jitter())
	default:
		o.retry(r.Message)
	}
}

// runnerCrashed queues an idempotent item whose runner crashed. The run does not count as an attempt: items
// never crash runners by themselves, and one under which runners crashed is still owed.
func (o runOutcome) runnerCrashed() {
	o.it.Attempts--
	o.requeue(minBackoff + o.jitter())
}

// endNonIdempotent processes a run of a non-idempotent item that did not succeed; r is nil if the
// run was stopped. The item runs again only if the refusal says that it did not run and comes from
// its latest grant.
func (o runOutcome) endNonIdempotent(r *cs.Refusal) {
	switch {
	case !o.it.Started: // never granted
	case r == nil:
		o.fail(cs.ItemUnknown, "the run was stopped; its outcome is not known")
	case r.Ran == cs.RanNotRun && o.current && !isFinal(r):
		o.it.Attempts--
		o.requeue(minBackoff + o.jitter())
	case r.Ran == cs.RanNotRun && !o.current: // another run may be in progress
	case r.Ran == cs.RanUnknown:
		o.fail(cs.ItemUnknown, r.Message)
	default:
		o.fail(cs.ItemFailed, r.Message)
	}
}

// stopped queues an item at the front of its lane and keeps the partial output.
func (o runOutcome) stopped(m cs.ItemOutcome) {
	o.it.Attempts--
	if m.Tokens >= o.it.Tokens {
		o.it.Partial, o.it.Tokens = m.Output, m.Tokens
	}
	o.requeue(0)
}

// retry queues an item that failed, or ends it if it has used up its attempts.
func (o runOutcome) retry(message string) {
	if o.it.Attempts >= o.t.Config.ItemAttempts {
		o.fail(cs.ItemFailed, message)
		return
	}
	delay := min(maxBackoff, minBackoff<<min(10, max(0, o.it.Attempts-1)))
	o.requeue(delay + o.jitter())
}

func (o runOutcome) requeue(delay cs.Span) {
	requeueItem(o.s, o.j, o.key, o.it, o.now.Add(delay), o.now)
	o.out.Count(fleet.CountItemsRequeued, o.j.Tenant, 1)
}

func (o runOutcome) fail(state cs.ItemState, message string) {
	endItem(o.s, o.j, o.key, o.it, cs.ItemResult{State: state, Error: message, Attempts: max(1, o.it.Attempts)})
	o.out.Count(fleet.CountItemsFailed, o.j.Tenant, 1)
}

func (o runOutcome) jitter() cs.Span { return cs.Span(o.t.Rand.Int64N(int64(minBackoff))) }

// abandon ends a run for whose outcome the owner no longer waits. The loss of the sender does not
// count as an attempt of an idempotent item, but a run that took too long does.
func (o runOutcome) abandon(senderLost bool) {
	switch {
	case o.j.Stopping:
	case o.it.NonIdempotent:
		o.fail(cs.ItemUnknown, "the outcome of the run is not known")
	case senderLost:
		o.it.Attempts = max(0, o.it.Attempts-1)
		o.requeue(0)
	default:
		o.retry("the run took too long")
	}
}
