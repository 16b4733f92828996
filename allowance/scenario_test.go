package allowance_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// testConfig is that of the users' site.
func testConfig() gateway.Config {
	return gateway.Config{
		PartitionCount: simPartitions, GroupTimeout: 2 * cs.Second,
		Quota: gateway.Quota{Window: 5 * cs.Second, Overshoot: 0.1, Slack: 20},
	}
}

// ownerOf returns a VM that owns the limit of a workspace, and one that does not.
func ownerOf(c *qt.C, s *sim, w cs.WorkspaceID) (owner, other int) {
	owner, other = -1, -1
	for i, v := range s.vms {
		if v.tables.OwnsLimit(v.tables.LimitPartition(w), v.local(s.now)) {
			owner = i
		} else {
			other = i
		}
	}
	c.Assert(owner >= 0 && other >= 0, qt.IsTrue)
	return owner, other
}

// Guards against permits that a VM uses after they have ended: a VM has many that it had no runner for, is frozen, and has use
// for them when the bucket at the owner is full again.
func TestPermitsEndInFreeze(t *testing.T) {
	for name, suspended := range map[string]bool{"stopped process": false, "suspended machine": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := cs.Workspace{ID: "w", Rate: 60, Burst: 60}
			s := newSim(1, 3, testConfig(), []cs.Workspace{w})
			s.runUntil(simStart.Add(10 * cs.Second))
			owner, other := ownerOf(c, s, "w")
			s.vms[other].tables.Runners.Get("r").EjectedUntil = s.now.Add(50)
			volley := func(vm int) {
				for range 60 {
					s.request(vm, "w")
				}
			}
			volley(other)
			s.runUntil(s.now.Add(40))
			c.Assert(s.vms[other].tables.Allowance.Uses.Get("w").Held, qt.HasLen, 60)
			s.freeze(other, 1500*cs.Millisecond, suspended)
			s.runUntil(s.now.Add(1499))
			volley(owner)
			s.runUntil(s.now.Add(300))
			c.Check(len(s.sends["w"]) <= 80, qt.IsTrue, qt.Commentf("%d requests sent, of which 60 are those that the bucket held", len(s.sends["w"])))
		})
	}
}
