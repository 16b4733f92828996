package batchjob_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/batchjob"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/platform"
	"github.com/crocusstile/crocusstile/standin"
)

// maxBytesPerRun is the share of a run in the memory of a small VM: 120 MB for four dozen requests at once, as
// bytes that were received count towards the memory of the VM.
const maxBytesPerRun = 120 << 20 / 48

// busyMachineMargin is the time beyond a limit that a busy machine may take.
const busyMachineMargin = 5 * time.Second

const (
	okHead     = "HTTP/1.1 200 OK\r\nRequest-Id: it1\r\nResponse-Signature: s\r\n"
	streamHead = okHead + "Content-Type: text/event-stream\r\n\r\n"
)

// runAtEndless runs an item at a runner that responds without end and returns how the run ended. It fails if
// the connection is not closed or too many bytes are read.
func runAtEndless(t *testing.T, respond func(n int) string, pause time.Duration, a gateway.RunItem) gateway.ItemRunEnded {
	c := qt.New(t)
	faulty, err := standin.NewEndlessRunner(respond, pause)
	c.Assert(err, qt.IsNil)
	defer faulty.Close()
	runners := platform.NewRunners(platform.RunnersConfig{})
	defer runners.Close()
	ended := make(chan gateway.ItemRunEnded, 1)
	traffic := batchjob.NewTraffic(runners, func(_ context.Context, e gateway.Event) error {
		ended <- e.(gateway.ItemRunEnded)
		return nil
	})
	defer traffic.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a.Address, a.Item.ID, a.Item.Target = cs.Address(faulty.Address()), "it1", "/p/"
	traffic.Run(ctx, a)
	select {
	case e := <-ended:
		for until := time.Now().Add(busyMachineMargin); faulty.OpenConns() > 0; time.Sleep(5 * time.Millisecond) {
			c.Assert(time.Now().Before(until), qt.IsTrue, qt.Commentf("the connection stays open"))
		}
		c.Check(faulty.MostBytes() < maxBytesPerRun, qt.IsTrue, qt.Commentf("%d bytes", faulty.MostBytes()))
		return e
	case <-time.After(a.EventTimeout.Std() + busyMachineMargin):
		c.Fatalf("the run did not end; %d bytes were sent", faulty.MostBytes())
		return gateway.ItemRunEnded{}
	}
}

// Events that bring no output must not keep an item at a runner: the run must end after the time limit of an event, or
// at once after an event without an id, with the output received before, so that the item goes on elsewhere.
func TestRunWithoutNewEventsEnds(t *testing.T) {
	first := "id: 1\ndata: a\n\n"
	for name, part := range map[string]string{
		"repeated event": first, "event without id": "data: x\n\n", "comment": ": x\n\n", "blank line": "\n",
	} {
		t.Run(name, func(t *testing.T) {
			respond := func(n int) string {
				if n == 0 {
					return streamHead + first
				}
				return part
			}
			limit, unnumbered := 50*cs.Millisecond, name == "event without id"
			if unnumbered {
				limit = 2 * cs.Second // the run does not wait for it
			}
			e := runAtEndless(t, respond, 5*time.Millisecond, gateway.RunItem{EventTimeout: limit})
			interrupted, ok := e.Outcome.(gateway.ItemInterrupted)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", e.Outcome))
			qt.Check(t, interrupted.TimedOut, qt.Equals, !unnumbered)
			qt.Check(t, interrupted.Disconnected, qt.IsFalse)
			qt.Check(t, string(e.Text), qt.Equals, "a")
		})
	}
}

// A stream that brings no new event must not be read without bound until the time limit of an event.
func TestEndlessStreamOfRunIsCutOff(t *testing.T) {
	first := "id: 1\ndata: a\n\n"
	filler := strings.Repeat("x", 4<<10)
	for name, respond := range map[string]func(int) string{
		"line":              standin.Repeat(streamHead+first+"data: ", filler),
		"blank lines":       standin.Repeat(streamHead+first, strings.Repeat("\n", 4<<10)),
		"repeated events":   standin.Repeat(streamHead, strings.Repeat(first, 100)),
		"comments":          standin.Repeat(streamHead+first, ": "+filler+"\n\n"),
		"events without id": standin.Repeat(streamHead+first, "data: "+filler+"\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			e := runAtEndless(t, respond, 0, gateway.RunItem{EventTimeout: 2 * cs.Second})
			_, ok := e.Outcome.(gateway.ItemInterrupted)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", e.Outcome))
			qt.Check(t, string(e.Text), qt.Equals, "a")
		})
	}
}

// numberedEvents returns a stream of events with increasing ids that does not end.
func numberedEvents(data string) func(n int) string {
	return func(n int) string {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, data)
		if n == 0 {
			return streamHead + event
		}
		return event
	}
}

// A stream of numbered events that goes on beyond the tokens of its item, or beyond what a record of the job log can
// hold, is not the item's output. It must be cut off, and none of it may be kept: a run that resumes after it would
// complete the item with it.
func TestOutputBeyondItemIsDiscarded(t *testing.T) {
	for name, test := range map[string]struct {
		data   string
		tokens cs.Tokens
	}{
		"more events than tokens": {"x", 100},
		"larger than a record":    {strings.Repeat("x", 4<<10), 1_000_000},
		"without data":            {"", 1_000_000},
	} {
		t.Run(name, func(t *testing.T) {
			e := runAtEndless(t, numberedEvents(test.data), 0, gateway.RunItem{
				EventTimeout: 2 * cs.Second, MaxOutput: 64 << 10, Item: gateway.Item{Tokens: test.tokens},
			})
			_, ok := e.Outcome.(gateway.ItemInterrupted)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", e.Outcome))
			qt.Check(t, e.LastEvent, qt.Equals, cs.EventID(0))
			qt.Check(t, len(e.Text), qt.Equals, 0)
		})
	}
}

// An error response that does not end is no answer: neither its status may count against the item, which would be
// given up for it, nor may it be read without bound.
func TestEndlessErrorOfRunIsNoAnswer(t *testing.T) {
	head := func(status string) string { return "HTTP/1.1 " + status + " X\r\nRequest-Id: it1\r\n\r\n" }
	filler := strings.Repeat("x", 4<<10)
	for name, test := range map[string]struct {
		respond func(n int) string
		pause   time.Duration
	}{
		"422":         {standin.Repeat(head("422"), filler), 0},
		"422, slowly": {standin.Repeat(head("422"), "x"), 5 * time.Millisecond},
		"500":         {standin.Repeat(head("500"), filler), 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := runAtEndless(t, test.respond, test.pause, gateway.RunItem{EventTimeout: cs.Second})
			_, ok := e.Outcome.(gateway.ItemInterrupted)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", e.Outcome))
		})
	}
}
