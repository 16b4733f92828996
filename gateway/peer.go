package gateway

import cs "github.com/crocusstile/crocusstile"

// Peer is another entry VM.
type Peer struct {
	VM cs.VM
	// HeardAt is when its last report came, or 0.
	HeardAt cs.Instant
	// Order is the number of the last report, which tells a late datagram.
	Order uint64
	Loads []RunnerLoad
	// StoreLost means that the peer cannot read the store.
	StoreLost bool
	// Waiting counts the batch items that the peer would start if there were room.
	Waiting int
	// Queues are the peer's claims to the free places of services.
	Queues []QueueClaim
}

// RunnerLoad counts one VM's requests in flight on a runner.
type RunnerLoad struct {
	Runner cs.RunnerID `cbor:"r"`
	Online cs.Slots    `cbor:"o,omitempty"`
	Batch  cs.Slots    `cbor:"b,omitempty"`
}

// Report is what a VM tells its peers about itself.
type Report struct {
	From        cs.VMID         `cbor:"f"`
	Incarnation cs.Incarnation  `cbor:"i"`
	DataCentre  cs.DataCentreID `cbor:"d"`
	// Order counts the reports of a process.
	Order   uint64       `cbor:"n"`
	Loads   []RunnerLoad `cbor:"l,omitempty"`
	Leaving bool         `cbor:"x,omitempty"`
	// StoreLost means that the sender cannot read the store.
	StoreLost bool `cbor:"u,omitempty"`
	// Waiting counts the batch items that the sender would start if there were room.
	Waiting int `cbor:"q,omitempty"`
	// Queues are the sender's claims to the free places of services.
	Queues []QueueClaim `cbor:"k,omitempty"`
	// Down lists runners that the sender could not reach lately.
	Down []cs.RunnerID `cbor:"w,omitempty"`
	// Suspects lists contents that crashed runners lately.
	Suspects []SuspectCount `cbor:"s,omitempty"`
}

// StoreLost reports whether this VM cannot read the store.
func (t *Tables) StoreLost() bool { return t.Feeds[FeedRunners].LostAt != 0 }

// StoreAway reports whether most VMs cannot read the store, this one among them: it is away, and
// nobody else takes over what this VM owns.
func (t *Tables) StoreAway() bool {
	if !t.StoreLost() {
		return false
	}
	lost, heard := 1, 1
	for _, p := range t.Peers.All() {
		if p.HeardAt == 0 {
			continue
		}
		heard++
		if p.StoreLost {
			lost++
		}
	}
	return 2*lost > heard
}

const (
	// reportGap is the shortest time between two reports of a VM. A request takes about ten times as long
	// at a runner, so that peers choose by loads that are nearly current.
	reportGap = 25 * cs.Millisecond
	// reportPeers is the number of peers up to which that holds; among more VMs the reports of each come
	// less often, so that a VM sends and gets at most 800 datagrams a second.
	reportPeers = 20
)

// ReportGap returns the shortest time between two reports of a VM, which is also how old what peers said may
// be.
func (t *Tables) ReportGap() cs.Span {
	return reportGap * cs.Span(max(t.Peers.Len(), reportPeers)) / reportPeers
}

// GossipState tells when the next report is due.
type GossipState struct {
	Order  uint64
	SentAt cs.Instant
	// Sent is what the last report said of the load, to tell whether anything changed.
	Sent []RunnerLoad
}
