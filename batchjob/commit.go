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
		if a, ok := e.(gateway.JobsAppended); ok {
			handleAppendOutcome(t, now, a, out)
		}
	}
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
		if l.ResendNeeded && l.RequiredEnd <= l.End {
			l.ResendNeeded = false
			l.Attempts++
			l.InFlight.Timeout = timeoutAfter(l.Failures)
			out.Add(*l.InFlight) // the store applies the same append at most once
		}
		return
	}
	if !l.Synced || len(t.Proposals) == 0 {
		return
	}
	sendAppend(t, now, out)
}

// sendAppend sends the next append. Its changes are either all conditional on the end of the log or all
// unconditional; the first proposal that can be sent determines which.
func sendAppend(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	l := &t.JobLog
	appendID := gateway.AppendID{Writer: t.Self.Incarnation, Number: l.Number + 1}
	b := appendBuilder{t: t, now: now, out: out, appendID: appendID}
	var remaining []gateway.Proposal
	hasFirst, conditional := false, false
	for i, p := range t.Proposals {
		if b.estimatedSize > 0 && (l.Single > 0 || b.estimatedSize+estimateSize(t, p) > t.Config.MaxAppend) {
			remaining = append(remaining, t.Proposals[i:]...)
			break
		}
		isConditional := b.conditional(p)
		if hasFirst && isConditional != conditional || isConditional && l.End < l.RequiredEnd {
			remaining = append(remaining, p)
			continue
		}
		if !b.addProposal(p) {
			remaining = append(remaining, p)
			continue
		}
		hasFirst, conditional = true, isConditional
	}
	t.Proposals = remaining
	if len(b.changes) == 0 {
		return
	}
	l.Number++
	a := gateway.AppendJobs{
		AppendID: appendID, ExpectedEnd: cs.NoOffset, Epoch: l.Epoch, Seq: l.Seq,
		Changes: b.changes, Format: jobLogFormat(t), Timeout: timeoutAfter(l.Failures),
	}
	if conditional {
		a.ExpectedEnd = l.End
	}
	l.InFlight, l.Proposals, l.Attempts, l.SentAt = &a, b.proposals, 1, now
	out.Add(a)
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
	refuse := func(proposals []gateway.Proposal, refusal cs.Refusal) []gateway.Proposal {
		return slices.DeleteFunc(proposals, func(p gateway.Proposal) bool {
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
		})
	}
	t.Proposals = refuse(t.Proposals, leavingRefusal())
	t.JobLog.Proposals = refuse(t.JobLog.Proposals, storeUnavailableRefusal(cs.RanUnknown))
}

// expireProposals refuses the proposals of callers that were not sent within proposalTimeout.
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
		case gateway.ProposeResult, gateway.ProposeProgress, gateway.ProposeRemoval:
		}
		return false
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
	// attempts counts the appends that were sent.
	attempts int
	// sinceFirstSent is the time since the last append was first sent.
	sinceFirstSent cs.Span
	// end is an offset up to which the log holds records of the append.
	end cs.Offset
}

// acceptJob confirms a submission whose job is in the log.
func acceptJob(p gateway.ProposeJob, stats appendStats, now cs.Instant, out *gateway.Actions) {
	out.Add(gateway.AnswerJob{Query: p.Query})
	out.Note(gateway.Note{
		Kind: gateway.NoteJobAccepted, Job: p.Spec.ID, Route: p.Spec.Route, Count: len(p.Spec.Items), Duration: now.Sub(p.Since),
		Attempt: cs.Attempt(stats.attempts), Age: stats.sinceFirstSent, Offset: stats.end,
	})
}

// confirmJobEnd confirms the end of a job that is in the log.
func confirmJobEnd(p gateway.ProposeEnd, now cs.Instant, out *gateway.Actions) {
	out.Add(gateway.AnswerJob{Query: p.Query})
	out.Note(gateway.Note{Kind: gateway.NoteJobEnded, Job: p.Job, Duration: now.Sub(p.Since)})
}
