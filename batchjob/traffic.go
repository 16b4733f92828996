package batchjob

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/forward"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/tick"
)

// errStopped is the cancellation cause of a run that this VM stopped.
var errStopped = errors.New("stopped")

// Traffic sends items to runners, reads their output and passes queries about jobs to the control loop.
type Traffic struct {
	runners forward.Runners
	post    gateway.Post
	tasks   sync.WaitGroup
	queries tick.Queries[gateway.QueryID, gateway.Action]

	mu   sync.Mutex
	runs map[runKey]context.CancelCauseFunc
}

// runKey identifies one run of an item.
type runKey struct {
	key     gateway.ItemKey
	attempt cs.Attempt
}

// NewTraffic returns a Traffic that sends items through r and reports the ends of runs through post.
func NewTraffic(r forward.Runners, post gateway.Post) *Traffic {
	return &Traffic{
		runners: r, post: post, runs: make(map[runKey]context.CancelCauseFunc),
	}
}

// Run starts a run of an item in the background; its end is posted as an ItemRunEnded event.
func (t *Traffic) Run(ctx context.Context, a gateway.RunItem) {
	ctx, cancel := context.WithCancelCause(ctx)
	r := runKey{a.Key, a.Attempt}
	t.mu.Lock()
	t.runs[r] = cancel
	t.mu.Unlock()
	t.tasks.Go(func() {
		e := t.runOnce(ctx, a)
		t.mu.Lock()
		delete(t.runs, r)
		t.mu.Unlock()
		cancel(nil)
		_ = t.post(context.Background(), e) // fails only when its context ends
	})
}

// Stop cancels a run. That closes its connection, upon which the runner drops the request too.
func (t *Traffic) Stop(a gateway.StopItem) {
	t.mu.Lock()
	cancel := t.runs[runKey{a.Key, a.Attempt}]
	t.mu.Unlock()
	if cancel != nil {
		cancel(errStopped)
	}
}

// runOnce sends an item to a runner, reads the output and returns how the run ended.
func (t *Traffic) runOnce(ctx context.Context, a gateway.RunItem) gateway.ItemRunEnded {
	ended := gateway.ItemRunEnded{Key: a.Key, Attempt: a.Attempt}
	ctx, idleTimer := forward.WithIdleTimeout(ctx, a.EventTimeout)
	defer idleTimer.Stop()
	header := make(http.Header, len(a.Item.Header))
	for name, value := range a.Item.Header {
		header.Set(name, value)
	}
	response, err := t.runners.Dispatch(ctx, forward.RunnerRequest{
		ID: cs.RequestID(a.Item.ID), Method: http.MethodPost, Target: a.Item.Target, Host: a.Host,
		Header: header, Body: a.Item.Body, Access: a.Access,
	}, forward.Destination{
		Runner: a.Runner, Incarnation: a.Incarnation, Address: a.Address, LastEvent: a.LastEvent, NewConnection: a.NewConnection,
	})
	if err != nil {
		ended.Outcome = outcomeOf(ctx, err)
		return ended
	}
	defer func() { _ = response.Body.Close() }() // a failure to close does not change the outcome
	if response.Status != http.StatusOK {
		ended.Outcome = gateway.ItemError{Status: response.Status, Permanent: response.Status == http.StatusUnprocessableEntity}
		if err := discardBody(response.Body); err != nil {
			ended.Outcome = outcomeOf(ctx, err)
		}
		return ended
	}
	err = readEvents(response, a, &ended, func() { idleTimer.Restart(a.EventTimeout) })
	if err != nil {
		if errors.Is(err, errNotOutput) {
			ended.Text, ended.LastEvent = nil, 0
		}
		ended.Outcome = outcomeOf(ctx, err)
		return ended
	}
	ended.Outcome = gateway.ItemCompleted{}
	if response.EndsWithConnection {
		ended.Outcome = gateway.ItemEndedWithConnection{}
	}
	return ended
}

// maxErrorBytes limits the size of the body of an error response.
const maxErrorBytes = 64 << 10

