package roster_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/roster"
)

// newPeerTables returns the tables of VMs in several data centres that have all heard each other.
func newPeerTables(vms, dataCentres int) map[cs.VMID]*gateway.Tables {
	var all []cs.VM
	for i := range vms {
		id := cs.VMID(fmt.Sprintf("front-%03d", i))
		all = append(all, cs.VM{ID: id, Address: cs.Address(id), DataCentre: cs.DataCentreID(fmt.Sprint("dc", i%dataCentres)), Incarnation: 1})
	}
	tables := make(map[cs.VMID]*gateway.Tables)
	for _, self := range all {
		t := gateway.New(gateway.Config{}, self, startTime, 1)
		for _, peer := range all {
			if peer.ID != self.ID {
				t.Peers.Insert(peer.ID, gateway.Peer{VM: peer, LastReportAt: startTime, DirectReportAt: startTime})
			}
		}
		tables[self.ID] = t
	}
	return tables
}

// Guards against a VM that gets no datagram from a data centre although all is well, and takes it for cut off, or that gets
// no reports of some VMs.
func TestEachVMHearsAllDataCentresAndVMs(t *testing.T) {
	for _, size := range []struct{ vms, dataCentres int }{{21, 4}, {33, 3}, {98, 3}, {121, 4}, {256, 4}, {390, 9}} {
		t.Run(fmt.Sprint(size.vms, " VMs"), func(t *testing.T) {
			c := qt.New(t)
			tables := newPeerTables(size.vms, size.dataCentres)
			heardVMs, heardDCs := make(map[cs.Address]map[cs.VMID]bool), make(map[cs.Address]map[cs.DataCentreID]bool)
			for id, vm := range tables {
				heardVMs[cs.Address(id)], heardDCs[cs.Address(id)] = make(map[cs.VMID]bool), make(map[cs.DataCentreID]bool)
				for other, p := range vm.Peers.All() {
					if vm.InOwnGroup(other) {
						p.Last = gateway.Report{From: other, Seq: 1}
					}
				}
			}
			for _, vm := range tables {
				for _, a := range runSystem(vm, startTime.Add(1), roster.Report) {
					send := a.(gateway.SendReport)
					for _, to := range send.To {
						heardVMs[to][send.Report.From], heardDCs[to][send.Report.DataCentre] = true, true
						for _, relayed := range send.Report.Relayed {
							heardVMs[to][relayed.Report.From] = true
						}
					}
				}
			}
			for id, vm := range tables {
				heardDCs[cs.Address(id)][vm.Self.DataCentre] = true
				c.Check(heardDCs[cs.Address(id)], qt.HasLen, size.dataCentres)
				c.Check(heardVMs[cs.Address(id)], qt.HasLen, size.vms-1)
			}
		})
	}
}

// Guards against counting a load twice that comes both directly and relayed, and against an old relayed report that replaces
// a newer one.
func TestRelayedReportCountsOnce(t *testing.T) {
	c := qt.New(t)
	a := newTables("a")
	report := func(seq uint64, online cs.Slots) gateway.Report {
		return gateway.Report{From: "b", Incarnation: 5, DataCentre: "x", Seq: seq, Loads: []gateway.RunnerLoad{{Runner: "r", Online: online}}}
	}
	relay := gateway.Report{From: "c", Incarnation: 5, Seq: 1, Relayed: []gateway.RelayedReport{{Address: "b:1", Age: 40, Report: report(2, 3)}}}
	runSystem(a, startTime, roster.Peers, gateway.PeerReported{Address: "c:1", Report: relay})
	c.Assert(a.Runners.Get("r").Load(), qt.Equals, cs.Slots(3))
	c.Assert(a.Peers.Get("b").LastReportAt, qt.Equals, startTime.Add(-40))
	c.Assert(a.DataCentres.Get("x"), qt.IsNil)
	runSystem(a, startTime, roster.Peers, gateway.PeerReported{Address: "b:1", Report: report(2, 3)}, gateway.PeerReported{Address: "b:1", Report: report(3, 1)})
	c.Assert(a.Runners.Get("r").Load(), qt.Equals, cs.Slots(1))
	relay.Seq++
	runSystem(a, startTime, roster.Peers, gateway.PeerReported{Address: "c:1", Report: relay})
	c.Assert(a.Runners.Get("r").Load(), qt.Equals, cs.Slots(1))
	c.Assert(a.DataCentres.Get("x").LastReportAt, qt.Equals, startTime)
}

// Guards against relays that are too large to be sent, so that VMs outside the group get no reports while many runners leave
// or name limits.
func TestRelaysFitIntoDatagrams(t *testing.T) {
	const maxDatagram = 16 << 10 // the limit of package gossip
	c := qt.New(t)
	for id, vm := range newPeerTables(255, 4) {
		members, relayed := 0, make(map[cs.VMID]bool)
		for other, p := range vm.Peers.All() {
			if !vm.InOwnGroup(other) {
				continue
			}
			members++
			p.Last = gateway.Report{From: other, Incarnation: 1 << 60, DataCentre: p.VM.DataCentre, Seq: 1}
			for i := range 30 {
				runner := cs.RunnerID(fmt.Sprintf("i-%010x", i))
				if i < 3 {
					p.Last.Loads = append(p.Last.Loads, gateway.RunnerLoad{Runner: runner, Online: 3, Batch: 3})
				}
				p.Last.Ejected = append(p.Last.Ejected, runner)
				p.Last.Refusing = append(p.Last.Refusing, gateway.RefusingRunner{Runner: runner, Age: 500})
			}
			for i := range 16 {
				p.Last.Limits = append(p.Last.Limits, gateway.LimitReport{Runner: cs.RunnerID(fmt.Sprintf("i-%010x", i)), Named: true, Rate: 1.25, Age: 500, Sent: 300})
			}
			for i := range 10 {
				p.Last.Departures = append(p.Last.Departures, gateway.DepartureReport{
					Runner: cs.RunnerID(fmt.Sprintf("i-%010x", i)), Offset: 100_000, Announced: true, Incarnation: 1 << 40, Age: 500,
				})
			}
		}
		for _, a := range runSystem(vm, startTime.Add(1), roster.Report) {
			data, err := cbor.Marshal(a.(gateway.SendReport).Report)
			c.Assert(err, qt.IsNil)
			c.Assert(len(data) <= maxDatagram, qt.IsTrue, qt.Commentf("%d bytes from %s", len(data), id))
			for _, r := range a.(gateway.SendReport).Report.Relayed {
				relayed[r.Report.From] = true
			}
		}
		if len(vm.Gossip.Routes.Relay) > 0 {
			c.Assert(relayed, qt.HasLen, members)
		}
	}
}
