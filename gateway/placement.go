package gateway

import cs "github.com/crocusstile/crocusstile"

// PlacementCandidate is a runner as the choice for a request or an item sees it.
type PlacementCandidate struct {
	Runner     cs.RunnerID
	DataCentre cs.DataCentreID
	Load       cs.Slots
	Slots      cs.Slots
	// Excluded is why the runner is not chosen whatever its cost, or empty.
	Excluded string
	// Cost is the cost of the runner for a request, of which the lowest is chosen, with the mean of the random part. For an item it is
	// the negative of the weight in the random choice.
	Cost float64
	// Pace and Excess are the time of an event as a multiple of the mean of the service and what the figure of the machine adds to
	// that, and Read is the number of prompt tokens to read.
	Pace, Excess float64
	Read         cs.Tokens
}

// Compare orders candidates by their cost, those that are excluded last.
func (c PlacementCandidate) Compare(other PlacementCandidate) int {
	switch a, b := c.Excluded != "", other.Excluded != ""; {
	case a != b && b, a == b && c.Cost < other.Cost:
		return -1
	case a != b, c.Cost > other.Cost:
		return 1
	default:
		return 0
	}
}
