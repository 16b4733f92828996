package batchjob

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

// Limits on answers to callers.
const (
	// maxReadAge is the age of this VM's view of the job log above which it does not report that there are no
	// further results: another VM may have appended some since.
	maxReadAge = 900 * cs.Millisecond
	// maxReadWait bounds how long a query waits for a read of the job log that answers it, if this VM does not
	// know the job or its view of the log is too old.
	maxReadWait = 800 * cs.Millisecond
	// maxPageBytes bounds the total text of the results in one answer, unless the first result alone exceeds it.
	maxPageBytes = 900 << 10
)

// HandleQueries handles the requests of callers: submissions and ends of jobs become proposals for the job
// log; queries for results and bodies are answered from the jobs that this VM has read.
func HandleQueries(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.JobSubmitted:
			if exiting(t) {
				refuseJob(e.Query, e.Spec.ID, 0, leavingRefusal(), out)
				continue
			}
			p := gateway.ProposeJob{Query: e.Query, Spec: e.Spec, Since: now}
			if t.Config.MaxAppend > 0 && estimateSize(t, p) > t.Config.MaxAppend {
				refuseJob(e.Query, e.Spec.ID, 0, tooLargeRefusal(), out)
				continue
			}
			readIfUnknown(t, e.Spec.ID, out)
			t.Proposals = append(t.Proposals, p)
		case gateway.JobEndRequested:
			if exiting(t) {
				refuseJob(e.Query, e.Job, 0, leavingRefusal(), out)
				continue
			}
			readIfUnknown(t, e.Job, out)
			t.Proposals = append(t.Proposals, gateway.ProposeEnd{Query: e.Query, Job: e.Job, Since: now})
		case gateway.ResultsRequested:
			queueResultsQuery(t, now, e, out)
		case gateway.ItemBodyRequested:
			readIfUnknown(t, e.Job, out)
			t.BodyQueries.Insert(e.Query, gateway.BodyQuery{Job: e.Job, Item: e.Item, Arrived: now})
		case gateway.QueryCancelled:
			t.ResultsQueries.Delete(e.Query)
			t.BodyQueries.Delete(e.Query)
			abandonSubmission(t, e.Query)
		default:
		}
	}
	answerResultsQueries(t, now, out)
	answerBodyQueries(t, now, out)
}

// exiting reports whether this VM is about to exit, so that no caller may wait any longer.
func exiting(t *gateway.Tables) bool { return t.Drain.Stopping || t.Drain.Phase == fleet.DrainDone }

// leavingRefusal says that another VM should be asked.
func leavingRefusal() cs.Refusal {
	return cs.Refusal{Reason: cs.ReasonLeaving, Message: "this VM is leaving"}
}

// abandonSubmission discards the submission of a caller that has disconnected, since the caller submits the job again at another
// VM. One that is in flight is discarded if it turns out to have had no effect.
func abandonSubmission(t *gateway.Tables, q gateway.QueryID) {
	deleteWaiting(t, func(p gateway.Proposal) bool { return isSubmissionOf(p, q) })
	for i, p := range t.JobLog.Proposals {
		if job, ok := p.(gateway.ProposeJob); ok && job.Query == q {
			job.Abandoned = true
			t.JobLog.Proposals[i] = job
		}
	}
}

// isSubmissionOf reports whether a proposal is the job submission of a query.
func isSubmissionOf(p gateway.Proposal, q gateway.QueryID) bool {
	job, ok := p.(gateway.ProposeJob)
	return ok && job.Query == q
}

// readIfUnknown requests a read of the job log if this VM does not know a job.
func readIfUnknown(t *gateway.Tables, job cs.JobID, out *gateway.Actions) {
	if t.Jobs.Get(job) == nil {
		out.Add(gateway.ReadJobs{})
	}
}

// queueResultsQuery registers a query for results. If the job is unknown, it also requests a read of
// the job log.
func queueResultsQuery(t *gateway.Tables, now cs.Instant, e gateway.ResultsRequested, out *gateway.Actions) {
	readIfUnknown(t, e.Job, out)
	t.ResultsQueries.Insert(e.Query, gateway.ResultsQuery{Job: e.Job, After: max(e.After, 0), Until: e.Until, Arrived: now})
}

// answerResultsQueries answers the queries for which there are results and those whose wait has ended.
func answerResultsQueries(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	t.ResultsQueries.DeleteFunc(func(q gateway.QueryID, query *gateway.ResultsQuery) bool {
		j := t.Jobs.Get(query.Job)
		if j == nil {
			refusal := refuseUnknownJob(t, query.Job, query.Arrived, now, out)
			if refusal != nil {
				refuseResults(t, q, query.Job, refusal, now, out)
			}
			return refusal != nil
		}
		page := resultsPage(j, query.After)
		if len(page) == 0 && j.Open() && now < query.Until && t.Drain.Phase < fleet.DrainFinishing {
			out.WakeAt(query.Until)
			return false
		}
		if len(page) == 0 && !j.Complete() && t.Feeds[gateway.FeedJobs].Age(now) > maxReadAge {
			return refuseStalePage(t, q, query, now, out)
		}
		out.Add(gateway.AnswerResults{Query: q, Total: len(j.Spec.Items), Next: query.After + len(page), Results: page})
		return true
	})
}

