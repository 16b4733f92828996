package bulk

import (
	"cmp"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// paceWeight is the weight of a new run in the moving averages of the pace.
const paceSmoothing = 0.1

// leastLeft is the share of a usual output that an item is assumed to lack however far it has come.
const minRemainingShare = 0.1

// observe takes a run's pace into account: the events that it brought, and those of the whole output
// if it ended that.
func updatePace(p *gateway.Pace, took cs.Span, events cs.EventID, wholeEvents cs.EventID) {
	if events > 0 {
		p.Gap += paceSmoothing * (float64(took)/float64(events) - p.Gap)
	}
	if wholeEvents > 0 {
		p.Events += paceSmoothing * (float64(wholeEvents) - p.Events)
	}
}

// left estimates the time that an item still has to run.
func remainingTime(t *gateway.Tables, w *gateway.Work) cs.Span {
	events := max(t.Pace.Events-float64(w.LastEvent), minRemainingShare*t.Pace.Events)
	return cs.Span(events * t.Pace.Gap)
}

// urgency ranks an item among others. Items that can be in time come first, those due first before
// others; in a backlog those that will be late anyway must not make the rest late.
type urgency struct {
	late    bool
	dueTime cs.Instant
}

func urgencyOf(t *gateway.Tables, j *gateway.Job, w *gateway.Work, now cs.Instant) urgency {
	dueTime := dueTime(t, j)
	return urgency{late: now.Add(remainingTime(t, w)) > dueTime, dueTime: dueTime}
}

// compare orders the more urgent before the less urgent.
func (u urgency) compareTo(other urgency) int {
	if u.late != other.late {
		if other.late {
			return -1
		}
		return 1
	}
	return cmp.Compare(u.dueTime, other.dueTime)
}
