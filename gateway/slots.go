package gateway

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// HoldingKey identifies a row of Slots.Holdings.
type HoldingKey struct {
	Runner cs.RunnerID
	VM     cs.VMID
}

// Holding is what another VM holds at a runner of which this VM is the allocator.
type Holding struct {
	SlotHolding
	At cs.Instant
	// Preempted counts the runs that the VM was told to stop since PreemptedAt.
	Preempted   cs.Slots
	PreemptedAt cs.Instant
}

// GrantKey identifies a row of Slots.Grants: a request of a VM.
type GrantKey struct {
	VM cs.VMID
	ID SlotRequestID
}

// Grant is a slot that this VM has granted to another one, which has not told yet that it holds it.
type Grant struct {
	Runner cs.RunnerID
	Use    SlotUse
	At     cs.Instant
}

// Slots is what this VM knows and does as an allocator of slots and as a VM that requests them.
type Slots struct {
	Holdings *fleet.Table[HoldingKey, Holding]
	Grants   *fleet.Table[GrantKey, Grant]
	// Seq numbers the messages sent, and LastID the requests.
	Seq    uint64
	LastID SlotRequestID
	// Outbox holds the requests, replies and preemptions that are sent at the end of the tick.
	Outbox map[cs.VMID]*SlotMessage
	// Announced holds for each allocator when this VM last told it its holdings, and which.
	Announced map[cs.VMID]Announcement
	// BatchRequests are the requests for slots for items that have no reply yet, and BatchGrants the runners of which slots
	// were granted in this tick.
	BatchRequests *fleet.Table[SlotRequestID, BatchRequest]
	BatchGrants   []cs.RunnerID
	// ExpiredAt is when holdings were last checked for a timeout.
	ExpiredAt cs.Instant
	// OwnPreemptions are the runs of this VM that it must stop as its own allocator.
	OwnPreemptions []SlotPreemption

	assignedAt  cs.Instant
	liveChanges uint64
	runners     int
	revision    uint64
}

// BatchRequest is a request for a slot for an item; which item takes it is decided when it is granted.
type BatchRequest struct {
	Runner cs.RunnerID
	At     cs.Instant
}

// Announcement is what a VM last told an allocator of its holdings.
type Announcement struct {
	At       cs.Instant
	Holdings []SlotHolding
}

const (
	// SlotReplyTimeout is how long the reply of an allocator is waited for.
	SlotReplyTimeout = 15 * cs.Millisecond
	// allocatorSilence is how long an allocator is not asked after maxSlotTimeouts requests in a row without a reply.
	allocatorSilence = 400 * cs.Millisecond
	maxSlotTimeouts  = 2
	// allocatorSettleTime is how long a new allocator also counts the loads that VMs have reported: it does not know all
	// holdings yet.
	allocatorSettleTime = 400 * cs.Millisecond
	// HoldingInterval is the time between two messages about unchanged holdings, and holdingTimeout the time without one after
	// which a holding has ended, since the VM has.
	HoldingInterval = 300 * cs.Millisecond
	holdingTimeout  = 1200 * cs.Millisecond
	// grantTimeout is how long a granted slot counts if the VM does not tell that it holds it.
	grantTimeout = 100 * cs.Millisecond
	// preemptionTimeout is how long a VM may take to stop a run.
	preemptionTimeout = 150 * cs.Millisecond
	// assignAllocatorsInterval is the least time between two assignments of allocators.
	assignAllocatorsInterval = 200 * cs.Millisecond
	// QueuedPerRunner is the number of online requests beyond its slots that a runner may be sent. At full load an engine
	// frees a slot about every 100 ms, so that the second one still starts within a target of 300 ms.
	QueuedPerRunner = 2
	// ReservedOnlineSlots is the number of slots of each runner that items leave free for online requests, unless it has no others:
	// of runners without an allocator, and of services whose requests are placed by cost. An item in the last free slot is
	// stopped by the next online request, which waits for the allocator meanwhile.
	ReservedOnlineSlots = 1
)

// newSlots returns the state of a VM that allocates no slots.
func newSlots() Slots {
	return Slots{
		Holdings: fleet.NewTable[HoldingKey, Holding](), Grants: fleet.NewTable[GrantKey, Grant](), BatchRequests: fleet.NewTable[SlotRequestID, BatchRequest](),
		Outbox: make(map[cs.VMID]*SlotMessage), Announced: make(map[cs.VMID]Announcement),
	}
}

