package forward_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// ask is a route of streams.
var ask = cs.Route{Name: "ask", Kind: cs.RouteStreaming, MaxAttempts: 2, Target: 300, Timeout: 5 * cs.Second}

// newVMWithWorkspaces returns a VM with a runner whose catalog has workspaces.
func newVMWithWorkspaces() *testVM {
	vm := newTestVM()
	vm.addRunner("r1", "a")
	vm.Catalog = cs.NewCatalog(1, []cs.Route{ask}, nil, cs.CallerLimits{}).WithWorkspaces([]cs.Workspace{
		{ID: "flood", Keys: []cs.KeyDigest{cs.DigestKey("flood")}}, {ID: "small", Keys: []cs.KeyDigest{cs.DigestKey("small")}},
	})
	return vm
}

// arrivalOf returns the arrival event of a request of a workspace.
func (vm *testVM) arrivalOf(w cs.WorkspaceID, id gateway.ForwardID) gateway.Event {
	e := vm.arrival(id, ask).(gateway.ForwardArrived)
	e.Forward.Key = cs.DigestKey(string(w))
	return e
}

// Guards against a workspace with many waiting requests that gets all slots before the request of another one that came later. Without
// workspaces, the oldest requests come first.
func TestWaitingRequestsAreSentFairly(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		c := qt.New(t)
		vm := newVMWithWorkspaces()
		vm.Catalog.RequiresKeys = keyed
		var events []gateway.Event
		for id := range gateway.ForwardID(30) {
			events = append(events, vm.arrivalOf("flood", id+1))
		}
		dispatches, _ := vm.tick(append(events, vm.arrivalOf("small", 100))...)
		sent := false
		for _, d := range dispatches {
			sent = sent || d.ID == 100
		}
		c.Check(sent, qt.Equals, keyed, qt.Commentf("%d requests sent", len(dispatches)))
	}
}

// Guards against the priority of the route being used where the workspace has another one.
func TestPriorityOfWorkspaceComesFirst(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		c := qt.New(t)
		vm := newVMWithWorkspaces()
		vm.Catalog = vm.Catalog.WithWorkspaces([]cs.Workspace{
			{ID: "flood", HasPriority: true, Priority: 1, Keys: []cs.KeyDigest{cs.DigestKey("flood")}},
			{ID: "first", HasPriority: true, Keys: []cs.KeyDigest{cs.DigestKey("first")}},
		})
		vm.Catalog.RequiresKeys = keyed
		var events []gateway.Event
		for id := range gateway.ForwardID(12) {
			events = append(events, vm.arrivalOf("flood", id+1))
		}
		first := vm.arrivalOf("first", 100).(gateway.ForwardArrived)
		first.Forward.Route.Priority = 1
		dispatches, _ := vm.tick(append(events, first)...)
		c.Assert(dispatches, qt.Not(qt.HasLen), 0)
		c.Check(dispatches[0].ID == 100, qt.Equals, keyed)
	}
}

// Guards against callers that all come back at the same time, against delays that callers do not wait, and against delays that change
// where no workspaces are configured.
func TestRetryTimesAreSpread(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		c := qt.New(t)
		vm := newVMWithWorkspaces()
		vm.Catalog.RequiresKeys = keyed
		var events []gateway.Event
		for id := range gateway.ForwardID(60) {
			events = append(events, vm.arrivalOf("flood", id+1))
		}
		_, refusals := vm.tick(events...)
		c.Assert(len(refusals) > 20, qt.IsTrue, qt.Commentf("%d refusals", len(refusals)))
		times := make(map[cs.Span]int)
		for _, r := range refusals {
			times[r.RetryAfter]++
			if keyed {
				c.Check(r.RetryAfter >= cs.Second && r.RetryAfter <= 1666, qt.IsTrue, qt.Commentf("%d ms", r.RetryAfter))
			} else {
				c.Check(r.RetryAfter, qt.Equals, 1500*cs.Millisecond)
			}
		}
		c.Check(len(times) > len(refusals)/2, qt.Equals, keyed, qt.Commentf("%d times for %d refusals", len(times), len(refusals)))
	}
}

// Guards against a request that is refused again although its caller has waited as it was told, while new requests are served.
func TestReturningRequestIsNotRefusedForOverload(t *testing.T) {
	c := qt.New(t)
	vm := newVMWithWorkspaces()
	var events []gateway.Event
	for id := range gateway.ForwardID(60) {
		events = append(events, vm.arrivalOf("flood", id+1))
	}
	back := vm.arrivalOf("flood", 100).(gateway.ForwardArrived)
	back.Forward.Deadline = vm.now.Add(3500)
	_, refusals := vm.tick(append(events, back)...)
	c.Assert(refusals, qt.Not(qt.HasLen), 0)
	for _, r := range refusals {
		c.Check(r.ID, qt.Not(qt.Equals), gateway.ForwardID(100))
	}
}

// Guards against a workspace that takes all rows for waiting requests of a VM, so that requests of others are refused on arrival.
func TestRowsAreLeftForOtherWorkspaces(t *testing.T) {
	c := qt.New(t)
	vm := newVMWithWorkspaces()
	slow := ask
	slow.Target = 0 // never refused for the wait
	arrive := func(w cs.WorkspaceID, id gateway.ForwardID) gateway.Event {
		e := vm.arrivalOf(w, id).(gateway.ForwardArrived)
		e.Forward.Route.Target = slow.Target
		return e
	}
	var events []gateway.Event
	for id := range gateway.ForwardID(2500) {
		events = append(events, arrive("flood", id+1))
	}
	_, refusals := vm.tick(events...)
	c.Check(len(refusals), qt.Equals, 1500)
	_, refusals = vm.tick(arrive("small", 5000))
	c.Check(refusals, qt.HasLen, 0)
}

// Guards against a log line for each request that is refused for the share of its workspace: there is one when the refusals begin and one
// when they have ended.
func TestRefusalsForShareAreLoggedOnce(t *testing.T) {
	c := qt.New(t)
	vm := newVMWithWorkspaces()
	counts := make(map[gateway.NoteKind]int)
	id := gateway.ForwardID(0)
	for step := range 3000 { // 15 s, of which the flood takes 5 s
		var events []gateway.Event
		if step < 1000 && step%2 == 0 {
			id++
			events = append(events, vm.arrivalOf("flood", id))
		}
		if step < 1000 && step%60 == 0 {
			id++
			events = append(events, vm.arrivalOf("small", id))
		}
		for _, f := range vm.Forwards.All() {
			if f.Phase == gateway.ForwardRunning && vm.now.Sub(f.SentAt) >= 400 {
				events = append(events, gateway.ForwardEnded{ID: f.ID, Attempt: f.Attempt, Outcome: gateway.OutcomeAnswered{Status: 200}})
			}
		}
		vm.tick(events...)
		for _, a := range vm.out.List {
			if n, ok := a.(gateway.Note); ok {
				counts[n.Kind]++
				if n.Kind == gateway.NoteShareExceeded || n.Kind == gateway.NoteShareRestored {
					c.Check(n.Workspace, qt.Equals, cs.WorkspaceID("flood"))
				}
			}
		}
		vm.now = vm.now.Add(5)
	}
	c.Check(counts[gateway.NoteRequestRefused] > 100, qt.IsTrue, qt.Commentf("%d refusals", counts[gateway.NoteRequestRefused]))
	c.Check(counts[gateway.NoteShareExceeded], qt.Equals, 1)
	c.Check(counts[gateway.NoteShareRestored], qt.Equals, 1)
}
