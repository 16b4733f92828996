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
