package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// countFollowers returns how many VMs that run follow the job log, in each data centre.
func countFollowers(f *simFleet) map[cs.DataCentreID]int {
	n := make(map[cs.DataCentreID]int)
	for _, v := range f.vms {
		if !v.stopped && v.tables.JobLog.Role != gateway.JobLogNone {
			n[v.tables.Self.DataCentre]++
		}
	}
	return n
}

// pass lets time pass without requests.
func (f *simFleet) pass(length cs.Span) {
	for end := f.now.Add(length); f.now < end; {
		f.step()
	}
}

// Guards against a store that is asked by all VMs at once for the job log: after all of 295 VMs had lost power, no accepted job
// could be read any more. Each data centre must have its followers within seconds, and only a few more for a while.
func TestFollowersOfJobLogAreFew(t *testing.T) {
	const wanted = 4
	c := qt.New(t)
	f := newSimFleetWith(simFleetConfig{
		dataCentres: []cs.DataCentreID{"a", "b", "c", "d", "e", "f"}, seed: 1, vms: 295, runners: 6, jobLogFollowers: wanted,
	})
	check := func(when string, most int) {
		for _, dc := range f.dataCentres {
			n := countFollowers(f)[dc]
			c.Check(n >= wanted && n <= most, qt.IsTrue, qt.Commentf("%s: %d followers in %s", when, n, dc))
		}
	}
	f.pass(2 * cs.Second)
	check("after the start", wanted)
	for i := range f.vms {
		f.restart(i)
	}
	f.pass(2 * cs.Second)
	check("after a power loss of all VMs", wanted)
	var dead []int
	for i, v := range f.vms {
		if v.tables.JobLog.Role != gateway.JobLogNone {
			v.stopped = true
			dead = append(dead, i)
		}
	}
	f.pass(3 * cs.Second)
	check("after the death of all followers", wanted)
	for _, i := range dead {
		f.restart(i)
	}
	f.pass(2 * cs.Second)
	check("after their return", 2*wanted)
	f.pass(12 * cs.Second)
	check("after the others have resigned", wanted)
}
