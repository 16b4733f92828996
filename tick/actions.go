package tick

import cs "github.com/crocusstile/crocusstile"

// Actions collects the actions that systems request during a tick, to be carried out when the systems
// have run, and the time of the next tick that they request.
type Actions[A any] struct {
	List   []A
	wakeAt cs.Instant
}

// Add appends an action to the list.
func (a *Actions[A]) Add(action A) { a.List = append(a.List, action) }

// WakeAt requests that the next tick run no later than the given instant. Of several requests in a
// tick the earliest counts.
func (a *Actions[A]) WakeAt(at cs.Instant) {
	if a.wakeAt == 0 || at < a.wakeAt {
		a.wakeAt = at
	}
}

// NextWake returns the earliest instant requested with WakeAt, or 0 if there was no request.
func (a *Actions[A]) NextWake() cs.Instant { return a.wakeAt }

// Reset clears the actions and the wake time before the next tick and keeps the capacity of the list.
func (a *Actions[A]) Reset() {
	clear(a.List)
	a.List = a.List[:0]
	a.wakeAt = 0
}
