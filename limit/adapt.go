package limit

import (
	"math"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// adaptInterval is the time between two changes of a runner's batch limit.
	adaptInterval = 100 * cs.Millisecond
	// rampUpSteps is the number of additive increases from zero to all slots of a runner. With
	// adaptInterval it lets batch reach full capacity in less than a second.
	rampUpSteps = 8
	// decreaseFactor is the multiplicative decrease of the limit when online requests are too slow.
	decreaseFactor = 0.7
	// newSenderHold is the time for which a new batch sender is limited to one slot, since the
	// previous sender may still have items running on the runner.
	newSenderHold = 3 * cs.Second
	// headroomShare is the share of a runner's slots kept free of batch at latency weight 1.
	headroomShare = 0.05
	// maxSampleAge is the age up to which a latency average can lower the limit. Without online
	// requests there is no latency to protect, and no samples by which the average could recover.
	maxSampleAge = cs.Second
)

// Adapt sets the batch limit of each runner for which this VM is the batch sender: additive
// increase while first-token times and token gaps are within bounds, multiplicative decrease
// otherwise.
func Adapt(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	runners, _ := AssignedRunners(t, now)
	for _, id := range runners {
		r := t.Runners.Get(id)
		if r == nil || r.Sender != t.Self.ID {
			continue
		}
		if now.Sub(r.LimitAt) >= adaptInterval {
			adaptBatchLimit(t, r, now)
		}
		if r.Batch > 0 && r.BatchLimit < float64(Slots(r)) {
			out.WakeAt(r.LimitAt.Add(adaptInterval))
		}
	}
}

// adaptBatchLimit adapts the batch limit of one runner for the intervals since the last change.
func adaptBatchLimit(t *fleet.Tables, r *fleet.Runner, now cs.Instant) {
	steps := float64(now.Sub(r.LimitAt) / adaptInterval)
	r.LimitAt = now
	slots := float64(Slots(r))
	switch {
	case t.Config.Policy.NoClasses:
		r.BatchLimit = slots
	case now.Sub(r.SenderSince) < newSenderHold:
		r.BatchLimit = 1
	case now < r.BatchPausedUntil:
	case r.SampledAt > r.SlowAt && exceedsLatencyBounds(t.Config, r, now):
		// Decrease once per sample: until the next first token arrives, the effect of the decrease
		// is unknown.
		r.SlowAt = r.SampledAt
		r.BatchLimit = max(r.BatchLimit*decreaseFactor, 1)
	default:
		r.BatchLimit = min(max(r.BatchLimit, 1)+steps*max(slots/rampUpSteps, 1), slots)
	}
}

// exceedsLatencyBounds reports whether the latency of online requests is too close to its target,
// or has grown over the latency without batch by more than the configured weight allows.
func exceedsLatencyBounds(c fleet.Config, r *fleet.Runner, now cs.Instant) bool {
	if now.Sub(r.SampledAt) > maxSampleAge {
		return false
	}
	weight := float64(c.Weight)
	// The targets are 95th percentiles, but the runner's values are averages, so the bound lies
	// below the target: at 0.8 of it for throughput first (weight 0) and 0.5 for latency first
	// (weight 1).
	targetShare := 0.8 - 0.3*weight
	// Growth over the latency without batch is allowed up to a factor of 2 for throughput first and
	// 1.15 for latency first.
	maxGrowth := 2 - 0.85*weight
	return exceedsEither(r.FirstToken, targetShare*float64(c.FirstToken), maxGrowth*r.BaselineFirstToken) ||
		exceedsEither(r.MeanTokenGap, targetShare*float64(c.TokenGap), maxGrowth*r.BaselineTokenGap)
}

// exceedsEither reports whether an average is above the bound derived from the target, or above the
// bound derived from the baseline if one has been measured.
func exceedsEither(average, targetBound, baseBound float64) bool {
	return average > targetBound || baseBound > 0 && average > baseBound
}

// Headroom returns the number of a runner's slots that batch leaves free for the next online
// request.
func Headroom(c fleet.Config, r *fleet.Runner, online cs.Slots) cs.Slots {
	if c.Policy.NoClasses {
		return 0
	}
	weight := float64(c.Weight)
	headroom := cs.Slots(math.Ceil(weight * headroomShare * float64(Slots(r))))
	if weight >= 0.5 {
		return max(headroom, 1)
	}
	if online == 0 {
		return 0
	}
	return headroom
}
