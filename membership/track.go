package membership

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Track writes the rows of VMs and runners, and the state of the log, from the events of the tick.
func Track(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	if t.VMs.Get(t.Self.ID) == nil {
		t.VMs.Insert(t.Self.ID, fleet.VM{VM: t.Self, Live: true, LiveSince: now})
		t.Membership.Verdicts.At(now)
	}
	notePause(t, now, out)
	for _, e := range t.Events {
		track(t, now, out, e)
	}
	judge(t, now, out)
}

// pause is the time without a tick after which this process counts as having been stopped; the
// control loop ticks twice a second even if nothing happens.
const pause = 1500 * cs.Millisecond

// notePause keeps a process that was stopped for a while from taking the silence for the death of
// its peers: they are heard as of now, and the log counts as just read again.
func notePause(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	last := t.Membership.TickAt
	t.Membership.TickAt = now
	if last == 0 || now.Sub(last) < pause {
		return
	}
	out.Note("vm", "resumed after a pause", fleet.Field{Name: "pause", Value: now.Sub(last).String()})
	t.Log.FailedAt = now
	for _, vm := range t.VMs.All() {
		if vm.Linked {
			vm.Heard = now
		}
	}
}

func track(t *fleet.Tables, now cs.Instant, out *fleet.Actions, e fleet.Event) {
	switch e := e.(type) {
	case fleet.ListRead:
		readList(t, now, out, e)
	case fleet.LinkOpened:
		openLink(t, now, out, e.VM)
	case fleet.LinkClosed:
		closeLink(t, now, e)
	case fleet.PeerSaid:
		hear(t, now, out, e)
	case fleet.LoadReported:
		if r := t.Runners.Get(e.Runner); r != nil && e.Report.Leaving && !r.Leaving {
			r.Leaving = true
			out.Note("runner", "leaving", fleet.Field{Name: "runner", Value: r.ID})
		}
	case fleet.LogRead:
		t.Log.Read(now)
	case fleet.LogFailed:
		t.Log.FailedAt = now
	default: // of other packages
	}
}

// readList takes over the platform's list. A list without any entry is a fault of the list service,
// since it would show at least this VM.
func readList(t *fleet.Tables, now cs.Instant, out *fleet.Actions, list fleet.ListRead) {
	if len(list.VMs) == 0 && len(list.Runners) == 0 {
		return
	}
	t.Membership.ListReadAt = now
	for _, vm := range list.VMs {
		listVM(t, now, vm)
	}
	listRunners(t, now, out, list)
	t.Membership.PeersChanged = true
	t.Membership.Verdicts.At(now)
}

// listVM takes over one entry. The list lags behind the links, so an older incarnation than the one
// known changes nothing.
func listVM(t *fleet.Tables, now cs.Instant, vm cs.VM) {
	row := t.VMs.Get(vm.ID)
	if row == nil || row.Incarnation < vm.Incarnation && vm.ID != t.Self.ID {
		markSenders(t, now, vm.DataCentre) // the earlier process may have been one
		t.VMs.Insert(vm.ID, fleet.VM{VM: vm, Listed: now, LiveSince: now})
		return
	}
	if vm.Incarnation != 0 && row.Incarnation != vm.Incarnation {
		return // an entry without an incarnation speaks of whichever process runs
	}
	row.Listed = now
	row.Address, row.DataCentre = vm.Address, vm.DataCentre
	setLeaving(t, now, row, vm.Leaving)
}

// setLeaving marks a VM as leaving. A drain is never undone, so that a list that lags behind a
// heartbeat does not bring the VM back.
func setLeaving(t *fleet.Tables, now cs.Instant, row *fleet.VM, leaving bool) {
	if !leaving || row.Leaving {
		return
	}
	row.Leaving = true
	markSenders(t, now, row.DataCentre)
	t.Membership.PeersChanged = true
	t.Membership.Verdicts.At(now)
}

func openLink(t *fleet.Tables, now cs.Instant, out *fleet.Actions, vm cs.VM) {
	row := t.VMs.Get(vm.ID)
	if row != nil && row.Incarnation > vm.Incarnation {
		out.Add(fleet.HangUp{VM: vm.ID}) // a process that was replaced
		return
	}
	if row == nil || row.Incarnation < vm.Incarnation {
		listed := cs.Instant(0)
		if row != nil && row.Listed != 0 {
			// The platform knows how a VM is reached from here; the VM itself may not.
			vm.Address, listed = row.Address, row.Listed
		}
		row = t.VMs.Insert(vm.ID, fleet.VM{VM: vm, Listed: listed, LiveSince: now})
		t.Membership.PeersChanged = true
	}
	row.Linked, row.LinkedAt = true, now
	row.Heard, row.Broken = now, 0
	setLeaving(t, now, row, vm.Leaving)
	setLive(t, now, out, row, true)
	t.Membership.Verdicts.At(now)
}

// closeLink notes a broken link. A dial that failed counts from its start, and only if no link was
// open since.
func closeLink(t *fleet.Tables, now cs.Instant, e fleet.LinkClosed) {
	row := t.VMs.Get(e.VM)
	switch {
	case row == nil:
		return
	case e.Incarnation == 0 && !row.Linked && row.Broken == 0:
		row.Broken = now
		if row.Dialing {
			row.Broken = row.DialedAt
		}
	case e.Incarnation == row.Incarnation && row.Linked:
		row.Linked, row.Broken = false, now
	default: // of an earlier process, or one more dial that failed
		return
	}
	t.Membership.Verdicts.At(now)
}

// hear takes over what a message tells about its sender. A message that comes after its link closed
// may be of an earlier process.
func hear(t *fleet.Tables, now cs.Instant, out *fleet.Actions, e fleet.PeerSaid) {
	row := t.VMs.Get(e.From)
	if row == nil || !row.Linked {
		return
	}
	row.Heard = now
	if !row.Live {
		setLive(t, now, out, row, true)
		t.Membership.Verdicts.At(now)
	}
	if beat, ok := e.Message.(cs.Heartbeat); ok {
		takeBeat(row, beat, now)
		setLeaving(t, now, row, beat.Leaving)
	}
}

func takeBeat(row *fleet.VM, beat cs.Heartbeat, now cs.Instant) {
	row.Beat, row.BeatAt = beat, now
	if row.Backlog == nil && len(beat.Owned) > 0 {
		row.Backlog = make(map[cs.ShardID]cs.ItemIndex)
	}
	clear(row.Backlog)
	for _, o := range beat.Owned {
		row.Backlog[o.Shard] = o.Waiting
	}
}

// markSenders asks for the senders of a data centre's runners to be chosen again.
func markSenders(t *fleet.Tables, now cs.Instant, centre cs.DataCentreID) {
	m := &t.Membership
	if !slices.Contains(m.SendersStale, centre) {
		m.SendersStale = append(m.SendersStale, centre)
	}
	m.Senders.At(now)
}
