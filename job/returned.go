package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// firstDelay and maxDelay bound the backoff of an item that failed or could not run.
	firstDelay = 500 * cs.Millisecond
	maxDelay   = 30 * cs.Second
	// timeShare is the share of the newest run in the moving average of run times.
	timeShare = 0.1
)

// outcome is the end of one run of an item, as an owned shard takes it in.
type outcome struct {
	t   *fleet.Tables
	s   *fleet.Shard
	j   *fleet.Job
	it  *fleet.Item
	key cs.ItemKey
	now cs.Instant
	out *fleet.Actions
	// current tells whether it is the run that is known here.
	current bool
}

// returned takes in the outcome of an item's run. The first completion counts, whoever ran it; other
// outcomes count only if they come from the run that is known here.
func returned(t *fleet.Tables, from cs.VMID, m cs.ItemReturned, now cs.Instant, out *fleet.Actions) {
	id := cs.ShardOf(string(m.Key.Job), t.Config.Shards)
	s := t.Shards.Get(id)
	if s == nil || !s.Owned {
		passOn(t, id, from, m, out)
		return
	}
	j, it := itemOf(t, m.Key)
	if it == nil || it.State.Ended() || j.Stopping || j.State != cs.JobOpen {
		return
	}
	o := outcome{t: t, s: s, j: j, it: it, key: m.Key, now: now, out: out}
	o.current = it.State == cs.ItemRunning && it.Sender == from && it.Grants == m.Attempt
	switch {
	case m.Refusal == nil && !m.Stopped:
		o.done(m.Output)
	case it.NonIdempotent:
		o.endOnce(m.Refusal)
	case !o.current:
		return
	case m.Stopped:
		o.stopped(m)
	default:
		o.refused(m.Refusal)
	}
}

// passOn sends an outcome to the VM that owns the shard, as far as this VM knows.
func passOn(t *fleet.Tables, id cs.ShardID, from cs.VMID, m cs.ItemReturned, out *fleet.Actions) {
	owner := ownerOf(t, id)
	if owner == "" || owner == from || owner == t.Self.ID {
		return
	}
	out.Add(fleet.Send{To: owner, Message: m})
}

// final reports whether another run would be of no use.
func final(r *cs.Refusal) bool {
	return r.Reason == cs.ReasonInvalid || r.Reason == cs.ReasonQuarantined
}

func (o outcome) done(output string) {
	if o.current {
		o.s.ItemTime += timeShare * (float64(o.now.Sub(o.it.Granted)) - o.s.ItemTime)
	}
	end(o.s, o.j, o.key, o.it, cs.ItemResult{
		State: cs.ItemDone, Output: output, Attempts: max(1, o.it.Attempts),
	})
	o.out.Count(fleet.CountItemsDone, o.j.Tenant, 1)
}

// refused takes in a run of an idempotent item that was refused or failed.
func (o outcome) refused(r *cs.Refusal) {
	switch {
	case final(r):
		o.fail(cs.ItemFailed, r.Message)
	case r.Ran == cs.RanNotRun:
		o.it.Attempts--
		o.requeue(firstDelay + o.jitter())
	default:
		o.it.Suspect = o.it.Suspect || r.Reason == cs.ReasonBroken && suspect(o.t, o.it)
		o.retry(r.Message)
	}
}

// endOnce takes in a run of a non-idempotent item that did not succeed; r is nil if it was stopped.
// Only a refusal that says that it did not run allows another run, and only by the run that is known
// here.
func (o outcome) endOnce(r *cs.Refusal) {
	switch {
	case !o.it.Started: // never granted
	case r == nil:
		o.fail(cs.ItemUnknown, "the run was stopped; its outcome is not known")
	case r.Ran == cs.RanNotRun && o.current && !final(r):
		o.it.Attempts--
		o.requeue(firstDelay + o.jitter())
	case r.Ran == cs.RanNotRun && !o.current: // another run may be under way
	case r.Ran == cs.RanUnknown:
		o.fail(cs.ItemUnknown, r.Message)
	default:
		o.fail(cs.ItemFailed, r.Message)
	}
}

// stopped queues an item first in turn, with what was generated.
func (o outcome) stopped(m cs.ItemReturned) {
	o.it.Attempts--
	if m.Tokens >= o.it.Tokens {
		o.it.Partial, o.it.Tokens = m.Output, m.Tokens
	}
	o.requeue(0)
}

// retry queues an item that failed, or ends it if it has had its attempts.
func (o outcome) retry(message string) {
	if o.it.Attempts >= o.t.Config.ItemAttempts {
		o.fail(cs.ItemFailed, message)
		return
	}
	delay := min(maxDelay, firstDelay<<min(10, max(0, o.it.Attempts-1)))
	o.requeue(delay + o.jitter())
}

func (o outcome) requeue(delay cs.Span) {
	giveBack(o.s, o.j, o.key, o.it, o.now.Add(delay), o.now)
	o.out.Count(fleet.CountItemsRequeued, o.j.Tenant, 1)
}

func (o outcome) fail(state cs.ItemState, message string) {
	end(o.s, o.j, o.key, o.it, cs.ItemResult{State: state, Error: message, Attempts: max(1, o.it.Attempts)})
	o.out.Count(fleet.CountItemsFailed, o.j.Tenant, 1)
}

func (o outcome) jitter() cs.Span { return cs.Span(o.t.Rand.Int64N(int64(firstDelay))) }

// takeBack ends a run whose outcome is not waited for any longer. The loss of the sender is not
// counted against an idempotent item, but a run that took too long is.
func (o outcome) takeBack(gone bool) {
	switch {
	case o.j.Stopping:
	case o.it.NonIdempotent:
		o.fail(cs.ItemUnknown, "the outcome of the run is not known")
	case gone:
		o.it.Attempts = max(0, o.it.Attempts-1)
		o.requeue(0)
	default:
		o.retry("the run took too long")
	}
}
