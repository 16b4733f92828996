package forward_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// requireKeys returns a catalog with workspace "w", which has the given keys and priority 0, and workspace "v", which has the key "l".
func (vm *testVM) requireKeys(version cs.CatalogVersion, keysOfW ...string) *cs.Catalog {
	w := cs.Workspace{ID: "w", HasPriority: true}
	for _, key := range keysOfW {
		w.Keys = append(w.Keys, cs.DigestKey(key))
	}
	return cs.NewCatalog(version, nil, nil, cs.CallerLimits{}).WithWorkspaces([]cs.Workspace{
		w, {ID: "v", Keys: []cs.KeyDigest{cs.DigestKey("l")}},
	})
}

// confirm makes the newest version of the catalog known as of now.
func (vm *testVM) confirm() gateway.Event {
	return gateway.FeedRead{Feed: gateway.FeedCatalog, Loaded: true, AsOf: vm.now, SentAt: vm.BootTime(vm.now)}
}

// keyedArrival returns the arrival of a request with a key.
func (vm *testVM) keyedArrival(id gateway.ForwardID, r cs.Route, key string) gateway.Event {
	arrived := vm.arrival(id, r).(gateway.ForwardArrived)
	arrived.Forward.ArrivedBoot = vm.BootTime(vm.now)
	if key != "" {
		arrived.Forward.Key = cs.DigestKey(key)
	}
	return arrived
}

// Guards against a request that runs without a key or for another workspace than that of its key, when the view by which it was
// let in was older than the catalog.
func TestAdmitDecidesByNewestCatalog(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a")
	vm.tick(gateway.CatalogRead{Catalog: vm.requireKeys(1, "k")}, vm.confirm())
	dispatches, refusals := vm.tick(vm.keyedArrival(1, onceRoute, "k"), vm.keyedArrival(2, onceRoute, "x"), vm.keyedArrival(3, onceRoute, ""))
	c.Assert(dispatches, qt.HasLen, 1)
	c.Assert(dispatches[0].Access, qt.Equals, gateway.RunnerAccess{RequiresKeys: true, Workspace: "w"})
	c.Assert(refusals, qt.HasLen, 2)
	for _, r := range refusals {
		c.Assert(r.Refusal.Reason, qt.Equals, cs.ReasonUnauthorized)
		c.Assert(r.Refusal.Ran, qt.Equals, cs.RanNotRun)
	}
	public := onceRoute
	public.Public = true
	dispatches, _ = vm.tick(vm.keyedArrival(4, public, "x"))
	c.Assert(dispatches, qt.HasLen, 1)
	c.Assert(dispatches[0].Access, qt.Equals, gateway.RunnerAccess{RequiresKeys: true})
}

// Guards against a request that was sent with a key after the bound of its withdrawal and runs, since the catalog of this VM is old.
func TestUnconfirmedKeyIsNotAdmitted(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.Config.RevokeBound = 3000
	vm.addRunner("a1", "a")
	vm.tick(gateway.CatalogRead{Catalog: vm.requireKeys(1, "k")}, vm.confirm())
	vm.now = vm.now.Add(2 * cs.Second)
	vm.Suspended = cs.Second // the machine was suspended, which the time of the loop does not count
	_, refusals := vm.tick(vm.keyedArrival(1, onceRoute, "k"))
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
	c.Assert(refusals[0].RetryAfter, qt.Equals, gateway.RetryUnconfirmed)
	dispatches, _ := vm.tick(vm.confirm(), vm.keyedArrival(2, onceRoute, "k"))
	c.Assert(dispatches, qt.HasLen, 1)
}

// Guards against a request that is sent to a runner although its key was withdrawn while it waited, and against a withdrawal that
// stops a request of another key or of a public route.
func TestKeyIsCheckedBeforeDispatch(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	r := vm.addRunner("a1", "a")
	r.Online = 10
	public := onceRoute
	public.Public = true
	vm.tick(gateway.CatalogRead{Catalog: vm.requireKeys(1, "k", "k2")}, vm.confirm())
	dispatches, refusals := vm.tick(vm.keyedArrival(1, onceRoute, "k"), vm.keyedArrival(2, onceRoute, "k2"), vm.keyedArrival(3, public, "k"))
	c.Assert(dispatches, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 0)
	vm.Runners.Get("a1").Online = 0
	dispatches, refusals = vm.tick(gateway.CatalogRead{Catalog: vm.requireKeys(2, "k2")})
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].ID, qt.Equals, gateway.ForwardID(1))
	c.Assert(refusals[0].Refusal.Reason, qt.Equals, cs.ReasonUnauthorized)
	c.Assert(dispatches, qt.HasLen, 2)
	for _, d := range dispatches {
		want := gateway.RunnerAccess{RequiresKeys: true}
		if d.ID == 2 {
			want.Workspace = "w"
		}
		c.Assert(d.Access, qt.Equals, want)
	}
}

