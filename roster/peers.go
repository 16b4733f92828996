package roster

import (
	"bytes"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Timing of the reports between VMs.
const (
	// peerTimeout is the time without a report after which a peer's load no longer counts. It
	// covers the loss of several datagrams.
	peerTimeout = 1600 * cs.Millisecond
	// peerEjectionTime is how long a runner that a peer has ejected is not picked, counted from
	// the last report that says so.
	peerEjectionTime = 500 * cs.Millisecond
	// peerCheckInterval is the time between two checks for peers that no longer report.
	peerCheckInterval = 50 * cs.Millisecond
)

// Peers applies the list of VMs from the store and the reports received from peers.
func Peers(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	runnersChanged := false
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.RunnersRead:
			runnersChanged = true
		case gateway.VMsRead:
			applyVMs(t, e)
		case gateway.PeerReported:
			receiveReport(t, now, e, out)
		default:
		}
	}
	if now.Sub(t.Gossip.CheckedAt) >= peerCheckInterval {
		t.Gossip.CheckedAt = now
		expirePeers(t, now, out)
	}
	if runnersChanged {
		sumPeerLoads(t)
	}
}

// expirePeers discards the loads of the peers that no longer report.
func expirePeers(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for id, p := range t.Peers.All() {
		if p.LastReportAt != 0 && now.Sub(p.LastReportAt) > peerTimeout {
			out.Note(gateway.Note{Kind: gateway.NotePeerLost, Peer: id, Age: now.Sub(p.LastReportAt)})
			setPeerLoad(t, p, nil, nil)
			p.LastReportAt, p.BatchDemand = 0, 0
			t.LiveChanges++
		}
	}
}

// applyVMs adds, updates and removes peers according to the list of VMs. A peer that is missing
// from a complete list stays while it still reports.
func applyVMs(t *gateway.Tables, e gateway.VMsRead) {
	listed := make(map[cs.VMID]bool, len(e.Changes))
	for _, c := range e.Changes {
		listed[c.ID] = true
		switch p := t.Peers.Get(c.ID); {
		case c.ID == t.Self.ID:
		case c.VM == nil:
			if p != nil {
				setPeerLoad(t, p, nil, nil)
			}
			t.Peers.Delete(c.ID)
			t.LiveChanges++
		case p == nil:
			t.Peers.Insert(c.ID, gateway.Peer{VM: *c.VM})
		case p.VM.Incarnation < c.VM.Incarnation:
			p.VM = *c.VM
			t.LiveChanges++
		}
	}
	if e.Snapshot {
		t.Peers.DeleteFunc(func(id cs.VMID, p *gateway.Peer) bool { return !listed[id] && p.LastReportAt == 0 })
	}
}

// receiveReport applies a report and those that its sender relays.
func receiveReport(t *gateway.Tables, now cs.Instant, e gateway.PeerReported, out *gateway.Actions) {
	r := e.Report
	if r.From == t.Self.ID {
		return
	}
	t.RecordDataCentreReport(r.DataCentre, now)
	if p := applyReport(t, now, gateway.RelayedReport{Address: e.Address, Report: r}, out); p != nil {
		recordDirectReport(t, now, p, r)
	}
	for _, relayed := range r.Relayed {
		if relayed.Report.From != t.Self.ID {
			applyReport(t, now, relayed, out)
		}
	}
}

// recordDirectReport records that a report was not relayed.
func recordDirectReport(t *gateway.Tables, now cs.Instant, p *gateway.Peer, r gateway.Report) {
	p.DirectReportAt = now
	if t.InOwnGroup(r.From) {
		t.Gossip.GroupChanged = t.Gossip.GroupChanged || differs(p.Last, r)
		r.Suspects, r.Departures, r.Relayed = nil, nil, nil // this VM reports them itself
		p.Last = r
	}
}

// differs reports whether VMs outside the group should soon learn what a VM of the group reports after its last report.
func differs(last, r gateway.Report) bool {
	return last.Leaving != r.Leaving || len(r.Ejected)+len(r.Refusing)+len(r.Limits) > 0 ||
		!slices.Equal(last.Loads, r.Loads) || !slices.Equal(last.Demands, r.Demands) || !slices.Equal(last.ProbeClaims, r.ProbeClaims)
}

