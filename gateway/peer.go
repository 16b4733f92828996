package gateway

import (
	"math"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
)

// Peer is another entry VM, with the contents of its last report.
type Peer struct {
	VM cs.VM
	// LastReportAt is when the last report arrived, or 0 if there was none or the peer has timed out.
	LastReportAt cs.Instant
	// HeardAt is when the last report arrived, or 0 if there was none.
	HeardAt cs.Instant
	// DirectReportAt is when the last report arrived that no other VM relayed, or 0 if there was none.
	DirectReportAt cs.Instant
	// Last is the last report that no other VM relayed, without suspects and relayed reports. It is only kept for VMs of
	// this VM's group, to which this VM relays it.
	Last Report
	// Seq is the sequence number of the last report, by which datagrams that arrive out of order are
	// discarded.
	Seq   uint64
	Loads []RunnerLoad
	// AllocatorSilentUntil is the end of the time during which the peer is not asked for slots, since it did not reply to the
	// last SlotTimeouts requests.
	AllocatorSilentUntil cs.Instant
	SlotTimeouts         int
	// SlotSeq is the sequence number of the last slot message with holdings of the incarnation SlotIncarnation.
	SlotSeq         uint64
	SlotIncarnation cs.Incarnation
	// Partitions are those of which the peer grants permits for the limits of workspaces, as reported since PartitionsAt.
	Partitions   PartitionSet
	PartitionsAt cs.Instant
	// AllowanceID is the last request for permits of the incarnation AllowanceIncarnation.
	AllowanceID          AllowanceRequestID
	AllowanceIncarnation cs.Incarnation
	// StoreUnreadable means that the peer cannot read the store.
	StoreUnreadable bool
	// Registrations tells how the peer reads the registrations of runners.
	Registrations PeerReads
	// JobLogAsOf is the instant for which the peer has read everything in the job log, or 0 if it has not read it.
	JobLogAsOf cs.Instant
	// BatchDemand is the peer's demand for batch slots: the items that it could start now. Items that will be
	// late anyway count for less.
	BatchDemand int
	// Demands is the peer's demand for the free capacity of services.
	Demands []DemandReport
	// ProbeClaims are the quarantined parts of which the peer claims a probe.
	ProbeClaims []cs.PromptPart
	// SentTo holds the requests that the peer has sent to runners while they named a limit, as last reported.
	SentTo map[cs.RunnerID]uint32
}

// PeerReads tells since when a peer has been able to read a topic without a failure, and up to which instant it is known to have
// read it. Both are 0 if it cannot read it.
type PeerReads struct{ Since, AsOf cs.Instant }

// ReadsReport is PeerReads in a report, as ages.
type ReadsReport struct {
	_           struct{} `cbor:",toarray"`
	Since, AsOf cs.Span
}

// RunnerLoad is the number of requests that one VM has in flight on a runner.
type RunnerLoad struct {
	Runner cs.RunnerID `cbor:"r"`
	Online cs.Slots    `cbor:"o,omitempty"`
	Batch  cs.Slots    `cbor:"b,omitempty"`
}

