package limit

import (
	"math"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = cs.Second
	// reportDelay is the time for which a runner's load may lack a request that was sent to it.
	reportDelay = 200 * cs.Millisecond
)

// Age returns the weight of information of the given age, from 1 down to 0.
func Age(age cs.Span) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(reportHalfLife))
}

// reported returns the newest load that the runner told and when it came.
func reported(r *fleet.Runner) (cs.Load, cs.Instant) {
	if r.AnswerAt > r.ReportAt {
		return r.Answer, r.AnswerAt
	}
	return r.Report.Load, r.ReportAt
}

// Slots returns the number of requests the runner runs at once, at least 1.
func Slots(r *fleet.Runner) cs.Slots {
	if r.Slots > 0 {
		return r.Slots
	}
	return max(r.Report.Slots, 1)
}

// Online estimates the online requests on the runner, of this VM and of others.
//
// It leaves the runner's report out: engines do not know the class of a request, and a slot that
// batch holds must never make an online request wait.
func Online(r *fleet.Runner) cs.Slots { return r.Online + r.Peers }

// Needed estimates the slots that online requests need on a runner of which this VM is the batch
// sender, so that what others run there can be told from its own batch runs.
func Needed(r *fleet.Runner, now cs.Instant) cs.Slots {
	load, at := reported(r)
	others := float64(load.Running+load.Waiting-r.LoadOnline-r.LoadBatch) * Age(now.Sub(at))
	claims := cs.Slots(len(r.Claims))
	return r.Online + max(r.Peers, claims+max(cs.Slots(math.Round(others)), 0))
}

// Total estimates all requests on the runner, batch included.
//
// Own dispatches since the report are added to it, and it fades with its age into what this VM and
// its peers know themselves.
func Total(r *fleet.Runner, now cs.Instant) float64 {
	load, at := reported(r)
	w := Age(now.Sub(at))
	told := float64(load.Running + load.Waiting + r.Online - r.LoadOnline + r.Batch - r.LoadBatch)
	known := float64(Online(r) + r.Batch)
	return max(known, w*told+(1-w)*known)
}

// Usable reports whether the runner takes new work: it is neither down nor leaving nor ejected.
// After an ejection one request at a time tries the runner until one succeeds in good time.
func Usable(r *fleet.Runner, now cs.Instant) bool {
	return Up(r) && now >= r.EjectedUntil && (r.Ejections == 0 || r.Online == 0)
}

// Up reports whether the runner answers and is not leaving.
func Up(r *fleet.Runner) bool {
	return r.DownSince == 0 && !r.Leaving && !r.Report.Leaving
}
