package forward

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Delays and limits of further attempts.
const (
	// notRunRetryDelay is the delay before a request that a runner did not run is sent again.
	notRunRetryDelay = 5 * cs.Millisecond
	// resumeDelay is the delay before an interrupted stream resumes on another runner. The previous
	// runner must first have noticed that its connection was closed.
	resumeDelay = 30 * cs.Millisecond
	// maxRunnerRefusals limits how often one request is sent to runners that refuse it without
	// running it.
	maxRunnerRefusals = 12
)

// streamStatus is the status of all streams.
const streamStatus = 200

// ApplyOutcomes applies the first bytes, results and caller disconnects that the sessions reported.
func ApplyOutcomes(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.ForwardStarted:
			if f := t.Forwards.Get(e.ID); f != nil && f.Attempt == e.Attempt {
				f.MayHaveRun, f.Begun = true, true
				f.Estimate.StartedAt = now
				t.RecordBegun(f.Parts, now, now)
				if r := t.Runners.Get(f.Runner); r != nil {
					r.ResetFailures()
					t.RecordDataCentreResponse(r.Spec.DataCentre, now, out)
				}
			}
		case gateway.ForwardEnded:
			applyAttemptOutcome(t, now, e, out)
		case gateway.SlotsReceived:
			applySlotReplies(t, now, e.Message.Replies)
		case gateway.CallerDisconnected:
			applyDisconnect(t, now, e, out)
		default:
		}
	}
}

// applyDisconnect deletes a request whose caller has disconnected. An attempt in progress is
// cancelled by its session.
func applyDisconnect(t *gateway.Tables, now cs.Instant, e gateway.CallerDisconnected, out *gateway.Actions) {
	f := t.Forwards.Get(e.ID)
	if f == nil {
		return
	}
	releaseSlot(t, f)
	out.Note(gateway.Note{
		Kind: gateway.NoteRequestAbandoned, Request: f.Request, Route: f.Route.Name, Runner: f.Runner,
		Attempt: f.Attempt, Duration: now.Sub(f.Arrived), Reason: e.Reason,
	})
	t.Forwards.Delete(e.ID)
}

// releaseSlot frees the slot that a running request occupies at its runner.
func releaseSlot(t *gateway.Tables, f *gateway.Forward) {
	if f.Phase == gateway.ForwardWaiting {
		return
	}
	if f.Phase == gateway.ForwardRequesting {
		f.Phase = gateway.ForwardWaiting
		t.EndSlotRequest(f.Runner, gateway.SlotOnline)
		return
	}
	f.Phase = gateway.ForwardWaiting
	if r := t.Runners.Get(f.Runner); r != nil && r.Online > 0 {
		r.Online--
	}
}

