package membership

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Track updates the rows of VMs and runners and the state of the log from the events of the tick.
func Track(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	if t.VMs.Get(t.Self.ID) == nil {
		t.VMs.Insert(t.Self.ID, fleet.VM{VM: t.Self, Live: true, LiveSince: now})
		t.Membership.Liveness.ScheduleAt(now)
	}
	detectPause(t, now, out)
	for _, e := range t.Events {
		handleEvent(t, now, out, e)
	}
	updateLiveness(t, now, out)
}

// pauseThreshold is the time without a tick from which this process counts as having been paused.
// The control loop ticks at least twice a second, even without events.
const pauseThreshold = 1500 * cs.Millisecond

// detectPause handles a pause of this process, during which it could not receive messages. Linked
// peers count as heard now, so that they are not declared dead by mistake. The pause also counts as
// a failure of the log, so that the log counts as fresh only since the next read.
func detectPause(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	last := t.Membership.TickAt
	t.Membership.TickAt = now
	if last == 0 || now.Sub(last) < pauseThreshold {
		return
	}
	out.LogChange("vm", "resumed after a pause", fleet.Field{Name: "pause", Value: now.Sub(last).String()})
	t.Log.FailedAt = now
	for _, vm := range t.VMs.All() {
		if vm.Linked {
			vm.LastMessageAt = now
		}
	}
}

// handleEvent updates the rows and the state of the log from one event.
func handleEvent(t *fleet.Tables, now cs.Instant, out *fleet.Actions, e fleet.Event) {
	switch e := e.(type) {
	case fleet.ListRead:
		applyList(t, now, out, e)
	case fleet.LinkOpened:
		recordLinkOpened(t, now, out, e.VM)
	case fleet.LinkClosed:
		recordLinkClosed(t, now, e)
	case fleet.PeerMessageReceived:
		handleMessage(t, now, out, e)
	case fleet.LoadReceived:
		if r := t.Runners.Get(e.Runner); r != nil && e.Report.Leaving && !r.Leaving {
			r.Leaving = true
			out.LogChange("runner", "leaving", fleet.Field{Name: "runner", Value: r.ID})
		}
	case fleet.LogRead:
		t.Log.Read(now)
	case fleet.LogReadFailed:
		t.Log.FailedAt = now
	default: // handled by other systems
	}
}

// applyList updates the rows of VMs and runners from the platform's list. An empty list is a fault
// of the list service, since the list contains at least this VM, and is ignored.
func applyList(t *fleet.Tables, now cs.Instant, out *fleet.Actions, list fleet.ListRead) {
	if len(list.VMs) == 0 && len(list.Runners) == 0 {
		return
	}
	t.Membership.ListReadAt = now
	for _, vm := range list.VMs {
		applyListedVM(t, now, vm)
	}
	applyRunnerList(t, now, out, list)
	t.Membership.PeersChanged = true
	t.Membership.Liveness.ScheduleAt(now)
}

// applyListedVM updates a VM's row from its registration in the list. A registration of an older
// incarnation than the one known is ignored, since the list lags behind the links.
func applyListedVM(t *fleet.Tables, now cs.Instant, vm cs.VM) {
	row := t.VMs.Get(vm.ID)
	if row == nil || row.Incarnation < vm.Incarnation && vm.ID != t.Self.ID {
		invalidateSenders(t, now, vm.DataCentre) // the former process may have been a batch sender
		t.VMs.Insert(vm.ID, fleet.VM{VM: vm, Listed: now, LiveSince: now})
		return
	}
	if vm.Incarnation != 0 && row.Incarnation != vm.Incarnation {
		return // outdated; a registration without an incarnation applies to any process
	}
	row.Listed = now
	row.Address, row.DataCentre = vm.Address, vm.DataCentre
	setLeaving(t, now, row, vm.Leaving)
}

