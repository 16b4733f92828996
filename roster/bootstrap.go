package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// storeReadTimeout is how long after its start a VM waits for the store before it asks a peer.
	// The store answers within a few milliseconds, or within about 250 ms when it is slow.
	storeReadTimeout = 400 * cs.Millisecond
	// stateRequestInterval is the time between two requests for the state of a peer.
	stateRequestInterval = 300 * cs.Millisecond
)

// Bootstrap requests the state of peers as long as this VM has not read the store since it started,
// and answers the requests of peers for its own state.
func Bootstrap(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.PeerStateRead:
			adoptPeerState(t, now, e, out)
		case gateway.PeerStateRequested:
			out.Add(gateway.AnswerPeerState{Query: e.Query, State: localState(t)})
		default:
		}
	}
	if t.Catalog != nil && t.RunnersLoaded() || t.Drain.Phase != fleet.DrainNone {
		return
	}
	due := t.Started.Add(storeReadTimeout)
	if requestedAt := t.Bootstrap.RequestedAt; requestedAt != 0 {
		due = requestedAt.Add(stateRequestInterval)
	}
	if now < due {
		out.WakeAt(due)
		return
	}
	if p := randomLivePeer(t); p != nil {
		t.Bootstrap.RequestedAt = now
		out.Add(gateway.RequestPeerState{Peer: p.VM.ID, Address: p.VM.Address})
	}
}

// randomLivePeer returns a random peer among those that currently report, or nil. The choice is
// uniform (reservoir sampling).
func randomLivePeer(t *gateway.Tables) *gateway.Peer {
	var picked *gateway.Peer
	n := 0
	for _, p := range t.Peers.All() {
		if p.LastReportAt == 0 {
			continue
		}
		if n++; t.Rand.IntN(n) == 0 {
			picked = p
		}
	}
	return picked
}

// localState returns the catalog and the runners known to this VM, as the answer to a peer's request.
func localState(t *gateway.Tables) gateway.PeerState {
	s := gateway.PeerState{Catalog: t.Catalog, Revisions: make(map[cs.RunnerID]cs.Offset)}
	for id, r := range t.Runners.All() {
		s.Runners = append(s.Runners, r.Spec)
		s.Revisions[id] = r.Revision
	}
	return s
}

// lacksWorkspaces reports whether the state of a VM of an earlier version, which names no workspaces, may have lost some: the catalog
// of this VM has workspaces, or its settings are those of a deployment with workspaces.
func lacksWorkspaces(t *gateway.Tables, s gateway.PeerState) bool {
	return !s.NamesWorkspaces && (t.Catalog != nil && t.Catalog.RequiresKeys || t.Config.RevokeBound > 0 || t.Config.Quota.Window > 0)
}

// adoptPeerState applies a peer's state, except for parts that were read from the store in the
// meantime.
func adoptPeerState(t *gateway.Tables, now cs.Instant, e gateway.PeerStateRead, out *gateway.Actions) {
	catalog := e.State.Catalog
	if catalog == nil || len(e.State.Runners) == 0 {
		return // the peer has not read the store yet either
	}
	if lacksWorkspaces(t, e.State) {
		return // requests would run without keys; another peer is asked
	}
	if t.Catalog == nil || t.Catalog.Version < catalog.Version {
		t.Catalog = catalog
		out.Note(gateway.Note{Kind: gateway.NoteCatalogInForce, Version: catalog.Version, Peer: e.Peer})
	}
	if t.RunnersLoaded() {
		return
	}
	t.Bootstrap.Adopted = true
	out.Note(gateway.Note{
		Kind: gateway.NoteStateAdopted, Peer: e.Peer, Version: catalog.Version, Count: len(e.State.Runners),
	})
	for _, r := range e.State.Runners {
		revision, known := e.State.Revisions[r.ID]
		if !known {
			revision = cs.NoOffset
		}
		applyRegistration(t, r, revision, now, out)
	}
	sumPeerLoads(t)
}
