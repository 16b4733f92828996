package forward

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// What a failed send leads to.
const (
	// retryGap is the pause before a request goes to another runner after a refusal.
	retryGap = 5 * cs.Millisecond
	// resumeGap is the pause before a stream goes on at another runner: the former one must have
	// noticed that its connection has closed.
	resumeGap = 30 * cs.Millisecond
	// maxRefusals bounds the sends of one request that runners refused without running it.
	maxRefusals = 12
)

// Settle applies how sends ended.
func Settle(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.ForwardBegan:
			if f := t.Forwards.Get(e.ID); f != nil && f.Attempt == e.Attempt {
				f.Executed = true
				if r := t.Runners.Get(f.Runner); r != nil {
					r.Forgive()
				}
			}
		case gateway.ForwardEnded:
			settleSend(t, now, e, out)
		case gateway.CallerLeft:
			leave(t, now, e, out)
		default:
		}
	}
}

// leave forgets a request whose caller has left; a send in progress ends with the session.
func leave(t *gateway.Tables, now cs.Instant, e gateway.CallerLeft, out *gateway.Actions) {
	f := t.Forwards.Get(e.ID)
	if f == nil {
		return
	}
	release(t, f)
	out.Note(gateway.Note{
		Kind: gateway.NoteRequestAbandoned, Request: f.Request, Route: f.Route.Name, Runner: f.Runner,
		Attempt: f.Attempt, Took: now.Sub(f.Arrived), Reason: e.Reason,
	})
	t.Forwards.Delete(e.ID)
}

// release gives back the place that a request has at its runner.
func release(t *gateway.Tables, f *gateway.Forward) {
	if f.Phase != gateway.ForwardRunning {
		return
	}
	f.Phase = gateway.ForwardWaiting
	if r := t.Runners.Get(f.Runner); r != nil && r.Online > 0 {
		r.Online--
	}
}

func settleSend(t *gateway.Tables, now cs.Instant, e gateway.ForwardEnded, out *gateway.Actions) {
	f := t.Forwards.Get(e.ID)
	if f == nil || f.Attempt != e.Attempt {
		return
	}
	release(t, f)
	runner := t.Runners.Get(f.Runner)
	n := gateway.Note{
		Request: f.Request, Route: f.Route.Name, Runner: f.Runner, Attempt: f.Attempt, Took: now.Sub(f.Arrived),
	}
	switch o := e.Outcome.(type) {
	case gateway.OutcomeAnswered:
		n.Kind, n.Count = gateway.NoteRequestAnswered, o.Status
		out.Note(n)
		if runner != nil {
			runner.Forgive()
		}
		observe(t, f, now)
		t.Forwards.Delete(e.ID)
		return
	case gateway.OutcomeNotRun:
		n.Reason, n.Outcome = o.Reason, cs.RanNotRun.String()
		f.NotBefore = now.Add(retryGap)
		if o.Gone || o.Unreachable {
			t.Unreached(runner, o.Refused, now, n.Reason, out)
		} else {
			f.Refusals++
		}
	case gateway.OutcomeFailed:
		f.Executed = true
		f.Tried = append(f.Tried, f.Runner)
		n.Reason, n.Count, n.Outcome = "error of the runner", o.Status, cs.RanFailed.String()
	case gateway.OutcomeBroken:
		f.Executed = true
		f.LastEvent = o.LastEvent
		f.Tried = append(f.Tried, f.Runner)
		f.NotBefore = now.Add(resumeGap)
		n.Reason, n.Outcome = o.Error, cs.RanUnknown.String()
		if o.Disconnected {
			t.Doubt(runner, now, n.Reason, out)
			t.Broke(runner, gateway.Break{Content: f.Content, Request: f.Request, At: now})
		}
		if o.Silent {
			t.Silent(runner, now, n.Reason, out)
		}
	}
	n.Kind = gateway.NoteRequestRetried
	out.Note(n)
}

// attemptsLeft reports whether a request may be sent once more.
func attemptsLeft(f *gateway.Forward) bool {
	if !f.Executed {
		return f.Refusals < maxRefusals
	}
	return f.Route.Repeatable() && cs.Attempt(len(f.Tried)) < f.Route.MaxAttempts
}

// tried reports whether the request may have run at the runner.
func tried(f *gateway.Forward, id cs.RunnerID) bool { return slices.Contains(f.Tried, id) }
