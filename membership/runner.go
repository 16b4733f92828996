package membership

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// applyRunnerList updates the rows of runners from the platform's list.
func applyRunnerList(t *fleet.Tables, now cs.Instant, out *fleet.Actions, list fleet.ListRead) {
	withVMs := []cs.DataCentreID{t.Self.DataCentre} // data centres with at least one VM
	for _, vm := range list.VMs {
		if !slices.Contains(withVMs, vm.DataCentre) {
			withVMs = append(withVMs, vm.DataCentre)
		}
	}
	for _, r := range list.Runners {
		row := applyRunner(t, now, out, r)
		// The runners of a data centre are polled by its VMs, or by all VMs if it has none.
		polled := row.DataCentre == t.Self.DataCentre || !slices.Contains(withVMs, row.DataCentre)
		setPolling(row, out, polled)
	}
	for _, r := range t.Runners.All() {
		if r.Listed == now || r.Unlisted {
			continue
		}
		r.Unlisted, r.Leaving = true, true
		t.Membership.UnlistedRunners++
		setPolling(r, out, false)
		out.LogChange("runner", "gone", fleet.Field{Name: "runner", Value: r.ID})
	}
}

// applyRunner updates a runner's row from its registration in the list and returns the row.
func applyRunner(t *fleet.Tables, now cs.Instant, out *fleet.Actions, r cs.Runner) *fleet.Runner {
	row := t.Runners.Get(r.ID)
	if row == nil {
		invalidateSenders(t, now, r.DataCentre)
		return t.Runners.Insert(r.ID, fleet.Runner{Runner: r, Listed: now})
	}
	row.Listed = now
	if row.Unlisted {
		row.Unlisted, row.Leaving = false, false
		t.Membership.UnlistedRunners--
	}
	if r.Incarnation < row.Incarnation {
		return row // an outdated list
	}
	if r.Address != row.Address {
		setPolling(row, out, false)
	}
	if r.DataCentre != row.DataCentre {
		invalidateSenders(t, now, r.DataCentre)
	}
	if r.Incarnation > row.Incarnation {
		*row = rowAfterRestart(row, r)
		out.LogChange("runner", "replaced", fleet.Field{Name: "runner", Value: r.ID})
		return row
	}
	if r.Leaving && !row.Leaving {
		out.LogChange("runner", "leaving", fleet.Field{Name: "runner", Value: r.ID})
	}
	r.Leaving = r.Leaving || row.Leaving // the runner's load report may state it before the list
	row.Runner = r
	return row
}

// rowAfterRestart returns the row for a new incarnation of a runner. It has no statistics, but
// keeps the counts of work in flight at the old one, which fall as that work ends.
func rowAfterRestart(old *fleet.Runner, r cs.Runner) fleet.Runner {
	return fleet.Runner{
		Runner: r, Listed: old.Listed, Polled: old.Polled,
		Online: old.Online, Batch: old.Batch, Offered: old.Offered,
		Sender: old.Sender, SenderSince: old.SenderSince,
	}
}

// setPolling starts or stops polling a runner's load.
func setPolling(r *fleet.Runner, out *fleet.Actions, poll bool) {
	if r.Polled == poll {
		return
	}
	r.Polled = poll
	out.Add(fleet.PollLoad{Runner: r.ID, Address: r.Address, Stop: !poll})
}

// deleteUnlistedRunners deletes the runners that are no longer listed and have nothing in flight.
func deleteUnlistedRunners(t *fleet.Tables) {
	if t.Membership.UnlistedRunners == 0 {
		return
	}
	t.Runners.DeleteFunc(func(_ cs.RunnerID, r *fleet.Runner) bool {
		idle := r.Online == 0 && r.Batch == 0 && r.Offered == 0
		if r.Unlisted && idle {
			t.Membership.UnlistedRunners--
		}
		return r.Unlisted && idle
	})
}
