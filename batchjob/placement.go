package batchjob

import (
	"math"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Weights of runners of services whose requests are placed by their work.
const (
	// slotWeight is the weight of a runner at the mean of its service for each unit of its free slots. It makes the weights whole
	// numbers.
	slotWeight = 16
	// roomExponent is the power of the free slots by which runners are weighted: an item is stopped when the last free slot is taken
	// by an online request, so that it stays where several are free.
	roomExponent = 2.0
	// speedExponent is the power of the speed of a runner by which it is weighted.
	speedExponent = 2.0
)

// weighing weighs the runners for an item.
type weighing struct {
	t    *gateway.Tables
	item *gateway.Item
}

// weight returns the weight of a runner with free slots, or 0 if it has no room for the item. Without estimates of the service it is the
// number of the free slots.
func (w weighing) weight(r *gateway.Runner, free int, now cs.Instant) int {
	s := w.t.Costs.Service(r.Spec.Service)
	if s == nil {
		return free
	}
	if !r.HasMemory(w.t.Catalog.Groups[r.Spec.Service].Memory, w.item.Tokens, s.Held()) {
		return 0
	}
	return max(int(slotWeight*math.Pow(float64(free), roomExponent)/math.Pow(s.Slowness(&r.Cost, now), speedExponent)), 1)
}
