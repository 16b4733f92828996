package batchjob_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// withWorkspaces replaces the catalog of a VM by one with workspaces.
func (v *vm) withWorkspaces() {
	v.Catalog = v.Catalog.WithWorkspaces([]cs.Workspace{{ID: "w1"}, {ID: "w2"}})
}

// newJobOf returns a job of a workspace with n items of ten tokens each.
func newJobOf(w cs.WorkspaceID, id cs.JobID, n int) gateway.JobSpec {
	s := newJob(id, n)
	s.Workspace = w
	return s
}

// Guards against a workspace whose waiting tokens keep jobs of other workspaces out, and against one that exceeds its own limit. In a
// catalog without workspaces the limit is that of the route, whatever the jobs say.
func TestTokenLimitIsThatOfWorkspace(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		c := qt.New(t)
		l := &jobLog{}
		v := newVM("a")
		if keyed {
			v.withWorkspaces()
		}
		submit(v, l, newJobOf("w1", "j1", 95), 1, startTime)
		submit(v, l, newJobOf("w1", "j2", 10), 2, startTime)
		submit(v, l, newJobOf("w2", "j3", 95), 3, startTime)
		c.Check(accepted(v, 1), qt.IsTrue)
		c.Check(accepted(v, 2), qt.IsFalse)
		c.Check(accepted(v, 3), qt.Equals, keyed)
	}
}

// Guards against VMs that accept jobs of one workspace at the same time and together exceed its limit.
func TestTokenLimitOfWorkspaceHoldsAcrossVMs(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	count := 0
	for i := range 4 {
		v := newVM(cs.VMID(fmt.Sprint("vm", i)))
		v.withWorkspaces()
		for n := range 6 {
			q := gateway.QueryID(n + 1)
			submit(v, l, newJobOf("w1", cs.JobID(fmt.Sprint("j", i, "-", n)), 30), q, startTime)
			v.readLog(l, startTime)
			v.tick(startTime)
			submit(v, l, newJobOf("w1", cs.JobID(fmt.Sprint("j", i, "-", n)), 30), q, startTime)
		}
	}
	for _, r := range l.changes() {
		if _, ok := r.Change.(gateway.JobOpened); ok {
			count++
		}
	}
	c.Assert(count, qt.Equals, 3, qt.Commentf("jobs of 300 tokens accepted within 1,000 tokens"))
}

// Guards against a workspace that submits many jobs and so gets the slots before others whose jobs are as urgent. Without workspaces the
// earliest due time comes first.
func TestItemsStartFairlyBetweenWorkspaces(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		c := qt.New(t)
		l := &jobLog{}
		v := newVM("a", 0, 1, 2, 3)
		if keyed {
			v.withWorkspaces()
		}
		early := newJobOf("w1", "a", 60)
		late := newJobOf("w2", "b", 4)
		late.Accepted = late.Accepted.Add(cs.Second)
		submit(v, l, early, 1, startTime)
		submit(v, l, late, 2, startTime)
		v.started = nil
		now := startTime
		for range 4 {
			now = now.Add(100)
			v.inbox = append(v.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}})
			v.readLog(l, now)
			v.tick(now)
		}
		ofLate := 0
		for _, r := range v.started {
			if r.Key.Job == "b" {
				ofLate++
			}
		}
		c.Check(ofLate > 0, qt.Equals, keyed, qt.Commentf("%d of %d starts are of the smaller workspace", ofLate, len(v.started)))
	}
}

// Guards against fairness that overrides urgency: an item due much earlier starts first, whatever its workspace has had.
func TestUrgencyComesBeforeFairness(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	v := newVM("a", 0, 1, 2, 3)
	v.withWorkspaces()
	late := newJobOf("w2", "b", 60)
	late.Accepted = late.Accepted.Add(10 * cs.Second)
	submit(v, l, newJobOf("w1", "a", 12), 1, startTime)
	submit(v, l, late, 2, startTime)
	for i, r := range v.started {
		c.Check(r.Key.Job, qt.Equals, cs.JobID("a"), qt.Commentf("start %d", i))
	}
	c.Assert(v.started, qt.Not(qt.HasLen), 0)
}
