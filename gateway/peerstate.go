package gateway

import cs "github.com/crocusstile/crocusstile"

// PeerState is the catalog and the runners as an entry VM knows them. A VM that has started while it
// cannot read the store requests them from a peer.
type PeerState struct {
	// Catalog is nil if the VM does not know one.
	Catalog *cs.Catalog
	// NamesWorkspaces means that the catalog would contain workspaces if there were any. VMs of an earlier version leave them out.
	NamesWorkspaces bool
	Runners         []cs.Runner
	// Revisions holds the offsets of the runners' registrations, which order them and what is known of departures.
	Revisions map[cs.RunnerID]cs.Offset
}

// StateQueryID is the id of a peer's request for this VM's state, unique within the process.
type StateQueryID uint64

// Bootstrap is the progress of obtaining the catalog and the runners from a peer, for a VM that has not
// read the store since its start.
type Bootstrap struct {
	// Adopted means that the runners in use came from a peer.
	Adopted bool
	// RequestedAt is when the last request to a peer was sent, or 0.
	RequestedAt cs.Instant
}

// RunnersLoaded reports whether the list of runners is known, from the store or from a peer.
func (t *Tables) RunnersLoaded() bool { return t.Feeds[FeedRunners].Loaded || t.Bootstrap.Adopted }
