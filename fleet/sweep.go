package fleet

import cs "github.com/crocusstile/crocusstile"

// MinSweepInterval is the minimum time between two sweeps over a table.
const MinSweepInterval = 100 * cs.Millisecond

// Sweep schedules the sweeps over a whole table. They are rate limited, so that the cost of a tick
// depends on its events and not on the size of the table.
type Sweep struct {
	// Due is when the next sweep is due; 0 if none is scheduled.
	Due cs.Instant
	// Last is when the last sweep began.
	Last cs.Instant
}

// ScheduleAt schedules a sweep at the given instant, or MinSweepInterval after the last one if
// that is later. An earlier scheduled sweep stays.
func (s *Sweep) ScheduleAt(at cs.Instant) {
	at = max(at, s.Last.Add(MinSweepInterval))
	if s.Due == 0 || at < s.Due {
		s.Due = at
	}
}

// Begin reports whether a sweep is due and, if so, clears its schedule. If a sweep is scheduled for
// later, it requests a tick at that time.
func (s *Sweep) Begin(now cs.Instant, out *Actions) bool {
	if s.Due == 0 {
		return false
	}
	if now < s.Due {
		out.WakeAt(s.Due)
		return false
	}
	s.Due, s.Last = 0, now
	return true
}
