package batchjob

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Retries and limits of appends to the job log.
const (
	// conflictBackoffStep is the upper bound of the random pause after a conflict with another append.
	// It grows by one step with each consecutive conflict, so that VMs that append at the same time are
	// unlikely to collide again.
	conflictBackoffStep = 12 * cs.Millisecond
	// maxConflictBackoffSteps limits the growth of the pause after conflicts.
	maxConflictBackoffSteps = 8
	// proposalTimeout is how long a caller's proposal may wait to be sent before it is refused.
	proposalTimeout = 3 * cs.Second
	// recordOverheadBytes estimates the size of a record without its content.
	recordOverheadBytes = 256
	// itemOverheadBytes and itemFieldBytes estimate the size of an item and of one of its headers or parts without their contents, and
	// chunkBytes the least size of a record of which a large specification has several.
	itemOverheadBytes = 128
	itemFieldBytes    = 16
	chunkBytes        = 128 << 10
)

// AppendProposals appends proposals to the job log. Proposals are grouped, and only one append is in flight
// at a time.
func AppendProposals(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.JobsAppended:
			handleAppendOutcome(t, now, e, out)
		case gateway.JobsFenced:
			handleFenceOutcome(t, now, e, out)
		default:
		}
	}
	noteOvertaken(&t.JobLog, now)
	if t.Drain.Stopping {
		releaseCallers(t, now, out)
	}
	expireProposals(t, now, out)
	l := &t.JobLog
	if now < l.RetryAt {
		out.WakeAt(l.RetryAt)
		return
	}
	if l.InFlight != nil {
		settleInFlight(t, now, out)
	}
	if l.InFlight == nil && l.Synced {
		sendAppend(t, now, out)
	}
}

// sendAppend sends the next append: a group of refused proposals that is due, or the proposals that wait. They take turns.
func sendAppend(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	l := &t.JobLog
	othersFirst := l.OthersNext
	if othersFirst && sendWaiting(t, now, out) {
		l.OthersNext = false
		return
	}
	if g := takeDueAside(t, now, out); g != nil && sendAside(t, g, now, out) {
		l.OthersNext = true
		return
	}
	if !othersFirst {
		sendWaiting(t, now, out)
	}
}

// sendWaiting sends an append with the proposals that wait and reports whether there was one to send.
func sendWaiting(t *gateway.Tables, now cs.Instant, out *gateway.Actions) bool {
	b, remaining := buildAppend(t, t.Proposals, now, out)
	t.Proposals = remaining
	return b.send(nil)
}

// sendAside sends an append with a group of refused proposals and reports whether there was one to send.
func sendAside(t *gateway.Tables, g *gateway.AsideGroup, now cs.Instant, out *gateway.Actions) bool {
	b, remaining := buildAppend(t, g.Proposals, now, out)
	if len(remaining) > 0 {
		rest := *g
		rest.Proposals = remaining
		t.JobLog.Aside = append(t.JobLog.Aside, rest)
	}
	return b.send(g)
}

// buildAppend collects the changes of the next append and returns the proposals that remain. Its changes are either all
// conditional on the end of the log or all unconditional; the first proposal that can be sent determines which.
func buildAppend(t *gateway.Tables, waiting []gateway.Proposal, now cs.Instant, out *gateway.Actions) (appendBuilder, []gateway.Proposal) {
	l := &t.JobLog
	b := appendBuilder{t: t, now: now, out: out, appendID: gateway.AppendID{Writer: t.Self.Incarnation, Number: l.Number + 1}}
	var remaining []gateway.Proposal
	hasFirst := false
	for i, p := range waiting {
		if b.estimatedSize > 0 && b.estimatedSize+estimateSize(t, p) > t.Config.MaxAppend {
			return b, append(remaining, waiting[i:]...)
		}
		isConditional := b.conditional(p)
		if hasFirst && isConditional != b.isConditional || isConditional && l.End < l.RequiredEnd || !b.addProposal(p) {
			remaining = append(remaining, p)
			continue
		}
		hasFirst, b.isConditional = true, isConditional
	}
	return b, remaining
}

// jobLogFormat returns the newest format of the job log's records that all VMs read. VMs name it in their registration and in
// their reports. Those of a version without formats read the oldest one, and there may be some until the list of VMs has been read.
func jobLogFormat(t *gateway.Tables) cs.JobLogFormat {
	if !t.Feeds[gateway.FeedVMs].Loaded {
		return cs.JobLogPlain
	}
	format := t.Self.JobLogFormat
	for _, p := range t.Peers.All() {
		format = min(format, p.VM.JobLogFormat)
	}
	return format
}