// setLeaving marks a VM as leaving if leaving is true. The mark is never removed, since a drain
// cannot be cancelled and the list may lag behind the VM's heartbeat.
func setLeaving(t *fleet.Tables, now cs.Instant, row *fleet.VM, leaving bool) {
	if !leaving || row.Leaving {
		return
	}
	row.Leaving = true
	invalidateSenders(t, now, row.DataCentre)
	t.Membership.PeersChanged = true
	t.Membership.Liveness.ScheduleAt(now)
}

// recordLinkOpened marks a VM as linked and live. If the link is to a new incarnation, the VM gets
// a new row; a link to an outdated incarnation is closed.
func recordLinkOpened(t *fleet.Tables, now cs.Instant, out *fleet.Actions, vm cs.VM) {
	row := t.VMs.Get(vm.ID)
	if row != nil && row.Incarnation > vm.Incarnation {
		out.Add(fleet.CloseLink{VM: vm.ID}) // of a process that has been replaced
		return
	}
	if row == nil || row.Incarnation < vm.Incarnation {
		listedAt := cs.Instant(0)
		if row != nil && row.Listed != 0 {
			// Prefer the address in the platform's list: a VM may not know the address at which others
			// reach it.
			vm.Address, listedAt = row.Address, row.Listed
		}
		row = t.VMs.Insert(vm.ID, fleet.VM{VM: vm, Listed: listedAt, LiveSince: now})
		t.Membership.PeersChanged = true
	}
	row.Linked, row.LinkedAt = true, now
	row.LastMessageAt, row.BrokenAt = now, 0
	setLeaving(t, now, row, vm.Leaving)
	setLive(t, now, out, row, true)
	t.Membership.Liveness.ScheduleAt(now)
}

// recordLinkClosed sets when a link broke or a dial failed. A failed dial counts from its start,
// and only if no link is open and no earlier break is recorded.
func recordLinkClosed(t *fleet.Tables, now cs.Instant, e fleet.LinkClosed) {
	row := t.VMs.Get(e.VM)
	switch {
	case row == nil:
		return
	case e.Incarnation == 0 && !row.Linked && row.BrokenAt == 0:
		row.BrokenAt = now
		if row.Dialing {
			row.BrokenAt = row.DialedAt
		}
	case e.Incarnation == row.Incarnation && row.Linked:
		row.Linked, row.BrokenAt = false, now
	default: // the link was to a former process, or another dial failed
		return
	}
	t.Membership.Liveness.ScheduleAt(now)
}

// handleMessage updates the row of a message's sender. A message received after its link closed is
// ignored, since it may be from a former process.
func handleMessage(t *fleet.Tables, now cs.Instant, out *fleet.Actions, e fleet.PeerMessageReceived) {
	row := t.VMs.Get(e.From)
	if row == nil || !row.Linked {
		return
	}
	row.LastMessageAt = now
	if !row.Live {
		setLive(t, now, out, row, true)
		t.Membership.Liveness.ScheduleAt(now)
	}
	if heartbeat, ok := e.Message.(cs.Heartbeat); ok {
		recordHeartbeat(row, heartbeat, now)
		setLeaving(t, now, row, heartbeat.Leaving)
	}
}

// recordHeartbeat stores a VM's heartbeat and sets the VM's backlog from it.
func recordHeartbeat(row *fleet.VM, heartbeat cs.Heartbeat, now cs.Instant) {
	row.LastHeartbeat, row.HeartbeatAt = heartbeat, now
	if row.Backlog == nil && len(heartbeat.Owned) > 0 {
		row.Backlog = make(map[cs.ShardID]cs.ItemIndex)
	}
	clear(row.Backlog)
	for _, o := range heartbeat.Owned {
		row.Backlog[o.Shard] = o.Waiting
	}
}

// invalidateSenders requests that the batch senders of a data centre's runners be assigned again.
func invalidateSenders(t *fleet.Tables, now cs.Instant, dc cs.DataCentreID) {
	m := &t.Membership
	if !slices.Contains(m.SendersStale, dc) {
		m.SendersStale = append(m.SendersStale, dc)
	}
	m.AssignSenders.ScheduleAt(now)
}
