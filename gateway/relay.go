package gateway

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	cs "github.com/crocusstile/crocusstile"
)

// VMs form groups. A VM sends its reports to the VMs of its group; to each VM outside, one VM of the group relays the
// latest reports of all. The number of datagrams of a VM thus grows with the square root of the number of VMs, and the
// longer interval of relays keeps the number of relayed reports a second constant.
//
// Relayed reports are applied like those received directly. VMs that disagree about the groups for a moment may therefore
// send a report twice, or late, but no load is counted twice.

// RelayedReport is the report of a VM as another VM of its group passes it on, without the suspects and departures: those are
// merged into the report of the relaying VM.
type RelayedReport struct {
	_       struct{} `cbor:",toarray"`
	Address cs.Address
	// Age is the time since the relaying VM received the report.
	Age    cs.Span
	Report Report
}

const (
	// MinReportInterval is the minimum time between two reports of a VM. A request spends about ten times as
	// long at a runner, so that VMs choose runners by nearly current loads of their peers.
	MinReportInterval = 25 * cs.Millisecond
	// fullRatePeers is the largest number of peers for which MinReportInterval applies.
	fullRatePeers = 20
	// MaxReportInterval is the interval of reports while the load does not change.
	MaxReportInterval = 200 * cs.Millisecond
	// maxUngroupedVMs is the largest number of VMs that all report to each other.
	maxUngroupedVMs = 32
	// maxRelayInterval is the maximum time between two relays. A data centre counts as cut off after a little more without
	// a datagram from there.
	maxRelayInterval = 2 * MaxReportInterval
	// datagramsPerSecond bounds what a VM sends that hears no other VM of its group, and relays to all others. At least
	// minRelaysPerSecond of them are relays.
	datagramsPerSecond = 780
	minRelaysPerSecond = 100
	// relaySilence is the time without a report after which another VM of the group relays in place of one. It is less
	// than the time after which the loads of VMs that are not heard no longer count.
	relaySilence = 3 * MaxReportInterval
	// routesInterval is the time after which the receivers of reports are determined again although nothing has changed.
	routesInterval = cs.Second
)

// grouped reports whether there are several groups of VMs.
func (t *Tables) grouped() bool { return t.groupCount() > 1 }

// groupCount returns the number of groups: about the square root of the number of VMs. It changes rarely, since most VMs
// change their group with it.
func (t *Tables) groupCount() uint64 {
	vms := t.Peers.Len() + 1
	if vms <= maxUngroupedVMs {
		return 1
	}
	count := uint64(8)
	for limit := 256; vms >= limit; limit *= 4 {
		count *= 2
	}
	return count
}

// ReportInterval returns the minimum time between two reports of a VM.
func (t *Tables) ReportInterval() cs.Span {
	interval := MinReportInterval * cs.Span(max(t.Peers.Len(), fullRatePeers)) / fullRatePeers
	if t.grouped() {
		return min(interval/3, MaxReportInterval)
	}
	return interval
}

// RelayInterval returns the time between two relays of reports, or 0 if there are none.
func (t *Tables) RelayInterval() cs.Span {
	if !t.grouped() {
		return 0
	}
	return min(MinReportInterval*cs.Span(t.Peers.Len())/(2*fullRatePeers), maxRelayInterval)
}

// SpreadTime returns the time within which a change at a VM is reported to all others unless a datagram is lost.
func (t *Tables) SpreadTime() cs.Span { return t.ReportInterval() + t.RelayInterval() }

// receivePause returns how long received reports may wait for others. It is a fraction of the age that they have anyway;
// among VMs that all report to each other they do not wait.
func (t *Tables) receivePause() cs.Span {
	if !t.grouped() {
		return 0
	}
	return t.ReportInterval() / 4
}

