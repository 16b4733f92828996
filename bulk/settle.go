package bulk

import (
	"net/http"
	"strconv"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

// When an item is run again.
const (
	// refusedPause is the pause after a runner did not run an item.
	refusedPause = 60 * cs.Millisecond
	// brokenPause is the pause after an output broke off.
	brokenPause = 100 * cs.Millisecond
	// errorPause is the pause after a runner answered with an error.
	errorPause = 300 * cs.Millisecond
	// maxItemCrashes is the number of runners that an item may crash before it is held until it may
	// be given up.
	maxItemCrashes = 3
)

// Settle applies how runs of items ended.
func Settle(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		if ended, ok := e.(gateway.ItemRunEnded); ok {
			settleRun(t, now, ended, out)
		}
	}
}

func settleRun(t *gateway.Tables, now cs.Instant, e gateway.ItemRunEnded, out *gateway.Actions) {
	j := t.Jobs.Get(e.Key.Job)
	if j == nil {
		return
	}
	w := &j.Work[e.Key.Index]
	if w.Attempt != e.Attempt || w.Phase != gateway.ItemRunning && w.Phase != gateway.ItemStopping {
		return
	}
	runner := t.Runners.Get(w.Runner)
	if w.Phase == gateway.ItemRunning && runner != nil && runner.Batch > 0 {
		runner.Batch--
	}
	if e.LastEvent > 0 {
		observe(&t.Pace, now.Sub(w.Started), e.LastEvent-w.LastEvent, 0)
		keep(w, e)
		if runner != nil {
			runner.Forgive()
		}
	}
	w.Phase = gateway.ItemWaiting
	item := j.Spec.Items[e.Key.Index].ID
	n := gateway.Note{
		Kind: gateway.NoteItemReturned, Job: e.Key.Job, Item: item, Runner: w.Runner, Attempt: w.Attempt,
		Took: now.Sub(w.Started), Count: int(w.LastEvent),
	}
	switch o := e.Outcome.(type) {
	case gateway.ItemWhole:
		observe(&t.Pace, 0, 0, w.LastEvent)
		conclude(t, j, e.Key, gateway.Result{Item: item, Done: true, Text: string(w.Text)})
		return
	case gateway.ItemNotRun:
		w.NotBefore, n.Reason = now.Add(refusedPause), "not run"
		if o.Gone || o.Unreachable {
			t.Unreached(runner, o.Refused, now, n.Reason, out)
		}
	case gateway.ItemError:
		w.NotBefore, n.Reason, n.Outcome = now.Add(errorPause), "error of the runner", http.StatusText(o.Status)
		if o.Status == http.StatusInternalServerError {
			w.Failed++
		}
		if o.Never || w.Failed >= attempts(t, j) {
			conclude(t, j, e.Key, gateway.Result{Item: item})
		}
	case gateway.ItemBroken:
		w.NotBefore, n.Reason = now.Add(brokenPause), o.Error
		blame(t, runner, e, o, now, out)
	case gateway.ItemStopped:
		n.Reason = "stopped"
	}
	if !owns(t, e.Key.Job) || t.Drain.Phase != fleet.DrainNone {
		t.Proposals = append(t.Proposals, gateway.ProposeProgress{Key: e.Key})
	}
	out.Note(n)
}

// blame notes what a broken output says of its runner.
func blame(t *gateway.Tables, runner *gateway.Runner, e gateway.ItemRunEnded, o gateway.ItemBroken, now cs.Instant, out *gateway.Actions) {
	if o.Silent {
		t.Silent(runner, now, o.Error, out)
	}
	if !o.Disconnected {
		return
	}
	t.Doubt(runner, now, o.Error, out)
	if e.LastEvent == 0 {
		item := t.Jobs.Get(e.Key.Job).Spec.Items[e.Key.Index].ID
		t.Broke(runner, gateway.Break{Content: contentOf(e.Key), Item: item, At: now})
	}
}

// keep adds the output of a run to that of the runs before.
func keep(w *gateway.Work, e gateway.ItemRunEnded) {
	if w.LastEvent > 0 {
		w.Text = append(w.Text, '\n')
	}
	w.Text, w.LastEvent = append(w.Text, e.Text...), e.LastEvent
}

// contentOf identifies an item as a suspect of crashes.
func contentOf(k gateway.ItemKey) cs.ContentHash {
	return cs.HashContent(string(k.Job), strconv.Itoa(k.Index))
}

// crashes reports whether an item has crashed so many runners that it is not run again.
func crashes(t *gateway.Tables, k gateway.ItemKey) bool {
	if t.Suspects.Len() == 0 {
		return false
	}
	s := t.Suspects.Get(contentOf(k))
	return s != nil && s.Crashes >= maxItemCrashes
}

// attempts returns how often an item may fail; without its route none may be given up for failures.
func attempts(t *gateway.Tables, j *gateway.Job) cs.Attempt {
	if t.Catalog != nil {
		if r := t.Catalog.Route(j.Spec.Route); r != nil {
			return r.MaxAttempts
		}
	}
	return 1 << 30
}

// conclude proposes an item's result.
func conclude(t *gateway.Tables, j *gateway.Job, k gateway.ItemKey, r gateway.Result) {
	w := &j.Work[k.Index]
	w.Phase, w.Text = gateway.ItemProposed, nil
	t.Proposals = append(t.Proposals, gateway.ProposeResult{Key: k, Result: r})
}
