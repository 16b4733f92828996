package gateway

import cs "github.com/crocusstile/crocusstile"

// PeerState is what a VM that cannot read the store asks of its peers.
type PeerState struct {
	// Catalog is nil if the peer knows none.
	Catalog *cs.Catalog
	Runners []cs.Runner
}

// StateQuery numbers the peers' questions for this VM's state.
type StateQuery uint64

// Bootstrap is how a VM that started without the store learns of the fleet.
type Bootstrap struct {
	// Adopted means that a peer's state is in use.
	Adopted bool
	// AskedAt is when a peer was last asked, or 0.
	AskedAt cs.Instant
}

// KnowsRunners reports whether the list of runners is known, from the store or from a peer.
func (t *Tables) KnowsRunners() bool { return t.Feeds[FeedRunners].Loaded || t.Bootstrap.Adopted }
