package roster_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/roster"
)

// Guards against callers that are directed to a VM until it refuses them, against a VM that stays unready, and against a
// suspension of the machine that is not counted.
func TestReadinessFollowsAgeOfCatalog(t *testing.T) {
	c := qt.New(t)
	vm, plain, keyed := stateVM(gateway.Config{RevokeBound: 3000})
	vm.Feeds[gateway.FeedRunners].Loaded = true
	vm.Runners.Insert("i", gateway.Runner{})
	vm.Catalog = keyed
	confirmedAt := cs.Instant(1_000_000)
	vm.Feeds[gateway.FeedCatalog].ConfirmedAt = vm.BootTime(confirmedAt)
	check := func(age cs.Span, ready, expired bool, wake cs.Span) {
		var out gateway.Actions
		roster.Confirmation(vm, confirmedAt.Add(age), &out)
		c.Check(gateway.NewView(vm).Ready, qt.Equals, ready, qt.Commentf("age %v", age))
		c.Check(vm.Confirmation.Expired, qt.Equals, expired, qt.Commentf("age %v", age))
		if wake != 0 {
			c.Check(out.NextWake(), qt.Equals, confirmedAt.Add(wake))
		}
	}
	check(0, true, false, 1501)
	check(1500, true, false, 1501)
	check(1501, false, false, 2901)
	check(2900, false, false, 2901)
	check(2901, false, true, 0)
	check(100, true, false, 1501)
	vm.Suspended = 2000
	check(100, false, false, 901)
	vm.Suspended = 20_000
	check(100, false, true, 0)
	vm.Catalog = plain
	check(100, true, false, 0)
	vm.Catalog, vm.Config.RevokeBound = keyed, 0
	check(100, true, false, 0)
}

// Guards against a log without a line when keys begin to be refused, or with one for each tick.
func TestRefusalOfKeysIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	vm, _, keyed := stateVM(gateway.Config{RevokeBound: 3000})
	vm.Catalog = keyed
	var kinds []gateway.NoteKind
	for range 3 {
		kinds = append(kinds, notesOf(runSystem(vm, 1_000_000, roster.Confirmation))...)
	}
	vm.Feeds[gateway.FeedCatalog].ConfirmedAt = 1_000_000
	for range 3 {
		kinds = append(kinds, notesOf(runSystem(vm, 1_000_000, roster.Confirmation))...)
	}
	c.Assert(kinds, qt.DeepEquals, []gateway.NoteKind{gateway.NoteKeysRefused, gateway.NoteKeysAccepted})
}

// notesOf returns the kinds of the notes among actions.
func notesOf(actions []gateway.Action) []gateway.NoteKind {
	var kinds []gateway.NoteKind
	for _, a := range actions {
		if n, ok := a.(gateway.Note); ok {
			kinds = append(kinds, n.Kind)
		}
	}
	return kinds
}