// sumHoldings recomputes the sums of what other VMs hold at a runner.
func (t *Tables) sumHoldings(r *Runner) {
	r.Allocation.Online, r.Allocation.Batch = 0, 0
	for k, h := range t.Slots.Holdings.All() {
		if k.Runner == r.Spec.ID {
			r.Allocation.Online += h.Online
			r.Allocation.Batch += h.Batch
		}
	}
	for _, g := range t.Slots.Grants.All() {
		if g.Runner == r.Spec.ID {
			r.count(g.Use, 1)
		}
	}
}

// count adds a number of slots of a use to what other VMs hold.
func (r *Runner) count(use SlotUse, n cs.Slots) {
	if use == SlotBatch {
		r.Allocation.Batch += n
	} else {
		r.Allocation.Online += n
	}
}

// RequestSlot requests a slot of a runner, which has an allocator. It returns 0 and whether the slot is granted if this VM is
// the allocator, and otherwise the ID of the request that is sent. Such a request counts in the runner's load until
// EndSlotRequest is called.
func (t *Tables) RequestSlot(r *Runner, use SlotUse, now cs.Instant, out *Actions) (SlotRequestID, bool) {
	if r.Allocation.VM == t.Self.ID {
		return 0, t.grantSlot(r, use, now, out)
	}
	if use == SlotBatch {
		r.Batch++
		r.RequestedBatch++
	} else {
		r.Online++
		r.RequestedOnline++
	}
	t.Slots.LastID++
	m := t.slotMessage(r.Allocation.VM)
	m.Requests = append(m.Requests, SlotRequest{Runner: r.Spec.ID, ID: t.Slots.LastID, Use: use})
	out.WakeAt(now.Add(SlotReplyTimeout))
	return t.Slots.LastID, false
}

// EndSlotRequest ends the count of a request in the runner's load, since it has a reply or gets none in time.
func (t *Tables) EndSlotRequest(id cs.RunnerID, use SlotUse) {
	r := t.Runners.Get(id)
	switch {
	case r == nil:
	case use == SlotBatch && r.RequestedBatch > 0:
		r.Batch--
		r.RequestedBatch--
	case use != SlotBatch && r.RequestedOnline > 0:
		r.Online--
		r.RequestedOnline--
	}
}

// slotMessage returns the message that is sent to a VM at the end of the tick.
func (t *Tables) slotMessage(to cs.VMID) *SlotMessage {
	m := t.Slots.Outbox[to]
	if m == nil {
		m = &SlotMessage{}
		t.Slots.Outbox[to] = m
	}
	return m
}

// allocatedLoad returns what all VMs hold at a runner of which this VM is the allocator.
func (t *Tables) allocatedLoad(r *Runner, now cs.Instant) (online, batch cs.Slots) {
	online, batch = r.Online+r.Allocation.Online, r.Batch+r.Allocation.Batch
	if !t.IsSettledAllocator(r, now) {
		online = max(online, r.Online+r.PeerOnline, r.Online+r.Allocation.PriorOnline)
		batch = max(batch, r.Batch+r.PeerBatch, r.Batch+r.Allocation.PriorBatch)
	}
	return online, batch
}

// grantSlot decides on a request for a slot, which is not counted in the load. For an online request without a free slot an
// item is preempted.
func (t *Tables) grantSlot(r *Runner, use SlotUse, now cs.Instant, out *Actions) bool {
	online, batch := t.allocatedLoad(r, now)
	limit := r.Spec.Slots
	switch use {
	case SlotBatch:
		if t.Costs.Service(r.Spec.Service) != nil {
			limit -= min(ReservedOnlineSlots, limit-1)
		}
		return online+batch < limit
	case SlotFree:
		return online+batch < limit
	case SlotQueued:
		limit += QueuedPerRunner
	case SlotOnline:
	}
	if online >= limit {
		return false
	}
	t.PreemptExcess(r, 1, now, out)
	return true
}

// PreemptExcess preempts as many items as a runner, of which this VM is the allocator, has requests beyond its slots once it
// gets some more online requests.
func (t *Tables) PreemptExcess(r *Runner, more cs.Slots, now cs.Instant, out *Actions) {
	online, batch := t.allocatedLoad(r, now)
	if excess := online + more + batch - r.Spec.Slots; excess > 0 && batch > 0 {
		t.preempt(r, excess, now, out)
	}
}

