package roster

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Crashes determines which lost connections were caused by a crash of the runner, records the crash against the content
// and the parts of the prompt that were in flight on it, and decides which parts are quarantined.
func Crashes(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	t.PossibleCrashes = slices.DeleteFunc(t.PossibleCrashes, func(p gateway.PossibleCrash) bool {
		if t.Crashed(p, now) {
			recordCrash(t, now, p, out)
			return true
		}
		return now.Sub(p.At) > gateway.CrashDetectionWindow
	})
	if t.Suspects.Len() == 0 && len(t.Quarantine.Parts) == 0 {
		return
	}
	t.ForgetSuspects(now)
	if next := t.UpdateQuarantine(now, out); next != 0 {
		out.WakeAt(next)
	}
}

// recordCrash counts a crash against the content that was in flight and, if the response had not begun, against the
// parts of the prompt: a part crashes a runner when the response begins.
func recordCrash(t *gateway.Tables, now cs.Instant, p gateway.PossibleCrash, out *gateway.Actions) {
	crash := gateway.Crash{ID: gateway.NewCrashID(p.Runner, p.Incarnation), At: p.At, LearnedAt: now}
	note := gateway.Note{
		Kind: gateway.NoteContentSuspected, Request: p.Request, Item: p.Item, Content: p.Content, Parts: p.Parts, Runner: p.Runner,
		Outcome: progressBeforeCrash(p), Age: now.Sub(p.At),
	}
	if p.Content != 0 {
		key := gateway.ContentKey(p.Content)
		t.RecordCrash(key, crash)
		note.Count = len(t.Suspects.Get(key).Crashes)
	}
	if !p.Begun {
		for _, part := range p.Parts {
			t.RecordCrash(gateway.PartKey(part), crash)
		}
	}
	out.Note(note)
}

// progressBeforeCrash says how far a request had come when the connection to its runner was lost.
func progressBeforeCrash(p gateway.PossibleCrash) string {
	if p.Begun {
		return "begun"
	}
	return "notBegun"
}
