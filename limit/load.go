package limit

import (
	"math"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// reportHalfLife is the age at which the weight of a load report has fallen to one half.
	reportHalfLife = cs.Second
	// assumedReportLag is the lag used for a load report whose timestamp is implausible.
	assumedReportLag = 200 * cs.Millisecond
	// maxReportLag is the greatest plausible lag, the age of a load report on arrival. Changes of this
	// VM's own requests are kept for as long, to correct the report for them.
	maxReportLag = cs.Second
	// maxTransit bounds the network delay of a request between VM and runner.
	maxTransit = 5 * cs.Millisecond
	// announceGrace is the time for which a load may not yet include an online request that a peer has
	// announced. The announcement and the load arrive on different connections than the request and
	// may overtake it.
	announceGrace = 30 * cs.Millisecond
	// maxLoadChanges bounds the changes kept for a runner that reports no load.
	maxLoadChanges = 256
)

// AgeWeight returns the weight of information of the given age: 1 when new, halved every
// reportHalfLife.
func AgeWeight(age cs.Span) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(reportHalfLife))
}

// LatestLoad returns the latest known load of the runner and the time it describes. A report can
// arrive after a response to a run and still describe an earlier time.
func LatestLoad(r *fleet.Runner) (cs.Load, cs.Instant) {
	if reportedAt := r.ReportAt.Add(-r.ReportLag); r.ResponseLoadAt <= reportedAt {
		return r.Report.Load, reportedAt
	}
	return r.ResponseLoad, r.ResponseLoadAt
}

// Slots returns the number of requests that the runner executes concurrently, at least 1.
func Slots(r *fleet.Runner) cs.Slots {
	if r.Slots > 0 {
		return r.Slots
	}
	return max(r.Report.Slots, 1)
}

// AddInFlight changes the number of this VM's in-flight requests of a class on the runner by delta,
// which is negative when a request ends.
func AddInFlight(r *fleet.Runner, class cs.Class, delta cs.Slots, now cs.Instant) {
	count := &r.Online
	if class == cs.Batch {
		count = &r.Batch
	}
	*count = max(*count+delta, 0)
	if len(r.Changes) < maxLoadChanges {
		r.Changes = append(r.Changes, fleet.LoadChange{At: now, Class: class, By: delta})
	}
}

// rebaseLoad records how many requests this VM had on the runner at the time that a new load
// describes, which is lag before now, and removes the announced requests that the load already
// includes.
func rebaseLoad(r *fleet.Runner, lag cs.Span, now cs.Instant) {
	r.LoadOnline, r.LoadBatch = r.Online, r.Batch
	for _, c := range r.Changes {
		// This VM knows of a start before the request reaches the runner, and of an end after the
		// runner has finished.
		slack := maxTransit
		if c.By < 0 {
			slack = -maxTransit
		}
		switch {
		case now.Sub(c.At) > lag+slack:
		case c.Class == cs.Batch:
			r.LoadBatch -= c.By
		default:
			r.LoadOnline -= c.By
		}
	}
	r.Changes = slices.DeleteFunc(r.Changes, func(c fleet.LoadChange) bool { return now.Sub(c.At) > maxReportLag })
	r.AnnouncedOnline = slices.DeleteFunc(r.AnnouncedOnline, func(at cs.Instant) bool { return now.Sub(at) > lag+announceGrace })
}

// Online estimates the online requests on the runner, those of this VM and of its peers.
//
// It ignores the runner's load report: engines don't know the class of a request, and an online
// request must never wait for a slot that batch holds.
func Online(r *fleet.Runner) cs.Slots { return r.Online + r.PeerOnline }

// OnlineDemand estimates the slots that online requests need on a runner for which this VM is the
// batch sender. As batch sender it knows all batch runs there, so the rest of the reported load is
// online requests of peers.
func OnlineDemand(r *fleet.Runner, now cs.Instant) cs.Slots {
	load, at := LatestLoad(r)
	reported := float64(load.Running+load.Waiting-r.LoadOnline-r.LoadBatch) * AgeWeight(now.Sub(at))
	announced := cs.Slots(len(r.AnnouncedOnline))
	peerDemand := announced + max(cs.Slots(math.Round(reported)), 0)
	if now.Sub(at) > reportHalfLife {
		peerDemand = max(peerDemand, r.PeerOnline)
	}
	return r.Online + peerDemand
}

// EstimatedRequests estimates all requests on the runner, batch included.
//
// The reported load is corrected by this VM's own changes since. As the report ages, the estimate
// moves to what this VM and its peers know themselves.
func EstimatedRequests(r *fleet.Runner, now cs.Instant) float64 {
	_, at := LatestLoad(r)
	weight := AgeWeight(now.Sub(at))
	known := float64(Online(r) + r.Batch)
	return max(known, weight*float64(ReportedRequests(r))+(1-weight)*known)
}

// ReportedRequests returns the latest load of the runner regardless of its age, corrected by what
// this VM has started and ended there since.
func ReportedRequests(r *fleet.Runner) cs.Slots {
	load, _ := LatestLoad(r)
	return load.Running + load.Waiting + r.Online - r.LoadOnline + r.Batch - r.LoadBatch
}

// Usable reports whether the runner takes new online requests: it is not down, leaving or ejected.
// After an ejection it takes one trial request at a time until one succeeds within the usual time.
func Usable(r *fleet.Runner, now cs.Instant) bool {
	return Available(r) && now >= r.EjectedUntil && (r.Ejections == 0 || r.Online == 0)
}

// Available reports whether the runner is reachable and not leaving.
func Available(r *fleet.Runner) bool {
	return r.DownSince == 0 && !r.Leaving && !r.Report.Leaving
}
