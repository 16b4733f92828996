package bulk

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// How callers are answered.
const (
	// staleAge is the age of the last read of the job log beyond which this VM does not say that
	// something is not there: another VM may have listed it a second ago.
	maxReadAge = 900 * cs.Millisecond
	// unknownWait bounds the wait for the next read of the job log before a job is called unknown.
	unknownJobWait = 800 * cs.Millisecond
	// maxPage bounds the bytes of results in one answer.
	maxPageBytes = 900 << 10
)

// Ask takes what callers ask about jobs.
func Ask(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.JobSubmitted:
			t.Proposals = append(t.Proposals, gateway.ProposeJob{Query: e.Query, Spec: e.Spec, Since: now})
		case gateway.JobEndAsked:
			t.Proposals = append(t.Proposals, gateway.ProposeEnd{Query: e.Query, Job: e.Job, Since: now})
		case gateway.ResultsAsked:
			queueResultsQuery(t, now, e, out)
		case gateway.BodyAsked:
			answerItemBody(t, now, e, out)
		case gateway.QueryLeft:
			t.Waits.Delete(e.Query)
			t.Proposals = slices.DeleteFunc(t.Proposals, func(p gateway.Proposal) bool { return isSubmissionOf(p, e.Query) })
		default:
		}
	}
	answerResultsQueries(t, now, out)
}

// isJobOf reports whether a proposal accepts a job for a caller. A job whose caller has left before
// it was sent to the log is not accepted, since the caller submits it again elsewhere.
func isSubmissionOf(p gateway.Proposal, q gateway.QueryID) bool {
	job, ok := p.(gateway.ProposeJob)
	return ok && job.Query == q
}

func queueResultsQuery(t *gateway.Tables, now cs.Instant, e gateway.ResultsAsked, out *gateway.Actions) {
	w := gateway.Wait{Job: e.Job, After: max(e.After, 0), Until: e.Until}
	if t.Jobs.Get(e.Job) == nil {
		w.UnknownUntil = now.Add(unknownJobWait)
		out.Add(gateway.ReadJobs{})
	}
	t.Waits.Insert(e.Query, w)
}

// answerWaits answers the callers for whom there are results, or whose wait is over.
func answerResultsQueries(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	readSinceQuery := false
	for _, e := range t.Events {
		if f, ok := e.(gateway.FeedRead); ok && f.Feed == gateway.FeedJobs && f.Loaded {
			readSinceQuery = true
		}
	}
	t.Waits.DeleteFunc(func(q gateway.QueryID, w *gateway.Wait) bool {
		j := t.Jobs.Get(w.Job)
		if j == nil {
			return answerUnknownJob(t, q, w, readSinceQuery, now, out)
		}
		page := resultsPage(j, w.After)
		if len(page) == 0 && j.Open() && now < w.Until {
			out.WakeAt(w.Until)
			return false
		}
		a := gateway.AnswerResults{Query: q, Total: len(j.Spec.Items), Next: w.After + len(page), Results: page}
		if len(page) == 0 && t.Feeds[gateway.FeedJobs].Age(now) > maxReadAge {
			refuseResults(q, w.Job, staleReadRefusal(), t.Feeds[gateway.FeedJobs].Age(now), out)
			return true
		}
		out.Add(a)
		return true
	})
}

// answerUnknown says that a job does not exist once a read of the log has shown it.
func answerUnknownJob(t *gateway.Tables, q gateway.QueryID, w *gateway.Wait, readSinceQuery bool, now cs.Instant, out *gateway.Actions) bool {
	switch {
	case readSinceQuery:
		refuseResults(q, w.Job, unknownJobRefusal(), t.Feeds[gateway.FeedJobs].Age(now), out)
	case now >= w.UnknownUntil:
		refuseResults(q, w.Job, staleReadRefusal(), t.Feeds[gateway.FeedJobs].Age(now), out)
	default:
		out.WakeAt(w.UnknownUntil)
		return false
	}
	return true
}

func staleReadRefusal() *cs.Refusal {
	return &cs.Refusal{Reason: cs.ReasonUnavailable, Message: "the job log cannot be read"}
}

// pageOf returns the results from a position on that fit an answer.
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

func answerItemBody(t *gateway.Tables, now cs.Instant, e gateway.BodyAsked, out *gateway.Actions) {
	a := gateway.AnswerBody{Query: e.Query}
	j := t.Jobs.Get(e.Job)
	i := -1
	if j != nil && !j.Ended {
		i = itemIndex(j, e.Item)
	}
	switch {
	case i >= 0:
		a.Body = j.Spec.Items[i].Body
	case j == nil && t.Feeds[gateway.FeedJobs].Age(now) > maxReadAge:
		a.Refusal = staleReadRefusal()
	default:
		a.Refusal = unknownJobRefusal()
	}
	out.Add(a)
	if a.Refusal != nil {
		logQueryRefused(e.Job, e.Item, a.Refusal, t.Feeds[gateway.FeedJobs].Age(now), out)
	}
}

// refuseResults answers a caller who gets no results.
func refuseResults(q gateway.QueryID, job cs.JobID, refusal *cs.Refusal, readAge cs.Span, out *gateway.Actions) {
	out.Add(gateway.AnswerResults{Query: q, Refusal: refusal})
	logQueryRefused(job, "", refusal, readAge, out)
}

// noteRefused logs a question that was not answered; age is that of the last read of the job log.
func logQueryRefused(job cs.JobID, item cs.ItemID, refusal *cs.Refusal, readAge cs.Span, out *gateway.Actions) {
	out.Note(gateway.Note{Kind: gateway.NoteQueryRefused, Job: job, Item: item, Reason: refusal.Message, Age: readAge})
}