// preempt tells the VMs with the least urgent items to stop as many runs as there are too many requests.
func (t *Tables) preempt(r *Runner, excess cs.Slots, now cs.Instant, out *Actions) {
	type victim struct {
		vm      cs.VMID
		runs    cs.Slots
		dueIn   cs.Span
		holding *Holding
	}
	var victims []victim
	for k, h := range t.Slots.Holdings.All() {
		if k.Runner != r.Spec.ID {
			continue
		}
		if now.Sub(h.PreemptedAt) > preemptionTimeout {
			h.Preempted = 0
		}
		excess -= h.Preempted
		if runs := h.Batch - h.Preempted; runs > 0 {
			victims = append(victims, victim{vm: k.VM, runs: runs, dueIn: h.DueIn, holding: h})
		}
	}
	for _, p := range t.Slots.OwnPreemptions {
		if p.Runner == r.Spec.ID {
			excess -= p.Runs
		}
	}
	if r.Batch > 0 {
		victims = append(victims, victim{vm: t.Self.ID, runs: r.Batch, dueIn: r.BatchDueAt.Sub(now)})
	}
	slices.SortFunc(victims, func(a, b victim) int { return cmp.Or(cmp.Compare(b.dueIn, a.dueIn), cmp.Compare(a.vm, b.vm)) })
	for i := range victims {
		if excess <= 0 {
			return
		}
		v := &victims[i]
		n := min(excess, v.runs)
		excess -= n
		p := SlotPreemption{Runner: r.Spec.ID, Runs: n}
		if v.holding == nil {
			t.Slots.OwnPreemptions = append(t.Slots.OwnPreemptions, p)
			out.WakeAt(now)
			continue
		}
		v.holding.Preempted += n
		v.holding.PreemptedAt = now
		m := t.slotMessage(v.vm)
		m.Preemptions = append(m.Preemptions, p)
	}
}

// ApplyHoldings replaces what a VM holds at the runners of this VM, including the slots granted to its requests before
// outstanding.
func (t *Tables) ApplyHoldings(from cs.VMID, holdings []SlotHolding, outstanding SlotRequestID, now cs.Instant) {
	t.Slots.Grants.DeleteFunc(func(k GrantKey, g *Grant) bool { return k.VM == from && k.ID < outstanding && t.endGrant(g) })
	for _, r := range t.Runners.All() {
		if r.Allocation.VM != t.Self.ID {
			continue
		}
		i := slices.IndexFunc(holdings, func(h SlotHolding) bool { return h.Runner == r.Spec.ID })
		var next SlotHolding
		if i >= 0 {
			next = holdings[i]
		}
		t.setHolding(r, from, next, now)
	}
}

// setHolding replaces what a VM holds at a runner.
func (t *Tables) setHolding(r *Runner, from cs.VMID, next SlotHolding, now cs.Instant) {
	key := HoldingKey{Runner: r.Spec.ID, VM: from}
	h := t.Slots.Holdings.Get(key)
	if h == nil {
		if next.Online+next.Batch == 0 {
			return
		}
		h = t.Slots.Holdings.Insert(key, Holding{})
	}
	r.Allocation.Online += next.Online - h.Online
	r.Allocation.Batch += next.Batch - h.Batch
	if stopped := h.Batch - next.Batch; stopped > 0 {
		h.Preempted = max(h.Preempted-stopped, 0)
	}
	if next.Online+next.Batch == 0 {
		t.Slots.Holdings.Delete(key)
		return
	}
	h.SlotHolding, h.At = next, now
}

// endGrant ends the count of a grant, and returns true.
func (t *Tables) endGrant(g *Grant) bool {
	if r := t.Runners.Get(g.Runner); r != nil && r.Allocation.VM == t.Self.ID {
		r.count(g.Use, -1)
	}
	return true
}

// DecideSlots decides on the requests of a VM.
func (t *Tables) DecideSlots(from cs.VMID, requests []SlotRequest, now cs.Instant, out *Actions) {
	for _, request := range requests {
		r := t.Runners.Get(request.Runner)
		granted := r != nil && r.Allocation.VM == t.Self.ID && !r.Leaving() && t.grantSlot(r, request.Use, now, out)
		if granted {
			t.Slots.Grants.Insert(GrantKey{VM: from, ID: request.ID}, Grant{Runner: request.Runner, Use: request.Use, At: now})
			r.count(request.Use, 1)
		}
		m := t.slotMessage(from)
		m.Replies = append(m.Replies, SlotReply{Runner: request.Runner, ID: request.ID, Granted: granted})
	}
}

// ExpireHoldings removes the holdings of VMs that no longer send messages.
func (t *Tables) ExpireHoldings(now cs.Instant) {
	t.Slots.Grants.DeleteFunc(func(_ GrantKey, g *Grant) bool { return now.Sub(g.At) > grantTimeout && t.endGrant(g) })
	t.Slots.Holdings.DeleteFunc(func(k HoldingKey, h *Holding) bool {
		if now.Sub(h.At) <= holdingTimeout {
			return false
		}
		if r := t.Runners.Get(k.Runner); r != nil && r.Allocation.VM == t.Self.ID {
			r.Allocation.Online -= h.Online
			r.Allocation.Batch -= h.Batch
		}
		return true
	})
}
