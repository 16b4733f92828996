package batchjob

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// handleAppendOutcome completes or requeues the append in flight, depending on the outcome that the store reported. An append
// with an unknown outcome is settled by a fence.
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
		l.Conflicts++
		noteAppendFailed(t, now, "conflict", "another VM appended first", out)
		l.RetryAt = now.Add(randomDelay(t, conflictBackoffStep*cs.Span(min(l.Conflicts, maxConflictBackoffSteps))))
		requeueInFlight(t)
	case gateway.AppendRejected:
		noteAppendFailed(t, now, "notAppended", o.Reason, out)
		returnRefused(t, now, out)
	case gateway.AppendInvalid:
		noteAppendFailed(t, now, "invalid", o.Reason, out)
		dropOrSplitInFlight(t, now, out)
	case gateway.AppendOutOfSequence:
		noteAppendFailed(t, now, "outOfSequence", o.Reason, out)
		l.Epoch, l.Seq = l.Epoch+1, 0 // the store accepts any sequence number as the first one of an epoch
		returnRefused(t, now, out)
	case gateway.AppendUnknown:
		noteAppendFailed(t, now, "unknown", o.Error, out)
		backOff(t, now, unknownRetryDelay, maxFenceDelay)
		l.Phase = gateway.AppendUnsettled
		out.Add(gateway.ReadJobs{})
	}
}

// returnRefused clears an append that the store has refused, and sets its proposals aside if it goes on to do so.
func returnRefused(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	l := &t.JobLog
	backOff(t, now, rejectedRetryDelay, maxRetryDelay)
	switch {
	case l.InFlightAside == nil && l.Failures < refusalsBeforeAside:
		requeueInFlight(t)
	case l.OvertakenSince != 0 && now.Sub(l.OvertakenSince) >= probeDelay:
		l.Phase = gateway.AppendUnsettled // a fence tells whether the store refuses this append or all of this VM
	default:
		setInFlightAside(t, now, false, out)
	}
}

// noteAppendFailed logs that the append in flight, or a fence of it, has failed.
func noteAppendFailed(t *gateway.Tables, now cs.Instant, outcome, reason string, out *gateway.Actions) {
	l := &t.JobLog
	out.Note(gateway.Note{
		Kind: gateway.NoteAppendFailed, Outcome: outcome, Reason: reason, Count: len(l.InFlight.Changes),
		Attempt: cs.Attempt(l.Conflicts + l.Failures), Duration: now.Sub(l.SentAt),
	})
}

// clearInFlight clears the append in flight. The next append has a later epoch than its fences, which may reach the store late.
func clearInFlight(l *gateway.JobLog) {
	if l.Fences > 0 {
		l.Epoch, l.Seq = l.Epoch+1, 0
	}
	l.InFlight, l.InFlightAside, l.Proposals, l.Phase, l.Fences, l.FencedAt = nil, nil, nil, gateway.AppendSent, 0, 0
}

// takeInFlight clears an append that had no effect and returns its proposals, without those of callers who have disconnected,
// and the group that they were set aside in, or nil.
func takeInFlight(l *gateway.JobLog) ([]gateway.Proposal, *gateway.AsideGroup) {
	proposals := slices.DeleteFunc(l.Proposals, func(p gateway.Proposal) bool {
		job, ok := p.(gateway.ProposeJob)
		return ok && job.Abandoned
	})
	group := l.InFlightAside
	clearInFlight(l)
	return proposals, group
}

// requeueInFlight clears an append that had no effect and returns its proposals to where they came from.
func requeueInFlight(t *gateway.Tables) {
	l := &t.JobLog
	proposals, group := takeInFlight(l)
	if group == nil {
		t.Proposals = append(proposals, t.Proposals...)
	} else if len(proposals) > 0 {
		group.Proposals = proposals
		l.Aside = append([]gateway.AsideGroup{*group}, l.Aside...)
	}
}

// completeInFlight clears an append that took effect, answers its callers and logs its results; end is an
// offset up to which the log holds records of the append.
func completeInFlight(t *gateway.Tables, end cs.Offset, now cs.Instant, out *gateway.Actions) {
	l := &t.JobLog
	for _, p := range l.Proposals {
		switch p := p.(type) {
		case gateway.ProposeJob:
			acceptJob(p, appendStats{attempts: l.Conflicts + l.Failures + 1, sinceSent: now.Sub(l.SentAt), end: end}, now, out)
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
	clearInFlight(l)
	l.RetryAt, l.Conflicts = 0, 0
	endFailures(l)
	l.Effective++
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
		returnOvertaken(t, now, out) // other records are at its offset, so it can no longer take effect
	}
}

// returnOvertaken clears a conditional append that had no effect and can no longer have one.
func returnOvertaken(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	l := &t.JobLog
	if l.RetryAt = now; l.Phase == gateway.AppendSent {
		requeueInFlight(t)
		return
	}
	noteSettled(t, now, out)
	setInFlightAside(t, now, true, out)
}

// randomDelay returns a random span between 0 and limit, inclusive.
func randomDelay(t *gateway.Tables, limit cs.Span) cs.Span {
	return cs.Span(t.Rand.Int64N(int64(limit) + 1))
}
