package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// appendResults appends results of items of a job in the order given.
func appendResults(l *jobLog, job cs.JobID, items ...int) {
	for _, i := range items {
		spec := newJob(job, i+1)
		id := gateway.AppendID{Writer: 1, Number: uint64(len(l.records))}
		l.records = append(l.records, gateway.JobRecord{Offset: cs.Offset(len(l.records)), AppendID: id, Change: gateway.JobResultAppended{
			Job: job, Index: i, AppendID: id, Result: gateway.Result{Item: spec.Items[i].ID, Done: true, Text: "t"},
		}})
	}
}

// newVMWithOldView returns a VM that has read an open job with one result of three, a complete job and an ended one, and
// has been unable to read the log for a minute.
func newVMWithOldView(c *qt.C) (*vm, *jobLog, cs.Instant) {
	l := &jobLog{}
	v := newVM("a")
	for i, id := range []cs.JobID{"open", "complete", "ended"} {
		submit(v, l, newJob(id, 3), gateway.QueryID(100+i), startTime)
	}
	v.nextOffset = cs.Offset(len(l.records))
	appendResults(l, "open", 1)
	appendResults(l, "complete", 2, 0, 1)
	l.records = append(l.records, gateway.JobRecord{Offset: cs.Offset(len(l.records)), Change: gateway.JobEnded{Job: "ended"}})
	v.readLog(l, startTime)
	v.tick(startTime)
	clear(v.answers)
	c.Assert(v.Jobs.Get("complete").Results, qt.HasLen, 3)
	v.inbox = append(v.inbox, gateway.FeedFailed{Feed: gateway.FeedJobs, Error: "no data"})
	v.tick(startTime.Add(cs.Second))
	return v, l, startTime.Add(cs.Minute)
}

// Guards against a VM that cannot read the log and refuses what it knows for certain: records of the log are never
// taken back, so that a listed result, the body of an item, an accepted job and an end do not depend on the age of the view.
func TestOldViewAnswersWhatIsCertain(t *testing.T) {
	for name, test := range map[string]struct {
		ask  gateway.Event
		want gateway.Action
	}{
		"results": {
			gateway.ResultsRequested{Query: 1, Job: "open"},
			gateway.AnswerResults{Query: 1, Total: 3, Next: 1, Results: []gateway.Result{{Item: "open-1", Done: true, Text: "t"}}},
		},
		"results from a position on": {
			gateway.ResultsRequested{Query: 1, Job: "complete", After: 2},
			gateway.AnswerResults{Query: 1, Total: 3, Next: 3, Results: []gateway.Result{{Item: "complete-1", Done: true, Text: "t"}}},
		},
		"the end of a complete list":      {gateway.ResultsRequested{Query: 1, Job: "complete", After: 3}, gateway.AnswerResults{Query: 1, Total: 3, Next: 3}},
		"beyond the end of such a list":   {gateway.ResultsRequested{Query: 1, Job: "complete", After: 7}, gateway.AnswerResults{Query: 1, Total: 3, Next: 7}},
		"a body":                          {gateway.ItemBodyRequested{Query: 1, Job: "open", Item: "open-2"}, gateway.AnswerBody{Query: 1}},
		"a submission of an accepted job": {gateway.JobSubmitted{Query: 1, Spec: newJob("open", 3)}, gateway.AnswerJob{Query: 1}},
		"the end of a job that has ended": {gateway.JobEndRequested{Query: 1, Job: "ended"}, gateway.AnswerJob{Query: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			v, _, now := newVMWithOldView(c)
			v.inbox = append(v.inbox, test.ask)
			v.tick(now)
			c.Assert(v.answers[1], qt.DeepEquals, test.want)
		})
	}
}

// Guards against a VM that cannot read the log and answers as if it knew what others have written since.
func TestOldViewDoesNotDenyWhatMayHaveFollowed(t *testing.T) {
	for name, ask := range map[string]gateway.Event{
		"a position that may have been filled":      gateway.ResultsRequested{Query: 1, Job: "open", After: 1},
		"results of a job that was ended":           gateway.ResultsRequested{Query: 1, Job: "ended"},
		"a job that may have been accepted":         gateway.ResultsRequested{Query: 1, Job: "later"},
		"an item of one that may have been":         gateway.ItemBodyRequested{Query: 1, Job: "later", Item: "later-0"},
		"the end of a job that may have been":       gateway.JobEndRequested{Query: 1, Job: "later"},
		"the end of a long poll on an open job":     gateway.ResultsRequested{Query: 1, Job: "open", After: 1, Until: startTime.Add(cs.Minute + 500)},
		"a position beyond the end of an open list": gateway.ResultsRequested{Query: 1, Job: "open", After: 3},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			v, _, now := newVMWithOldView(c)
			v.inbox = append(v.inbox, ask)
			for range 20 {
				v.tick(now)
				now = now.Add(100)
			}
			var refusal *cs.Refusal
			switch a := v.answers[1].(type) {
			case gateway.AnswerResults:
				refusal = a.Refusal
			case gateway.AnswerBody:
				refusal = a.Refusal
			case gateway.AnswerJob:
				refusal = a.Refusal
			}
			c.Assert(refusal, qt.IsNotNil)
			c.Assert(refusal.Reason, qt.Equals, cs.ReasonUnavailable)
		})
	}
}

