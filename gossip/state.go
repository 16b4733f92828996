package gossip

import (
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/tick"
)

// Requests for the state of a peer.
const (
	// statePath is the HTTP path at which a VM serves its state, on the same address as its reports.
	statePath = "/state"
	// stateRequestTimeout bounds a request for a peer's state; peers respond within milliseconds.
	stateRequestTimeout = cs.Second
	// maxStateBytes bounds the encoded size of a state: a few thousand routes and runners of about 200
	// bytes each, and 11,000 workspaces of about 150 bytes.
	maxStateBytes = 8 << 20
)

// wireState is the CBOR encoding of a gateway.PeerState.
type wireState struct {
	Version cs.CatalogVersion               `cbor:"v"`
	Routes  []cs.Route                      `cbor:"r"`
	Groups  map[cs.ServiceID]cs.RunnerGroup `cbor:"g"`
	Limits  cs.CallerLimits                 `cbor:"l"`
	Runners []cs.Runner                     `cbor:"u"`
	// Revisions is missing in the state of a VM of an earlier version.
	Revisions map[cs.RunnerID]cs.Offset `cbor:"o,omitempty"`
	// Format is 0 in the state of a VM of an earlier version, and stateFormat otherwise.
	Format int `cbor:"f,omitempty"`
	// RequiresKeys and Workspaces are those of the catalog.
	RequiresKeys bool            `cbor:"k,omitempty"`
	Workspaces   []wireWorkspace `cbor:"w,omitempty"`
}

// stateFormat is that of a state with workspaces.
const stateFormat = 1

// wireWorkspace is the CBOR encoding of a workspace. A key is sent as its digest.
type wireWorkspace struct {
	ID          cs.WorkspaceID `cbor:"i"`
	Priority    int            `cbor:"p,omitempty"`
	HasPriority bool           `cbor:"h,omitempty"`
	Rate        cs.PerSecond   `cbor:"r,omitempty"`
	Burst       float64        `cbor:"b,omitempty"`
	Keys        [][]byte       `cbor:"k,omitempty"`
}

// encodeWorkspaces returns the workspaces of a catalog. A key that several workspaces have is sent with the one that it belongs to, since
// their order is lost.
func encodeWorkspaces(c *cs.Catalog) []wireWorkspace {
	workspaces := c.Workspaces()
	out := make([]wireWorkspace, len(workspaces))
	for i, w := range workspaces {
		out[i] = wireWorkspace{ID: w.ID, Priority: w.Priority, HasPriority: w.HasPriority, Rate: w.Rate, Burst: w.Burst}
		for _, key := range w.Keys {
			if c.WorkspaceOf(key).ID == w.ID {
				out[i].Keys = append(out[i].Keys, key[:])
			}
		}
	}
	return out
}

// decodeWorkspaces returns an error for a digest of another length, as no VM sends it.
func decodeWorkspaces(in []wireWorkspace) ([]cs.Workspace, error) {
	workspaces := make([]cs.Workspace, len(in))
	for i, w := range in {
		workspaces[i] = cs.Workspace{ID: w.ID, Priority: w.Priority, HasPriority: w.HasPriority, Rate: w.Rate, Burst: w.Burst}
		for _, key := range w.Keys {
			digest := cs.KeyDigest{}
			if len(key) != len(digest) {
				return nil, errors.Newf("key digest of %d bytes", len(key))
			}
			copy(digest[:], key)
			workspaces[i].Keys = append(workspaces[i].Keys, digest)
		}
	}
	return workspaces, nil
}

func encodeState(s gateway.PeerState) ([]byte, error) {
	out := wireState{Runners: s.Runners, Revisions: s.Revisions, Format: stateFormat}
	if c := s.Catalog; c != nil {
		out.Version, out.Routes, out.Groups, out.Limits = c.Version, c.Routes(), c.Groups, c.Limits
		out.RequiresKeys, out.Workspaces = c.RequiresKeys, encodeWorkspaces(c)
	}
	return cbor.Marshal(out)
}

// decodeState decodes the state of a peer, without registrations that a peer of an older version took for those of runners.
func decodeState(data []byte) (gateway.PeerState, error) {
	var in wireState
	if err := decoder.Unmarshal(data, &in); err != nil {
		return gateway.PeerState{}, err
	}
	s := gateway.PeerState{
		Runners:   slices.DeleteFunc(in.Runners, func(r cs.Runner) bool { return r.Validate() != nil }),
		Revisions: in.Revisions, NamesWorkspaces: in.Format >= stateFormat,
	}
	if len(in.Routes) > 0 {
		s.Catalog = cs.NewCatalog(in.Version, in.Routes, in.Groups, in.Limits)
		if in.RequiresKeys {
			workspaces, err := decodeWorkspaces(in.Workspaces)
			if err != nil {
				return gateway.PeerState{}, err
			}
			s.Catalog = s.Catalog.WithWorkspaces(workspaces)
		}
	}
	return s, nil
}

// StateExchange serves the state of this VM to peers over HTTP and requests theirs.
type StateExchange struct {
	post    gateway.Post
	queries tick.Queries[gateway.StateQueryID, gateway.PeerState]
}

// NewStateExchange returns a StateExchange that posts the requests of peers to the control loop.
func NewStateExchange(post gateway.Post) *StateExchange { return &StateExchange{post: post} }

// Answer delivers the control loop's answer to the HTTP request that waits for it.
func (s *StateExchange) Answer(a gateway.AnswerPeerState) { s.queries.Answer(a.Query, a.State) }

// ServeHTTP answers a peer's request with the state of this VM, in CBOR.
func (s *StateExchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != statePath {
		http.NotFound(w, r)
		return
	}
	answer, err := s.queries.Ask(r.Context(), func(ctx context.Context, q gateway.StateQueryID) error {
		return s.post(ctx, gateway.PeerStateRequested{Query: q})
	})
	if err != nil {
		return // the peer has disconnected
	}
	data, err := encodeState(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data) // fails only if the peer has disconnected
}

// Request asks a peer for its state and posts the response as a PeerStateRead event.
func (s *StateExchange) Request(ctx context.Context, a gateway.RequestPeerState) error {
	ctx, cancel := context.WithTimeout(ctx, stateRequestTimeout.Std())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(a.Address)+statePath, nil)
	if err != nil {
		return err
	}
	req.Close = true // a process requests a state only after its start, so the connection need not stay open
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // a failure to close does not affect the response
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("peer responded with HTTP status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil {
		return err
	}
	state, err := decodeState(data)
	if err != nil {
		return errors.Wrap(err, "decode the state of a peer")
	}
	return s.post(ctx, gateway.PeerStateRead{Peer: a.Peer, State: state})
}
