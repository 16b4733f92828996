// Package slot has the systems by which VMs share the slots of runners: each runner has an allocator, one VM of its data centre,
// that knows what all VMs hold there and grants them slots.
package slot

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// minAnnounceInterval is the least time between two messages about holdings to an allocator. Requests do not wait for it.
	minAnnounceInterval = 6 * cs.Millisecond
	// expireInterval is the time between two checks for VMs that no longer send messages.
	expireInterval = 100 * cs.Millisecond
)

// Allocate determines the allocators of runners, and applies the holdings and decides on the requests of VMs at those that
// this VM allocates.
func Allocate(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	t.AssignAllocators(now, out)
	if now.Sub(t.Slots.ExpiredAt) >= expireInterval {
		t.Slots.ExpiredAt = now
		t.ExpireHoldings(now)
	}
	for _, e := range t.Events {
		if e, ok := e.(gateway.SlotsReceived); ok {
			receive(t, e.Message, now, out)
		}
	}
	for _, r := range t.Runners.All() {
		if t.IsSettledAllocator(r, now) {
			t.PreemptExcess(r, 0, now, out) // VMs also send without a grant, when this one does not reply in time
		}
	}
}

// receive applies one message. Holdings and requests that arrive out of order, or once more, are ignored: the VM that sent them
// goes on without a reply.
func receive(t *gateway.Tables, m gateway.SlotMessage, now cs.Instant, out *gateway.Actions) {
	p := t.Peers.Get(m.From)
	if p == nil || m.Incarnation != p.VM.Incarnation {
		return // its address is not known, the process has ended, or its first report has not arrived
	}
	if len(m.Replies) > 0 {
		p.SlotTimeouts = 0
	}
	isLater := m.Incarnation > p.SlotIncarnation || m.Incarnation == p.SlotIncarnation && m.Seq > p.SlotSeq
	if !m.HasHoldings || !isLater {
		return
	}
	p.SlotIncarnation, p.SlotSeq = m.Incarnation, m.Seq
	t.ApplyHoldings(m.From, m.Holdings, m.Outstanding, now)
	t.DecideSlots(m.From, m.Requests, now, out)
}

// Announce sends the messages of a tick, and tells allocators what this VM holds at their runners when that has changed, and at
// intervals.
func Announce(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	s := &t.Slots
	holdings := ownHoldings(t, now)
	for vm, current := range holdings {
		announce(t, vm, current, now, out)
	}
	for vm := range s.Announced {
		if _, ok := holdings[vm]; !ok {
			announce(t, vm, nil, now, out)
		}
	}
	for vm, m := range s.Outbox { // for VMs at whose runners this VM holds nothing
		if len(m.Requests) > 0 {
			announce(t, vm, nil, now, out)
		} else {
			send(t, vm, out)
		}
	}
}

// ownHoldings returns what this VM holds at the runners of each other allocator.
func ownHoldings(t *gateway.Tables, now cs.Instant) map[cs.VMID][]gateway.SlotHolding {
	holdings := make(map[cs.VMID][]gateway.SlotHolding)
	for id, r := range t.Runners.All() {
		online, batch := r.Online-r.RequestedOnline, r.Batch-r.RequestedBatch
		if vm := r.Allocation.VM; vm != "" && vm != t.Self.ID && online+batch > 0 {
			holdings[vm] = append(holdings[vm], gateway.SlotHolding{
				Runner: id, Online: online, Batch: batch, DueIn: max(r.BatchDueAt.Sub(now), 0),
			})
		}
	}
	return holdings
}

// announce tells an allocator the holdings if they have changed or the last message is old, or along with other messages.
func announce(t *gateway.Tables, vm cs.VMID, current []gateway.SlotHolding, now cs.Instant, out *gateway.Actions) {
	s := &t.Slots
	last := s.Announced[vm]
	isChanged := !slices.EqualFunc(last.Holdings, current, func(a, b gateway.SlotHolding) bool {
		return a.Runner == b.Runner && a.Online == b.Online && a.Batch == b.Batch
	})
	due := last.At.Add(gateway.HoldingInterval)
	if isChanged {
		due = last.At.Add(minAnnounceInterval)
	}
	if s.Outbox[vm] == nil && now < due {
		if isChanged || len(current) > 0 {
			out.WakeAt(due)
		}
		return
	}
	if !isChanged && len(current) == 0 && s.Outbox[vm] == nil {
		delete(s.Announced, vm)
		return
	}
	m := s.Outbox[vm]
	if m == nil {
		m = &gateway.SlotMessage{}
		s.Outbox[vm] = m
	}
	m.HasHoldings, m.Holdings, m.Outstanding = true, current, t.Slots.LastID+1
	if outstanding, ok := firstOutstanding(t, vm); ok {
		m.Outstanding = outstanding
	}
	s.Announced[vm] = gateway.Announcement{At: now, Holdings: current}
	send(t, vm, out)
}

// firstOutstanding returns the ID of the first request to an allocator without a reply.
func firstOutstanding(t *gateway.Tables, vm cs.VMID) (gateway.SlotRequestID, bool) {
	first, found := gateway.SlotRequestID(0), false
	look := func(runner cs.RunnerID, id gateway.SlotRequestID) {
		if r := t.Runners.Get(runner); r != nil && r.Allocation.VM == vm && (!found || id < first) {
			first, found = id, true
		}
	}
	for _, f := range t.Forwards.All() {
		if f.Phase == gateway.ForwardRequesting {
			look(f.Runner, f.SlotRequest)
		}
	}
	for id, request := range t.Slots.BatchRequests.All() {
		look(request.Runner, id)
	}
	return first, found
}

// send sends the message for a VM.
func send(t *gateway.Tables, vm cs.VMID, out *gateway.Actions) {
	m := t.Slots.Outbox[vm]
	delete(t.Slots.Outbox, vm)
	p := t.Peers.Get(vm)
	if p == nil {
		return
	}
	t.Slots.Seq++
	m.From, m.Incarnation, m.Seq = t.Self.ID, t.Self.Incarnation, t.Slots.Seq
	out.Add(gateway.SendSlots{To: p.VM.Address, Message: *m})
}
