package membership

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// listRunners takes over the runners of a list.
func listRunners(t *fleet.Tables, now cs.Instant, out *fleet.Actions, list fleet.ListRead) {
	centres := []cs.DataCentreID{t.Self.DataCentre} // with a VM
	for _, vm := range list.VMs {
		if !slices.Contains(centres, vm.DataCentre) {
			centres = append(centres, vm.DataCentre)
		}
	}
	for _, r := range list.Runners {
		row := listRunner(t, now, out, r)
		// The VMs of a data centre poll its runners; those of a data centre without VMs are polled
		// by all others.
		near := row.DataCentre == t.Self.DataCentre || !slices.Contains(centres, row.DataCentre)
		setWatched(row, out, near)
	}
	for _, r := range t.Runners.All() {
		if r.Listed == now || r.Gone {
			continue
		}
		r.Gone, r.Leaving = true, true
		t.Membership.GoneRunners++
		setWatched(r, out, false)
		out.Note("runner", "gone", fleet.Field{Name: "runner", Value: r.ID})
	}
}

// listRunner takes over one entry and returns its row.
func listRunner(t *fleet.Tables, now cs.Instant, out *fleet.Actions, r cs.Runner) *fleet.Runner {
	row := t.Runners.Get(r.ID)
	if row == nil {
		markSenders(t, now, r.DataCentre)
		return t.Runners.Insert(r.ID, fleet.Runner{Runner: r, Listed: now})
	}
	row.Listed = now
	if row.Gone {
		row.Gone, row.Leaving = false, false
		t.Membership.GoneRunners--
	}
	if r.Incarnation < row.Incarnation {
		return row // a list that fell back
	}
	if r.Address != row.Address {
		setWatched(row, out, false)
	}
	if r.DataCentre != row.DataCentre {
		markSenders(t, now, r.DataCentre)
	}
	if r.Incarnation > row.Incarnation {
		*row = replacement(row, r)
		out.Note("runner", "replaced", fleet.Field{Name: "runner", Value: r.ID})
		return row
	}
	if r.Leaving && !row.Leaving {
		out.Note("runner", "leaving", fleet.Field{Name: "runner", Value: r.ID})
	}
	r.Leaving = r.Leaving || row.Leaving // the runner itself may have said so before the list
	row.Runner = r
	return row
}

// replacement returns the row of a new process of a runner: without statistics, but with the work
// in flight, which is counted down as it ends.
func replacement(old *fleet.Runner, r cs.Runner) fleet.Runner {
	return fleet.Runner{
		Runner: r, Listed: old.Listed, Watched: old.Watched,
		Online: old.Online, Batch: old.Batch, Offered: old.Offered,
		Sender: old.Sender, SenderSince: old.SenderSince,
	}
}

func setWatched(r *fleet.Runner, out *fleet.Actions, watched bool) {
	if r.Watched == watched {
		return
	}
	r.Watched = watched
	out.Add(fleet.Watch{Runner: r.ID, Address: r.Address, Off: !watched})
}

// dropRunners deletes the runners that are gone and have nothing in flight.
func dropRunners(t *fleet.Tables) {
	if t.Membership.GoneRunners == 0 {
		return
	}
	t.Runners.DeleteFunc(func(_ cs.RunnerID, r *fleet.Runner) bool {
		idle := r.Online == 0 && r.Batch == 0 && r.Offered == 0
		if r.Gone && idle {
			t.Membership.GoneRunners--
		}
		return r.Gone && idle
	})
}
