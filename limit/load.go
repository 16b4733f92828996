package limit

import (
	"math"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = cs.Second
	// reportDelay is the age assumed of a load report whose own time cannot be true.
	reportDelay = 200 * cs.Millisecond
	// longestDelay is the greatest age of a load report that is believed, and the time for which
	// changes are kept to correct it.
	longestDelay = cs.Second
	// transit bounds the time for which a request is under way between VM and runner.
	transit = 5 * cs.Millisecond
	// claimed is the time for which a load may lack a request that a peer has announced. The
	// announcement and the load come on other ways than the request and may overtake it.
	claimed = 30 * cs.Millisecond
	// maxChanges bounds the changes that are kept while no load comes.
	maxChanges = 256
)

// Age returns the weight of information of the given age, from 1 down to 0.
func Age(age cs.Span) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(reportHalfLife))
}

// Reported returns the newest load that the runner told and the time that it describes. A report that
// comes after an answer may still be older than it.
func Reported(r *fleet.Runner) (cs.Load, cs.Instant) {
	if told := r.ReportAt.Add(-r.ReportLag); r.AnswerAt <= told {
		return r.Report.Load, told
	}
	return r.Answer, r.AnswerAt
}

// Slots returns the number of requests the runner runs at once, at least 1.
func Slots(r *fleet.Runner) cs.Slots {
	if r.Slots > 0 {
		return r.Slots
	}
	return max(r.Report.Slots, 1)
}

// Occupy adds to this VM's requests of a class on the runner; by is negative when one ends.
func Occupy(r *fleet.Runner, class cs.Class, by cs.Slots, now cs.Instant) {
	count := &r.Online
	if class == cs.Batch {
		count = &r.Batch
	}
	*count = max(*count+by, 0)
	if len(r.Changes) < maxChanges {
		r.Changes = append(r.Changes, fleet.LoadChange{At: now, Class: class, By: by})
	}
}

// renewed notes what this VM ran on the runner at the time of a new load that is lag old, and drops
// the claims that the load contains.
func renewed(r *fleet.Runner, lag cs.Span, now cs.Instant) {
	r.LoadOnline, r.LoadBatch = r.Online, r.Batch
	for _, c := range r.Changes {
		// A start is known here before it reaches the runner, and an end after it.
		slack := transit
		if c.By < 0 {
			slack = -transit
		}
		switch {
		case now.Sub(c.At) > lag+slack:
		case c.Class == cs.Batch:
			r.LoadBatch -= c.By
		default:
			r.LoadOnline -= c.By
		}
	}
	r.Changes = slices.DeleteFunc(r.Changes, func(c fleet.LoadChange) bool { return now.Sub(c.At) > longestDelay })
	r.Claims = slices.DeleteFunc(r.Claims, func(at cs.Instant) bool { return now.Sub(at) > lag+claimed })
}

// Online estimates the online requests on the runner, of this VM and of others.
//
// It leaves the runner's report out: engines do not know the class of a request, and a slot that
// batch holds must never make an online request wait.
func Online(r *fleet.Runner) cs.Slots { return r.Online + r.Peers }

// Needed estimates the slots that online requests need on a runner of which this VM is the batch
// sender, so that what others run there can be told from its own batch runs.
func Needed(r *fleet.Runner, now cs.Instant) cs.Slots {
	load, at := Reported(r)
	others := float64(load.Running+load.Waiting-r.LoadOnline-r.LoadBatch) * Age(now.Sub(at))
	claims := cs.Slots(len(r.Claims))
	told := claims + max(cs.Slots(math.Round(others)), 0)
	if now.Sub(at) > reportHalfLife {
		told = max(told, r.Peers)
	}
	return r.Online + told
}

// Total estimates all requests on the runner, batch included.
//
// Own dispatches since the report are added to it, and it fades with its age into what this VM and
// its peers know themselves.
func Total(r *fleet.Runner, now cs.Instant) float64 {
	_, at := Reported(r)
	w := Age(now.Sub(at))
	known := float64(Online(r) + r.Batch)
	return max(known, w*float64(Told(r))+(1-w)*known)
}

// Told returns the newest load that the runner told, whatever its age, corrected by what this VM has
// started and ended there since.
func Told(r *fleet.Runner) cs.Slots {
	load, _ := Reported(r)
	return load.Running + load.Waiting + r.Online - r.LoadOnline + r.Batch - r.LoadBatch
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
