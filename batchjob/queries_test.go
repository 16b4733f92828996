package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// oldSnapshot delivers a snapshot of an empty log, which was sent at the given time and took long to read.
func (v *vm) oldSnapshot(sent cs.Instant) {
	v.inbox = append(v.inbox, gateway.JobsRead{Snapshot: true, From: cs.NoOffset}, gateway.FeedRead{
		Feed: gateway.FeedJobs, Loaded: true, AsOf: sent,
	})
}

// Guards against an accepted job that is reported as missing, because a read of the log that was sent before
// the job was accepted ends after its caller asked for it.
func TestReadSentBeforeAQueryDoesNotAnswerIt(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	a, b := newVM("a"), newVM("b")
	snapshotSent := startTime
	submit(a, l, newJob("j", 1), 1, startTime.Add(100))
	c.Assert(accepted(a, 1), qt.IsTrue)
	now := startTime.Add(7 * cs.Second)
	b.inbox = append(b.inbox, gateway.ResultsRequested{Query: 1, Job: "j", Until: now})
	b.tick(now)
	b.oldSnapshot(snapshotSent)
	now = now.Add(10)
	b.tick(now)
	c.Assert(b.answers, qt.HasLen, 0)
	b.readLog(l, now)
	b.tick(now.Add(10))
	c.Assert(b.answers[1].(gateway.AnswerResults).Refusal == nil, qt.IsTrue)
}

// Guards against an item of an accepted job that is reported as missing by a VM that has not read the job yet,
// because reads that were sent long ago, or that did not reach the end of the log, count as recent.
func TestItemBodyOfUnknownJobNeedsCurrentLog(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	a, b := newVM("a"), newVM("b")
	spec := newJob("j", 1)
	spec.Items[0].Body = []byte("body")
	submit(a, l, spec, 1, startTime.Add(100))
	now := startTime.Add(7 * cs.Second)
	b.oldSnapshot(startTime)
	b.inbox = append(b.inbox, gateway.FeedRead{Feed: gateway.FeedJobs})
	b.tick(now)
	b.inbox = append(b.inbox,
		gateway.ItemBodyRequested{Query: 1, Job: "j", Item: "j-0"}, gateway.ItemBodyRequested{Query: 2, Job: "k", Item: "k-0"})
	b.tick(now)
	c.Assert(b.answers, qt.HasLen, 0)
	b.readLog(l, now)
	b.tick(now.Add(10))
	c.Assert(string(b.answers[1].(gateway.AnswerBody).Body), qt.Equals, "body")
	c.Assert(b.answers[2].(gateway.AnswerBody).Refusal.Reason, qt.Equals, cs.ReasonNotFound)
	b.inbox = append(b.inbox, gateway.ItemBodyRequested{Query: 3, Job: "k", Item: "k-0"})
	b.tick(now.Add(20))
	b.tick(now.Add(2 * cs.Second))
	c.Assert(b.answers[3].(gateway.AnswerBody).Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
}

// Guards against a page without results from a VM that lags behind the log, for a position that a caller has
// read elsewhere: a read that did not reach the end of the log does not make the VM's view current. The query
// must wait for one that does, or else be told that the VM cannot tell.
func TestLaggingVMDoesNotSayThatThereIsNoResult(t *testing.T) {
	for name, answered := range map[string]bool{"log is read to its end": true, "log is not read to its end": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := &jobLog{}
			v := newVM("a")
			submit(v, l, newJob("j", 1), 1, startTime)
			v.readLog(l, startTime)
			v.tick(startTime)
			delete(v.answers, 1)
			now := startTime.Add(7 * cs.Second)
			v.inbox = append(v.inbox, gateway.FeedRead{Feed: gateway.FeedJobs}, gateway.ResultsRequested{Query: 2, Job: "j", Until: now})
			v.tick(now)
			c.Assert(v.answers, qt.HasLen, 0)
			v.inbox = append(v.inbox, gateway.FeedRead{Feed: gateway.FeedJobs})
			v.tick(now.Add(10))
			c.Assert(v.answers, qt.HasLen, 0)
			if answered {
				v.readLog(l, now)
				v.tick(now.Add(20))
			}
			v.tick(now.Add(cs.Second))
			refusal := v.answers[2].(gateway.AnswerResults).Refusal
			c.Assert(refusal == nil, qt.Equals, answered)
			if !answered {
				c.Assert(refusal.Reason, qt.Equals, cs.ReasonUnavailable)
			}
		})
	}
}

// Guards against an accepted job that cannot be ended through a VM that has not read it yet.
func TestEndOfUnknownJobNeedsCurrentLog(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	a, b := newVM("a"), newVM("b")
	submit(a, l, newJob("j", 1), 1, startTime.Add(100))
	now := startTime.Add(7 * cs.Second)
	b.oldSnapshot(startTime)
	b.inbox = append(b.inbox, gateway.JobEndRequested{Query: 1, Job: "j"}, gateway.JobEndRequested{Query: 2, Job: "k"})
	b.tick(now)
	c.Assert(b.answers, qt.HasLen, 0)
	b.readLog(l, now)
	now = now.Add(10)
	for range 3 {
		b.tick(now)
		b.completeAppends(l)
	}
	c.Assert(accepted(b, 1), qt.IsTrue)
	c.Assert(b.answers[2].(gateway.AnswerJob).Refusal.Reason, qt.Equals, cs.ReasonNotFound)
	b.inbox = append(b.inbox, gateway.JobEndRequested{Query: 3, Job: "k"})
	b.tick(now.Add(10))
	b.tick(now.Add(4 * cs.Second))
	c.Assert(b.answers[3].(gateway.AnswerJob).Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
}

// Guards against queries about unknown jobs that wait for the next poll of the job log, or until they are refused,
// because nobody asks for a read.
func TestUnknownJobRequestsRead(t *testing.T) {
	for _, e := range []gateway.Event{
		gateway.ResultsRequested{Query: 1, Job: "j"},
		gateway.ItemBodyRequested{Query: 1, Job: "j"},
		gateway.JobEndRequested{Query: 1, Job: "j"},
		gateway.JobSubmitted{Query: 1, Spec: newJob("j", 1)},
	} {
		c := qt.New(t)
		v := newVM("a")
		v.tick(startTime)
		v.inbox = append(v.inbox, e)
		v.tick(startTime.Add(10))
		c.Assert(v.readRequests, qt.Equals, 1, qt.Commentf("%T", e))
	}
}

// Guards against a request that waits for a read of the log and holds up the appends of others.
func TestWaitingEndDoesNotHoldUpAppends(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	v := newVM("a")
	v.inbox = append(v.inbox, gateway.JobEndRequested{Query: 1, Job: "unknown"})
	v.tick(startTime)
	submit(v, l, newJob("j", 1), 2, startTime.Add(10))
	c.Assert(accepted(v, 2), qt.IsTrue)
	v.tick(startTime.Add(900))
	c.Assert(v.answers[1].(gateway.AnswerJob).Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
}
