package batchjob

import (
	"net/http"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

// Retries of items.
const (
	// notRunRetryDelay is the pause after a runner did not run an item, or its run was stopped to make room.
	notRunRetryDelay = 60 * cs.Millisecond
	// interruptedRetryDelay is the pause after the output of a run was interrupted.
	interruptedRetryDelay = 100 * cs.Millisecond
	// errorRetryDelay is the pause after a runner responded with an error.
	errorRetryDelay = 300 * cs.Millisecond
	// confirmingEnds is the number of runs whose output must end after the same event if it ends with the connection.
	confirmingEnds = 2
)

// ApplyOutcomes handles the end of item runs: it stores their output, proposes results and schedules retries.
func ApplyOutcomes(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		if ended, ok := e.(gateway.ItemRunEnded); ok {
			handleRunEnded(t, now, ended, out)
		}
	}
}

// handleRunEnded handles the end of one run. The ends of runs that are no longer the latest are ignored.
func handleRunEnded(t *gateway.Tables, now cs.Instant, e gateway.ItemRunEnded, out *gateway.Actions) {
	j := t.Jobs.Get(e.Key.Job)
	if j == nil {
		return
	}
	w := &j.ItemWork[e.Key.Index]
	if w.Attempt != e.Attempt || w.Phase != gateway.ItemRunning && w.Phase != gateway.ItemStopping {
		return
	}
	runner := t.Runners.Get(w.Runner)
	item := &j.Spec.Items[e.Key.Index]
	if w.Phase == gateway.ItemRunning && runner != nil && runner.Batch > 0 {
		runner.Batch--
	}
	if e.LastEvent > 0 {
		recordOutput(t, item, w, e, now)
		t.RecordBegun(item.Parts, w.Started, now) // the run began at some time since then
	}
	recordResponse(t, runner, e.Outcome, now, out)
	w.Phase = gateway.ItemWaiting
	note := gateway.Note{
		Kind: gateway.NoteItemReturned, Job: e.Key.Job, Item: item.ID, Runner: w.Runner, Attempt: w.Attempt,
		Duration: now.Sub(w.Started), Count: int(w.LastEvent),
	}
	switch o := e.Outcome.(type) {
	case gateway.ItemCompleted:
		complete(t, j, e.Key)
		return
	case gateway.ItemEndedWithConnection:
		if w.Ends++; w.Ends >= confirmingEnds {
			complete(t, j, e.Key)
			return
		}
		note.Reason = "the output ended with its connection, another run confirms the end"
	case gateway.ItemNotRun:
		w.NotBefore, note.Reason = now.Add(notRunRetryDelay), "not run"
		if o.Replaced || o.Unreachable {
			t.RecordUnreachable(runner, o.Refused, now, note.Reason, out)
		}
	case gateway.ItemError:
		w.NotBefore, note.Reason, note.Outcome = now.Add(errorRetryDelay), "error of the runner", http.StatusText(o.Status)
		if o.Status == http.StatusInternalServerError {
			w.Failed++
		}
		if o.Permanent || w.Failed >= maxAttempts(t, j) {
			proposeResult(t, j, e.Key, gateway.Result{Item: item.ID})
		}
	case gateway.ItemInterrupted:
		w.NotBefore, note.Reason = now.Add(interruptedRetryDelay), o.Error
		recordInterruption(t, runner, o, now, out)
		if o.Disconnected && w.LastEvent == 0 {
			t.RecordPossibleCrash(runner, gateway.PossibleCrash{Item: item.ID, Parts: item.Parts, At: now})
		}
	case gateway.ItemStopped:
		note.Reason = "stopped"
	}
	if !owns(t, e.Key.Job) || t.Drain.Phase != fleet.DrainNone {
		t.Proposals = append(t.Proposals, gateway.ProposeProgress{Key: e.Key})
	}
	out.Note(note)
}

// complete proposes the output of an item as its result.
func complete(t *gateway.Tables, j *gateway.Job, k gateway.ItemKey) {
	w := &j.ItemWork[k.Index]
	updatePace(&t.Pace, 0, 0, w.LastEvent)
	proposeResult(t, j, k, gateway.Result{Item: j.Spec.Items[k.Index].ID, Done: true, Text: string(w.Text)})
}

// recordResponse records that a runner has just responded. The last event of a run that did not end by itself may be older.
func recordResponse(t *gateway.Tables, runner *gateway.Runner, o gateway.ItemOutcome, now cs.Instant, out *gateway.Actions) {
	switch o.(type) {
	case gateway.ItemCompleted, gateway.ItemError:
		if runner != nil {
			t.RecordDataCentreResponse(runner.Spec.DataCentre, now, out)
		}
	case gateway.ItemNotRun, gateway.ItemEndedWithConnection, gateway.ItemInterrupted, gateway.ItemStopped:
	}
}

// recordInterruption records the cause of an interrupted run at its runner: a timeout or a lost connection.
func recordInterruption(t *gateway.Tables, runner *gateway.Runner, o gateway.ItemInterrupted, now cs.Instant, out *gateway.Actions) {
	if o.TimedOut {
		t.TimedOut(runner, now, o.Error, out)
	}
	if o.Disconnected {
		t.RecordConnectionLoss(runner, now, o.Error, out)
	}
}

// recordOutput appends the output of a run to that of the item's earlier runs, and records that its runner works.
func recordOutput(t *gateway.Tables, item *gateway.Item, w *gateway.ItemWork, e gateway.ItemRunEnded, now cs.Instant) {
	updatePace(&t.Pace, now.Sub(w.Started), e.LastEvent-w.LastEvent, 0)
	if runner := t.Runners.Get(w.Runner); runner != nil {
		runner.ResetFailures()
		t.Costs.ObserveRun(&runner.Cost, runner.Spec.Service, item.Tokens, float64(e.LastEvent-w.LastEvent), now.Sub(w.Started))
	}
	if w.LastEvent > 0 {
		w.Text = append(w.Text, '\n')
	}
	w.Text, w.LastEvent, w.Ends = append(w.Text, e.Text...), e.LastEvent, 0
}

// maxAttempts returns after how many failed runs an item is given up. If its route is not in the catalog,
// the number is practically unlimited, since the route's limit is not known.
func maxAttempts(t *gateway.Tables, j *gateway.Job) cs.Attempt {
	if t.Catalog != nil {
		if r := t.Catalog.Route(j.Spec.Route); r != nil {
			return r.MaxAttempts
		}
	}
	return 1 << 30
}

// proposeResult proposes the final result of an item for the job log.
func proposeResult(t *gateway.Tables, j *gateway.Job, k gateway.ItemKey, r gateway.Result) {
	w := &j.ItemWork[k.Index]
	w.Phase, w.Text = gateway.ItemProposed, nil
	t.Proposals = append(t.Proposals, gateway.ProposeResult{Key: k, Result: r})
}
