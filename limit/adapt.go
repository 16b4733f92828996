package limit

import (
	"math"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// adaptEvery is the time between two changes of a batch limit.
	adaptEvery = 100 * cs.Millisecond
	// rampSteps is the number of increases from nothing to all slots: they take less than a second.
	rampSteps = 8
	// decrease is the factor applied to the limit when online requests are too slow.
	decrease = 0.7
	// settling is the time for which a new batch sender keeps to one slot, since the former one
	// may still run items.
	settling = 3 * cs.Second
	// headroomShare is the share of slots left free at weight 1.
	headroomShare = 0.05
	// freshSample is the age up to which an average counts against the limit. Without online
	// requests there is nobody to protect, and the average cannot recover.
	freshSample = cs.Second
)

// Adapt sets the batch limit of each runner of which this VM is the batch sender: additive increase
// while first tokens and gaps are within bounds, multiplicative decrease otherwise.
func Adapt(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	list, _ := Sending(t, now)
	for _, id := range list {
		r := t.Runners.Get(id)
		if r == nil || r.Sender != t.Self.ID {
			continue
		}
		if now.Sub(r.LimitAt) >= adaptEvery {
			adapt(t, r, now)
		}
		if r.Batch > 0 && r.BatchLimit < float64(Slots(r)) {
			out.WakeAt(r.LimitAt.Add(adaptEvery))
		}
	}
}

func adapt(t *fleet.Tables, r *fleet.Runner, now cs.Instant) {
	steps := float64(now.Sub(r.LimitAt) / adaptEvery)
	r.LimitAt = now
	slots := float64(Slots(r))
	switch {
	case t.Config.Policy.NoClasses:
		r.BatchLimit = slots
	case now.Sub(r.SenderSince) < settling:
		r.BatchLimit = 1
	case now < r.YieldUntil:
	case r.SampledAt > r.SlowAt && tooSlow(t.Config, r, now):
		// Each slow sample counts once: until the next one comes, nothing new is known.
		r.SlowAt = r.SampledAt
		r.BatchLimit = max(r.BatchLimit*decrease, 1)
	default:
		r.BatchLimit = min(max(r.BatchLimit, 1)+steps*max(slots/rampSteps, 1), slots)
	}
}

// tooSlow reports whether online requests are slower than the targets allow, or have grown over
// what they take without batch by more than the weight allows.
func tooSlow(c fleet.Config, r *fleet.Runner, now cs.Instant) bool {
	if now.Sub(r.SampledAt) > freshSample {
		return false
	}
	w := float64(c.Weight)
	// The averages stand for 95th percentiles, so that the bound lies below the target: at 0.8 of
	// it for throughput first and at 0.5 of it for latency first.
	share := 0.8 - 0.3*w
	// Growth is allowed up to 2 for throughput first and up to 1.15 for latency first.
	growth := 2 - 0.85*w
	return exceeds(r.FirstToken, share*float64(c.FirstToken), growth*r.BaseFirstToken) ||
		exceeds(r.Gap, share*float64(c.TokenGap), growth*r.BaseGap)
}

// exceeds reports whether x is above the target's bound, or above the base's where there is one.
func exceeds(x, target, base float64) bool {
	return x > target || base > 0 && x > base
}

// Headroom returns the slots of a runner that batch leaves free for the next online request.
func Headroom(c fleet.Config, r *fleet.Runner, online cs.Slots) cs.Slots {
	if c.Policy.NoClasses {
		return 0
	}
	w := float64(c.Weight)
	room := cs.Slots(math.Ceil(w * headroomShare * float64(Slots(r))))
	if w >= 0.5 {
		return max(room, 1)
	}
	if online == 0 {
		return 0
	}
	return room
}