// Guards against a request whose workspace has a priority and that waits by the priority of its route, or the reverse.
func TestPriorityOfWorkspaceReplacesThatOfRoute(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a").Online = 9 // the runner has room for one more
	low, high := onceRoute, onceRoute
	low.Priority, high.Priority = 2, 1
	vm.tick(gateway.CatalogRead{Catalog: vm.requireKeys(1, "k")}, vm.confirm())
	dispatches, _ := vm.tick(vm.keyedArrival(1, high, "l"), vm.keyedArrival(2, low, "k"))
	c.Assert(dispatches, qt.HasLen, 1)
	c.Assert(dispatches[0].ID, qt.Equals, gateway.ForwardID(2))
}

// Guards against a final 401 for a valid key that was moved to another workspace while its request waited, and against a request that runs
// for the former workspace.
func TestMovedKeyIsRefusedAsNotRun(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a").Online = 10
	vm.tick(gateway.CatalogRead{Catalog: vm.requireKeys(1, "k")}, vm.confirm())
	vm.tick(vm.keyedArrival(1, onceRoute, "k"))
	moved := cs.NewCatalog(2, nil, nil, cs.CallerLimits{}).WithWorkspaces([]cs.Workspace{{ID: "v", Keys: []cs.KeyDigest{cs.DigestKey("k")}}})
	_, refusals := vm.tick(gateway.CatalogRead{Catalog: moved})
	c.Assert(refusals, qt.HasLen, 1)
	c.Assert(refusals[0].Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
	c.Assert(refusals[0].Refusal.Ran, qt.Equals, cs.RanNotRun)
}

// Guards against a request without a key on a route that the newest version no longer makes public.
func TestRouteThatIsNoLongerPublicNeedsKey(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a")
	route := onceRoute
	route.Host = "h"
	vm.Catalog = cs.NewCatalog(2, []cs.Route{route}, nil, cs.CallerLimits{}).WithWorkspaces([]cs.Workspace{{ID: "w", Keys: []cs.KeyDigest{cs.DigestKey("k")}}})
	vm.tick(vm.confirm())
	old := route
	old.Public = true
	dispatches, refusals := vm.tick(vm.keyedArrival(1, old, ""))
	c.Check(dispatches, qt.HasLen, 0)
	c.Check(refusals, qt.HasLen, 1)
}

// Guards against a request without a key that is sent after the version that requires keys is in force, and against one with a key that
// is sent without its workspace.
func TestWaitingRequestsAreJudgedWhenKeysAreRequired(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a").Online = 10
	vm.tick(gateway.CatalogRead{Catalog: cs.NewCatalog(1, nil, nil, cs.CallerLimits{})}, vm.confirm())
	dispatches, refusals := vm.tick(vm.keyedArrival(1, onceRoute, ""), vm.keyedArrival(2, onceRoute, "k"))
	c.Assert(dispatches, qt.HasLen, 0)
	c.Assert(refusals, qt.HasLen, 0)
	vm.Runners.Get("a1").Online = 0
	dispatches, refusals = vm.tick(gateway.CatalogRead{Catalog: vm.requireKeys(2, "k")}, vm.confirm())
	c.Assert(refusals, qt.HasLen, 1)
	c.Check(refusals[0].ID, qt.Equals, gateway.ForwardID(1))
	c.Check(refusals[0].Refusal.Reason, qt.Equals, cs.ReasonUnauthorized)
	c.Assert(dispatches, qt.HasLen, 1)
	c.Check(dispatches[0].Access, qt.Equals, gateway.RunnerAccess{RequiresKeys: true, Workspace: "w"})
}

// Guards against a stream that is cut in the middle of its response, since its key was withdrawn while it waited to be resumed.
func TestBegunStreamIsResumedAfterWithdrawalOfItsKey(t *testing.T) {
	c := qt.New(t)
	vm := newTestVM()
	vm.addRunner("a1", "a")
	vm.addRunner("a2", "a")
	vm.tick(gateway.CatalogRead{Catalog: vm.requireKeys(1, "k")}, vm.confirm())
	resumable := onceRoute
	resumable.Kind, resumable.Resumable, resumable.MaxAttempts = cs.RouteStreaming, true, 3
	dispatches, _ := vm.tick(vm.keyedArrival(1, resumable, "k"))
	c.Assert(dispatches, qt.HasLen, 1)
	vm.tick(gateway.ForwardStarted{ID: 1, Attempt: 1})
	vm.tick(gateway.CatalogRead{Catalog: vm.requireKeys(2, "l2")}, vm.confirm())
	sent, refusals := vm.tick(gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeInterrupted{Error: "timed out", TimedOut: true, LastEvent: 3}})
	for range 20 {
		if len(sent)+len(refusals) > 0 {
			break
		}
		vm.now = vm.now.Add(50)
		sent, refusals = vm.tick()
	}
	c.Check(refusals, qt.HasLen, 0)
	c.Check(sent, qt.HasLen, 1)
}