// Guards against a VM that cannot read the log and denies a job that it has accepted itself, because the records before
// that job in the log are missing.
func TestAcceptingVMKnowsItsJobs(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	other, v := newVM("b"), newVM("a", 0, 1, 2, 3)
	submit(other, l, newJob("k", 1), 1, startTime)
	v.inbox = append(v.inbox, gateway.FeedRead{Feed: gateway.FeedJobs, Loaded: true, AsOf: startTime})
	spec := newJob("j", 2)
	spec.Items[1].Body = []byte("body")
	submit(v, l, spec, 1, startTime)
	c.Assert(accepted(v, 1), qt.IsTrue)
	now := startTime.Add(cs.Second)
	v.inbox = append(v.inbox, gateway.ItemBodyRequested{Query: 2, Job: "j", Item: "j-1"}, gateway.JobSubmitted{Query: 3, Spec: spec},
		gateway.ResultsRequested{Query: 4, Job: "j"})
	v.tick(now)
	c.Assert(v.answers[2], qt.DeepEquals, gateway.Action(gateway.AnswerBody{Query: 2, Body: []byte("body")}))
	c.Assert(accepted(v, 3), qt.IsTrue)
	c.Assert(v.answers[4], qt.IsNil)
	c.Assert(v.started, qt.HasLen, 0, qt.Commentf("the items may have results among the records that were not read"))
	v.tick(now.Add(cs.Second))
	c.Assert(v.answers[4].(gateway.AnswerResults).Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
	now = now.Add(2 * cs.Second)
	v.inbox = append(v.inbox, gateway.JobEndRequested{Query: 5, Job: "j"})
	v.tick(now)
	v.completeAppends(l)
	v.tick(now)
	c.Assert(accepted(v, 5), qt.IsTrue)
	c.Assert(v.Jobs.Get("j").Ended, qt.IsTrue)
	c.Assert(l.records, qt.HasLen, 3)
	v.readLog(l, now)
	v.inbox = append(v.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}})
	v.tick(now)
	v.tick(now.Add(cs.Second))
	c.Assert(v.Jobs.Len(), qt.Equals, 2)
	c.Assert(v.started, qt.HasLen, 1)
	c.Assert(v.started[0].Key.Job, qt.Equals, cs.JobID("k"))
}

// Guards against a job that was accepted once more after its removal and is dropped when its VM reads the removal, or
// keeps results and the end of the removed one.
func TestEarlierRemovalDoesNotDropAcceptedJob(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	v := newVM("a")
	l.records = append(l.records, gateway.JobRecord{Offset: 0, Change: gateway.JobOpened{Spec: newJob("j", 2)}})
	appendResults(l, "j", 1)
	for _, change := range []gateway.JobChange{gateway.JobEnded{Job: "j"}, gateway.JobRemoved{Job: "j"}} {
		l.records = append(l.records, gateway.JobRecord{Offset: cs.Offset(len(l.records)), Change: change})
	}
	v.inbox = append(v.inbox, gateway.FeedRead{Feed: gateway.FeedJobs, Loaded: true, AsOf: startTime})
	submit(v, l, newJob("j", 2), 1, startTime)
	c.Assert(accepted(v, 1), qt.IsTrue)
	appendResults(l, "j", 0)
	v.readLog(l, startTime)
	v.tick(startTime)
	j := v.Jobs.Get("j")
	c.Assert(j, qt.IsNotNil)
	c.Assert(j.Ended, qt.IsFalse)
	c.Assert(j.Results, qt.HasLen, 1)
	c.Assert(j.Results[0].Item, qt.Equals, cs.ItemID("j-0"))
}

// Guards against 404 for an accepted job whose specification this VM cannot decode, and against dropping such a job from the
// tables when a snapshot brings what cannot be decoded in the place of its specification.
func TestUndecodableJobIsNotDenied(t *testing.T) {
	for name, snapshot := range map[string]bool{"read of changes": false, "snapshot": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			v := newVM("a")
			l := &jobLog{}
			submit(v, l, newJob("known", 1), 100, startTime)
			records := []gateway.JobRecord{{Offset: 1, Unreadable: "j"}, {Offset: 2, Unreadable: "known"}}
			now := startTime.Add(cs.Second)
			v.inbox = append(v.inbox, gateway.JobsRead{Snapshot: snapshot, From: 1, End: 3, Records: records},
				gateway.FeedRead{Feed: gateway.FeedJobs, Loaded: true, AsOf: now})
			v.tick(now)
			c.Assert(v.Jobs.Get("known"), qt.IsNotNil)
			v.inbox = append(v.inbox, gateway.ResultsRequested{Query: 1, Job: "j"}, gateway.ItemBodyRequested{Query: 2, Job: "j", Item: "i"},
				gateway.JobEndRequested{Query: 3, Job: "j"}, gateway.ItemBodyRequested{Query: 4, Job: "known", Item: "known-0"},
				gateway.ResultsRequested{Query: 5, Job: "none"})
			v.tick(now)
			c.Check(v.answers[1].(gateway.AnswerResults).Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
			c.Check(v.answers[2].(gateway.AnswerBody).Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
			c.Check(v.answers[3].(gateway.AnswerJob).Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
			c.Check(v.answers[4].(gateway.AnswerBody).Refusal == nil, qt.IsTrue)
			c.Check(v.answers[5].(gateway.AnswerResults).Refusal.Reason, qt.Equals, cs.ReasonNotFound)
			v.inbox = append(v.inbox, gateway.JobsRead{From: 3, End: 4, Records: []gateway.JobRecord{{Offset: 3, Change: gateway.JobRemoved{Job: "j"}}}},
				gateway.ResultsRequested{Query: 6, Job: "j"})
			v.tick(now)
			c.Check(v.answers[6].(gateway.AnswerResults).Refusal.Reason, qt.Equals, cs.ReasonNotFound)
		})
	}
}
