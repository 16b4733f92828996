package batchjob

import (
	"cmp"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fairness"
	"github.com/crocusstile/crocusstile/gateway"
)

// dueTimeBand is the difference of due times within which items of different workspaces count as equally urgent, a quarter of the
// completion target of the users' routes. Without it hardly any two jobs would be: a workspace that submits many jobs would get the slots
// in the order in which it submits them.
const dueTimeBand = 4500 * cs.Millisecond

// sortByUrgency sorts items, the most urgent first. In a catalog with workspaces, items of different workspaces whose due times are close
// to each other are ordered by what has been started of their workspaces.
func sortByUrgency(t *gateway.Tables, waiting []candidate, now cs.Instant) {
	slices.SortFunc(waiting, func(a, b candidate) int {
		return cmp.Or(a.urgency.compareTo(b.urgency), cmp.Compare(a.key.Job, b.key.Job), cmp.Compare(a.key.Index, b.key.Index))
	})
	if !t.HasWorkspaces() {
		return
	}
	forgetAccounts(t, now)
	next := make(map[cs.WorkspaceID]fairness.Work)
	tags := make(map[gateway.ItemKey]fairness.Work, len(waiting))
	for _, c := range waiting {
		spec := &t.Jobs.Get(c.key.Job).Spec
		tag, ok := next[spec.Workspace]
		if !ok {
			tag = t.ItemQueue.Start(accountOf(t, spec.Workspace))
		}
		tags[c.key], next[spec.Workspace] = tag, tag+itemWork(spec.Items[c.key.Index])
	}
	slices.SortStableFunc(waiting, func(a, b candidate) int {
		return cmp.Or(a.urgency.band().compareTo(b.urgency.band()), cmp.Compare(tags[a.key], tags[b.key]))
	})
}

// band returns the urgency with the due time rounded down to the band in which items count as equally urgent.
func (u urgency) band() urgency {
	return urgency{late: u.late, dueTime: u.dueTime / cs.Instant(dueTimeBand) * cs.Instant(dueTimeBand)}
}

// itemWork returns the work that a run of an item is expected to cause.
func itemWork(item gateway.Item) fairness.Work { return fairness.Work(max(item.Tokens, 1)) }

// accountOf returns the account of a workspace, and inserts it if there is none.
func accountOf(t *gateway.Tables, id cs.WorkspaceID) *fairness.Account {
	if a := t.ItemShares.Get(id); a != nil {
		return a
	}
	return t.ItemShares.Insert(id, fairness.Account{})
}

// chargeItem charges the account of a job's workspace for a run of an item.
func chargeItem(t *gateway.Tables, j *gateway.Job, item gateway.Item, now cs.Instant) {
	if t.HasWorkspaces() {
		t.ItemQueue.Send(accountOf(t, j.Spec.Workspace), itemWork(item), now)
	}
}

// forgetAccounts removes the accounts of workspaces that have started no items for some time.
func forgetAccounts(t *gateway.Tables, now cs.Instant) {
	t.ItemShares.DeleteFunc(func(_ cs.WorkspaceID, a *fairness.Account) bool { return t.ItemQueue.IsIdle(a, now) })
}
