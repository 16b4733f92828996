package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// silentRunTime is how long a run takes on a runner that works.
	silentRunTime = 400 * cs.Millisecond
	// silentTimeout is the time after which a run without an event ends.
	silentTimeout = 2 * cs.Second
)

// silentFleet is a VM in data centre "a" that owns all partitions, and runners in "b", whose VMs have not reported since
// startTime.
type silentFleet struct {
	*vm
	log  *jobLog
	now  cs.Instant
	ends map[cs.Instant][]gateway.ItemRunEnded
	// isCut means that the runners of "b" cannot be reached.
	isCut bool
	// starts are the times of the runs started in "b".
	starts []cs.Instant
}

// newSilentFleet returns a VM with two runners in "b" and the given others, and a job of n items.
func newSilentFleet(c *qt.C, n int, others ...cs.Runner) *silentFleet {
	f := &silentFleet{vm: newVM("a", 0, 1, 2, 3), log: &jobLog{}, now: startTime, ends: make(map[cs.Instant][]gateway.ItemRunEnded)}
	for _, r := range f.Runners.All() {
		r.Spec.DataCentre = "b"
	}
	for _, spec := range others {
		f.Runners.Insert(spec.ID, gateway.Runner{Spec: spec})
	}
	f.DataCentres.Insert("b", gateway.DataCentreState{LastReportAt: startTime})
	f.now = startTime.Add(3 * cs.Second)
	submit(f.vm, f.log, newJob("j", n), 1, f.now)
	c.Assert(accepted(f.vm, 1), qt.IsTrue)
	return f
}

// play runs the VM for a time.
func (f *silentFleet) play(length cs.Span) {
	for end := f.now.Add(length); f.now < end; f.now = f.now.Add(10) {
		for _, e := range f.ends[f.now] {
			f.inbox = append(f.inbox, e)
		}
		delete(f.ends, f.now)
		f.inbox = append(f.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}})
		f.readLog(f.log, f.now)
		f.tick(f.now)
		f.completeAppends(f.log)
		for _, run := range f.started {
			f.end(run)
		}
		f.started = nil
	}
}

// end schedules the end of a run.
func (f *silentFleet) end(run gateway.RunItem) {
	e, at := gateway.ItemRunEnded{Key: run.Key, Attempt: run.Attempt}, f.now.Add(silentRunTime)
	if f.Runners.Get(run.Runner).Spec.DataCentre == "b" {
		f.starts = append(f.starts, f.now)
		if f.isCut {
			e.Outcome, at = gateway.ItemInterrupted{Error: "no event", TimedOut: true}, f.now.Add(silentTimeout)
			f.ends[at] = append(f.ends[at], e)
			return
		}
	}
	e.Text, e.LastEvent, e.Outcome = []byte("x"), 1, gateway.ItemCompleted{}
	f.ends[at] = append(f.ends[at], e)
}

// done returns the number of items with a result.
func (f *silentFleet) done() int { return len(f.Jobs.Get("j").Results) }

// Guards against items that are never sent to a data centre again whose VMs have all stopped, although its runners are sound.
func TestItemsRunWhereAllVMsHaveStopped(t *testing.T) {
	for name, failedAt := range map[string]cs.Instant{"no failure": 0, "a runner has failed": startTime.Add(600)} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newSilentFleet(c, 24)
			f.DataCentres.Get("b").FailedAt = failedAt
			f.play(12 * cs.Second)
			c.Assert(f.done(), qt.Equals, 24)
		})
	}
}

// Guards against many items that are sent into a network partition: each occupies a slot of the VM's work until it times out.
func TestFewItemsAreSentIntoNetworkPartition(t *testing.T) {
	c := qt.New(t)
	f := newSilentFleet(c, 24)
	f.isCut = true
	f.play(12 * cs.Second)
	c.Assert(len(f.starts) <= 6, qt.IsTrue, qt.Commentf("%d runs were started", len(f.starts)))
	f.isCut = false
	f.DataCentres.Get("b").LastReportAt = f.now
	f.play(400)
	c.Assert(len(f.starts) > 6, qt.IsTrue) // a report of a VM there ends the suspicion
}

// Guards against items that are sent where the path may be down while runners elsewhere have free slots.
func TestItemsPreferDataCentresThatReport(t *testing.T) {
	c := qt.New(t)
	f := newSilentFleet(c, 6, cs.Runner{ID: "r3", Service: "s", DataCentre: "a", Slots: 8})
	f.play(3 * cs.Second)
	c.Assert(f.done(), qt.Equals, 6)
	c.Assert(f.starts, qt.HasLen, 0)
}
