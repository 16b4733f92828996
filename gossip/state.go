package gossip

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/tick"
)

// How a peer's state is asked.
const (
	// statePath is where a VM serves its state, on the address of its reports.
	statePath = "/state"
	// stateTimeout bounds a question; peers answer within milliseconds.
	stateRequestTimeout = cs.Second
	// maxState bounds the bytes of a state: a few thousand routes and runners of some 200 bytes.
	maxStateBytes = 4 << 20
)

// state is a gateway.PeerState in CBOR.
type wireState struct {
	Version cs.CatalogVersion               `cbor:"v"`
	Routes  []cs.Route                      `cbor:"r"`
	Groups  map[cs.ServiceID]cs.RunnerGroup `cbor:"g"`
	Limits  cs.CallerLimits                 `cbor:"l"`
	Runners []cs.Runner                     `cbor:"u"`
}

func encodeState(s gateway.PeerState) ([]byte, error) {
	out := wireState{Runners: s.Runners}
	if c := s.Catalog; c != nil {
		out.Version, out.Routes, out.Groups, out.Limits = c.Version, c.Routes(), c.Groups, c.Limits
	}
	return cbor.Marshal(out)
}

func decodeState(data []byte) (gateway.PeerState, error) {
	var in wireState
	if err := cbor.Unmarshal(data, &in); err != nil {
		return gateway.PeerState{}, err
	}
	s := gateway.PeerState{Runners: in.Runners}
	if len(in.Routes) > 0 {
		s.Catalog = cs.NewCatalog(in.Version, in.Routes, in.Groups, in.Limits)
	}
	return s, nil
}

// States serves this VM's state to peers and asks them for theirs.
type States struct {
	post      gateway.Post
	questions tick.Questions[gateway.StateQuery, gateway.PeerState]
}

// NewStates returns states that hand questions to the control loop.
func NewStates(post gateway.Post) *States { return &States{post: post} }

// Answer hands the control loop's answer to the peer that asked.
func (s *States) Answer(a gateway.AnswerPeerState) { s.questions.Answer(a.Query, a.State) }

// ServeHTTP answers a peer's question.
func (s *States) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != statePath {
		http.NotFound(w, r)
		return
	}
	answer, err := s.questions.Ask(r.Context(), func(ctx context.Context, q gateway.StateQuery) error {
		return s.post(ctx, gateway.PeerStateAsked{Query: q})
	})
	if err != nil {
		return // the peer has left
	}
	data, err := encodeState(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data) // a peer that has left needs no answer
}

// Ask asks a peer for its state and posts what it answers.
func (s *States) Ask(ctx context.Context, a gateway.AskPeerState) error {
	ctx, cancel := context.WithTimeout(ctx, stateRequestTimeout.Std())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(a.Address)+statePath, nil)
	if err != nil {
		return err
	}
	req.Close = true // one question in the life of a process
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // the answer was read or is of no use
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil {
		return err
	}
	state, err := decodeState(data)
	if err != nil {
		return errors.Wrap(err, "state of a peer")
	}
	return s.post(ctx, gateway.PeerStateRead{Peer: a.Peer, State: state})
}
