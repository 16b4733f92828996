package bulk

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

// maxText bounds the output of one item.
const maxOutputBytes = 8 << 20

// errStopped is the cause of a run that this VM stopped.
var errStopped = errors.New("stopped")

// Traffic carries the bytes of items and answers callers of jobs.
type Traffic struct {
	runners forward.Runners
	post    gateway.Post
	tasks   sync.WaitGroup
	queries tick.Questions[gateway.QueryID, gateway.Action]

	mu   sync.Mutex
	runs map[runKey]context.CancelCauseFunc
}

// run names one run of an item.
type runKey struct {
	key     gateway.ItemKey
	attempt cs.Attempt
}

// NewTraffic returns traffic without a run.
func NewTraffic(r forward.Runners, post gateway.Post) *Traffic {
	return &Traffic{
		runners: r, post: post, runs: make(map[runKey]context.CancelCauseFunc),
	}
}

// Run starts a run of an item.
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

// Stop stops a run, at the runner too, since that drops a request whose connection closes.
func (t *Traffic) Stop(a gateway.StopItem) {
	t.mu.Lock()
	cancel := t.runs[runKey{a.Key, a.Attempt}]
	t.mu.Unlock()
	if cancel != nil {
		cancel(errStopped)
	}
}

// exchange runs an item once.
func (t *Traffic) runOnce(ctx context.Context, a gateway.RunItem) gateway.ItemRunEnded {
	ended := gateway.ItemRunEnded{Key: a.Key, Attempt: a.Attempt}
	ctx, watch := forward.WatchSilence(ctx, a.Silence)
	defer watch.Stop()
	header := make(http.Header, len(a.Item.Header))
	for name, value := range a.Item.Header {
		header.Set(name, value)
	}
	answer, err := t.runners.Send(ctx, forward.Call{
		ID: cs.RequestID(a.Item.ID), Method: http.MethodPost, Target: a.Item.Target, Host: a.Host,
		Header: header, Body: a.Item.Body,
	}, forward.Destination{Runner: a.Runner, Address: a.Address, LastEvent: a.LastEvent})
	if err != nil {
		ended.Outcome = outcomeOf(ctx, err)
		return ended
	}
	defer func() { _ = answer.Body.Close() }() // what is left unread is of no use
	if answer.Status != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxPageBytes)) // lets the connection be used again
		ended.Outcome = gateway.ItemError{Status: answer.Status, Never: answer.Status == http.StatusUnprocessableEntity}
		return ended
	}
	err = readEvents(answer, a.LastEvent, &ended, func() { watch.Heard(a.Silence) })
	if err != nil {
		ended.Outcome = outcomeOf(ctx, err)
		return ended
	}
	ended.Outcome = gateway.ItemWhole{}
	return ended
}

// collect reads the events of an answer that follow the last one known, and calls heard at each.
func readEvents(answer *forward.Answer, last cs.EventID, e *gateway.ItemRunEnded, onEvent func()) error {
	if !answer.Signed {
		return errors.New("success without a signature")
	}
	events := forward.NewEventReader(answer.Body)
	for {
		event, err := events.Read()
		if errors.Is(err, io.EOF) {
			if last == 0 {
				return errors.New("the output has no event")
			}
			return nil
		}
		if err != nil {
			return &forward.BrokenError{Cause: err, Disconnected: true}
		}
		onEvent()
		if event.ID <= last {
			continue // known from an earlier run, or no event of the output
		}
		if event.ID != last+1 {
			return errors.Newf("event %d follows %d", event.ID, last)
		}
		if e.LastEvent > 0 {
			e.Text = append(e.Text, '\n')
		}
		e.Text = append(e.Text, event.Data...)
		if len(e.Text) > maxOutputBytes {
			return errors.Newf("output is longer than %d bytes", maxOutputBytes)
		}
		last, e.LastEvent = event.ID, event.ID
	}
}

// outcomeOf turns an error of a run into its outcome.
func outcomeOf(ctx context.Context, err error) gateway.ItemOutcome {
	var notRun *forward.NotRunError
	var broken *forward.BrokenError
	silent := forward.IsSilent(ctx)
	switch {
	case ctx.Err() != nil && !silent:
		return gateway.ItemStopped{}
	case errors.As(err, &notRun):
		return gateway.ItemNotRun{Gone: notRun.Gone, Unreachable: notRun.Unreachable || silent, Refused: notRun.Refused}
	case silent:
		return gateway.ItemBroken{Error: forward.ErrSilent.Error(), Silent: true}
	case errors.As(err, &broken):
		return gateway.ItemBroken{Error: err.Error(), Disconnected: broken.Disconnected}
	default:
		return gateway.ItemBroken{Error: err.Error()}
	}
}

// Ask posts what a caller asks and returns the control loop's answer; ctx ends when the caller leaves.
func (t *Traffic) Ask(ctx context.Context, ask func(gateway.QueryID) gateway.Event) (gateway.Action, error) {
	var id gateway.QueryID
	answer, err := t.queries.Ask(ctx, func(ctx context.Context, q gateway.QueryID) error {
		id = q
		return t.post(ctx, ask(q))
	})
	if err != nil {
		_ = t.post(context.Background(), gateway.QueryLeft{Query: id}) // fails only when its context ends
	}
	return answer, err
}

// Answer hands an answer to the caller of a query.
func (t *Traffic) Answer(q gateway.QueryID, a gateway.Action) { t.queries.Answer(q, a) }

// Close waits for the runs to end; their context must have ended.
func (t *Traffic) Close() { t.tasks.Wait() }
