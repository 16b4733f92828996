package batchjob_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/batchjob"
	"github.com/crocusstile/crocusstile/forward"
	"github.com/crocusstile/crocusstile/gateway"
)

// stalledRunner is a runner that sends its text and then nothing more, on a connection that stays open.
type stalledRunner struct{ text string }

func (s stalledRunner) Dispatch(ctx context.Context, _ forward.RunnerRequest, _ forward.Destination) (*forward.RunnerResponse, error) {
	if s.text == "" {
		<-ctx.Done()
		return nil, &forward.InterruptedError{Cause: ctx.Err()}
	}
	body := io.MultiReader(strings.NewReader(s.text), blockingReader{ctx})
	return &forward.RunnerResponse{Status: http.StatusOK, Stream: true, Signed: true, Body: io.NopCloser(body)}, nil
}

// blockingReader is a reader that blocks until its context ends.
type blockingReader struct{ ctx context.Context }

func (b blockingReader) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// Guards against an item that stays with a runner for ever because the runner sends nothing more on an open
// connection: the run must end, and the output received before must be kept.
func TestRunEndsAtIdleTimeout(t *testing.T) {
	for name, text := range map[string]string{"no answer": "", "part of an answer": "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ended := make(chan gateway.ItemRunEnded, 1)
			traffic := batchjob.NewTraffic(stalledRunner{text}, func(_ context.Context, e gateway.Event) error {
				ended <- e.(gateway.ItemRunEnded)
				return nil
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			traffic.Run(ctx, gateway.RunItem{EventTimeout: 50})
			select {
			case e := <-ended:
				interrupted, ok := e.Outcome.(gateway.ItemInterrupted)
				c.Assert(ok, qt.IsTrue, qt.Commentf("%#v", e.Outcome))
				c.Assert(interrupted.TimedOut, qt.IsTrue)
				c.Assert(interrupted.Disconnected, qt.IsFalse)
				if text != "" {
					c.Assert(string(e.Text), qt.Equals, "a\nb")
				}
			case <-time.After(5 * time.Second):
				c.Fatal("the run did not end")
			}
		})
	}
}