// Report is the gossip message in which a VM reports its state to its peers.
type Report struct {
	From        cs.VMID         `cbor:"f"`
	Incarnation cs.Incarnation  `cbor:"i"`
	DataCentre  cs.DataCentreID `cbor:"d"`
	// Seq is the sequence number of the report within the process.
	Seq uint64 `cbor:"n"`
	// Loads are those of the sender at runners that have no allocator, and Allocated those of all VMs at the runners of which
	// the sender, or in a digest a VM of its group, is the allocator.
	Loads     []RunnerLoad `cbor:"l,omitempty"`
	Allocated []RunnerLoad `cbor:"a,omitempty"`
	// Leaving means that the sender is draining.
	Leaving bool `cbor:"x,omitempty"`
	// StoreUnreadable means that the sender cannot read the store.
	StoreUnreadable bool `cbor:"u,omitempty"`
	// JobLogFormat is the newest format of job log records that the sender reads.
	JobLogFormat cs.JobLogFormat `cbor:"v,omitempty"`
	// Memory is the memory of the sender.
	Memory cs.Bytes `cbor:"z,omitempty"`
	// Registrations tells how the sender reads the registrations of runners; nil if it cannot read them.
	Registrations *ReadsReport `cbor:"g,omitempty"`
	// JobLogAge is the age of the sender's view of the job log; nil if it has not read it.
	JobLogAge *cs.Span `cbor:"j,omitempty"`
	// BatchDemand is the sender's demand for batch slots (see Peer).
	BatchDemand int `cbor:"q,omitempty"`
	// Demands is the sender's demand for the free capacity of services.
	Demands []DemandReport `cbor:"k,omitempty"`
	// Partitions are those of which the sender grants permits for the limits of workspaces, NoPartitions for none, and nil if the
	// report does not tell.
	Partitions PartitionSet `cbor:"b,omitempty"`
	// Ejected lists the runners that the sender has ejected after a failure.
	Ejected []cs.RunnerID `cbor:"w,omitempty"`
	// Refusing lists the runners at whose addresses nothing listened when the sender last tried to connect.
	Refusing []RefusingRunner `cbor:"c,omitempty"`
	// Limits lists the limits that runners name, and those that have ended since.
	Limits []LimitReport `cbor:"m,omitempty"`
	// Suspects lists what the sender suspects of crashing runners.
	Suspects []SuspectReport `cbor:"p,omitempty"`
	// ProbeClaims lists the quarantined parts of which the sender claims a probe.
	ProbeClaims []cs.PromptPart `cbor:"h,omitempty"`
	// Departures lists the runners that are leaving or have left.
	Departures []DepartureReport `cbor:"e,omitempty"`
	// Relayed lists the latest reports of VMs of the sender's group.
	Relayed []RelayedReport `cbor:"y,omitempty"`
}

// Bounds of the counts in a report. Anyone can send a datagram to the address for reports.
const (
	// maxReportedLoad bounds the requests of a VM in flight on a runner, which are at most a few more than its slots. Sums
	// over the largest deployment stay within 32 bits.
	maxReportedLoad = 2 * cs.MaxSlots
	// maxReportedDemand bounds a demand, which is at most the number of a VM's waiting items or requests.
	maxReportedDemand = 1 << 24
)

// Validate returns an error unless a VM can have sent the report.
func (r *Report) Validate() error {
	if r.From == "" {
		return errors.New("report without a sender")
	}
	for _, loads := range [][]RunnerLoad{r.Loads, r.Allocated} {
		for _, l := range loads {
			if l.Online < 0 || l.Batch < 0 || l.Online > maxReportedLoad || l.Batch > maxReportedLoad {
				return errors.Newf("load out of range: %d and %d requests", l.Online, l.Batch)
			}
		}
	}
	if r.BatchDemand < 0 || r.BatchDemand > maxReportedDemand {
		return errors.Newf("demand for batch slots out of range: %d", r.BatchDemand)
	}
	for _, d := range r.Demands {
		if d.Demand < 0 || d.Demand > maxReportedDemand {
			return errors.Newf("demand out of range: %d", d.Demand)
		}
	}
	for _, l := range r.Limits {
		if !(l.Rate >= 0) || math.IsInf(float64(l.Rate), 0) {
			return errors.Newf("limit out of range: %g a second", l.Rate)
		}
	}
	if len(r.Partitions) > maxPartitionSetBytes {
		return errors.Newf("set of partitions of %d bytes", len(r.Partitions))
	}
	for i := range r.Relayed {
		relayed := &r.Relayed[i].Report
		if len(relayed.Relayed) > 0 {
			return errors.New("relayed report that relays others")
		}
		if err := relayed.Validate(); err != nil {
			return errors.Wrap(err, "relayed report")
		}
	}
	return nil
}

