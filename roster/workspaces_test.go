package roster_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/roster"
)

// stateVM returns a VM that has not read the store, and a catalog with and without workspaces.
func stateVM(config gateway.Config) (t *gateway.Tables, plain, keyed *cs.Catalog) {
	t = gateway.New(config, cs.VM{ID: "a", DataCentre: "a"}, 1_000_000, 1)
	plain = cs.NewCatalog(7, []cs.Route{{Name: "r"}}, nil, cs.CallerLimits{})
	return t, plain, plain.WithWorkspaces([]cs.Workspace{{ID: "w"}})
}

// Guards against a VM that accepts requests without keys since a peer of an earlier version has handed over a catalog without its
// workspaces, and against such a state being refused where there are none.
func TestStateWithoutWorkspacesIsNotAdopted(t *testing.T) {
	c := qt.New(t)
	runners := []cs.Runner{{ID: "i", Service: "s", Address: "10.0.0.1:80", Slots: 1}}
	for name, test := range map[string]struct {
		config  gateway.Config
		known   bool
		names   bool
		adopted bool
	}{
		"no sign of workspaces":  {adopted: true},
		"withdrawal bound":       {config: gateway.Config{RevokeBound: 3000}},
		"limits":                 {config: gateway.Config{Quota: gateway.Quota{Window: 5000}}},
		"known workspaces":       {known: true},
		"state of this version":  {config: gateway.Config{RevokeBound: 3000}, known: true, names: true, adopted: true},
		"first state, no bounds": {names: true, adopted: true},
	} {
		c.Run(name, func(c *qt.C) {
			t, plain, keyed := stateVM(test.config)
			state := gateway.PeerState{Catalog: plain, Runners: runners, NamesWorkspaces: test.names}
			if test.known {
				t.Catalog = keyed
				newer := *plain
				newer.Version++
				state.Catalog = &newer
			}
			runSystem(t, 1_000_100, roster.Bootstrap, gateway.PeerStateRead{Peer: "b", State: state})
			c.Assert(t.Catalog == state.Catalog, qt.Equals, test.adopted)
		})
	}
}

// Guards against a catalog that stays without workspaces until the next version, since a peer handed it over without them.
func TestStoreRestoresWorkspaces(t *testing.T) {
	c := qt.New(t)
	vm, plain, keyed := stateVM(gateway.Config{})
	vm.Catalog = plain
	runSystem(vm, 1_000_100, roster.Catalog, gateway.CatalogRead{Catalog: keyed})
	c.Assert(vm.Catalog == keyed, qt.IsTrue)
	runSystem(vm, 1_000_100, roster.Catalog, gateway.CatalogRead{Catalog: plain})
	c.Assert(vm.Catalog == keyed, qt.IsTrue)
}

// Guards against a catalog that counts as confirmed by a read that brought a version which cannot be decoded, or by one that did not
// reach the end of the feed, and against a confirmation as of a later instant than that of the read.
func TestCatalogIsConfirmedByReads(t *testing.T) {
	c := qt.New(t)
	vm, _, _ := stateVM(gateway.Config{})
	feed := vm.Feeds[gateway.FeedCatalog]
	read := func(e gateway.FeedRead) {
		e.Feed = gateway.FeedCatalog
		runSystem(vm, 1_000_500, roster.Feeds, e)
	}
	read(gateway.FeedRead{Loaded: true, AsOf: 900, SentAt: 400})
	c.Assert(feed.ConfirmedAt, qt.Equals, cs.BootInstant(400))
	read(gateway.FeedRead{Loaded: false, SentAt: 500})
	c.Assert(feed.ConfirmedAt, qt.Equals, cs.BootInstant(400))
	read(gateway.FeedRead{Loaded: true, AsOf: 1200, SentAt: 700, Unreadable: true})
	c.Assert(feed.ConfirmedAt, qt.Equals, cs.BootInstant(400))
	c.Assert(feed.Unreadable, qt.IsTrue)
	read(gateway.FeedRead{Loaded: true, AsOf: 1300, SentAt: 300})
	c.Assert(feed.ConfirmedAt, qt.Equals, cs.BootInstant(400))
	c.Assert(feed.Unreadable, qt.IsFalse)
	read(gateway.FeedRead{Loaded: true, AsOf: 1300, SentAt: 800})
	c.Assert(feed.ConfirmedAt, qt.Equals, cs.BootInstant(800))
}
