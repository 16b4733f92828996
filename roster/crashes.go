package roster

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// crashDetectionWindow is how long after a lost connection its runner may still be found to
	// have crashed. A registration expires after three heartbeat intervals of about 1.2 s, and the
	// expiry is read within 500 ms.
	crashDetectionWindow = 6 * cs.Second
	// suspectTTL is how long a request content stays suspected of crashing runners after its last
	// crash.
	suspectTTL = 60 * cs.Second
)

// Crashes determines which lost connections were caused by a crash of the runner, and records the
// crash against the request content that was in flight on it.
func Crashes(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	t.PossibleCrashes = slices.DeleteFunc(t.PossibleCrashes, func(p gateway.PossibleCrash) bool {
		if t.Crashed(p, now) {
			recordCrash(t, now, p, out)
			return true
		}
		return now.Sub(p.At) > crashDetectionWindow
	})
	t.Suspects.DeleteFunc(func(_ cs.ContentHash, s *gateway.Suspect) bool { return now.Sub(s.Seen) > suspectTTL })
}

// recordCrash counts a crash against the content that was in flight.
func recordCrash(t *gateway.Tables, now cs.Instant, p gateway.PossibleCrash, out *gateway.Actions) {
	s := t.Suspects.Get(p.Content)
	if s == nil {
		s = t.Suspects.Insert(p.Content, gateway.Suspect{})
	}
	s.Crashes++
	s.Seen = now
	out.Note(gateway.Note{
		Kind: gateway.NoteContentSuspected, Request: p.Request, Content: p.Content, Parts: p.Parts, Runner: p.Runner,
		Outcome: progressBeforeCrash(p), Count: s.Crashes, Age: now.Sub(p.At),
	})
}

// progressBeforeCrash says how far a request had come when the connection to its runner was lost.
func progressBeforeCrash(p gateway.PossibleCrash) string {
	if p.Begun {
		return "begun"
	}
	return "notBegun"
}
