package roster_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against a departure that VMs report to each other for ever, since the time on the network makes it look newer to the
// VM that has forgotten it.
func TestReportsOfDeparturesDoNotEcho(t *testing.T) {
	c := qt.New(t)
	vms := newReaders(someRunner, "a", "b", "c", "d", "e")
	now := startTime.Add(3 * cs.Second)
	readNothingNew(now, someVMs(vms, "a", "b", "c", "d", "e")...)
	ids := []cs.VMID{"a", "b", "c", "d", "e"}
	type datagram struct {
		to     cs.VMID
		report gateway.Report
	}
	sent := make(map[cs.Instant][]datagram)
	removed, lastListed := now.Add(100), cs.Instant(0)
	for ; now < removed.Add(50*cs.Second); now = now.Add(5) {
		for i, id := range ids {
			var events []gateway.Event
			for _, d := range sent[now] {
				if d.to == id {
					events = append(events, gateway.PeerReported{Address: cs.Address(d.report.From) + ":1", Report: d.report})
				}
			}
			if now == removed.Add(cs.Span(95*i)) {
				events = append(events, gateway.RunnersRead{Changes: []gateway.RunnerChange{{ID: "r", Offset: 20}}})
			}
			vm := vms[id]
			tickMembership(vm, now, events...)
			r := reportOf(vm, now)
			if r == nil {
				continue
			}
			if len(r.Departures) > 0 {
				lastListed = now
			}
			for _, to := range ids {
				if to != id {
					at := now.Add(cs.Span(5 + 5*vm.Rand.IntN(4)))
					sent[at] = append(sent[at], datagram{to, *r})
				}
			}
		}
		delete(sent, now)
	}
	c.Assert(lastListed < removed.Add(35*cs.Second), qt.IsTrue)
	for _, vm := range vms {
		c.Assert(vm.Departures.Len(), qt.Equals, 0)
	}
}

// Guards against departures that a VM misses for good if it hears nothing while they are news.
func TestVMThatHearsItsPeersAgainLearnsOfEarlierDepartures(t *testing.T) {
	c := qt.New(t)
	vms := newReaders(someRunner, "a", "b", "c")
	now := startTime.Add(3 * cs.Second)
	draining := someRunner
	draining.Leaving = true
	readChange(now, registered(draining, 20), someVMs(vms, "b", "c")...)
	for until := now.Add(5 * cs.Second); now < until; now = now.Add(200) {
		exchangeAll(subset(vms, "b", "c"), now)
	}
	for until := now.Add(1200); now <= until; now = now.Add(200) {
		exchangeAll(vms, now)
	}
	c.Assert(isUsable(vms["a"], now), qt.IsFalse)
}
