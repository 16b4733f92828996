package forward_test

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/forward"
	"github.com/crocusstile/crocusstile/gateway"
)

// closedAfter responds with a stream of the text that ends with its connection.
func closedAfter(text string) func(context.Context) (*forward.RunnerResponse, error) {
	return func(ctx context.Context) (*forward.RunnerResponse, error) {
		response, err := streamOf(text, nil)(ctx)
		response.EndsWithConnection = true
		return response, err
	}
}

// serveClosed serves a stream as the systems of the VM decide, and returns how it ended.
func serveClosed(c *qt.C, vm *testVM, runs []func(context.Context) (*forward.RunnerResponse, error), route cs.Route, caller *recordingCaller) forward.End {
	ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
	defer cancel()
	s := &scriptedRunner{responses: runs}
	end := serveSession(ctx, s, caller, func(e gateway.Event) gateway.Action {
		if arrived, ok := e.(gateway.ForwardArrived); ok {
			vm.now = arrived.Forward.Arrived
			arrived.Forward.Route = route
			e = arrived
		}
		vm.tick(e)
		for range 20 {
			for _, a := range vm.out.List {
				switch a.(type) {
				case gateway.Dispatch, gateway.Complete, gateway.Refuse:
					return a
				default:
				}
			}
			if vm.Forwards.Len() == 0 {
				break
			}
			vm.now = vm.now.Add(5)
			vm.tick()
		}
		return nil
	})
	c.Check(s.responses, qt.HasLen, 0)
	return end
}

// Guards against a stream whose caller takes it for complete although its runner crashed between two events (review/9), and against
// one that is broken off although its runner, which ends all streams with their connection, sent all of it.
func TestStreamThatEndsWithConnectionIsConfirmed(t *testing.T) {
	const first, second, third = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	type run = func(context.Context) (*forward.RunnerResponse, error)
	framed := func(text string) run { return streamOf(text, nil) }
	broken := func(text string) run { return streamOf(text, io.ErrUnexpectedEOF) }
	lost := func(context.Context) (*forward.RunnerResponse, error) {
		return nil, &forward.InterruptedError{Cause: io.EOF, Disconnected: true}
	}
	for name, test := range map[string]struct {
		runs     []run
		attempts cs.Attempt
		want     string
		end      forward.End
	}{
		"crash, then the rest":                      {[]run{closedAfter(first), framed(second + third)}, 2, first + second + third, forward.EndAnswered{}},
		"crash, then the rest to an end":            {[]run{closedAfter(first), closedAfter(second + third)}, 2, first + second + third, forward.EndAnswered{}},
		"crash, then the rest to an end, confirmed": {[]run{closedAfter(first), closedAfter(second), closedAfter("")}, 3, first + second, forward.EndAnswered{}},
		"two crashes":                               {[]run{closedAfter(first), closedAfter(second), framed(third)}, 3, first + second + third, forward.EndAnswered{}},
		"crash, lost, then the rest":                {[]run{closedAfter(first), lost, framed(second)}, 3, first + second, forward.EndAnswered{}},
		"end, confirmed by no more events":          {[]run{closedAfter(first + second), closedAfter("")}, 2, first + second, forward.EndAnswered{}},
		"end, confirmed by an empty body":           {[]run{closedAfter(first + second), framed("")}, 2, first + second, forward.EndAnswered{}},
		"end, confirmed by a repetition":            {[]run{closedAfter(first + second), closedAfter(first + second)}, 2, first + second, forward.EndAnswered{}},
		"end, no further run allowed":               {[]run{closedAfter(first + second)}, 1, first + second, forward.EndAnswered{}},
		"end, no response to further runs":          {[]run{closedAfter(first), lost, broken("")}, 3, first, forward.EndAnswered{}},
		"interruption, then no events":              {[]run{broken(first), closedAfter("")}, 2, first, forward.EndBroken{}},
		"end, interruption, then no events":         {[]run{closedAfter(first), broken(second), closedAfter("")}, 3, first + second, forward.EndBroken{}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			vm, caller, route := newTestVM(), &recordingCaller{}, resumableRoute
			for _, id := range []cs.RunnerID{"r1", "r2", "r3"} {
				vm.addRunner(id, "a")
			}
			route.MaxAttempts = test.attempts
			route.Shares = []cs.ServiceShare{{Service: "s", Weight: 1}}
			c.Check(serveClosed(c, vm, test.runs, route, caller), qt.DeepEquals, test.end)
			c.Check(caller.body.String(), qt.Equals, test.want)
			c.Check(vm.Forwards.Len(), qt.Equals, 0)
		})
	}
}

// Guards against a run that confirms the end of a stream and counts as an answer of a few milliseconds, against one that goes to the
// runner of the first run while there are others, and against a runner that counts as crashed since it has no more events.
func TestConfirmationOfEnd(t *testing.T) {
	for _, runners := range [][]cs.RunnerID{{"r1"}, {"r1", "r2"}} {
		for name, outcome := range map[string]gateway.Outcome{
			"confirmed": gateway.OutcomeAnswered{Status: 200, LastEvent: 5},
			"lost":      gateway.OutcomeInterrupted{Error: "EOF", Disconnected: true, LastEvent: 5},
		} {
			c := qt.New(t)
			vm := newTestVM()
			for _, id := range runners {
				vm.addRunner(id, "a")
			}
			dispatches, _ := vm.tick(vm.arrival(1, resumableRoute))
			c.Assert(dispatches, qt.HasLen, 1)
			first := dispatches[0].Runner
			vm.now = vm.now.Add(500)
			vm.tick(gateway.ForwardEnded{ID: 1, Attempt: 1, Outcome: gateway.OutcomeEndedWithConnection{LastEvent: 5}})
			serviceTime := vm.Demands.Get("s").ServiceTimeMs
			vm.now = vm.now.Add(100)
			dispatches, refusals := vm.tick()
			c.Assert(refusals, qt.HasLen, 0)
			c.Assert(dispatches, qt.HasLen, 1)
			c.Check(dispatches[0].LastEvent, qt.Equals, cs.EventID(5))
			c.Check(dispatches[0].Runner != first, qt.Equals, len(runners) > 1)
			vm.tick(gateway.ForwardEnded{ID: 1, Attempt: 2, Outcome: outcome})
			c.Check(vm.Forwards.Len(), qt.Equals, 0, qt.Commentf(name))
			c.Check(vm.Demands.Get("s").ServiceTimeMs, qt.Equals, serviceTime)
			for _, r := range vm.Runners.All() {
				c.Check(r.Online, qt.Equals, cs.Slots(0))
				c.Check(r.ConnectionLostAt, qt.Equals, cs.Instant(0))
			}
		}
	}
}
