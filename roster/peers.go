package roster

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

// Timing of the reports between VMs.
const (
	// idleReportInterval is the time between two reports while the load does not change.
	idleReportInterval = 200 * cs.Millisecond
	// peerTimeout is the time without a report after which a peer's load no longer counts. It
	// covers the loss of several datagrams.
	peerTimeout = 1600 * cs.Millisecond
	// peerEjectionTime is how long a runner that a peer has ejected is not picked, counted from
	// the last report that says so.
	peerEjectionTime = 500 * cs.Millisecond
)

// Peers applies the list of VMs from the store and the reports received from peers.
func Peers(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	changed := false
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.VMsRead:
			applyVMs(t, e)
		case gateway.PeerReported:
			changed = applyReport(t, now, e, out) || changed
		default:
		}
	}
	for id, p := range t.Peers.All() {
		if p.LastReportAt != 0 && now.Sub(p.LastReportAt) > peerTimeout {
			out.Note(gateway.Note{Kind: gateway.NotePeerLost, Peer: id, Age: now.Sub(p.LastReportAt)})
			p.LastReportAt, p.Loads, p.Demands, p.BatchDemand, changed = 0, nil, nil, 0, true
			t.LiveChanges++
		}
	}
	if changed {
		sumPeerLoads(t)
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

// applyReport applies a peer's report and returns whether the peer's load or demand changed.
func applyReport(t *gateway.Tables, now cs.Instant, e gateway.PeerReported, out *gateway.Actions) bool {
	r := e.Report
	if r.From == t.Self.ID {
		return false
	}
	p := t.Peers.Get(r.From)
	if p == nil {
		p = t.Peers.Insert(r.From, gateway.Peer{VM: cs.VM{ID: r.From, Address: e.Address}})
	}
	if r.Incarnation < p.VM.Incarnation || r.Incarnation == p.VM.Incarnation && r.Seq <= p.Seq {
		return false // a newer report has already arrived
	}
	if p.LastReportAt == 0 {
		out.Note(gateway.Note{Kind: gateway.NotePeerFound, Peer: r.From})
	}
	if p.LastReportAt == 0 || p.VM.Leaving != r.Leaving {
		t.LiveChanges++
	}
	if r.Incarnation != p.VM.Incarnation {
		p.SentTo = nil
	}
	p.VM.Incarnation, p.VM.DataCentre, p.VM.Address, p.VM.Leaving = r.Incarnation, r.DataCentre, e.Address, r.Leaving
	p.LastReportAt, p.HeardAt, p.Seq = now, now, r.Seq
	recordDataCentreReport(t, now, r.DataCentre)
	for _, id := range r.Ejected {
		if runner := t.Runners.Get(id); runner != nil {
			runner.PeerEjectedUntil = now.Add(peerEjectionTime)
		}
	}
	for _, refusing := range r.Refusing {
		if runner := t.Runners.Get(refusing.Runner); runner != nil {
			runner.PeerRefusedAt = max(runner.PeerRefusedAt, now.Add(-refusing.Age))
		}
	}
	for _, s := range r.Suspects {
		t.MergeSuspect(s, now)
	}
	for _, l := range r.Limits {
		t.MergeLimit(p, l, now, out)
	}
	applyDepartures(t, now, r, out)
	p.StoreUnreadable, p.BatchDemand, p.Registrations = r.StoreUnreadable, r.BatchDemand, gateway.PeerReads{}
	if reads := r.Registrations; reads != nil {
		p.Registrations = gateway.PeerReads{Since: now.Add(-reads.Since), AsOf: now.Add(-reads.AsOf)}
	}
	changed := !slices.Equal(p.Loads, r.Loads) || !slices.Equal(p.Demands, r.Demands)
	p.Loads, p.Demands = r.Loads, r.Demands
	return changed
}

// recordDataCentreReport records that a VM of a data centre has reported. If the data centre was
// unreachable until now, its runners become usable again without delay.
func recordDataCentreReport(t *gateway.Tables, now cs.Instant, dc cs.DataCentreID) {
	healed := t.Reach(dc, now) == gateway.ReachCut
	if state := t.DataCentres.Get(dc); state != nil {
		state.LastReportAt = now
	} else {
		t.DataCentres.Insert(dc, gateway.DataCentreState{LastReportAt: now})
	}
	if !healed {
		return
	}
	for _, runner := range t.Runners.All() {
		if runner.Spec.DataCentre == dc {
			runner.ResetFailures()
		}
	}
}

// sumPeerLoads recomputes the peers' load on each runner and their demand for each service from the
// latest report of each peer.
func sumPeerLoads(t *gateway.Tables) {
	for _, r := range t.Runners.All() {
		r.PeerOnline, r.PeerBatch = 0, 0
	}
	for _, demand := range t.Demands.All() {
		demand.Peers = 0
	}
	for _, p := range t.Peers.All() {
		addPeerDemand(t, p)
		for _, l := range p.Loads {
			if r := t.Runners.Get(l.Runner); r != nil {
				r.PeerOnline += l.Online
				r.PeerBatch += l.Batch
			}
		}
	}
}

// addPeerDemand adds a peer's demand for the free capacity of each service.
func addPeerDemand(t *gateway.Tables, p *gateway.Peer) {
	for _, reported := range p.Demands {
		demand := t.Demands.Get(reported.Service)
		if demand == nil {
			demand = t.Demands.Insert(reported.Service, gateway.ServiceDemand{})
		}
		demand.Peers += reported.Demand
	}
}

// Report sends this VM's load to its peers when it has changed, and at a longer interval when it
// has not.
func Report(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	loads := localLoads(t)
	gossip := &t.Gossip
	minInterval := t.MinReportInterval()
	idleInterval := max(idleReportInterval, minInterval)
	due := gossip.SentAt.Add(idleInterval)
	if !slices.Equal(loads, gossip.Sent) || hasSuspectNews(t) || hasLimitNews(t) || hasDepartureNews(t) {
		due = gossip.SentAt.Add(minInterval)
	}
	if now < due {
		out.WakeAt(due)
		return
	}
	gossip.Seq++
	gossip.SentAt, gossip.Sent = now, loads
	r := gateway.Report{
		From: t.Self.ID, Incarnation: t.Self.Incarnation, DataCentre: t.Self.DataCentre, Seq: gossip.Seq,
		Loads: loads, Leaving: t.Drain.Phase != fleet.DrainNone, StoreUnreadable: t.StoreUnreadable(),
		BatchDemand: t.Partitions.BatchDemand,
	}
	for id, runner := range t.Runners.All() {
		if runner.Failures > 0 && now < runner.EjectedUntil {
			r.Ejected = append(r.Ejected, id)
		}
		if age := now.Sub(runner.RefusedAt); age <= gateway.SuspectNewsPeriod {
			r.Refusing = append(r.Refusing, gateway.RefusingRunner{Runner: id, Age: age})
		}
	}
	r.Suspects = suspectsToReport(t, now)
	r.Limits = limitsToReport(t, now)
	r.Departures = departuresToReport(t, now)
	if feed := t.Feeds[gateway.FeedRunners]; feed.ReadableSince != 0 {
		r.Registrations = &gateway.ReadsReport{Since: now.Sub(feed.ReadableSince), AsOf: feed.Age(now)}
	}
	for id, demand := range t.Demands.All() {
		if demand.Own > 0 {
			r.Demands = append(r.Demands, gateway.DemandReport{Service: id, Demand: demand.Own})
		}
	}
	var to []cs.Address
	for _, p := range t.Peers.All() {
		to = append(to, p.VM.Address)
	}
	out.Add(gateway.SendReport{To: to, Report: r})
	out.WakeAt(now.Add(idleInterval))
}

// localLoads returns the number of this VM's requests in flight on each runner that has any.
func localLoads(t *gateway.Tables) []gateway.RunnerLoad {
	var loads []gateway.RunnerLoad
	for id, r := range t.Runners.All() {
		if r.Online+r.Batch > 0 {
			loads = append(loads, gateway.RunnerLoad{Runner: id, Online: r.Online, Batch: r.Batch})
		}
	}
	return loads
}
