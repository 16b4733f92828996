package batchjob

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// ApplySlotReplies applies the replies of allocators to requests for slots for items.
func ApplySlotReplies(t *gateway.Tables, now cs.Instant, _ *gateway.Actions) {
	s := &t.Slots
	s.BatchGrants = s.BatchGrants[:0]
	for _, e := range t.Events {
		received, ok := e.(gateway.SlotsReceived)
		if !ok {
			continue
		}
		for _, reply := range received.Message.Replies {
			if request := s.BatchRequests.Get(reply.ID); request != nil && request.Runner == reply.Runner {
				t.EndSlotRequest(reply.Runner, gateway.SlotBatch)
				s.BatchRequests.Delete(reply.ID)
				if r := t.Runners.Get(reply.Runner); reply.Granted {
					s.BatchGrants = append(s.BatchGrants, reply.Runner)
				} else if r != nil {
					r.DeniedAt = now
				}
			}
		}
	}
	s.BatchRequests.DeleteFunc(func(_ gateway.SlotRequestID, request *gateway.BatchRequest) bool {
		if now.Sub(request.At) < gateway.SlotReplyTimeout {
			return false
		}
		if r := t.Runners.Get(request.Runner); r != nil {
			t.RecordSlotTimeout(r, now)
		}
		t.EndSlotRequest(request.Runner, gateway.SlotBatch)
		return true
	})
}

// useGrants starts the most urgent items in the slots granted, and returns the others. A slot for which there is no item is
// given back with the next message to its allocator.
func useGrants(t *gateway.Tables, waiting []candidate, now cs.Instant, out *gateway.Actions) []candidate {
	for _, id := range t.Slots.BatchGrants {
		r := t.Runners.Get(id)
		if r == nil || !r.Usable(now) || r.OnProbation(now) {
			continue
		}
		for i, c := range waiting {
			if route := t.Catalog.Route(t.Jobs.Get(c.key.Job).Spec.Route); routeUsesService(route, r.Spec.Service) && startItem(t, c.key, r, now, out) {
				waiting = slices.Delete(waiting, i, i+1)
				break
			}
		}
	}
	t.Slots.BatchGrants = t.Slots.BatchGrants[:0]
	return waiting
}

// startOrRequest starts an item on a runner with a free slot, or requests a slot from the allocator of one. It reports whether
// there was such a runner.
func startOrRequest(t *gateway.Tables, k gateway.ItemKey, now cs.Instant, out *gateway.Actions) bool {
	j := t.Jobs.Get(k.Job)
	r := pickRunner(t, t.Catalog.Route(j.Spec.Route), &j.Spec.Items[k.Index], now)
	if r == nil {
		return false
	}
	if !t.HasAllocator(r, now) {
		return startItem(t, k, r, now, out)
	}
	id, granted := t.RequestSlot(r, gateway.SlotBatch, now, out)
	if id != 0 {
		t.Slots.BatchRequests.Insert(id, gateway.BatchRequest{Runner: r.Spec.ID, At: now})
		return true
	}
	if !granted {
		r.DeniedAt = now
		return true // counts as a start, so that a round ends
	}
	return startItem(t, k, r, now, out)
}
