package fleet

import cs "github.com/crocusstile/crocusstile"

// SweepEvery is the shortest time between two sweeps over a table.
const SweepEvery = 100 * cs.Millisecond

// Sweep times the walks over a table, so that the cost of a tick follows its events.
type Sweep struct {
	// Due is when the next sweep is due; 0 if none is.
	Due cs.Instant
	// Last is when the last sweep was.
	Last cs.Instant
}

// At asks for a sweep at the latest at the given instant, but not within SweepEvery of the last.
func (s *Sweep) At(at cs.Instant) {
	at = max(at, s.Last.Add(SweepEvery))
	if s.Due == 0 || at < s.Due {
		s.Due = at
	}
}

// Begin reports whether a sweep is due, and counts it as done. Otherwise it asks for a tick when it
// will be due.
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
