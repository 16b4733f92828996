package batchjob

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// handleAppendOutcome completes, retries or requeues the append in flight, depending on the outcome
// that the store reported.
func handleAppendOutcome(t *gateway.Tables, now cs.Instant, a gateway.JobsAppended, out *gateway.Actions) {
	l := &t.JobLog
	if l.InFlight == nil || l.InFlight.AppendID.Number != a.Number {
		return // resolveInFlight found its records in the log before this outcome arrived
	}
	switch o := a.Outcome.(type) {
	case gateway.AppendDone:
		if o.From == l.End {
			for _, c := range l.InFlight.Changes {
				applyChange(t, now, o.From, c, out)
			}
			l.End = o.End
		} // otherwise other records precede it, and the next read returns those and its own
		completeInFlight(t, o.End, now, out)
	case gateway.AppendConflict:
		l.RequiredEnd = max(l.RequiredEnd, o.End)
		out.Add(gateway.ReadJobs{})
		if l.Attempts > 1 {
			l.ResendNeeded = true // the conflicting records may be those of an earlier attempt of this append
			return
		}
		l.Conflicts++
		out.Note(gateway.Note{
			Kind: gateway.NoteAppendFailed, Outcome: "conflict", Reason: "another VM appended first", Count: len(l.InFlight.Changes),
			Attempt: cs.Attempt(l.Conflicts), Duration: now.Sub(l.SentAt),
		})
		requeueInFlight(t, now.Add(randomDelay(t, conflictBackoffStep*cs.Span(min(l.Conflicts, maxConflictBackoffSteps)))))
	case gateway.AppendRejected:
		out.Note(gateway.Note{Kind: gateway.NoteAppendFailed, Outcome: "notAppended", Reason: o.Reason, Count: len(l.InFlight.Changes)})
		backOff(t, now, rejectedRetryDelay)
		if l.Attempts > 1 {
			l.ResendNeeded = true
			return
		}
		requeueInFlight(t, l.RetryAt)
	case gateway.AppendInvalid:
		out.Note(gateway.Note{Kind: gateway.NoteAppendFailed, Outcome: "invalid", Reason: o.Reason, Count: len(l.InFlight.Changes)})
		l.Single = len(l.Proposals)
		if l.Single == 1 {
			dropInvalid(t, l.Proposals[0], now, out)
			l.Proposals, l.Single = nil, 0
		}
		requeueInFlight(t, now)
	case gateway.AppendOutOfSequence:
		out.Note(gateway.Note{Kind: gateway.NoteAppendFailed, Outcome: "outOfSequence", Reason: o.Reason, Count: len(l.InFlight.Changes)})
		l.Epoch++ // the store accepts any sequence number as the first one of an epoch
		l.Seq = 0
		l.InFlight.Epoch, l.InFlight.Seq = l.Epoch, l.Seq
		backOff(t, now, unknownRetryDelay)
		l.ResendNeeded = true
	case gateway.AppendUnknown:
		out.Note(gateway.Note{Kind: gateway.NoteAppendFailed, Outcome: "unknown", Reason: o.Error, Count: len(l.InFlight.Changes)})
		backOff(t, now, unknownRetryDelay)
		l.ResendNeeded = true
		out.Add(gateway.ReadJobs{})
	}
}

// dropInvalid ends a proposal whose change the store never accepts. Its caller is told that nothing has taken effect.
func dropInvalid(t *gateway.Tables, p gateway.Proposal, now cs.Instant, out *gateway.Actions) {
	switch p := p.(type) {
	case gateway.ProposeJob:
		refuseJob(p.Query, p.Spec.ID, now.Sub(p.Since), tooLargeRefusal(), out)
	case gateway.ProposeEnd:
		refuseJob(p.Query, p.Job, now.Sub(p.Since), storeUnavailableRefusal(cs.RanNotRun), out)
	case gateway.ProposeResult:
		if j := t.Jobs.Get(p.Key.Job); j != nil && j.ItemWork[p.Key.Index].Phase == gateway.ItemProposed {
			w := &j.ItemWork[p.Key.Index]
			w.Phase, w.NotBefore, w.Progress = gateway.ItemWaiting, now.Add(errorRetryDelay), gateway.Progress{}
		}
	case gateway.ProposeProgress, gateway.ProposeRemoval:
	}
}

// requeueInFlight clears an append that had no effect and puts its proposals back at the head of the
// queue.
func requeueInFlight(t *gateway.Tables, retryAt cs.Instant) {
	l := &t.JobLog
	t.Proposals = append(l.Proposals, t.Proposals...)
	l.InFlight, l.Proposals, l.ResendNeeded, l.Attempts, l.RetryAt = nil, nil, false, 0, retryAt
}

// completeInFlight clears an append that took effect, answers its callers and logs its results; end is an
// offset up to which the log holds records of the append.
func completeInFlight(t *gateway.Tables, end cs.Offset, now cs.Instant, out *gateway.Actions) {
	l := &t.JobLog
	for _, p := range l.Proposals {
		switch p := p.(type) {
		case gateway.ProposeJob:
			acceptJob(p, appendStats{attempts: l.Conflicts + l.Attempts, sinceFirstSent: now.Sub(l.SentAt), end: end}, now, out)
		case gateway.ProposeEnd:
			confirmJobEnd(p, now, out)
		case gateway.ProposeResult:
			kind := gateway.NoteItemListed
			if !p.Result.Done {
				kind = gateway.NoteItemGivenUp
			}
			out.Note(gateway.Note{Kind: kind, Job: p.Key.Job, Item: p.Result.Item})
		case gateway.ProposeProgress, gateway.ProposeRemoval:
		}
	}
	if l.InFlight.ExpectedEnd == cs.NoOffset {
		l.Seq++
	}
	l.Single = max(l.Single-1, 0)
	l.InFlight, l.Proposals, l.ResendNeeded, l.Attempts, l.RetryAt, l.Conflicts, l.Failures = nil, nil, false, 0, 0, 0, 0
}

// resolveInFlight uses records read from the log to determine whether the append in flight took
// effect, since its outcome may be late, lost or unknown.
func resolveInFlight(t *gateway.Tables, now cs.Instant, read gateway.JobsRead, out *gateway.Actions) {
	l := &t.JobLog
	if l.InFlight == nil || l.InFlight.ExpectedEnd != cs.NoOffset && l.End <= l.InFlight.ExpectedEnd {
		return
	}
	for _, r := range read.Records {
		if r.AppendID == l.InFlight.AppendID {
			completeInFlight(t, r.Offset+1, now, out)
			return
		}
	}
	if l.InFlight.ExpectedEnd == cs.NoOffset {
		return // a sequenced append does not depend on the end of the log and may still take effect
	}
	if read.Snapshot || read.From <= l.InFlight.ExpectedEnd {
		requeueInFlight(t, now) // other records are at its offset, so it can no longer take effect
	}
}

// randomDelay returns a random span between 0 and limit, inclusive.
func randomDelay(t *gateway.Tables, limit cs.Span) cs.Span {
	return cs.Span(t.Rand.Int64N(int64(limit) + 1))
}
