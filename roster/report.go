package roster

import (
	"bytes"
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// fullReportInterval is the time between two reports that list all limits, suspects and departures, for peers that have
	// started or were cut off since there was news of them.
	fullReportInterval = cs.Second
	// allocatedInterval is the least time between two reports for changes of the loads at this VM's runners, among VMs that
	// all report to each other.
	allocatedInterval = 50 * cs.Millisecond
	// digestInterval is the time between two digests of the loads at the runners of a group, which are sent to other groups.
	digestInterval = 150 * cs.Millisecond
	// quietRelayInterval is the time between two relays without news. A VM counts as dead after more than three of them.
	quietRelayInterval = 500 * cs.Millisecond
	// maxRelayedRows bounds the rows of the relayed reports of one datagram, so that it holds a few thousand bytes.
	maxRelayedRows = 100
)

// reportTimes are the times at which reports are due.
type reportTimes struct {
	// group is that of a report to the VMs of this VM's group, which is all VMs if there are few.
	group cs.Instant
	// remote is that of a report to VMs of other data centres and of a digest, and relay that of a relay; 0 if there is one group.
	remote, relay cs.Instant
}

// Report sends this VM's report to the VMs of its group when it has changed, and at a longer interval when it has not, and
// relays the reports of the group and digests of the loads at their runners to other VMs.
func Report(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	gossip := &t.Gossip
	if partitions := t.LimitPartitions(now); !bytes.Equal(partitions, gossip.Partitions) {
		gossip.Partitions, gossip.PartitionsAt = partitions, now
	}
	loads, allocated := localLoads(t, now), t.AllocatedLoads(now)
	due := timesOfReports(t, loads, allocated)
	var digest []gateway.RunnerLoad
	if due.remote != 0 && now >= min(due.remote, due.relay) {
		digest = slices.Concat(allocated, groupAllocated(t))
		if slices.Equal(digest, gossip.SentDigest) {
			due.remote = max(due.remote, gossip.RemoteAt.Add(gateway.MaxReportInterval))
		}
	}
	toGroup, relays := now >= due.group, due.relay != 0 && now >= due.relay
	toRemote := due.remote != 0 && now >= due.remote || relays
	if toGroup || toRemote {
		full := toGroup && now.Sub(gossip.FullAt) >= fullReportInterval || relays && now.Sub(gossip.FullRelayAt) >= fullReportInterval
		gossip.Seq++
		r := newReport(t, now, loads, full)
		r.Allocated = allocated
		routes := t.UpdateRoutes(now)
		if toGroup {
			sendToGroup(t, now, r, routes.Group, out)
		}
		if toRemote {
			sendDigest(t, now, r, digest, relays, out)
		}
		if relays {
			relayReports(t, now, r, routes.Relay, full, out)
			gossip.RelayedAt, gossip.RelayDue, gossip.GroupChanged = now, now.Add(t.NextRelay()), false
			if full {
				gossip.FullRelayAt = now
			}
		}
		due = timesOfReports(t, loads, allocated)
	}
	out.WakeAt(due.group)
	if due.relay != 0 {
		out.WakeAt(due.relay)
		out.WakeAt(due.remote)
	}
}

// timesOfReports returns when the next reports are due.
func timesOfReports(t *gateway.Tables, loads, allocated []gateway.RunnerLoad) reportTimes {
	gossip := &t.Gossip
	times := reportTimes{group: gossip.SentAt.Add(max(gateway.MaxReportInterval, t.ReportInterval()))}
	if !slices.Equal(loads, gossip.Sent) || hasSuspectNews(t) || hasLimitNews(t) || hasDepartureNews(t) {
		times.group = gossip.SentAt.Add(t.ReportInterval())
		gossip.GroupChanged = true
	}
	if gossip.PartitionsAt > gossip.SentAt {
		times.group = gossip.SentAt.Add(t.ReportInterval())
		gossip.GroupChanged = true
	}
	if t.RelayInterval() == 0 {
		if !slices.Equal(allocated, gossip.SentAllocated) {
			times.group = min(times.group, gossip.SentAt.Add(max(t.ReportInterval(), allocatedInterval)))
		}
		return times
	}
	times.relay, times.remote = gossip.RelayDue, gossip.RemoteAt.Add(max(digestInterval, t.NextRelay()))
	if !gossip.GroupChanged {
		times.relay = max(times.relay, gossip.RelayedAt.Add(quietRelayInterval))
	}
	times.relay = max(times.relay, 1) // a relay that was never sent is due
	return times
}

// sendToGroup sends a report to the VMs of this VM's group.
func sendToGroup(t *gateway.Tables, now cs.Instant, r gateway.Report, to []cs.VMID, out *gateway.Actions) {
	gossip := &t.Gossip
	sendReport(t, r, to, out)
	gossip.SentAt, gossip.Sent, gossip.SentAllocated = now, r.Loads, r.Allocated
	if now.Sub(gossip.FullAt) >= fullReportInterval {
		gossip.FullAt = now
	}
}

// sendDigest reports to VMs of other data centres, and sends the loads at the runners of the group to other groups unless a
// relay brings them as well.
func sendDigest(t *gateway.Tables, now cs.Instant, r gateway.Report, digest []gateway.RunnerLoad, relays bool, out *gateway.Actions) {
	gossip, routes := &t.Gossip, &t.Gossip.Routes
	if len(routes.Remote) > 0 {
		sendReport(t, r, routes.Remote, out)
	}
	if !relays && len(routes.Relay) > 0 && !slices.Equal(digest, gossip.SentDigest) {
		r.Allocated = digest
		sendReport(t, r, routes.Relay, out)
	}
	gossip.RemoteAt, gossip.SentDigest = now, digest
}

