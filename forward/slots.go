package forward

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// maxFreeRequests is the number of runners that are asked for a free slot before one is asked to preempt an item, and
	// maxSlotRequests the number of those asked before a pause of slotRetryDelay.
	maxFreeRequests = 4
	maxSlotRequests = 7
	slotRetryDelay  = 20 * cs.Millisecond
)

// sendOrRequest sends a waiting request to a runner, or requests a slot for it from the allocator of one. It returns false if
// the request must wait.
func sendOrRequest(t *gateway.Tables, f *gateway.Forward, now cs.Instant, out *gateway.Actions) bool {
	if r := t.Runners.Get(f.GrantedBy); f.GrantedBy != "" {
		f.GrantedBy = ""
		if r != nil && r.Usable(now) && r.WithinLimit(now) {
			dispatchTo(t, f, r, now, out)
			return true
		}
	}
	f.Allocator = ""
	onlyAllocated := !mayDispatch(t, f.Service, now, out)
	for len(f.DeniedBy) < maxSlotRequests {
		r := pickRunner(t, f, now, onlyAllocated)
		if r == nil {
			break
		}
		if !t.HasAllocator(r, now) {
			dispatchTo(t, f, r, now, out)
			if !r.Limit.Named {
				spendAllowance(t, f.Service)
			}
			return true
		}
		id, granted := t.RequestSlot(r, slotUse(f, r, now), now, out)
		if id != 0 {
			f.Phase, f.Runner, f.SlotRequest, f.RequestedAt = gateway.ForwardRequesting, r.Spec.ID, id, now
			return true
		}
		if granted {
			f.Allocator = t.Self.ID
			dispatchTo(t, f, r, now, out)
			return true
		}
		deny(f, r, now)
	}
	if len(f.DeniedBy) > 0 {
		f.DeniedBy, f.NotBefore = nil, now.Add(slotRetryDelay)
		out.WakeAt(f.NotBefore)
	}
	return false
}

// slotUse returns what a slot of a runner is requested for. While runners seem to have free slots, a request gets one of those.
// One that can no longer meet its target is not queued at a runner.
func slotUse(f *gateway.Forward, r *gateway.Runner, now cs.Instant) gateway.SlotUse {
	switch denials := len(f.DeniedBy); {
	case denials < maxFreeRequests && r.Load() < r.Spec.Slots:
		return gateway.SlotFree
	case (denials > maxFreeRequests || r.OnlineLoad() >= r.Spec.Slots) && canMeetTarget(f, now):
		return gateway.SlotQueued
	default:
		return gateway.SlotOnline
	}
}

// deny records that a runner has no slot for a request.
func deny(f *gateway.Forward, r *gateway.Runner, now cs.Instant) {
	f.DeniedBy = append(f.DeniedBy, r.Spec.ID)
	r.DeniedAt = now
}

// applySlotReplies applies the replies of an allocator.
func applySlotReplies(t *gateway.Tables, now cs.Instant, replies []gateway.SlotReply) {
	for _, f := range t.Forwards.All() {
		if f.Phase != gateway.ForwardRequesting {
			continue
		}
		i := slices.IndexFunc(replies, func(r gateway.SlotReply) bool { return r.ID == f.SlotRequest && r.Runner == f.Runner })
		if i < 0 {
			continue
		}
		releaseSlot(t, f)
		switch r := t.Runners.Get(f.Runner); {
		case r == nil:
		case replies[i].Granted:
			f.GrantedBy, f.Allocator = f.Runner, r.Allocation.VM
		default:
			deny(f, r, now)
		}
	}
}

// expireSlotRequests sends the requests whose allocator has not replied in time without its grant: the runner decides then.
func expireSlotRequests(t *gateway.Tables, now cs.Instant) {
	for _, f := range t.Forwards.All() {
		if f.Phase != gateway.ForwardRequesting || now.Sub(f.RequestedAt) < gateway.SlotReplyTimeout {
			continue
		}
		if r := t.Runners.Get(f.Runner); r != nil {
			t.RecordSlotTimeout(r, now)
		}
		releaseSlot(t, f)
		f.GrantedBy = f.Runner
	}
}