// estimateSize estimates the size of a proposal's records.
func estimateSize(t *gateway.Tables, p gateway.Proposal) cs.Bytes {
	n := recordOverheadBytes
	switch p := p.(type) {
	case gateway.ProposeJob:
		for _, item := range p.Spec.Items {
			n += itemOverheadBytes + len(item.ID) + len(item.Target) + len(item.Body) + itemFieldBytes*len(item.Parts)
			for name, value := range item.Header {
				n += itemFieldBytes + len(name) + len(value)
			}
		}
		n += n / chunkBytes * recordOverheadBytes
	case gateway.ProposeResult:
		n += len(p.Result.Text)
	case gateway.ProposeProgress:
		if j := t.Jobs.Get(p.Key.Job); j != nil {
			n += len(j.ItemWork[p.Key.Index].Text)
		}
	case gateway.ProposeRemoval:
		if j := t.Jobs.Get(p.Job); j != nil {
			n += len(j.Results) * recordOverheadBytes
		}
	case gateway.ProposeEnd:
	}
	return cs.Bytes(n)
}

// releaseCallers answers the callers who wait for an append that this VM may not see the end of before it exits: changes
// that were not sent are refused as not made, and those in flight as unknown.
func releaseCallers(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	refuseBy := func(refusal cs.Refusal) func(gateway.Proposal) bool {
		return func(p gateway.Proposal) bool {
			switch p := p.(type) {
			case gateway.ProposeJob:
				refuseJob(p.Query, p.Spec.ID, now.Sub(p.Since), refusal, out)
				return true
			case gateway.ProposeEnd:
				refuseJob(p.Query, p.Job, now.Sub(p.Since), refusal, out)
				return true
			case gateway.ProposeResult, gateway.ProposeProgress, gateway.ProposeRemoval:
			}
			return false
		}
	}
	deleteWaiting(t, refuseBy(leavingRefusal()))
	t.JobLog.Proposals = slices.DeleteFunc(t.JobLog.Proposals, refuseBy(storeUnavailableRefusal(cs.RanUnknown)))
}

// expireProposals refuses the proposals of callers that were not sent within proposalTimeout. Those of an append that had no
// response are sent once more, however long that has taken: the store, which has confirmed the fence, is there again.
func expireProposals(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	expired := func(p gateway.Proposal) bool {
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
		case gateway.ProposeResult, gateway.ProposeProgress, gateway.ProposeRemoval:
		}
		return false
	}
	t.Proposals = slices.DeleteFunc(t.Proposals, expired)
	deleteAside(&t.JobLog, func(g *gateway.AsideGroup, p gateway.Proposal) bool {
		return !g.JustFenced() && expired(p)
	})
}

// storeUnavailableRefusal says that the job log cannot be written; ran tells whether the change may have
// taken effect.
func storeUnavailableRefusal(ran cs.Ran) cs.Refusal {
	return cs.Refusal{Reason: cs.ReasonUnavailable, Ran: ran, Message: "the job log cannot be written"}
}

// tooLargeRefusal says that a job does not fit into one append.
func tooLargeRefusal() cs.Refusal {
	return cs.Refusal{Reason: cs.ReasonUnavailable, Message: "the job is larger than an append to the job log may be"}
}

// unknownJobRefusal says that a job or item does not exist.
func unknownJobRefusal() *cs.Refusal {
	return &cs.Refusal{Reason: cs.ReasonNotFound, Message: "no such job"}
}

// refuseJob refuses the submission or the end of a job and logs the refusal.
func refuseJob(q gateway.QueryID, job cs.JobID, duration cs.Span, refusal cs.Refusal, out *gateway.Actions) {
	out.Add(gateway.AnswerJob{Query: q, Refusal: &refusal})
	out.Note(gateway.Note{Kind: gateway.NoteJobRefused, Job: job, Duration: duration, Outcome: refusal.Ran.String(), Reason: refusal.Message})
}

// appendStats describes the append that accepted a job; it is zero for a job that the log already had.
type appendStats struct {
	// attempts counts the append, and the conflicts and failures in a row before it.
	attempts int
	// sinceSent is the time since the append was sent.
	sinceSent cs.Span
	// end is an offset up to which the log holds records of the append.
	end cs.Offset
}

// acceptJob confirms a submission whose job is in the log.
func acceptJob(p gateway.ProposeJob, stats appendStats, now cs.Instant, out *gateway.Actions) {
	out.Add(gateway.AnswerJob{Query: p.Query})
	out.Note(gateway.Note{
		Kind: gateway.NoteJobAccepted, Job: p.Spec.ID, Route: p.Spec.Route, Count: len(p.Spec.Items), Duration: now.Sub(p.Since),
		Attempt: cs.Attempt(stats.attempts), Age: stats.sinceSent, Offset: stats.end,
	})
}

// confirmJobEnd confirms the end of a job that is in the log.
func confirmJobEnd(p gateway.ProposeEnd, now cs.Instant, out *gateway.Actions) {
	out.Add(gateway.AnswerJob{Query: p.Query})
	out.Note(gateway.Note{Kind: gateway.NoteJobEnded, Job: p.Job, Duration: now.Sub(p.Since)})
}
