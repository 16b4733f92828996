package entry_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// requestsPerVM is the number of requests a second of each VM at the users' sites of today.
const requestsPerVM = 4.5

// playRequests plays a time in which callers send requestsPerVM requests a second to each VM.
func playRequests(f *simFleet, length cs.Span) {
	expected := requestsPerVM * float64(len(f.vms)) * float64(simStep) / 1000
	for end := f.now.Add(length); f.now < end; f.step() {
		for n := expected; n > 0; n-- {
			if f.rand.Float64() < n {
				f.send(f.anyVM())
			}
		}
	}
}

// newBusyFleet returns a fleet with three runners for four VMs, as at the users' sites, that has served requests for long
// enough that all VMs know each other.
func newBusyFleet(seed uint64, vms int) *simFleet {
	f := newSimFleet(seed, vms, vms*3/4)
	playRequests(f, cs.Second)
	return f
}

// reportTraffic returns how many datagrams with reports a VM sends a second, on average and at most.
func reportTraffic(vms int) (mean, most float64) {
	const length = 3 * cs.Second
	f := newBusyFleet(1, vms)
	sent := make(map[cs.VMID]int)
	f.observeSend = func(a gateway.SendReport) { sent[a.Report.From] += len(a.To) }
	playRequests(f, length)
	for _, n := range sent {
		mean += float64(n) * 1000 / float64(length) / float64(vms)
		most = max(most, float64(n)*1000/float64(length))
	}
	return mean, most
}

// Guards against reports that take the more of each VM the more VMs there are, with which 121 VMs sent and received
// 90,000 datagrams a second and had no processor time left for requests and items.
func TestReportsOfVMDoNotGrowWithFleet(t *testing.T) {
	const small = 21
	smallMean, _ := reportTraffic(small)
	for _, vms := range []int{121, 390} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			c := qt.New(t)
			mean, most := reportTraffic(vms)
			allowed := smallMean * math.Sqrt(float64(vms)/small)
			c.Check(mean <= allowed, qt.IsTrue, qt.Commentf("%.0f datagrams a second, %.0f among %d VMs; %.0f are allowed", mean, smallMean, small, allowed))
			c.Check(most <= 2*allowed, qt.IsTrue, qt.Commentf("one VM sends %.0f datagrams a second", most))
		})
	}
}

// Guards against relays that go on at the rate of a busy fleet while no load changes: each VM need only show that it is up.
func TestVMsWithoutRequestsRelayRarely(t *testing.T) {
	const vms, length = 121, 3 * cs.Second
	c := qt.New(t)
	f := newSimFleet(1, vms, 90)
	for end := f.now.Add(cs.Second); f.now < end; f.step() { // until all VMs have heard of each other
	}
	sent := make(map[cs.VMID]int)
	f.observeSend = func(a gateway.SendReport) { sent[a.Report.From] += len(a.To) }
	for end := f.now.Add(length); f.now < end; f.step() {
	}
	for _, v := range f.vms {
		routes := v.tables.Gossip.Routes
		receivers := len(routes.Group) + len(routes.Relay) + len(routes.Remote)
		allowed := receivers * int(length/gateway.MaxReportInterval+1)
		c.Check(sent[v.tables.Self.ID] <= allowed, qt.IsTrue, qt.Commentf("%d datagrams to %d receivers", sent[v.tables.Self.ID], receivers))
	}
}

// countVMsKnowing returns how many VMs that run count batch load of another VM on a runner.
func countVMsKnowing(f *simFleet, of cs.VMID, runner cs.RunnerID, batch cs.Slots) int {
	known := 0
	for _, v := range f.vms {
		p := v.tables.Peers.Get(of)
		if !v.stopped && p != nil && slices.ContainsFunc(p.Loads, func(l gateway.RunnerLoad) bool { return l.Runner == runner && l.Batch == batch }) {
			known++
		}
	}
	return known
}

// Guards against loads that some VMs do not learn, or learn too late to choose runners by them, since not all VMs report to
// each other. A request spends about 400 ms at a runner.
func TestLoadReachesAllVMs(t *testing.T) {
	const maxAge = 400 * cs.Millisecond
	for _, vms := range []int{21, 33, 121} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			c := qt.New(t)
			f := newBusyFleet(1, vms)
			f.withoutAllocators = true // which VMs tell their loads instead of all others
			for i, v := range f.vms[:8] {
				batch := cs.Slots(2 + i)
				v.tables.Runners.Get("r0").Batch = batch
				playRequests(f, maxAge)
				c.Check(countVMsKnowing(f, v.tables.Self.ID, "r0", batch), qt.Equals, vms-1)
			}
		})
	}
}

// Guards against VMs that take others for dead, and no longer count their loads, since a VM that relayed the reports has
// died.
func TestReportsAreRelayedWhenVMsDie(t *testing.T) {
	c := qt.New(t)
	f := newBusyFleet(1, 121)
	for _, v := range f.vms[:12] {
		v.stopped = true
	}
	lost := 0
	for range 200 {
		playRequests(f, 4*simStep)
		for _, v := range f.vms[12:] {
			for _, other := range f.vms[12:] {
				if p := v.tables.Peers.Get(other.tables.Self.ID); p != nil && p.LastReportAt == 0 {
					lost++
				}
			}
		}
	}
	c.Check(lost, qt.Equals, 0)
	f.withoutAllocators = true // which VMs tell their loads instead of all others
	for _, v := range f.vms[12:20] {
		v.tables.Runners.Get("r0").Batch = 3
		playRequests(f, cs.Second)
		c.Check(countVMsKnowing(f, v.tables.Self.ID, "r0", 3), qt.Equals, len(f.vms)-12-1)
		v.tables.Runners.Get("r0").Batch = 0
	}
}

// poissonTail returns the probability that a Poisson-distributed number is at least n.
func poissonTail(mean float64, n int) float64 {
	below, term := 0.0, math.Exp(-mean)
	for i := range n {
		below += term
		term *= mean / float64(i+1)
	}
	return 1 - below
}

// Guards against many VMs that all pick the few runners that seemed to be free at their last reports: fewer requests must
// reach runners without a free slot than if each VM picked at random.
func TestFewRequestsReachFullRunners(t *testing.T) {
	const perVM = 8.7 // a burst at Hebewerk grown
	c := qt.New(t)
	f := newSimFleet(1, 121, 90)
	sent, toFull := 0, 0
	for end := f.now.Add(6 * cs.Second); f.now < end; f.step() {
		for n := perVM * float64(len(f.vms)) * float64(simStep) / 1000; n > 0; n-- {
			if f.rand.Float64() < n {
				f.send(f.anyVM())
			}
		}
		for _, d := range f.dispatches[sent:] {
			i := slices.IndexFunc(f.runners, func(r *simRunner) bool { return r.spec.ID == d.runner })
			if len(f.runners[i].inFlight) > int(f.runners[i].spec.Slots) {
				toFull++
			}
		}
		sent = len(f.dispatches)
	}
	mean := perVM * float64(len(f.vms)) / float64(len(f.runners)) * float64(runnerPrefill+runnerService) / 1000
	byChance := poissonTail(mean, int(f.runners[0].spec.Slots))
	c.Check(float64(toFull)/float64(sent) < byChance, qt.IsTrue, qt.Commentf("%.3f of %d requests, %.3f by chance", float64(toFull)/float64(sent), sent, byChance))
}
