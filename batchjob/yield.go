package batchjob

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// unservedTimeout is how long a VM keeps partitions that it cannot serve: longer than the platform's store usually takes to
	// recover, and shorter than items may take.
	unservedTimeout = 8 * cs.Second
	// probeDelay is the time of refusals after which a fence tells whether the store refuses a change or the VM.
	probeDelay = 4 * cs.Second
	// rejoinDelay is how long a VM must be able to serve partitions again before it takes any.
	rejoinDelay = 2 * cs.Second
	// maxYieldTime is how long a VM that has nothing to append, and so cannot tell whether it could, takes no partitions.
	maxYieldTime = 20 * cs.Second
)

// YieldPartitions gives up the partitions of a VM that cannot serve them although its membership is renewed, so that other VMs run
// their items and list the results: one that has no current view of the job log, or whose appends fail while others append.
func YieldPartitions(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	if t.Drain.Phase != fleet.DrainNone {
		return
	}
	switch t.JobLog.Role {
	case gateway.JobLogFollower:
		yieldIfUnserved(t, now, out)
	case gateway.JobLogReader:
		rejoinIfServable(t, now, out)
	case gateway.JobLogResigning, gateway.JobLogNone:
	}
}

func yieldIfUnserved(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	p, l := &t.Partitions, &t.JobLog
	isMember := len(p.Owned) > 0 && now.Sub(p.RenewedAt) <= membershipTimeout && !t.StoreUnavailable()
	if !isMember || hasCurrentLog(t, now) {
		p.UnservedSince = 0
	} else if p.UnservedSince == 0 {
		p.UnservedSince = now
	}
	appendsFail := isMember && l.OvertakenSince != 0 && now.Sub(l.OvertakenSince) >= unservedTimeout
	if !appendsFail && (p.UnservedSince == 0 || now.Sub(p.UnservedSince) < unservedTimeout) {
		return
	}
	p.UnservedSince, p.YieldedAt, p.ServableSince = 0, now, 0
	setRole(t, gateway.JobLogReader, out)
}

// rejoinIfServable takes part in the batch work again after rejoinDelay with a current view of the log. Changes that wait to be
// appended must have got through.
func rejoinIfServable(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	p, l := &t.Partitions, &t.JobLog
	mayAppend := l.Failures == 0 || !t.HasPendingChanges() && now.Sub(p.YieldedAt) >= maxYieldTime
	if !mayAppend || !hasCurrentLog(t, now) {
		p.ServableSince = 0
		return
	}
	if p.ServableSince == 0 {
		p.ServableSince = now
	}
	if now.Sub(p.ServableSince) < rejoinDelay {
		out.WakeAt(p.ServableSince.Add(rejoinDelay))
		return
	}
	endFailures(l)
	setRole(t, gateway.JobLogFollower, out)
}

// hasCurrentLog reports whether this VM has read the job log so lately that it may run items of it.
func hasCurrentLog(t *gateway.Tables, now cs.Instant) bool {
	return t.JobLog.Synced && t.Feeds[gateway.FeedJobs].Age(now) <= maxLogAge
}

// noteOvertaken records since when the log has grown although the appends of this VM fail.
func noteOvertaken(l *gateway.JobLog, now cs.Instant) {
	if l.OvertakenSince == 0 && l.Failures > 0 && l.End > l.FailingEnd {
		l.OvertakenSince = now
	}
}

// endFailures records that the store accepts the appends of this VM.
func endFailures(l *gateway.JobLog) { l.Failures, l.OvertakenSince = 0, 0 }
