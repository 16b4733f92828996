package routing

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const testStart cs.Instant = 1_000_000

// newTables returns a VM with n runners of model m and one of service s.
func newTables(n int) *fleet.Tables {
	self := cs.VM{ID: "vm0", DataCentre: "a"}
	t := fleet.New(fleet.DefaultConfig(), self, testStart, 1)
	t.VMs.Insert(self.ID, fleet.VM{VM: self, Live: true})
	for i := range n {
		id := cs.RunnerID(fmt.Sprint("r", i))
		report := cs.LoadReport{Load: cs.Load{Slots: 8}, Loaded: []cs.LoadedModel{{Model: "m", Version: "1"}}}
		t.Runners.Insert(id, fleet.Runner{
			Runner: cs.Runner{ID: id, DataCentre: "a", Slots: 8, Service: "g"}, Report: report, ReportAt: testStart, Sender: "vm1",
		})
	}
	t.Runners.Insert("s0", fleet.Runner{Runner: cs.Runner{ID: "s0", Kind: cs.KindService, Service: "s", DataCentre: "a", Slots: 4}})
	return t
}

func newRequest(id cs.RequestID) cs.Request {
	return cs.Request{ID: id, Tenant: "t", Deadline: testStart + 10_000, Target: cs.Generation{Model: "m", Prompt: string(id)}}
}

// runTick runs the systems of the package on the events and returns their actions.
func runTick(t *fleet.Tables, now cs.Instant, events ...fleet.Event) []fleet.Action {
	var out fleet.Actions
	t.Events = events
	Settle(t, now, &out)
	Admit(t, now, &out)
	Dispatch(t, now, &out)
	return out.List
}

// actionsOf returns the actions of one type.
func actionsOf[A fleet.Action](list []fleet.Action) (found []A) {
	for _, a := range list {
		if x, ok := a.(A); ok {
			found = append(found, x)
		}
	}
	return found
}

// TestAdmitRefuses guards against accepting requests that cannot be served, and against refusals
// that do not report "not run".
func TestAdmitRefuses(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*fleet.Tables, *cs.Request)
		want   cs.Reason
	}{
		"leaving":         {func(t *fleet.Tables, _ *cs.Request) { t.Drain.Phase = fleet.DrainFinishing }, cs.ReasonLeaving},
		"expired":         {func(_ *fleet.Tables, r *cs.Request) { r.Deadline = testStart }, cs.ReasonExpired},
		"unknown model":   {func(_ *fleet.Tables, r *cs.Request) { r.Target = cs.Generation{Model: "x"} }, cs.ReasonNotFound},
		"unknown service": {func(_ *fleet.Tables, r *cs.Request) { r.Target = cs.ServiceCall{Service: "x"} }, cs.ReasonNotFound},
		"full queue":      {func(t *fleet.Tables, _ *cs.Request) { t.Config.MaxQueued = 0 }, cs.ReasonOverloaded},
		"tenant's limit": {func(t *fleet.Tables, _ *cs.Request) {
			l := cs.TenantLimits{Tenant: "t", MaxOnline: 1}
			t.Tickets.Insert(l.Scope(), fleet.Ticket{LoggedTicket: cs.LoggedTicket{Ticket: cs.Ticket{State: l}}})
			t.Tenants.Insert("t", fleet.Tenant{Online: 1})
		}, cs.ReasonOverloaded},
		"quarantined": {func(t *fleet.Tables, r *cs.Request) {
			t.Suspects.Insert(cs.HashTarget(r.Target), fleet.Suspect{Quarantined: true, Until: testStart + 1})
		}, cs.ReasonQuarantined},
	} {
		tb, r := newTables(1), newRequest("q")
		c.change(tb, &r)
		got := actionsOf[fleet.Finish](runTick(tb, testStart, fleet.RequestArrived{Request: r}))
		qt.Assert(t, got, qt.HasLen, 1, qt.Commentf(name))
		qt.Check(t, got[0].Refusal.Reason, qt.Equals, c.want, qt.Commentf(name))
		ran := cs.RanNotRun
		if c.want == cs.ReasonQuarantined {
			ran = cs.RanFailed // the same content ran before
		}
		qt.Check(t, got[0].Refusal.Ran, qt.Equals, ran, qt.Commentf(name))
		qt.Check(t, tb.Requests.Len(), qt.Equals, 0)
	}
}

// TestWeightedFairOrder guards against a tenant that delays others by sending many requests at the
// same time.
func TestWeightedFairOrder(t *testing.T) {
	tb := newTables(0)
	l := cs.TenantLimits{Tenant: "heavy", Weight: 2}
	tb.Tickets.Insert(l.Scope(), fleet.Ticket{LoggedTicket: cs.LoggedTicket{Ticket: cs.Ticket{State: l}}})
	tb.Tickets.Insert("deployment/d", fleet.Ticket{LoggedTicket: cs.LoggedTicket{Ticket: cs.Ticket{State: cs.Deployment{Name: "d", Model: "m"}}}})
	var events []fleet.Event
	for i, tenant := range []cs.TenantID{"flood", "flood", "flood", "flood", "heavy", "heavy", "light"} {
		r := newRequest(cs.RequestID(fmt.Sprint(i)))
		r.Tenant = tenant
		events = append(events, fleet.RequestArrived{Request: r})
	}
	qt.Assert(t, actionsOf[fleet.Dispatch](runTick(tb, testStart, events...)), qt.HasLen, 0)
	tb.Runners.Insert("r", *newTables(1).Runners.Get("r0"))
	var got []cs.RequestID
	for _, d := range actionsOf[fleet.Dispatch](runTick(tb, testStart)) {
		got = append(got, d.ID)
	}
	qt.Assert(t, got, qt.DeepEquals, []cs.RequestID{"4", "0", "5", "6", "1", "2", "3"})
}
