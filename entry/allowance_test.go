package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// sendAllowance delivers a message about limits.
func (f *simFleet) sendAllowance(from *simVM, a gateway.SendAllowance) {
	f.at(simStep, func() {
		for _, v := range f.vms {
			if v.tables.Self.Address == a.To && !v.stopped {
				v.inbox = append(v.inbox, gateway.AllowanceReceived{Address: from.tables.Self.Address, Message: a.Message})
			}
		}
	})
}

// limitedFleet is a fleet that serves one workspace with a limit.
type limitedFleet struct {
	*simFleet
	quota     gateway.Quota
	workspace cs.Workspace
	// owner is the VM to which the group has dealt all partitions.
	owner int
}

// newLimitedFleet returns a fleet in front of more runners than it needs.
func newLimitedFleet(vms int) *limitedFleet {
	f := &limitedFleet{
		simFleet: newSimFleet(1, vms, 20), quota: gateway.Quota{Window: 5 * cs.Second, Overshoot: 0.1, Slack: 20},
		workspace: cs.Workspace{ID: "w", Rate: 40, Burst: 20, Keys: []cs.KeyDigest{cs.DigestKey("w")}},
	}
	f.key = cs.DigestKey("w")
	for _, v := range f.vms {
		v.tables.Config.Quota, v.tables.Config.GroupTimeout, v.tables.Config.PartitionCount = f.quota, 2*cs.Second, 4
		v.inbox = append(v.inbox, gateway.JobsRead{Snapshot: true})
		v.tables.Catalog = v.tables.Catalog.WithWorkspaces([]cs.Workspace{f.workspace})
	}
	return f
}

// run offers requests at a rate for a time.
func (f *limitedFleet) run(perSecond float64, length cs.Span) {
	offered := 0.0
	for end, renewAt := f.now.Add(length), f.now; f.now < end; f.step() {
		if f.now >= renewAt {
			renewAt = f.now.Add(650)
			for i, v := range f.vms {
				assigned := gateway.PartitionsAssigned{SentAt: cs.BootInstant(f.now)}
				if i == f.owner {
					assigned.Partitions = []int{0, 1, 2, 3}
				}
				v.inbox = append(v.inbox, assigned, gateway.FeedRead{Feed: gateway.FeedJobs, Loaded: true, AsOf: f.now})
			}
		}
		for offered += perSecond * float64(simStep) / 1000; offered >= 1; offered-- {
			f.send(f.anyVM())
		}
	}
}

// sent returns the times at which requests were first sent, from a time on.
func (f *limitedFleet) sent(from cs.Instant) []cs.Instant {
	var times []cs.Instant
	for _, d := range f.dispatches {
		if d.attempt == 1 && d.at >= from {
			times = append(times, d.at)
		}
	}
	return times
}

// Guards against a limit that does not hold, or is not served, with all systems of a VM in their order: with the allocators of
// runners, relayed reports, and an owner that is killed in a peak.
func TestLimitHoldsWhenItsOwnerIsKilled(t *testing.T) {
	for _, vms := range []int{8, 40} {
		c := qt.New(t)
		f := newLimitedFleet(vms)
		limit := float64(f.workspace.Rate)
		f.run(0, 6*cs.Second)
		begin := f.now
		f.run(0.9*limit, 6*cs.Second)
		c.Check(f.refusals, qt.HasLen, 0)
		peak := f.now
		f.run(3*limit, 6*cs.Second)
		served := float64(len(f.sent(peak)))
		c.Check(served >= 0.97*6*limit, qt.IsTrue, qt.Commentf("%g of %g served", served, 6*limit))
		f.vms[f.owner].stopped = true
		f.owner = -1
		f.run(3*limit, 2*cs.Second)
		f.owner = 1
		f.run(3*limit, 2*cs.Second)
		again := f.now
		f.run(3*limit, 6*cs.Second)
		served = float64(len(f.sent(again)))
		c.Check(served >= 0.97*6*limit, qt.IsTrue, qt.Commentf("%g of %g served after the move", served, 6*limit))
		bound := (limit*5+f.workspace.Burst)*(1+float64(f.quota.Overshoot)) + f.quota.Slack
		times := f.sent(begin)
		for first, last := 0, 0; last < len(times); last++ {
			for times[last].Sub(times[first]) >= f.quota.Window {
				first++
			}
			c.Assert(float64(last-first+1) <= bound, qt.IsTrue, qt.Commentf("%d requests in a window, bound %g", last-first+1, bound))
		}
		reasons := make(map[cs.Reason]int)
		for _, r := range f.refusals {
			reasons[r.refuse.Refusal.Reason]++
		}
		c.Check(reasons[cs.ReasonRateLimited] > 0 && reasons[cs.ReasonUnavailable] > 0, qt.IsTrue)
		c.Check(reasons, qt.HasLen, 2)
	}
}
