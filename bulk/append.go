package bulk

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// settleAppend applies how an append ended.
func handleAppendOutcome(t *gateway.Tables, now cs.Instant, a gateway.JobsAppended, out *gateway.Actions) {
	l := &t.JobLog
	if l.InFlight == nil || l.InFlight.Mark.Number != a.Number {
		return // its records were read before the answer came
	}
	switch o := a.Outcome.(type) {
	case gateway.AppendDone:
		if l.InFlight.At != cs.NoOffset || o.From == l.End {
			for _, c := range l.InFlight.Changes {
				applyChange(t, now, c, out)
			}
			l.End = max(l.End, o.End)
		} // else others have appended before it, and the next read brings both
		completeInFlight(t, now, out)
	case gateway.AppendConflict:
		l.Need = max(l.Need, o.End)
		out.Add(gateway.ReadJobs{})
		if l.Tries > 1 {
			l.InDoubt = true // an earlier try of the same append may be what the log ends with
			return
		}
		l.Conflicts++
		out.Note(gateway.Note{
			Kind: gateway.NoteAppendFailed, Outcome: "conflict", Reason: "another VM appended first", Count: len(l.InFlight.Changes),
			Attempt: cs.Attempt(l.Conflicts), Took: now.Sub(l.SentAt),
		})
		requeueInFlight(t, now.Add(randomSpan(t, conflictBackoffStep*cs.Span(min(l.Conflicts, maxConflictBackoffSteps)))))
	case gateway.AppendRefused:
		out.Note(gateway.Note{Kind: gateway.NoteAppendFailed, Outcome: "notAppended", Reason: o.Reason, Count: len(l.InFlight.Changes)})
		if l.Tries > 1 {
			l.InDoubt, l.RetryAt = true, now.Add(refusedRetryDelay)
			return
		}
		requeueInFlight(t, now.Add(refusedRetryDelay))
	case gateway.AppendOutOfSequence:
		out.Note(gateway.Note{Kind: gateway.NoteAppendFailed, Outcome: "outOfSequence", Reason: o.Reason, Count: len(l.InFlight.Changes)})
		l.Epoch++ // a new epoch may begin at any number
		l.Seq = 0
		l.InFlight.Epoch, l.InFlight.Seq = l.Epoch, l.Seq
		l.InDoubt, l.RetryAt = true, now.Add(unknownRetryDelay)
	case gateway.AppendUnknown:
		out.Note(gateway.Note{Kind: gateway.NoteAppendFailed, Outcome: "unknown", Reason: o.Error, Count: len(l.InFlight.Changes)})
		l.InDoubt, l.RetryAt = true, now.Add(unknownRetryDelay)
		out.Add(gateway.ReadJobs{})
	}
}

// withdraw puts the proposals of an append that took no effect back in front of the queue.
func requeueInFlight(t *gateway.Tables, retryAt cs.Instant) {
	l := &t.JobLog
	t.Proposals = append(l.Proposals, t.Proposals...)
	l.InFlight, l.Proposals, l.InDoubt, l.Tries, l.RetryAt = nil, nil, false, 0, retryAt
}

// finish answers the callers of an append that took effect.
func completeInFlight(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	l := &t.JobLog
	for _, p := range l.Proposals {
		switch p := p.(type) {
		case gateway.ProposeJob:
			acceptJob(p, l.Conflicts+l.Tries, now.Sub(l.SentAt), now, out)
		case gateway.ProposeEnd:
			confirmJobEnd(p, now, out)
		case gateway.ProposeResult:
			kind := gateway.NoteItemListed
			if !p.Result.Done {
				kind = gateway.NoteItemGivenUp
			}
			out.Note(gateway.Note{Kind: kind, Job: p.Key.Job, Item: p.Result.Item})
		case gateway.ProposeProgress, gateway.ProposeDrop:
		}
	}
	if l.InFlight.At == cs.NoOffset {
		l.Seq++
	}
	l.InFlight, l.Proposals, l.InDoubt, l.Tries, l.RetryAt, l.Conflicts = nil, nil, false, 0, 0, 0
}

// resolve decides an append without an answer by what stands in the log.
func resolveInFlight(t *gateway.Tables, now cs.Instant, read gateway.JobsRead, out *gateway.Actions) {
	l := &t.JobLog
	if l.InFlight == nil || l.InFlight.At != cs.NoOffset && l.End <= l.InFlight.At {
		return
	}
	for _, r := range read.Records {
		if r.Mark == l.InFlight.Mark {
			completeInFlight(t, now, out)
			return
		}
	}
	if l.InFlight.At == cs.NoOffset {
		return // it may take effect yet, wherever the log ends
	}
	if read.Whole || read.From <= l.InFlight.At {
		requeueInFlight(t, now) // another append stands there, so that this one can no longer take effect
	}
}

// randomSpan returns a span of at most the given one.
func randomSpan(t *gateway.Tables, limit cs.Span) cs.Span {
	return cs.Span(t.Rand.Int64N(int64(limit) + 1))
}
