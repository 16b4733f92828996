package gossip

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/forward"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/tick"
)

// Transfers of the state of the job log.
const (
	// JobStatePath is the HTTP path at which a VM serves the state, on the same address as its reports.
	JobStatePath = "/jobs"
	// statePageBytes is the size of the pages in which a state is sent.
	statePageBytes = 256 << 10
	// minPagePause is the shortest pause between two pages. A page that takes longer to send is followed by a pause as
	// long, so that callers keep half of a small link.
	minPagePause = 20 * cs.Millisecond
	// stallTimeout is the time without progress after which a transfer has failed.
	stallTimeout = 2 * cs.Second
	// maxJobStateBytes bounds the encoded size of a state.
	maxJobStateBytes = 256 << 20
	// maxStateAttempts is the number of peers that are asked before the store is read, and stateRetryDelay the mean pause
	// after the first one; it doubles.
	maxStateAttempts = 3
	stateRetryDelay  = 100 * cs.Millisecond
)

// errNoStatePeer means that no peer can hand over the state.
var errNoStatePeer = errors.New("no peer can hand over the job log")

// jobStateHeader is the first element of the CBOR sequence that a state is sent as. The jobs follow.
type jobStateHeader struct {
	End        cs.Offset              `cbor:"e"`
	Age        cs.Span                `cbor:"a"`
	Jobs       int                    `cbor:"j"`
	Unreadable map[cs.JobID]cs.Offset `cbor:"u,omitempty"`
}

// JobStateConfig holds the dependencies of a JobStateExchange.
type JobStateConfig struct {
	Clock *cs.Clock
	// Post delivers requests and states to the control loop.
	Post gateway.Post
	Log  zerolog.Logger
}

// JobStateExchange serves the state of the job log to peers over HTTP, one transfer at a time, and takes it from them.
type JobStateExchange struct {
	cfg    JobStateConfig
	states tick.Queries[gateway.StateQueryID, *gateway.JobLogState]
	peers  tick.Queries[gateway.StateQueryID, gateway.AnswerStatePeer]
	// isServing means that a transfer to a peer is in progress.
	isServing atomic.Bool
}

// NewJobStateExchange returns a JobStateExchange.
func NewJobStateExchange(c JobStateConfig) *JobStateExchange { return &JobStateExchange{cfg: c} }

// AnswerState delivers the control loop's answer to the request of a peer that waits for it.
func (x *JobStateExchange) AnswerState(a gateway.AnswerJobState) { x.states.Answer(a.Query, a.State) }

// AnswerPeer delivers the control loop's answer to the Obtain call that waits for it.
func (x *JobStateExchange) AnswerPeer(a gateway.AnswerStatePeer) { x.peers.Answer(a.Query, a) }

