package bulk

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// How appends are repeated.
const (
	// refusedGap is the pause after the store has refused an append.
	refusedRetryDelay = 250 * cs.Millisecond
	// doubtGap is the pause before an append without an answer is sent again.
	unknownRetryDelay = 150 * cs.Millisecond
	// conflictGap bounds the random pause after an append that came too late; it grows with each
	// one in a row, so that VMs which append at the same moment do not meet again.
	conflictBackoffStep     = 12 * cs.Millisecond
	maxConflictBackoffSteps = 8
	// proposalLimit is how long a caller's change waits for the store before the caller is answered.
	proposalTimeout = 3 * cs.Second
	// recordBytes estimates the bytes of a record beside its content.
	recordOverheadBytes = 256
)

// Commit appends proposals to the job log, many at once and one append at a time.
func Commit(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		if a, ok := e.(gateway.JobsAppended); ok {
			handleAppendOutcome(t, now, a, out)
		}
	}
	expireProposals(t, now, out)
	l := &t.JobLog
	if now < l.RetryAt {
		out.WakeAt(l.RetryAt)
		return
	}
	if l.InFlight != nil {
		if l.InDoubt && l.Need <= l.End {
			l.InDoubt = false
			l.Tries++
			out.Add(*l.InFlight) // the same append takes effect once at most
		}
		return
	}
	if !l.Synced || len(t.Proposals) == 0 {
		return
	}
	sendAppend(t, now, out)
}

// propose sends the next append: changes that must know the whole log, or all others.
func sendAppend(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	l := &t.JobLog
	mark := gateway.Mark{Writer: t.Self.Incarnation, Number: l.Number + 1}
	b := appendBuilder{t: t, now: now, out: out, mark: mark}
	var remaining []gateway.Proposal
	hasFirst, conditional := false, false
	for i, p := range t.Proposals {
		if b.estimatedSize > 0 && b.estimatedSize+estimateSize(t, p) > t.Config.MaxAppend {
			remaining = append(remaining, t.Proposals[i:]...)
			break
		}
		isConditional := b.conditional(p)
		if hasFirst && isConditional != conditional || isConditional && l.End < l.Need {
			remaining = append(remaining, p)
			continue
		}
		hasFirst, conditional = true, isConditional
		b.addProposal(p)
	}
	t.Proposals = remaining
	if len(b.changes) == 0 {
		return
	}
	l.Number++
	a := gateway.AppendJobs{
		Mark: mark, At: cs.NoOffset, Epoch: l.Epoch, Seq: l.Seq,
		Changes: b.changes,
	}
	if conditional {
		a.At = l.End
	}
	l.InFlight, l.Proposals, l.Tries, l.SentAt = &a, b.proposals, 1, now
	out.Add(a)
}

// size estimates the bytes of a proposal's records.
func estimateSize(t *gateway.Tables, p gateway.Proposal) cs.Bytes {
	n := recordOverheadBytes
	switch p := p.(type) {
	case gateway.ProposeJob:
		for _, item := range p.Spec.Items {
			n += recordOverheadBytes + len(item.Body)
		}
	case gateway.ProposeResult:
		n += len(p.Result.Text)
	case gateway.ProposeProgress:
		if j := t.Jobs.Get(p.Key.Job); j != nil {
			n += len(j.Work[p.Key.Index].Text)
		}
	case gateway.ProposeDrop:
		if j := t.Jobs.Get(p.Job); j != nil {
			n += len(j.Results) * recordOverheadBytes
		}
	case gateway.ProposeEnd:
	}
	return cs.Bytes(n)
}

// expire answers callers whose change could not be appended in time and was not sent.
func expireProposals(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	t.Proposals = slices.DeleteFunc(t.Proposals, func(p gateway.Proposal) bool {
		switch p := p.(type) {
		case gateway.ProposeJob:
			if now.Sub(p.Since) < proposalTimeout {
				out.WakeAt(p.Since.Add(proposalTimeout))
				return false
			}
			refuseJob(p.Query, p.Spec.ID, now.Sub(p.Since), storeUnavailableRefusal(cs.RanNotRun), out)
			return true
		case gateway.ProposeEnd:
			if now.Sub(p.Since) < proposalTimeout {
				out.WakeAt(p.Since.Add(proposalTimeout))
				return false
			}
			refuseJob(p.Query, p.Job, now.Sub(p.Since), storeUnavailableRefusal(cs.RanNotRun), out)
			return true
		case gateway.ProposeResult, gateway.ProposeProgress, gateway.ProposeDrop:
		}
		return false
	})
}

func storeUnavailableRefusal(ran cs.Ran) cs.Refusal {
	return cs.Refusal{Reason: cs.ReasonUnavailable, Ran: ran, Message: "the job log cannot be written"}
}

func unknownJobRefusal() *cs.Refusal {
	return &cs.Refusal{Reason: cs.ReasonNotFound, Message: "no such job"}
}

// refuseJob answers a caller who asked for a change of the job log.
func refuseJob(q gateway.QueryID, job cs.JobID, took cs.Span, refusal cs.Refusal, out *gateway.Actions) {
	out.Add(gateway.AnswerJob{Query: q, Refusal: &refusal})
	out.Note(gateway.Note{Kind: gateway.NoteJobRefused, Job: job, Took: took, Outcome: refusal.Ran.String(), Reason: refusal.Message})
}

// accept answers a caller whose job is in the log; appends counts the appends that it took, and age is
// the time since the last one was sent.
func acceptJob(p gateway.ProposeJob, appendAttempts int, sinceLastSend cs.Span, now cs.Instant, out *gateway.Actions) {
	out.Add(gateway.AnswerJob{Query: p.Query})
	out.Note(gateway.Note{
		Kind: gateway.NoteJobAccepted, Job: p.Spec.ID, Route: p.Spec.Route, Count: len(p.Spec.Items), Took: now.Sub(p.Since),
		Attempt: cs.Attempt(appendAttempts), Age: sinceLastSend,
	})
}

// confirmEnd answers a caller whose end of a job is in the log.
func confirmJobEnd(p gateway.ProposeEnd, now cs.Instant, out *gateway.Actions) {
	out.Add(gateway.AnswerJob{Query: p.Query})
	out.Note(gateway.Note{Kind: gateway.NoteJobEnded, Job: p.Job, Took: now.Sub(p.Since)})
}
