// Package registry contains clients for the services of the project's own deployment: the log, the list
// of VMs and runners, and the load reports of runners. They post what they read as events to the control
// loop.
package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/wire"
)

// Timeouts and limits of the log client.
const (
	// pollWait is the time that the log may wait for a new record before it responds (long polling).
	pollWait = 2 * cs.Second
	// pollGrace is added to pollWait to give the timeout of a read.
	pollGrace = 2 * cs.Second
	// maxReadRecords limits the records of one read. The log accepts records of up to 1 MB.
	maxReadRecords = 16
	// maxReadBytes limits the response to one read, in which payloads are base64-encoded.
	maxReadBytes = 32 << 20
	// minBackoff and maxBackoff limit the exponential backoff after failed reads.
	minBackoff = 100 * cs.Millisecond
	maxBackoff = 2 * cs.Second
	// minEmptyRead is the minimum duration of a read without records, in case the log does not support
	// long polling and responds at once.
	minEmptyRead = 100 * cs.Millisecond
)

// LogConfig is the configuration of a Log.
type LogConfig struct {
	// Address is the log's address.
	Address cs.Address
	// AppendTimeout is the timeout of one append.
	AppendTimeout cs.Span
	// Post delivers an event to the control loop; an error ends the tail that called it.
	Post func(context.Context, fleet.Event) error
}

// Log tails streams of the platform's log and appends to them.
//
// Its memory use is at most one read of 32 MB for each tail and one batch for each append; the control
// loop has at most one append in flight for each stream.
type Log struct {
	cfg    LogConfig
	client *http.Client

	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
	tails  map[cs.StreamID]context.CancelFunc
	wg     sync.WaitGroup
}

// NewLog returns a client; Close must be called to end its goroutines.
func NewLog(c LogConfig) *Log {
	ctx, cancel := context.WithCancel(context.Background())
	dialer := &net.Dialer{Timeout: time.Second}
	return &Log{
		cfg: c, ctx: ctx, cancel: cancel, tails: map[cs.StreamID]context.CancelFunc{},
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32,
			IdleConnTimeout: (20 * cs.Second).Std(),
		}},
	}
}

// Close cancels all tails and appends and waits for their goroutines to end.
func (l *Log) Close() {
	l.mu.Lock()
	l.cancel()
	l.mu.Unlock()
	l.wg.Wait()
	l.client.CloseIdleConnections()
}

// Subscribe starts reading a stream at an offset and goes on until Unsubscribe; it replaces a tail
// of the same stream.
func (l *Log) Subscribe(s cs.StreamID, from cs.Offset) {
	l.Unsubscribe(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.tails[s] = cancel
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.tail(ctx, s, from)
	}()
}

// Unsubscribe stops the tail of a stream, if there is one.
func (l *Log) Unsubscribe(s cs.StreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel := l.tails[s]; cancel != nil {
		cancel()
		delete(l.tails, s)
	}
}

// tail reads a stream until ctx ends and retries failed reads with backoff.
func (l *Log) tail(ctx context.Context, s cs.StreamID, from cs.Offset) {
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		e, err := l.read(ctx, s, from)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if l.cfg.Post(ctx, fleet.LogReadFailed{Stream: s, Error: err.Error()}) != nil {
				return
			}
			sleep(ctx, backoff/2+cs.Span(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		empty := e.Next == from
		backoff, from = minBackoff, e.Next
		if l.cfg.Post(ctx, e) != nil {
			return
		}
		if empty {
			sleep(ctx, minEmptyRead-cs.SpanOf(time.Since(started)))
		}
	}
}

// readResponse is the log's response to a read.
type readResponse struct {
	First   cs.Offset `json:"first"`
	Next    cs.Offset `json:"next"`
	Records []struct {
		Offset  cs.Offset  `json:"offset"`
		TimeMs  cs.Instant `json:"timeMs"`
		Payload []byte     `json:"payload"`
	} `json:"records"`
}

// read reads records once; it skips payloads that cannot be decoded as a batch. A response with a gap in
// its offsets is an error, since the missing records would never be read.
func (l *Log) read(ctx context.Context, s cs.StreamID, from cs.Offset) (fleet.LogRead, error) {
	ctx, cancel := context.WithTimeout(ctx, (pollWait + pollGrace).Std())
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/streams/%s/records?from=%d&max=%d&waitMs=%d", l.cfg.Address, s, from, maxReadRecords, pollWait)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fleet.LogRead{}, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return fleet.LogRead{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fleet.LogRead{}, errors.Newf("read: %s", resp.Status)
	}
	var body readResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReadBytes)).Decode(&body); err != nil {
		return fleet.LogRead{}, err
	}
	e := fleet.LogRead{Stream: s, First: body.First, Next: max(from, body.First), End: len(body.Records) < maxReadRecords}
	for _, r := range body.Records {
		if r.Offset != e.Next {
			return fleet.LogRead{}, errors.Newf("read: got offset %d, expected %d", r.Offset, e.Next)
		}
		e.Next++
		batch, err := wire.DecodeBatch(r.Payload)
		if err != nil {
			continue
		}
		e.Batches = append(e.Batches, cs.LoggedBatch{Offset: r.Offset, At: r.TimeMs, Batch: batch})
	}
	return e, nil
}

// Append appends a batch asynchronously and without retries, then posts fleet.Appended or
// fleet.AppendFailed.
func (l *Log) Append(s cs.StreamID, b cs.LogBatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		var e fleet.Event = fleet.Appended{Stream: s, Seq: b.Seq}
		if notAppended, err := l.append(s, b); err != nil {
			e = fleet.AppendFailed{Stream: s, Seq: b.Seq, NotAppended: notAppended, Error: err.Error()}
		}
		_ = l.cfg.Post(l.ctx, e) // fails only if the process is ending
	}()
}

// append sends one append request. If it returns an error, notAppended means that the batch is certain
// not to be in the log.
func (l *Log) append(s cs.StreamID, b cs.LogBatch) (notAppended bool, err error) {
	payload, err := wire.EncodeBatch(b)
	if err != nil {
		return true, err
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.cfg.AppendTimeout.Std())
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/streams/%s/records", l.cfg.Address, s)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(payload))
	if err != nil {
		return true, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		refused := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
		return refused, errors.Newf("append: %s", resp.Status)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return false, nil
}

// sleep waits for the duration s or until ctx ends.
func sleep(ctx context.Context, s cs.Span) {
	t := time.NewTimer(s.Std())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