// ServeHTTP sends the state to a peer, or responds with 503 during another transfer and if there is no state.
func (x *JobStateExchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !x.isServing.CompareAndSwap(false, true) {
		http.Error(w, "another transfer is in progress", http.StatusServiceUnavailable)
		return
	}
	defer x.isServing.Store(false)
	state, err := x.states.Ask(r.Context(), func(ctx context.Context, q gateway.StateQueryID) error {
		return x.cfg.Post(ctx, gateway.JobStateRequested{Query: q})
	})
	if err != nil {
		return // the peer has disconnected
	}
	if state == nil {
		http.Error(w, "no state of the job log", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/cbor-seq")
	if err := writeJobState(&pacedWriter{ctx: r.Context(), w: w, conn: http.NewResponseController(w)}, state); err != nil {
		x.cfg.Log.Info().Err(err).Msg("handing over the job log failed")
	}
}

// writeJobState writes a state as a CBOR sequence.
func writeJobState(w io.Writer, s *gateway.JobLogState) error {
	pages := bufio.NewWriterSize(w, statePageBytes)
	encoder := cbor.NewEncoder(pages)
	if err := encoder.Encode(jobStateHeader{End: s.End, Age: s.Age, Jobs: len(s.Jobs), Unreadable: s.Unreadable}); err != nil {
		return err
	}
	for i := range s.Jobs {
		if err := encoder.Encode(s.Jobs[i]); err != nil {
			return err
		}
	}
	return pages.Flush()
}

// pacedWriter sends what is written to it in pages with pauses.
type pacedWriter struct {
	ctx  context.Context
	w    io.Writer
	conn *http.ResponseController
}

// Write sends pages until everything is written.
func (p *pacedWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		begin := time.Now()
		if err := p.conn.SetWriteDeadline(begin.Add(stallTimeout.Std())); err != nil {
			return written, err
		}
		n, err := p.w.Write(data[written:min(len(data), written+statePageBytes)])
		written += n
		if err == nil {
			err = p.conn.Flush()
		}
		if err != nil {
			return written, err
		}
		if err := pause(p.ctx, max(minPagePause, cs.SpanOf(time.Since(begin)))); err != nil {
			return written, err
		}
	}
	return written, nil
}

// pause waits for a span, or until ctx ends.
func pause(ctx context.Context, s cs.Span) error {
	t := time.NewTimer(s.Std())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Obtain takes the state of the job log from a peer that the control loop selects, posts it, and returns the offset from which
// to read the changes made since.
func (x *JobStateExchange) Obtain(ctx context.Context) (cs.Offset, error) {
	var tried []cs.VMID
	for attempt := range maxStateAttempts {
		if attempt > 0 {
			if err := pause(ctx, stateRetryDelay<<(attempt-1)/2+rand.N(stateRetryDelay<<(attempt-1))); err != nil {
				return 0, err
			}
		}
		peer, err := x.peers.Ask(ctx, func(ctx context.Context, q gateway.StateQueryID) error {
			return x.cfg.Post(ctx, gateway.StatePeerRequested{Query: q, Tried: tried})
		})
		if err != nil {
			return 0, err
		}
		if peer.Address == "" {
			return 0, errNoStatePeer
		}
		read, err := x.request(ctx, peer)
		if err == nil {
			return read.State.End, x.cfg.Post(ctx, read)
		}
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		x.cfg.Log.Info().Err(err).Str("peer", string(peer.Peer)).Msg("cannot take the job log from a peer")
		tried = append(tried, peer.Peer)
	}
	return 0, errNoStatePeer
}

// request takes the state from one peer.
func (x *JobStateExchange) request(ctx context.Context, peer gateway.AnswerStatePeer) (gateway.JobStateRead, error) {
	ctx, idleTimer := forward.WithIdleTimeout(ctx, stallTimeout)
	defer idleTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(peer.Address)+JobStatePath, nil)
	if err != nil {
		return gateway.JobStateRead{}, err
	}
	req.Close = true // the next transfer is far away
	sent := x.cfg.Clock.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return gateway.JobStateRead{}, err
	}
	defer func() { _ = resp.Body.Close() }() // a failure to close does not affect the response
	if resp.StatusCode != http.StatusOK {
		return gateway.JobStateRead{}, errors.Newf("peer responded with HTTP status %d", resp.StatusCode)
	}
	state, err := readJobState(io.LimitReader(progressReader{resp.Body, idleTimer}, maxJobStateBytes))
	if err != nil {
		return gateway.JobStateRead{}, errors.CombineErrors(context.Cause(ctx), err)
	}
	return gateway.JobStateRead{Peer: peer.Peer, State: state, AsOf: sent.Add(-state.Age)}, nil
}

// progressReader restarts an idle timer whenever data arrives.
type progressReader struct {
	body      io.Reader
	idleTimer *forward.IdleTimer
}

// Read reads from the body.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 {
		r.idleTimer.Restart(stallTimeout)
	}
	return n, err
}

// readJobState decodes a state and returns an error for one that no VM can have sent.
func readJobState(r io.Reader) (gateway.JobLogState, error) {
	in := decoder.NewDecoder(r)
	var header jobStateHeader
	if err := in.Decode(&header); err != nil {
		return gateway.JobLogState{}, errors.Wrap(err, "decode the state of the job log")
	}
	s := gateway.JobLogState{End: header.End, Age: header.Age, Unreadable: header.Unreadable}
	for range header.Jobs {
		var j gateway.JobState
		if err := in.Decode(&j); err != nil {
			return gateway.JobLogState{}, errors.Wrapf(err, "decode job %d of %d", len(s.Jobs)+1, header.Jobs)
		}
		s.Jobs = append(s.Jobs, j)
	}
	return s, s.Validate()
}
