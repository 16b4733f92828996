package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// storePatience is how long after its start a VM waits for the store before it asks a peer: the store
	// answers in a few milliseconds, and in about a quarter of a second when it is slow.
	storePatience = 400 * cs.Millisecond
	// askGap is the time between two questions to peers.
	askGap = 300 * cs.Millisecond
)

// Bootstrap asks peers for their state while this VM has not read the store since its start, and answers
// the peers' questions.
func Bootstrap(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.PeerStateRead:
			adopt(t, e, out)
		case gateway.PeerStateAsked:
			out.Add(gateway.AnswerPeerState{Query: e.Query, State: stateOf(t)})
		default:
		}
	}
	if t.Catalog != nil && t.KnowsRunners() || t.Drain.Phase != fleet.DrainNone {
		return
	}
	due := t.Started.Add(storePatience)
	if asked := t.Bootstrap.AskedAt; asked != 0 {
		due = asked.Add(askGap)
	}
	if now < due {
		out.WakeAt(due)
		return
	}
	if p := heardPeer(t); p != nil {
		t.Bootstrap.AskedAt = now
		out.Add(gateway.AskPeerState{Peer: p.VM.ID, Address: p.VM.Address})
	}
}

// heardPeer draws one of the peers that report, or returns nil.
func heardPeer(t *gateway.Tables) *gateway.Peer {
	var picked *gateway.Peer
	n := 0
	for _, p := range t.Peers.All() {
		if p.HeardAt == 0 {
			continue
		}
		if n++; t.Rand.IntN(n) == 0 {
			picked = p
		}
	}
	return picked
}

// stateOf returns the state of this VM for a peer.
func stateOf(t *gateway.Tables) gateway.PeerState {
	s := gateway.PeerState{Catalog: t.Catalog}
	for _, r := range t.Runners.All() {
		s.Runners = append(s.Runners, r.Spec)
	}
	return s
}

// adopt takes over a peer's state as far as the store has not brought it meanwhile.
func adopt(t *gateway.Tables, e gateway.PeerStateRead, out *gateway.Actions) {
	c := e.State.Catalog
	if c == nil || len(e.State.Runners) == 0 {
		return // the peer has not read the store either
	}
	if t.Catalog == nil || t.Catalog.Version < c.Version {
		t.Catalog = c
		out.Note(gateway.Note{Kind: gateway.NoteCatalogInForce, Version: c.Version, Peer: e.Peer})
	}
	if t.KnowsRunners() {
		return
	}
	t.Bootstrap.Adopted = true
	out.Note(gateway.Note{
		Kind: gateway.NoteStateAdopted, Peer: e.Peer, Version: c.Version, Count: len(e.State.Runners),
	})
	for _, r := range e.State.Runners {
		put(t, r, out)
	}
}
