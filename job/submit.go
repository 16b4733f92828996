package job

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// defaultPageResults is the number of results in one answer to a query that does not limit it,
	// and maxPageResults the highest limit. An answer also ends once its outputs reach maxPageBytes.
	defaultPageResults, maxPageResults = 1000, 10_000
	maxPageBytes                       = 1 << 20
)

// submitJob opens a job, or joins one with the same ID.
func submitJob(t *fleet.Tables, id uint64, q *fleet.Query, s *fleet.Shard, m cs.SubmitJob, now cs.Instant, out *fleet.Actions) {
	if j := t.Jobs.Get(m.Job.ID); j != nil {
		joinJob(t, id, q, j, m, out)
		return
	}
	if r := checkSubmission(t, m, now); r != nil {
		refuseQuery(t, id, q, r, out)
		return
	}
	j := t.Jobs.Insert(m.Job.ID, fleet.Job{Job: m.Job, Shard: q.Shard, WrittenAt: now})
	q.RecordedBefore, q.Recorded = q.Recorded, true
	addWaiter(q, id, &j.Waiters)
	s.Pending = append(s.Pending, cs.JobOpened{Job: m.Job})
	for first := 0; first < len(m.Items); {
		last := chunkEnd(m.Items, first)
		s.Pending = append(s.Pending, cs.JobItems{
			Job: m.Job.ID, First: cs.ItemIndex(first), Items: m.Items[first:last],
		})
		first = last
	}
	s.Pending = append(s.Pending, cs.JobSealed{Job: m.Job.ID})
}

// joinJob answers a submission of a job that exists already.
func joinJob(t *fleet.Tables, id uint64, q *fleet.Query, j *fleet.Job, m cs.SubmitJob, out *fleet.Actions) {
	switch {
	case j.Content != m.Job.Content || j.Tenant != m.Job.Tenant:
		refuseQuery(t, id, q, cs.Refuse(cs.ReasonConflict, "job key %q is taken by other content", m.Job.Key), out)
	case j.State == cs.JobOpening:
		addWaiter(q, id, &j.Waiters)
	default:
		answerQuery(t, id, cs.JobReply{Status: j.Status(), Deduplicated: !q.Recorded}, out)
	}
}

// chunkEnd returns the end of the chunk of items that begins at first.
func chunkEnd(items []cs.Item, first int) int {
	size := sizeOfItem(items[first])
	last := first + 1
	for ; last < len(items); last++ {
		if size += sizeOfItem(items[last]); size > maxChunkSize {
			break
		}
	}
	return last
}

func checkSubmission(t *fleet.Tables, m cs.SubmitJob, now cs.Instant) *cs.Refusal {
	if m.Job.ID == "" || len(m.Items) == 0 || int(m.Job.Count) != len(m.Items) {
		return cs.Invalid("items", "a job has an id and at least one item, and counts its items")
	}
	if r := checkItems(m.Items); r != nil {
		return r
	}
	if t.Log.Age(now) >= logUnavailableAfter {
		return cs.Refuse(cs.ReasonUnavailable, "the log cannot be read")
	}
	itemsHeld := len(m.Items)
	for _, j := range t.Jobs.All() {
		if s := t.Shards.Get(j.Shard); s != nil && s.Owned {
			itemsHeld += int(j.Count)
		}
	}
	if itemsHeld > t.Config.MaxItems {
		return cs.Refuse(cs.ReasonOverloaded, "this VM would hold %d items of at most %d", itemsHeld, t.Config.MaxItems)
	}
	return nil
}

func checkItems(items []cs.Item) *cs.Refusal {
	lanes := map[laneID]bool{}
	for i := range items {
		if items[i].Target == nil {
			return cs.Invalid("items", "item %d has no target", i)
		}
		if sizeOfItem(items[i]) > maxChunkSize {
			return cs.Invalid("items", "item %d is larger than %d bytes", i, maxChunkSize)
		}
		lanes[laneOfItem(items[i])] = true
	}
	if len(lanes) > maxLanes {
		return cs.Invalid("items", "%d different targets, at most %d are allowed", len(lanes), maxLanes)
	}
	return nil
}

// cancelJob cancels a job. Its waiting items are no longer granted, and the query is answered when
// the cancellation is read back from the log.
func cancelJob(t *fleet.Tables, id uint64, q *fleet.Query, s *fleet.Shard, j *fleet.Job, now cs.Instant, out *fleet.Actions) {
	if j.State == cs.JobFinished || j.State == cs.JobCancelled {
		answerQuery(t, id, cs.JobReply{Status: j.Status()}, out)
		return
	}
	q.Recorded = true
	addWaiter(q, id, &j.Waiters)
	if j.State == cs.JobOpening || j.Stopping {
		return
	}
	j.Stopping = true
	j.Lanes, j.Delayed = nil, nil
	stopRuns(t, j.ID, j, out)
	s.Pending = append(s.Pending, cs.JobStopped{Job: j.ID, At: now})
}

// resultsPage returns a page of the items whose end is in the log.
func resultsPage(j *fleet.Job, m cs.GetResults) cs.ResultsReply {
	limit := m.Limit
	if limit <= 0 {
		limit = defaultPageResults
	}
	limit = min(limit, maxPageResults)
	a := cs.ResultsReply{State: j.State, Next: max(0, m.From)}
	size := 0
	for ; int(a.Next) < len(j.Items) && len(a.Results) < limit && size < maxPageBytes; a.Next++ {
		it := &j.Items[a.Next]
		if !it.State.Ended() || it.Undurable {
			continue
		}
		a.Results = append(a.Results, resultOf(a.Next, it))
		size += len(it.Output)
	}
	return a
}

func resultOf(i cs.ItemIndex, it *fleet.Item) cs.ItemResult {
	return cs.ItemResult{Index: i, State: it.State, Output: it.Output, Error: it.Error, Attempts: it.Attempts}
}
