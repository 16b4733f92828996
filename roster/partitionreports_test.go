package roster_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/roster"
)

// Guards against a VM that does not learn who decides on a limit, since a report was lost or it has started later, and against
// reports that carry the partitions all the time, or without limits.
func TestOwnersOfLimitsAreReported(t *testing.T) {
	const start cs.Instant = 1_000_000
	for _, window := range []cs.Span{0, 5 * cs.Second} {
		c := qt.New(t)
		config := gateway.Config{GroupTimeout: 2 * cs.Second, PartitionCount: 16, Quota: gateway.Quota{Window: window}}
		owner := gateway.New(config, cs.VM{ID: "a", Incarnation: 1, Address: "a:1"}, start, 1)
		owner.Peers.Insert("b", gateway.Peer{VM: cs.VM{ID: "b", Address: "b:1"}})
		other := gateway.New(config, cs.VM{ID: "b", Incarnation: 1, Address: "b:1"}, start, 1)
		now, reports, withPartitions := start, 0, 0
		exchange := func(d cs.Span, isLost bool) {
			for end := now.Add(d); now < end; now = now.Add(10) {
				var out gateway.Actions
				roster.Report(owner, now, &out)
				other.Events = nil
				for _, a := range out.List {
					if a, ok := a.(gateway.SendReport); ok {
						reports++
						if a.Report.Partitions != nil {
							withPartitions++
						}
						if !isLost {
							other.Events = append(other.Events, gateway.PeerReported{Address: "a:1", Report: a.Report})
						}
					}
				}
				roster.Peers(other, now, &gateway.Actions{})
			}
		}
		renew := func(partitions ...int) {
			if window > 0 {
				owner.AssignLimits(partitions, cs.BootInstant(now), now)
			}
		}
		owns := func(partition int) bool { return len(other.LimitOwners(partition)) > 0 }
		renew(3, 12)
		exchange(100, false)
		c.Check(owns(3) && owns(12), qt.Equals, window > 0)
		c.Check(owns(4), qt.IsFalse)
		renew(4)
		exchange(300, true) // what follows makes up for it
		exchange(250, false)
		c.Check(owns(4), qt.Equals, window > 0)
		c.Check(owns(3), qt.IsFalse)
		reports, withPartitions = 0, 0
		for range 10 {
			renew(4)
			exchange(500, false)
		}
		c.Check(owns(4), qt.Equals, window > 0)
		c.Check(withPartitions <= reports/4, qt.IsTrue, qt.Commentf("%d of %d reports", withPartitions, reports))
		exchange(2*cs.Second, false) // without a renewal
		c.Check(owns(4), qt.IsFalse)
		if window == 0 {
			c.Check(withPartitions, qt.Equals, 0)
		}
	}
}
