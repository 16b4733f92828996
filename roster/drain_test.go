package roster_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/roster"
)

// drainExit runs the drain of a VM, with a tick each 10 ms, and returns when it exits, from the request to drain on. Each
// tick, update changes the tables and returns the events.
func drainExit(grace cs.Span, update func(t *gateway.Tables, since cs.Span) []gateway.Event) cs.Span {
	start := cs.Instant(1_000_000)
	t := gateway.New(gateway.Config{Grace: grace}, cs.VM{ID: "a"}, start, 1)
	var out gateway.Actions
	t.Events = []gateway.Event{gateway.DrainRequested{}}
	for now := start; ; now = now.Add(10) {
		out.Reset()
		if update != nil {
			t.Events = append(t.Events, update(t, now.Sub(start))...)
		}
		roster.Drain(t, now, &out)
		t.Events = nil
		if t.Drain.Phase == fleet.DrainDone || now.Sub(start) > 2*grace {
			return now.Sub(start)
		}
	}
}

// Guards against an exit while callers wait for an answer, or while requests still arrive, and against one that comes later
// than the platform kills the process.
func TestExitWaitsForCallers(t *testing.T) {
	const grace = 8 * cs.Second
	until := func(end cs.Span, insert, remove func(*gateway.Tables)) func(*gateway.Tables, cs.Span) []gateway.Event {
		return func(t *gateway.Tables, since cs.Span) []gateway.Event {
			switch since {
			case 0:
				insert(t)
			case end:
				remove(t)
			}
			return nil
		}
	}
	for name, test := range map[string]struct {
		update   func(*gateway.Tables, cs.Span) []gateway.Event
		min, max cs.Span
	}{
		"nothing": {nil, 4000, 4010},
		"request": {until(5000, func(t *gateway.Tables) { t.Forwards.Insert(1, gateway.Forward{}) }, func(t *gateway.Tables) { t.Forwards.Delete(1) }), 5000, 5010},
		"query for results": {until(5000, func(t *gateway.Tables) { t.ResultsQueries.Insert(1, gateway.ResultsQuery{}) }, func(t *gateway.Tables) {
			t.ResultsQueries.Delete(1)
		}), 5000, 5010},
		"query for a body": {until(5000, func(t *gateway.Tables) { t.BodyQueries.Insert(1, gateway.BodyQuery{}) }, func(t *gateway.Tables) {
			t.BodyQueries.Delete(1)
		}), 5000, 5010},
		"submission": {until(5000, func(t *gateway.Tables) { t.Proposals = []gateway.Proposal{gateway.ProposeJob{}} }, func(t *gateway.Tables) {
			t.Proposals = nil
		}), 5000, 5010},
		"requests that arrive": {func(_ *gateway.Tables, since cs.Span) []gateway.Event {
			if since%100 == 0 && since < 5500 {
				return []gateway.Event{gateway.ForwardArrived{}}
			}
			return nil
		}, 5500, 6000},
		"queries that arrive": {func(_ *gateway.Tables, since cs.Span) []gateway.Event {
			if since%100 == 0 {
				return []gateway.Event{gateway.ResultsRequested{}}
			}
			return nil
		}, 6500, 7700},
		"request without end": {until(-1, func(t *gateway.Tables) { t.Forwards.Insert(1, gateway.Forward{}) }, nil), 7000, 7700},
	} {
		t.Run(name, func(t *testing.T) {
			exit := drainExit(grace, test.update)
			qt.Assert(t, exit >= test.min && exit <= test.max, qt.IsTrue, qt.Commentf("exit after %d ms, expected after %d to %d", exit, test.min, test.max))
		})
	}
}

// Guards against a VM that admits requests until the platform kills it, since the grace period is short.
func TestDrainFitsShortGracePeriod(t *testing.T) {
	const grace = 3 * cs.Second
	qt.Assert(t, drainExit(grace, nil) < grace, qt.IsTrue)
	endless := func(t *gateway.Tables, since cs.Span) []gateway.Event {
		if since == 0 {
			t.Forwards.Insert(1, gateway.Forward{})
		}
		return nil
	}
	qt.Assert(t, drainExit(grace, endless) < grace, qt.IsTrue)
}