// discardBody reads the body of an error response, which is a response only if it is complete, and lets its
// connection be reused.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxErrorBytes+1))
	if err != nil {
		return &forward.InterruptedError{Cause: err, Disconnected: true}
	}
	if n > maxErrorBytes {
		return errors.Newf("error response exceeds the limit of %d bytes", maxErrorBytes)
	}
	return nil
}

// errNotOutput means that a stream is larger than the output of its item can be. What was read of it must not be
// kept, since a run that resumes after it would complete the item with it.
var errNotOutput = errors.New("more than the output of the item")

// readEvents reads the event stream of a response and appends to e.Text the events after a.LastEvent, up to which
// earlier runs returned them. It calls onEvent for each event that it appends.
func readEvents(response *forward.RunnerResponse, a gateway.RunItem, e *gateway.ItemRunEnded, onEvent func()) error {
	if !response.Signed {
		return errors.New("successful response without the runner's signature")
	}
	if !response.Stream {
		return errors.New("successful response that is no stream of events")
	}
	last := a.LastEvent
	events := forward.NewEventReader(response.Body, last)
	for {
		event, err := events.Read()
		if errors.Is(err, io.EOF) {
			if last == 0 {
				return &forward.InterruptedError{Cause: errors.New("stream ended before its first event"), Disconnected: response.EndsWithConnection}
			}
			return nil
		}
		if err != nil {
			return &forward.InterruptedError{Cause: err, Disconnected: !errors.Is(err, forward.ErrUnnumberedEvent)}
		}
		if event.ID == 0 {
			continue // comments are no output
		}
		if event.ID != last+1 {
			return errors.Newf("event %d received directly after event %d, events are missing", event.ID, last)
		}
		if t := a.Item.Tokens; t > 0 && event.ID > cs.EventID(t) {
			return errors.Wrapf(errNotOutput, "event %d of an item with %d tokens", event.ID, t)
		}
		onEvent()
		if e.LastEvent > 0 {
			e.Text = append(e.Text, '\n')
		}
		e.Text = append(e.Text, event.Data...)
		if a.MaxOutput > 0 && cs.Bytes(len(e.Text)) > a.MaxOutput {
			return errors.Wrapf(errNotOutput, "output exceeds the limit of %d bytes", a.MaxOutput)
		}
		last, e.LastEvent = event.ID, event.ID
	}
}

// outcomeOf returns the outcome of a run that ended with an error.
func outcomeOf(ctx context.Context, err error) gateway.ItemOutcome {
	var notRun *forward.NotRunError
	var interrupted *forward.InterruptedError
	timedOut := forward.IsIdleTimeout(ctx)
	switch {
	case ctx.Err() != nil && !timedOut:
		return gateway.ItemStopped{}
	case errors.As(err, &notRun):
		return gateway.ItemNotRun{Replaced: notRun.Replaced, Unreachable: notRun.Unreachable || timedOut, Refused: notRun.Refused}
	case timedOut:
		return gateway.ItemInterrupted{Error: forward.ErrIdleTimeout.Error(), TimedOut: true}
	case errors.As(err, &interrupted):
		return gateway.ItemInterrupted{Error: err.Error(), Disconnected: interrupted.Disconnected}
	default:
		return gateway.ItemInterrupted{Error: err.Error()}
	}
}

// Ask posts the event that ask builds for a new query and waits for the control loop's answer. If ctx ends
// first because the caller has disconnected, it posts QueryCancelled.
func (t *Traffic) Ask(ctx context.Context, ask func(gateway.QueryID) gateway.Event) (gateway.Action, error) {
	var id gateway.QueryID
	answer, err := t.queries.Ask(ctx, func(ctx context.Context, q gateway.QueryID) error {
		id = q
		return t.post(ctx, ask(q))
	})
	if err != nil {
		_ = t.post(context.Background(), gateway.QueryCancelled{Query: id}) // fails only when its context ends
	}
	return answer, err
}

// Answer delivers an answer to the Ask call that waits for it.
func (t *Traffic) Answer(q gateway.QueryID, a gateway.Action) { t.queries.Answer(q, a) }

// Close waits for all runs to end. The context passed to Run must have ended before.
func (t *Traffic) Close() { t.tasks.Wait() }
