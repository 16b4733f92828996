package entry_test

import (
	"fmt"
	"math"
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
