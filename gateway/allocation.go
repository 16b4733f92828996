package gateway

import (
	"github.com/cespare/xxhash/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Each runner has an allocator: one VM of its data centre, chosen by rendezvous hashing, that grants the runner's slots. VMs ask
// it before they send, and tell it what they hold there. The reports of peers are older than that, and VMs that choose by them
// alone collide on the runners that seemed to be free. Without an allocator that responds, VMs choose by the reports.

// Allocation is the allocator of a runner, as this VM sees it.
type Allocation struct {
	// VM is the allocator, or empty if no VM of the data centre is heard.
	VM cs.VMID
	// Since is when this VM became the allocator, or 0.
	Since cs.Instant
	// Online and Batch are what other VMs hold at the runner: the sums of Slots.Holdings and Slots.Grants if this VM is the
	// allocator, and otherwise as the allocator last reported.
	Online, Batch cs.Slots
	// PriorOnline and PriorBatch are those that the allocator before this VM last reported.
	PriorOnline, PriorBatch cs.Slots
}

// AssignAllocators determines the allocator of each runner, if VMs or runners have changed.
func (t *Tables) AssignAllocators(now cs.Instant, out *Actions) {
	s := &t.Slots
	if s.assignedAt != 0 && s.liveChanges == t.LiveChanges && s.runners == t.Runners.Len() && s.revision == t.RunnerChanges {
		return
	}
	if due := s.assignedAt.Add(assignAllocatorsInterval); s.assignedAt != 0 && now < due {
		out.WakeAt(due)
		return
	}
	s.assignedAt, s.liveChanges, s.runners, s.revision = now, t.LiveChanges, t.Runners.Len(), t.RunnerChanges
	candidates := make(map[cs.DataCentreID][]allocatorCandidate)
	add := func(vm cs.VM) {
		candidates[vm.DataCentre] = append(candidates[vm.DataCentre], allocatorCandidate{vm.ID, xxhash.Sum64String(string(vm.ID))})
	}
	if t.Drain.Phase == fleet.DrainNone {
		add(t.Self)
	}
	for _, p := range t.Peers.All() {
		if p.LastReportAt != 0 && !p.VM.Leaving {
			add(p.VM)
		}
	}
	for id, r := range t.Runners.All() {
		vm := firstByRendezvous(xxhash.Sum64String(string(id)), candidates[r.Spec.DataCentre])
		if vm == r.Allocation.VM {
			continue
		}
		prior := r.Allocation
		if vm == "" { // nobody would ever replace the loads that the last allocator has told
			prior.Online, prior.Batch = 0, 0
		}
		r.Allocation = Allocation{VM: vm, Online: prior.Online, Batch: prior.Batch}
		if vm == t.Self.ID {
			r.Allocation.Since, r.Allocation.PriorOnline, r.Allocation.PriorBatch = now, prior.Online, prior.Batch
			t.sumHoldings(r)
		}
	}
}

// allocatorCandidate is a VM that may be an allocator, with the hash of its ID.
type allocatorCandidate struct {
	vm   cs.VMID
	hash uint64
}

// firstByRendezvous returns the candidate with the highest weight for the hash of a key, or an empty ID.
func firstByRendezvous(key uint64, candidates []allocatorCandidate) cs.VMID {
	var first cs.VMID
	highest := uint64(0)
	for _, c := range candidates {
		if weight := hashPair(key, c.hash); first == "" || weight > highest || weight == highest && c.vm > first {
			first, highest = c.vm, weight
		}
	}
	return first
}

// HasAllocator reports whether this VM must have a slot of a runner granted before it sends to it. The limits that runners name
// are shared in another way.
func (t *Tables) HasAllocator(r *Runner, now cs.Instant) bool {
	if r.Limit.Named || r.Allocation.VM == "" {
		return false
	}
	if r.Allocation.VM == t.Self.ID {
		return t.IsSettledAllocator(r, now)
	}
	p := t.Peers.Get(r.Allocation.VM)
	return p != nil && now >= p.AllocatorSilentUntil
}

// IsSettledAllocator reports whether this VM is the allocator of a runner and knows the holdings of all VMs. Until then it uses
// the runner by what peers report, like a VM that has no allocator.
func (t *Tables) IsSettledAllocator(r *Runner, now cs.Instant) bool {
	return r.Allocation.VM == t.Self.ID && now.Sub(r.Allocation.Since) >= allocatorSettleTime
}

// AllocatedLoads returns what all VMs hold at the runners of which this VM is the allocator, and knows it.
func (t *Tables) AllocatedLoads(now cs.Instant) []RunnerLoad {
	var loads []RunnerLoad
	for id, r := range t.Runners.All() {
		if t.IsSettledAllocator(r, now) {
			online, batch := t.allocatedLoad(r, now)
			loads = append(loads, RunnerLoad{Runner: id, Online: online, Batch: batch})
		}
	}
	return loads
}

// ApplyAllocatedLoads applies the loads of runners that their allocators have told.
func (t *Tables) ApplyAllocatedLoads(loads []RunnerLoad) {
	for _, l := range loads {
		if r := t.Runners.Get(l.Runner); r != nil && r.Allocation.VM != "" && r.Allocation.VM != t.Self.ID {
			r.Allocation.Online, r.Allocation.Batch = max(l.Online-r.Online, 0), max(l.Batch-r.Batch, 0)
		}
	}
}

// RecordSlotTimeout records that the allocator of a runner has not replied in time.
func (t *Tables) RecordSlotTimeout(r *Runner, now cs.Instant) {
	p := t.Peers.Get(r.Allocation.VM)
	if p == nil {
		return
	}
	if p.SlotTimeouts++; p.SlotTimeouts >= maxSlotTimeouts {
		p.AllocatorSilentUntil, p.SlotTimeouts = now.Add(allocatorSilence), 0
	}
}

// Affinity returns a number from 0 to 1 that is the same for this VM and a runner at all times, and another one for each pair.
// VMs that prefer runners by it spread over all of them, and each uses its connections to few runners again.
func (t *Tables) Affinity(r *Runner) float64 {
	if r.affinity == 0 {
		r.affinity = (float64(hashPair(xxhash.Sum64String(string(r.Spec.ID)), xxhash.Sum64String(string(t.Self.ID)))>>11) + 1) / (1 << 53)
	}
	return r.affinity
}
