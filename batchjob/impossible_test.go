package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// largeJob returns a job with one item whose body has n bytes.
func largeJob(id cs.JobID, n int) gateway.JobSpec {
	s := newJob(id, 1)
	s.Items[0].Body = make([]byte, n)
	return s
}

// Guards against a job that no append can hold: it was sent, and sent again for good.
func TestJobLargerThanAppendIsRefused(t *testing.T) {
	c := qt.New(t)
	v := newVM("a")
	v.inbox = append(v.inbox, gateway.JobSubmitted{Query: 1, Spec: largeJob("large", 1<<20)}, gateway.JobSubmitted{Query: 2, Spec: largeJob("fits", 1<<20-8<<10)})
	v.tick(startTime)
	c.Assert(v.answers[1], qt.IsNotNil)
	refusal := v.answers[1].(gateway.AnswerJob).Refusal
	c.Assert(refusal.Ran, qt.Equals, cs.RanNotRun)
	c.Assert(refusal.Reason, qt.Equals, cs.ReasonUnavailable)
	c.Assert(v.appends, qt.HasLen, 1)
	c.Assert(v.appends[0].Changes, qt.HasLen, 1)
}

// Guards against an append that the store will always refuse and that holds back all others for good after an attempt without an
// answer. Its caller must get a true answer, and all other changes must reach the log.
func TestAppendThatIsNeverAcceptedEnds(t *testing.T) {
	for name, unknownFirst := range map[string]bool{"at once": false, "after an attempt without an answer": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := &jobLog{}
			v := newVM("a")
			for i, id := range []cs.JobID{"j1", "bad", "j2"} {
				v.inbox = append(v.inbox, gateway.JobSubmitted{Query: gateway.QueryID(i + 1), Spec: newJob(id, 2)})
			}
			now := startTime
			for range 200 {
				v.tick(now)
				for _, a := range v.appends {
					outcome := l.appendUnless(a, "bad")
					if _, invalid := outcome.(gateway.AppendInvalid); invalid && unknownFirst {
						outcome, unknownFirst = gateway.AppendUnknown{}, false
					}
					v.inbox = append(v.inbox, gateway.JobsAppended{Number: a.AppendID.Number, Outcome: outcome})
				}
				v.appends = nil
				v.completeAppends(l) // the fences
				now = now.Add(50)
				v.readLog(l, now)
			}
			c.Check(accepted(v, 1), qt.IsTrue)
			c.Check(accepted(v, 3), qt.IsTrue)
			bad := v.answers[2].(gateway.AnswerJob)
			c.Assert(bad.Refusal, qt.IsNotNil)
			c.Check(bad.Refusal.Ran, qt.Equals, cs.RanNotRun)
			c.Check(l.changes(), qt.HasLen, 2)
			c.Check(v.JobLog.InFlight, qt.IsNil)
			submit(v, l, newJob("later", 1), 9, now)
			c.Check(accepted(v, 9), qt.IsTrue)
		})
	}
}

// appendUnless applies an append unless it opens a job, which the store would never accept.
func (l *jobLog) appendUnless(a gateway.AppendJobs, id cs.JobID) gateway.AppendOutcome {
	for _, c := range a.Changes {
		if opened, ok := c.(gateway.JobOpened); ok && opened.Spec.ID == id {
			return gateway.AppendInvalid{Reason: "status 413"}
		}
	}
	return l.append(a)
}
