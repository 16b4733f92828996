package roster

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// crashWait is how long after a connection broke its runner may be found to have crashed: an entry
	// lapses after three pings of about 1.2 s and is read within half a second.
	crashWait = 6 * cs.Second
	// suspectLife is how long a content stays suspect.
	suspectLife = 60 * cs.Second
)

// Crashes finds out which broken connections were crashes of their runners, and suspects what was in
// flight there.
func Crashes(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	t.Breaks = slices.DeleteFunc(t.Breaks, func(b gateway.Break) bool {
		if t.Crashed(b, now) {
			suspect(t, now, b, out)
			return true
		}
		return now.Sub(b.At) > crashWait
	})
	t.Suspects.DeleteFunc(func(_ cs.ContentHash, s *gateway.Suspect) bool { return now.Sub(s.Seen) > suspectLife })
}

// suspect counts a crash against a content.
func suspect(t *gateway.Tables, now cs.Instant, b gateway.Break, out *gateway.Actions) {
	s := t.Suspects.Get(b.Content)
	if s == nil {
		s = t.Suspects.Insert(b.Content, gateway.Suspect{})
	}
	s.Crashes++
	s.Seen = now
	out.Note(gateway.Note{
		Kind: gateway.NoteContentSuspected, Request: b.Request, Item: b.Item, Runner: b.Runner, Count: s.Crashes,
		Age: now.Sub(b.At),
	})
}
