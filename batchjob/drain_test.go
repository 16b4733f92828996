package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Times of a drain with a grace period of 8 s.
const (
	drainGrace = 8 * cs.Second
	// noticed is when the platform has noticed that a VM is not ready, and stopped when no work may be left.
	noticed = 4100 * cs.Millisecond
	stopped = drainGrace - 500*cs.Millisecond
)

// newDrainingVM returns a VM with an open job "j", submitted by query 1, that was requested to drain at startTime. A request
// in flight keeps it from exiting early.
func newDrainingVM(l *jobLog) *vm {
	v := newVM("a", 0, 1, 2, 3)
	v.Config.Grace = drainGrace
	submit(v, l, newJob("j", 1), 1, startTime)
	v.Forwards.Insert(1, gateway.Forward{ID: 1, Phase: gateway.ForwardRunning, Deadline: startTime.Add(cs.Minute)})
	v.inbox = append(v.inbox, gateway.DrainRequested{})
	v.readLog(l, startTime)
	v.tick(startTime)
	return v
}

// Guards against a query for results that waits until the process exits, and gets no answer.
func TestWaitingQueryIsAnsweredInDrain(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	v := newDrainingVM(l)
	now := startTime.Add(3900)
	v.readLog(l, now)
	v.inbox = append(v.inbox, gateway.ResultsRequested{Query: 2, Job: "j", Until: now.Add(5 * cs.Second)})
	v.tick(now)
	c.Assert(v.answers[2], qt.IsNil)
	now = startTime.Add(noticed)
	v.readLog(l, now)
	v.tick(now)
	c.Assert(v.answers[2], qt.Not(qt.IsNil))
	c.Assert(v.answers[2].(gateway.AnswerResults).Refusal == nil, qt.IsTrue)
}

// Guards against queries that wait for a read of the job log until the process exits, and get no answer.
func TestQueriesAreRefusedBeforeExit(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	v := newDrainingVM(l)
	v.tick(startTime.Add(noticed))
	v.inbox = append(v.inbox, gateway.ResultsRequested{Query: 2, Job: "none"}, gateway.ItemBodyRequested{Query: 3, Job: "none"},
		gateway.ResultsRequested{Query: 4, Job: "j"})
	v.tick(startTime.Add(stopped - 300))
	c.Assert(v.answers[2], qt.IsNil)
	v.tick(startTime.Add(stopped))
	c.Assert(v.answers[2], qt.Not(qt.IsNil))
	c.Assert(v.answers[2].(gateway.AnswerResults).Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
	c.Assert(v.answers[3].(gateway.AnswerBody).Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
	c.Assert(v.answers[4].(gateway.AnswerResults).Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
}

// Guards against jobs whose callers get no answer, since the job log does not answer before the process exits. A caller must
// not be told that a job was not accepted that may be in the log.
func TestSubmissionsAreAnsweredBeforeExit(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	v := newDrainingVM(l)
	v.tick(startTime.Add(noticed))
	v.appends = nil
	v.inbox = append(v.inbox, gateway.JobSubmitted{Query: 2, Spec: newJob("sent", 1)})
	v.tick(startTime.Add(stopped - 300))
	c.Assert(v.appends, qt.HasLen, 1)
	v.inbox = append(v.inbox, gateway.JobSubmitted{Query: 3, Spec: newJob("waiting", 1)})
	v.tick(startTime.Add(stopped - 200))
	v.tick(startTime.Add(stopped))
	c.Assert(v.answers[2], qt.Not(qt.IsNil))
	c.Assert(v.answers[2].(gateway.AnswerJob).Refusal.Ran, qt.Equals, cs.RanUnknown)
	c.Assert(v.answers[3].(gateway.AnswerJob).Refusal.Ran, qt.Equals, cs.RanNotRun)
	delete(v.answers, 2)
	v.completeAppends(l)
	v.inbox = append(v.inbox, gateway.JobSubmitted{Query: 4, Spec: newJob("late", 1)})
	v.tick(startTime.Add(stopped + 20))
	c.Assert(v.answers[2], qt.IsNil, qt.Commentf("answered twice"))
	c.Assert(v.answers[4].(gateway.AnswerJob).Refusal.Ran, qt.Equals, cs.RanNotRun)
	c.Assert(v.appends, qt.HasLen, 0)
}