// refuseStalePage requests a read of the job log for a query that would get an empty page from an old view, and
// refuses the query if there is none in time. It reports whether the query is refused.
func refuseStalePage(t *gateway.Tables, q gateway.QueryID, query *gateway.ResultsQuery, now cs.Instant, out *gateway.Actions) bool {
	if !query.ReadRequested {
		query.ReadRequested = true
		out.Add(gateway.ReadJobs{})
	}
	waitEnd := max(query.Until, query.Arrived).Add(maxReadWait)
	if now < waitEnd && !exiting(t) {
		out.WakeAt(waitEnd)
		return false
	}
	refuseResults(t, q, query.Job, staleReadRefusal(), now, out)
	return true
}

// refuseUnknownJob returns the refusal of a request for a job that this VM does not know, or nil while the request must
// wait.
func refuseUnknownJob(t *gateway.Tables, job cs.JobID, arrived cs.Instant, now cs.Instant, out *gateway.Actions) *cs.Refusal {
	if t.UnreadableJobs.Get(job) != nil {
		return &cs.Refusal{Reason: cs.ReasonUnavailable, Message: "the record of the job cannot be read"}
	}
	return refuseAsOf(t, arrived, unknownJobRefusal(), now, out)
}

// refuseAsOf returns the refusal of a request that rests on what the job log does not hold, such as a job or
// free quota, or nil while the request must wait. It stands only if the state of the log that this VM has applied
// is not older than the request: another VM may have appended in the meantime. If no such state is read in time,
// the caller is told that the log is unavailable.
func refuseAsOf(t *gateway.Tables, arrived cs.Instant, refusal *cs.Refusal, now cs.Instant, out *gateway.Actions) *cs.Refusal {
	waitEnd := arrived.Add(maxReadWait)
	switch {
	case t.Feeds[gateway.FeedJobs].AsOf >= arrived:
		return refusal
	case now >= waitEnd || exiting(t):
		return staleReadRefusal()
	}
	out.WakeAt(waitEnd)
	return nil
}

// staleReadRefusal says that the last read of the job log is too old to answer from.
func staleReadRefusal() *cs.Refusal {
	return &cs.Refusal{Reason: cs.ReasonUnavailable, Message: "the job log cannot be read"}
}

// resultsPage returns the results starting at position after that fit into one answer.
func resultsPage(j *gateway.Job, after int) []gateway.Result {
	if after >= len(j.Results) {
		return nil
	}
	bytes, end := 0, after
	for end < len(j.Results) {
		bytes += len(j.Results[end].Text)
		if end > after && bytes > maxPageBytes {
			break
		}
		end++
	}
	return slices.Clone(j.Results[after:end])
}

// answerBodyQueries answers the queries for bodies of items, except those that must wait because their job is
// unknown.
func answerBodyQueries(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	t.BodyQueries.DeleteFunc(func(q gateway.QueryID, query *gateway.BodyQuery) bool {
		a := gateway.AnswerBody{Query: q}
		if j := t.Jobs.Get(query.Job); j != nil {
			a.Body, a.Refusal = itemBody(j, query.Item)
		} else if a.Refusal = refuseUnknownJob(t, query.Job, query.Arrived, now, out); a.Refusal == nil {
			return false
		}
		out.Add(a)
		if a.Refusal != nil {
			logQueryRefused(t, query.Job, query.Item, a.Refusal, now, out)
		}
		return true
	})
}

// itemBody returns the body of an item, or a refusal if the job has ended or never had the item.
func itemBody(j *gateway.Job, id cs.ItemID) ([]byte, *cs.Refusal) {
	i := itemIndex(j, id)
	if j.Ended || i < 0 {
		return nil, unknownJobRefusal()
	}
	return j.Spec.Items[i].Body, nil
}

// refuseResults refuses a query for results and logs the refusal.
func refuseResults(t *gateway.Tables, q gateway.QueryID, job cs.JobID, refusal *cs.Refusal, now cs.Instant, out *gateway.Actions) {
	out.Add(gateway.AnswerResults{Query: q, Refusal: refusal})
	logQueryRefused(t, job, "", refusal, now, out)
}

// logQueryRefused logs a refused query with the state of the job log that decided it: the offset up to which
// it is applied, and the age of that state.
func logQueryRefused(t *gateway.Tables, job cs.JobID, item cs.ItemID, refusal *cs.Refusal, now cs.Instant, out *gateway.Actions) {
	out.Note(gateway.Note{
		Kind: gateway.NoteQueryRefused, Job: job, Item: item, Reason: refusal.Message, Offset: t.JobLog.End,
		Age: t.Feeds[gateway.FeedJobs].Age(now),
	})
}