// LimitReport is the limit of a runner as a VM knows it.
type LimitReport struct {
	_      struct{} `cbor:",toarray"`
	Runner cs.RunnerID
	Named  bool
	Rate   cs.PerSecond
	// Age is the time since a response showed it.
	Age cs.Span
	// Sent counts the requests that the sender of the report has sent since the limit was named.
	Sent uint32
}

// RefusingRunner is a runner that refused a connection some time ago.
type RefusingRunner struct {
	_      struct{} `cbor:",toarray"`
	Runner cs.RunnerID
	Age    cs.Span
}

// SuspectReport is what a VM knows of a suspect, from itself or from others. Instants are sent as ages, since the clocks
// of VMs differ.
type SuspectReport struct {
	_   struct{} `cbor:",toarray"`
	Key SuspectKey
	// Begun means that a response to a prompt with the part began BegunAge ago.
	Begun    bool
	BegunAge cs.Span
	// FirstCrashAge and LastCrashAge are the times since the first and the last crash, if there are any.
	FirstCrashAge, LastCrashAge cs.Span
	Crashes                     []CrashReport
	// Probed means that a VM let a request with the quarantined part pass ProbeAge ago.
	Probed   bool
	ProbeAge cs.Span
}

// CrashReport is one crash of a runner under a suspect.
type CrashReport struct {
	_   struct{} `cbor:",toarray"`
	ID  CrashID
	Age cs.Span
}

// StoreUnreadable reports whether this VM cannot read the store, as shown by its feed of runners.
func (t *Tables) StoreUnreadable() bool { return t.Feeds[FeedRunners].FailingSince != 0 }

// StoreUnavailable reports whether the store is down: this VM cannot read it, nor can most of the VMs that
// report. No other VM can then take over the partitions of this VM, so that it may keep working on them.
func (t *Tables) StoreUnavailable() bool {
	if !t.StoreUnreadable() {
		return false
	}
	unable, reporting := 1, 1
	for _, p := range t.Peers.All() {
		if p.LastReportAt == 0 {
			continue
		}
		reporting++
		if p.StoreUnreadable {
			unable++
		}
	}
	return 2*unable > reporting
}

// GossipState describes the last report that this VM has sent; the time of the next one follows from it.
type GossipState struct {
	// Seq is the sequence number of the last report.
	Seq    uint64
	SentAt cs.Instant
	// Sent is the load in the last report, and SentAllocated that of the runners of this VM. Loads that differ from them are
	// reported sooner.
	Sent, SentAllocated []RunnerLoad
	// Partitions are those of which this VM grants permits, since PartitionsAt.
	Partitions   PartitionSet
	PartitionsAt cs.Instant
	// SentDigest are the loads at the runners of the group in the last digest.
	SentDigest []RunnerLoad
	// RemoteAt is when this VM last reported to VMs of other data centres itself.
	RemoteAt cs.Instant
	// RelayedAt is when this VM last relayed the reports of its group, and RelayDue when it does so again.
	RelayedAt, RelayDue cs.Instant
	// GroupChanged means that the load of a VM of the group has changed since then, or that there is other news.
	GroupChanged bool
	Routes       ReportRoutes
	// CheckedAt is when the peers were last checked for a timeout.
	CheckedAt cs.Instant
	// FullAt is when the group last got a report that listed all limits, suspects and departures, and FullRelayAt when the
	// VMs outside did.
	FullAt, FullRelayAt cs.Instant
}

// NewsPeriod is how long each report lists a limit, a suspect, a refused connection or a departure of which its sender has
// learned something new. It covers the loss of a datagram.
const NewsPeriod = 600 * cs.Millisecond

// liveVMRank returns how many of the peers that report and are not leaving come before this VM in the order of a key. The
// order is another one for each key, and the same on all VMs that know the same peers.
func (t *Tables) liveVMRank(key string) int {
	rank := 0
	own := cs.RendezvousWeight(key, string(t.Self.ID))
	for id, p := range t.Peers.All() {
		if p.LastReportAt != 0 && !p.VM.Leaving && cs.RendezvousWeight(key, string(id)) > own {
			rank++
		}
	}
	return rank
}
