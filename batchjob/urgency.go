package batchjob

import (
	"cmp"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// paceWeight is the weight of a new run in the exponential moving averages of the pace.
const paceWeight = 0.1

// minRemainingRatio is the least share of an average output that an item is assumed to have left, however
// many events it has produced.
const minRemainingRatio = 0.1

// updatePace updates the moving averages of the pace with a run: the time and number of its events, and
// the total number of events of the output if the run completed it.
func updatePace(p *gateway.Pace, duration cs.Span, events cs.EventID, totalEvents cs.EventID) {
	if events > 0 {
		p.EventIntervalMs += paceWeight * (float64(duration)/float64(events) - p.EventIntervalMs)
	}
	if totalEvents > 0 {
		p.EventsPerOutput += paceWeight * (float64(totalEvents) - p.EventsPerOutput)
	}
}

// remainingTime estimates how long an item still has to run.
func remainingTime(t *gateway.Tables, w *gateway.ItemWork) cs.Span {
	events := max(t.Pace.EventsPerOutput-float64(w.LastEvent), minRemainingRatio*t.Pace.EventsPerOutput)
	return cs.Span(events * t.Pace.EventIntervalMs)
}

// urgency ranks an item among others. Items that can still meet their due time precede those that will be
// late anyway, so that in a backlog the late items do not delay the rest. Within both groups the earliest
// due time comes first.
type urgency struct {
	late    bool
	dueTime cs.Instant
}

// urgencyOf returns the urgency of an item, with its remaining time estimated from the pace of past runs.
func urgencyOf(t *gateway.Tables, j *gateway.Job, w *gateway.ItemWork, now cs.Instant) urgency {
	dueTime := dueTime(t, j)
	return urgency{late: now.Add(remainingTime(t, w)) > dueTime, dueTime: dueTime}
}

// compareTo returns a negative number if u is more urgent than other, and a positive one if it is less.
func (u urgency) compareTo(other urgency) int {
	if u.late != other.late {
		if other.late {
			return -1
		}
		return 1
	}
	return cmp.Compare(u.dueTime, other.dueTime)
}
