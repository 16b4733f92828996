package bulk

import (
	"cmp"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// paceWeight is the weight of a new run in the moving averages of the pace.
const paceWeight = 0.1

// leastLeft is the share of a usual output that an item is assumed to lack however far it has come.
const leastLeft = 0.1

// observe takes a run's pace into account: the events that it brought, and those of the whole output
// if it ended that.
func observe(p *gateway.Pace, took cs.Span, events cs.EventID, whole cs.EventID) {
	if events > 0 {
		p.Gap += paceWeight * (float64(took)/float64(events) - p.Gap)
	}
	if whole > 0 {
		p.Events += paceWeight * (float64(whole) - p.Events)
	}
}

// left estimates the time that an item still has to run.
func left(t *gateway.Tables, w *gateway.Work) cs.Span {
	events := max(t.Pace.Events-float64(w.LastEvent), leastLeft*t.Pace.Events)
	return cs.Span(events * t.Pace.Gap)
}

// urgency ranks an item among others. Items that can be in time come first, those due first before
// others; in a backlog those that will be late anyway must not make the rest late.
type urgency struct {
	late bool
	due  cs.Instant
}

func urgencyOf(t *gateway.Tables, j *gateway.Job, w *gateway.Work, now cs.Instant) urgency {
	due := due(t, j)
	return urgency{late: now.Add(left(t, w)) > due, due: due}
}

// compare orders the more urgent before the less urgent.
func (u urgency) compare(o urgency) int {
	if u.late != o.late {
		if o.late {
			return -1
		}
		return 1
	}
	return cmp.Compare(u.due, o.due)
}
