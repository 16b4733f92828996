package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// maxTickDelay is the delay of a tick above which it is logged: by then the intervals on which the systems
// rely, such as that of the reports to peers, are exceeded.
const maxTickDelay = 250 * cs.Millisecond

// Delay logs ticks that begin late. Events and timeouts were handled late then, which tells a machine without
// processor time from a failure of its peers or the store.
func Delay(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	if delay := now.Sub(t.DueAt); t.DueAt != 0 && delay > maxTickDelay {
		out.Note(gateway.Note{Kind: gateway.NoteTickDelayed, Duration: delay, Count: len(t.Events)})
	}
}