// applyAttemptOutcome applies the result of one attempt: the request is deleted if it was answered,
// and otherwise waits for another attempt. Results of earlier attempts are ignored.
func applyAttemptOutcome(t *gateway.Tables, now cs.Instant, e gateway.ForwardEnded, out *gateway.Actions) {
	f := t.Forwards.Get(e.ID)
	if f == nil || f.Attempt != e.Attempt {
		return
	}
	releaseSlot(t, f)
	runner := t.Runners.Get(f.Runner)
	note := gateway.Note{
		Request: f.Request, Route: f.Route.Name, Runner: f.Runner, Attempt: f.Attempt, Duration: now.Sub(f.Arrived),
	}
	switch o := e.Outcome.(type) {
	case gateway.OutcomeAnswered:
		note.Kind, note.Count = gateway.NoteRequestAnswered, o.Status
		out.Note(note)
		recordAnswer(t, f, runner, o, now, out)
		t.Forwards.Delete(e.ID)
		return
	case gateway.OutcomeEndedWithConnection:
		observeServiceTime(t, f, now)
		observeCost(t, f, runner, gateway.OutcomeAnswered{Status: streamStatus, LastEvent: o.LastEvent}, now)
		awaitResumption(f, o.LastEvent, now)
		f.EndUnconfirmed = true
		note.Reason, note.Outcome = "the stream ended with its connection", cs.RanUnknown.String()
	case gateway.OutcomeNotRun:
		note.Reason, note.Outcome = o.Reason, cs.RanNotRun.String()
		f.NotBefore = now.Add(notRunRetryDelay)
		if o.Replaced || o.Unreachable {
			t.RecordUnreachable(runner, o.Refused, now, note.Reason, out)
		} else {
			f.Refusals++
		}
	case gateway.OutcomeFailed:
		f.MayHaveRun = true
		f.Tried = append(f.Tried, f.Runner)
		note.Reason, note.Count, note.Outcome = "error of the runner", o.Status, cs.RanFailed.String()
		if runner != nil {
			t.RecordDataCentreResponse(runner.Spec.DataCentre, now, out)
		}
	case gateway.OutcomeInterrupted:
		note.Reason, note.Outcome = o.Error, cs.RanUnknown.String()
		recordInterruption(t, f, runner, o, now, out)
	}
	if f.EndUnconfirmed && !hasAttemptsLeft(f) {
		note.Kind, note.Count = gateway.NoteRequestAnswered, streamStatus
		out.Note(note)
		out.Add(gateway.Complete{ID: f.ID})
		t.Forwards.Delete(f.ID)
		return
	}
	note.Kind = gateway.NoteRequestRetried
	out.Note(note)
}

// recordAnswer records that a runner has sent a complete response.
func recordAnswer(t *gateway.Tables, f *gateway.Forward, r *gateway.Runner, o gateway.OutcomeAnswered, now cs.Instant, out *gateway.Actions) {
	if r != nil {
		r.ResetFailures()
		t.RecordDataCentreResponse(r.Spec.DataCentre, now, out)
	}
	if o.LastEvent == 0 || o.LastEvent > f.LastEvent { // a run that only confirms the end of a stream is no sample
		observeServiceTime(t, f, now)
		observeCost(t, f, r, o, now)
	}
}

// recordInterruption records an interrupted attempt and its cause at the runner.
func recordInterruption(t *gateway.Tables, f *gateway.Forward, r *gateway.Runner, o gateway.OutcomeInterrupted, now cs.Instant, out *gateway.Actions) {
	f.EndUnconfirmed = f.EndUnconfirmed && o.LastEvent == f.LastEvent
	awaitResumption(f, o.LastEvent, now)
	if o.Disconnected && !f.EndUnconfirmed { // a runner may close the connection if it has no more events
		t.RecordConnectionLoss(r, now, o.Error, out)
		t.RecordPossibleCrash(r, gateway.PossibleCrash{
			Content: f.Content, Parts: f.Parts, Begun: f.Begun, Request: f.Request, At: now,
		})
	}
	if o.TimedOut {
		t.TimedOut(r, now, o.Error, out)
	}
}

// awaitResumption lets a request that a runner may have run wait until it can be resumed after an event.
func awaitResumption(f *gateway.Forward, last cs.EventID, now cs.Instant) {
	f.MayHaveRun, f.LastEvent = true, last
	f.Tried = append(f.Tried, f.Runner)
	f.NotBefore = now.Add(resumeDelay)
}

// hasAttemptsLeft reports whether a request may be sent again. If no runner can have run it, only
// the number of refusals counts; otherwise the route must allow another attempt.
func hasAttemptsLeft(f *gateway.Forward) bool {
	if !f.MayHaveRun {
		return f.Refusals < maxRunnerRefusals
	}
	return f.Route.Repeatable() && cs.Attempt(len(f.Tried)) < f.Route.MaxAttempts
}

// mayHaveRunOn reports whether a runner may have run the request in an earlier attempt.
func mayHaveRunOn(f *gateway.Forward, id cs.RunnerID) bool { return slices.Contains(f.Tried, id) }