// sendReport sends a report to peers.
func sendReport(t *gateway.Tables, r gateway.Report, to []cs.VMID, out *gateway.Actions) {
	addresses := make([]cs.Address, 0, len(to))
	for _, id := range to {
		if p := t.Peers.Get(id); p != nil {
			addresses = append(addresses, p.VM.Address)
		}
	}
	out.Add(gateway.SendReport{To: addresses, Report: r})
}

// newReport returns the report of this VM. A full one lists all limits, suspects and departures, and others only the news.
func newReport(t *gateway.Tables, now cs.Instant, loads []gateway.RunnerLoad, full bool) gateway.Report {
	r := gateway.Report{
		From: t.Self.ID, Incarnation: t.Self.Incarnation, DataCentre: t.Self.DataCentre, Seq: t.Gossip.Seq,
		Loads: loads, Leaving: t.Drain.Phase != fleet.DrainNone, StoreUnreadable: t.StoreUnreadable(),
		BatchDemand: t.Partitions.BatchDemand, JobLogFormat: t.Self.JobLogFormat, Memory: t.Self.Memory,
		Partitions: partitionsToReport(t, now, full),
	}
	for id, runner := range t.Runners.All() {
		if runner.Failures > 0 && now < runner.EjectedUntil {
			r.Ejected = append(r.Ejected, id)
		}
		if age := now.Sub(runner.RefusedAt); age <= gateway.NewsPeriod {
			r.Refusing = append(r.Refusing, gateway.RefusingRunner{Runner: id, Age: age})
		}
	}
	r.Suspects, r.ProbeClaims = suspectsToReport(t, now, full), t.ProbeClaims(now)
	r.Limits = limitsToReport(t, now, full)
	r.Departures = departuresToReport(t, now, full)
	if feed := t.Feeds[gateway.FeedRunners]; feed.ReadableSince != 0 {
		r.Registrations = &gateway.ReadsReport{Since: now.Sub(feed.ReadableSince), AsOf: feed.Age(now)}
	}
	if t.JobLog.Synced {
		age := t.Feeds[gateway.FeedJobs].Age(now)
		r.JobLogAge = &age
	}
	for id, demand := range t.Demands.All() {
		if demand.Own > 0 {
			r.Demands = append(r.Demands, gateway.DemandReport{Service: id, Demand: demand.Own})
		}
	}
	return r
}

// partitionsToReport returns the partitions of which this VM grants permits, in full reports and while they are news, and nil in
// others.
func partitionsToReport(t *gateway.Tables, now cs.Instant, full bool) gateway.PartitionSet {
	gossip := &t.Gossip
	switch {
	case t.Config.Quota.Window == 0 || !full && (gossip.PartitionsAt == 0 || now.Sub(gossip.PartitionsAt) > gateway.NewsPeriod):
		return nil
	case gossip.Partitions == nil:
		return gateway.NoPartitions
	default:
		return gossip.Partitions
	}
}

// relayReports sends this VM's report, together with those that it has received from its group since the last relay, to
// VMs outside the group.
func relayReports(t *gateway.Tables, now cs.Instant, own gateway.Report, to []cs.VMID, full bool, out *gateway.Actions) {
	if len(to) == 0 {
		return
	}
	rows := 0
	for id, p := range t.Peers.All() {
		if p.DirectReportAt < t.Gossip.RelayedAt || p.LastReportAt == 0 || !t.InOwnGroup(id) {
			continue
		}
		if rows += rowCount(p.Last); rows > maxRelayedRows && len(own.Relayed) > 0 {
			sendReport(t, own, to, out)
			own.Relayed, rows = nil, rowCount(p.Last)
		}
		last := p.Last
		if full && last.Partitions == nil && !bytes.Equal(p.Partitions, gateway.NoPartitions) {
			last.Partitions = p.Partitions // few VMs own any, so that none is only told as news
		}
		own.Relayed = append(own.Relayed, gateway.RelayedReport{Address: p.VM.Address, Age: now.Sub(p.DirectReportAt), Report: last})
	}
	sendReport(t, own, to, out)
}

// groupAllocated returns the loads of runners that the VMs of this VM's group last reported.
func groupAllocated(t *gateway.Tables) []gateway.RunnerLoad {
	var loads []gateway.RunnerLoad
	for id, p := range t.Peers.All() {
		if p.LastReportAt != 0 && t.InOwnGroup(id) {
			loads = append(loads, p.Last.Allocated...)
		}
	}
	return loads
}

// rowCount returns the number of rows of a report, which determines its size.
func rowCount(r gateway.Report) int {
	return 1 + len(r.Loads) + len(r.Allocated) + len(r.Ejected) + len(r.Refusing) + len(r.Limits) + len(r.Departures) + len(r.Demands) + len(r.ProbeClaims)
}

// localLoads returns the number of this VM's requests in flight on each runner that has any and has no allocator.
func localLoads(t *gateway.Tables, now cs.Instant) []gateway.RunnerLoad {
	var loads []gateway.RunnerLoad
	for id, r := range t.Runners.All() {
		if r.Online+r.Batch > 0 && !t.HasAllocator(r, now) {
			loads = append(loads, gateway.RunnerLoad{Runner: id, Online: r.Online, Batch: r.Batch})
		}
	}
	return loads
}
