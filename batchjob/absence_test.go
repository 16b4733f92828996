package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against 429 from a VM that lags behind the log: the tokens that it counts may have been freed since, and
// a job that it does not know may have been accepted by another VM and must then be confirmed.
func TestQuotaRefusalNeedsCurrentLog(t *testing.T) {
	for name, acceptedElsewhere := range map[string]bool{"new job": false, "job accepted by another VM": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := &jobLog{}
			a, b := newVM("a"), newVM("b")
			submit(a, l, newJob("j", 60), 1, startTime)
			b.readLog(l, startTime)
			b.tick(startTime)
			now := startTime.Add(7 * cs.Second)
			a.readLog(l, now)
			a.inbox = append(a.inbox, gateway.JobEndRequested{Query: 2, Job: "j"})
			a.tick(now)
			a.completeAppends(l)
			a.tick(now)
			c.Assert(accepted(a, 2), qt.IsTrue)
			if acceptedElsewhere {
				submit(a, l, newJob("k", 60), 3, now)
				c.Assert(accepted(a, 3), qt.IsTrue)
			}
			now = now.Add(2 * cs.Second)
			b.inbox = append(b.inbox, gateway.JobSubmitted{Query: 1, Spec: newJob("k", 60)})
			b.tick(now)
			c.Assert(b.answers, qt.HasLen, 0)
			b.readLog(l, now)
			for range 3 {
				now = now.Add(100)
				b.tick(now)
				b.completeAppends(l)
			}
			c.Assert(accepted(b, 1), qt.IsTrue)
		})
	}
}

// Guards against items that are given up for good by an owner whose catalog is older than the job: the route
// may have been added since.
func TestItemsOfNewRouteAreNotGivenUpByOldCatalog(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	a, owner := newVM("a"), newVM("b", 0, 1, 2, 3)
	added := route
	added.Name, added.Prefix = "added", "/n/"
	newer := cs.NewCatalog(2, []cs.Route{route, added}, nil, cs.CallerLimits{})
	a.Catalog = newer
	owner.inbox = append(owner.inbox, gateway.FeedRead{Feed: gateway.FeedCatalog, Loaded: true, AsOf: startTime})
	owner.tick(startTime)
	spec := newJob("j", 1)
	spec.Route = added.Name
	now := startTime.Add(cs.Second)
	submit(a, l, spec, 1, now)
	c.Assert(accepted(a, 1), qt.IsTrue)
	owner.readLog(l, now)
	owner.inbox = append(owner.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}})
	owner.tick(now)
	c.Assert(owner.appends, qt.HasLen, 0)
	owner.inbox = append(owner.inbox, gateway.CatalogRead{Catalog: newer}, gateway.FeedRead{Feed: gateway.FeedCatalog, Loaded: true, AsOf: now})
	owner.tick(now.Add(100))
	c.Assert(owner.started, qt.HasLen, 1)
}

// Guards against a job that is dropped by a snapshot that was sent before the job was accepted: its runs are
// stopped, and an output that arrives in the meantime is lost, so that the item runs twice.
func TestOldSnapshotDoesNotDropLaterJob(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	v := newVM("a", 0, 1, 2, 3)
	submit(v, l, newJob("j", 2), 1, startTime.Add(100))
	c.Assert(accepted(v, 1), qt.IsTrue)
	now := startTime.Add(200)
	v.tick(now)
	c.Assert(v.started, qt.HasLen, 2)
	first := v.started[0]
	v.oldSnapshot(startTime)
	v.inbox = append(v.inbox, gateway.ItemRunEnded{
		Key: first.Key, Attempt: first.Attempt, Outcome: gateway.ItemCompleted{}, Text: []byte("t"), LastEvent: 1,
	})
	for range 5 {
		v.tick(now)
		v.completeAppends(l)
		now = now.Add(100)
		v.readLog(l, now)
	}
	v.tick(now)
	c.Check(v.stopped, qt.HasLen, 0)
	c.Check(v.started, qt.HasLen, 2)
	c.Assert(v.Jobs.Get("j").Results, qt.HasLen, 1)
}

// Guards against items that are started although their job was ended seconds ago, by an owner that lags behind the
// log. The platform allows 3 s from the acknowledgement of the end.
func TestEndedJobIsNotStartedFromOldView(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	a, owner := newVM("a"), newVM("b", 0, 1, 2, 3)
	for _, r := range owner.Runners.All() {
		r.Spec.Leaving = true // the items wait
	}
	submit(a, l, newJob("j", 1), 1, startTime)
	owner.readLog(l, startTime)
	owner.tick(startTime)
	now := startTime.Add(cs.Second)
	a.inbox = append(a.inbox, gateway.JobEndRequested{Query: 2, Job: "j"})
	a.tick(now)
	a.completeAppends(l)
	a.tick(now)
	c.Assert(accepted(a, 2), qt.IsTrue)
	for _, r := range owner.Runners.All() {
		r.Spec.Leaving = false
	}
	now = now.Add(7 * cs.Second)
	owner.inbox = append(owner.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}}, gateway.FeedRead{Feed: gateway.FeedJobs})
	owner.tick(now)
	owner.tick(now.Add(100))
	c.Assert(owner.started, qt.HasLen, 0)
}