// ReportRoutes are the VMs to which this VM sends.
type ReportRoutes struct {
	// Group are the other VMs of this VM's group, which get each report.
	Group []cs.VMID
	// Relay are the VMs outside the group to which this VM relays the reports of its group.
	Relay []cs.VMID
	// Remote are VMs outside the group, and in other data centres, to which this VM reports at the same times. The report
	// shows that the path from the data centre of this VM is up, which a relay by a VM elsewhere does not.
	Remote []cs.VMID

	// The state from which the routes were determined.
	at          cs.Instant
	peers       int
	liveChanges uint64
	relaying    []cs.VMID
}

// UpdateRoutes determines the receivers of this VM's reports and relays, if the VMs have changed and at intervals.
func (t *Tables) UpdateRoutes(now cs.Instant) *ReportRoutes {
	r := &t.Gossip.Routes
	relaying := t.relayingVMs(now)
	if r.at != 0 && now.Sub(r.at) < routesInterval && r.peers == t.Peers.Len() && r.liveChanges == t.LiveChanges && slices.Equal(r.relaying, relaying) {
		return r
	}
	*r = ReportRoutes{at: now, peers: t.Peers.Len(), liveChanges: t.LiveChanges, relaying: relaying}
	own := t.group(t.Self.ID)
	dataCentre := t.liveVMsOfDataCentre()
	for id, p := range t.Peers.All() {
		if t.group(id) == own {
			r.Group = append(r.Group, id)
			continue
		}
		switch {
		case t.firstAmong(relaying, id):
			r.Relay = append(r.Relay, id)
		case p.VM.DataCentre != t.Self.DataCentre && t.firstAmong(dataCentre, id):
			r.Remote = append(r.Remote, id)
		}
	}
	return r
}

// NextRelay returns the time until the next relay. It exceeds RelayInterval if there are too many receivers, since the
// other VMs of the group or of the data centre are not heard.
func (t *Tables) NextRelay() cs.Span {
	routes := &t.Gossip.Routes
	direct := len(routes.Group) * int(cs.Second/t.ReportInterval())
	budget := max(datagramsPerSecond-direct, minRelaysPerSecond)
	return max(t.RelayInterval(), cs.Second*cs.Span(len(routes.Relay)+len(routes.Remote))/cs.Span(budget))
}

// InOwnGroup reports whether a VM is in the group of this VM.
func (t *Tables) InOwnGroup(id cs.VMID) bool { return t.group(id) == t.group(t.Self.ID) }

// group returns the group of a VM.
func (t *Tables) group(id cs.VMID) uint64 { return xxhash.Sum64String(string(id)) % t.groupCount() }

// relayingVMs returns the peers of this VM's group that are heard and relay reports.
func (t *Tables) relayingVMs(now cs.Instant) []cs.VMID {
	if !t.grouped() {
		return nil
	}
	var ids []cs.VMID
	for id, p := range t.Peers.All() {
		if !p.VM.Leaving && p.DirectReportAt != 0 && now.Sub(p.DirectReportAt) <= relaySilence && t.InOwnGroup(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// liveVMsOfDataCentre returns the peers in this VM's data centre that report and are not leaving.
func (t *Tables) liveVMsOfDataCentre() []cs.VMID {
	var ids []cs.VMID
	for id, p := range t.Peers.All() {
		if p.LastReportAt != 0 && !p.VM.Leaving && p.VM.DataCentre == t.Self.DataCentre {
			ids = append(ids, id)
		}
	}
	return ids
}

// firstAmong reports whether this VM comes before the given ones in the order of a receiver. The order is another one for
// each receiver, and the same on all VMs.
func (t *Tables) firstAmong(others []cs.VMID, receiver cs.VMID) bool {
	key := xxhash.Sum64String(string(receiver))
	own := pairWeight(key, t.Self.ID)
	return !slices.ContainsFunc(others, func(id cs.VMID) bool { return pairWeight(key, id) > own })
}

// pairWeight returns the rendezvous hashing weight of a sender for a receiver with the given hash.
func pairWeight(receiver uint64, sender cs.VMID) uint64 {
	return hashPair(receiver, xxhash.Sum64String(string(sender)))
}

// hashPair returns the hash of two hashes.
func hashPair(a, b uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], a)
	binary.LittleEndian.PutUint64(key[8:], b)
	return xxhash.Sum64(key[:])
}