// applyReport applies a report, unless it is out of date, and returns the peer that it is of, or nil.
func applyReport(t *gateway.Tables, now cs.Instant, e gateway.RelayedReport, out *gateway.Actions) *gateway.Peer {
	r, receivedAt := e.Report, now.Add(-e.Age)
	p := t.Peers.Get(r.From)
	if p == nil {
		p = t.Peers.Insert(r.From, gateway.Peer{VM: cs.VM{ID: r.From, Address: e.Address}})
	}
	if r.Incarnation < p.VM.Incarnation || r.Incarnation == p.VM.Incarnation && r.Seq <= p.Seq {
		return nil // a newer report has already arrived
	}
	if p.LastReportAt == 0 {
		out.Note(gateway.Note{Kind: gateway.NotePeerFound, Peer: r.From})
	}
	if p.LastReportAt == 0 || p.VM.Leaving != r.Leaving {
		t.LiveChanges++
	}
	if r.Incarnation != p.VM.Incarnation {
		p.SentTo, p.Partitions = nil, nil
		t.PartitionChanges++
	}
	p.VM.Incarnation, p.VM.DataCentre, p.VM.Address, p.VM.Leaving = r.Incarnation, r.DataCentre, e.Address, r.Leaving
	p.VM.JobLogFormat, p.VM.Memory = r.JobLogFormat, r.Memory
	p.LastReportAt, p.HeardAt, p.Seq = receivedAt, receivedAt, r.Seq
	for _, id := range r.Ejected {
		if runner := t.Runners.Get(id); runner != nil {
			runner.PeerEjectedUntil = max(runner.PeerEjectedUntil, receivedAt.Add(peerEjectionTime))
		}
	}
	for _, refusing := range r.Refusing {
		if runner := t.Runners.Get(refusing.Runner); runner != nil {
			runner.PeerRefusedAt = max(runner.PeerRefusedAt, receivedAt.Add(-refusing.Age))
		}
	}
	for _, s := range r.Suspects {
		t.MergeSuspect(s, now)
	}
	for _, l := range r.Limits {
		l.Age += e.Age
		t.MergeLimit(p, l, now, out)
	}
	applyDepartures(t, now, e, out)
	p.StoreUnreadable, p.BatchDemand, p.Registrations = r.StoreUnreadable, r.BatchDemand, gateway.PeerReads{}
	if reads := r.Registrations; reads != nil {
		p.Registrations = gateway.PeerReads{Since: now.Add(-reads.Since - e.Age), AsOf: now.Add(-reads.AsOf - e.Age)}
	}
	p.ProbeClaims = r.ProbeClaims
	p.JobLogAsOf = 0
	if r.JobLogAge != nil {
		p.JobLogAsOf = receivedAt.Add(-*r.JobLogAge)
	}
	if r.Partitions != nil && !bytes.Equal(p.Partitions, r.Partitions) {
		p.Partitions, p.PartitionsAt = r.Partitions, receivedAt
		t.PartitionChanges++
		t.Gossip.GroupChanged = t.Gossip.GroupChanged || t.InOwnGroup(r.From)
	}
	setPeerLoad(t, p, r.Loads, r.Demands)
	t.ApplyAllocatedLoads(r.Allocated)
	return p
}

// setPeerLoad replaces the load and the demand of a peer and updates the sums of the loads and demands of all peers.
func setPeerLoad(t *gateway.Tables, p *gateway.Peer, loads []gateway.RunnerLoad, demands []gateway.DemandReport) {
	if !slices.Equal(p.Loads, loads) {
		addPeerLoad(t, p.Loads, -1)
		addPeerLoad(t, loads, 1)
	}
	if !slices.Equal(p.Demands, demands) {
		addPeerDemand(t, p.Demands, -1)
		addPeerDemand(t, demands, 1)
	}
	p.Loads, p.Demands = loads, demands
}

// sumPeerLoads recomputes the sums of the peers' loads on each runner and demands for each service, after
// runners have been inserted or replaced.
func sumPeerLoads(t *gateway.Tables) {
	for _, r := range t.Runners.All() {
		r.PeerOnline, r.PeerBatch = 0, 0
	}
	for _, demand := range t.Demands.All() {
		demand.Peers = 0
	}
	for _, p := range t.Peers.All() {
		addPeerLoad(t, p.Loads, 1)
		addPeerDemand(t, p.Demands, 1)
	}
}

// addPeerLoad adds a load, times a factor, to the sums of the runners.
func addPeerLoad(t *gateway.Tables, loads []gateway.RunnerLoad, factor cs.Slots) {
	for _, l := range loads {
		if r := t.Runners.Get(l.Runner); r != nil {
			r.PeerOnline += factor * l.Online
			r.PeerBatch += factor * l.Batch
		}
	}
}

// addPeerDemand adds a demand, times a factor, to the sums of the services.
func addPeerDemand(t *gateway.Tables, demands []gateway.DemandReport, factor int) {
	for _, reported := range demands {
		demand := t.Demands.Get(reported.Service)
		if demand == nil {
			demand = t.Demands.Insert(reported.Service, gateway.ServiceDemand{})
		}
		demand.Peers += factor * reported.Demand
	}
}
