package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// maxTickDelay is the delay of a tick above which it is logged: by then the intervals on which the systems
// rely, such as that of the reports to peers, are exceeded.
const maxTickDelay = 250 * cs.Millisecond

// Delay logs ticks that begin late. Events and timeouts were handled late then, which tells a machine without
// processor time from a failure of its peers or the store. After a pause in which registrations may have expired, this VM cannot
// tell whether the store was available, which it would know from failed reads otherwise.
func Delay(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	if delay := now.Sub(t.DueAt); t.DueAt != 0 && delay > maxTickDelay {
		out.Note(gateway.Note{Kind: gateway.NoteTickDelayed, Duration: delay, Count: len(t.Events)})
		if delay >= minLapse {
			recordPause(t, now)
		}
	}
}

// recordPause records that this VM has read no feed for a while.
func recordPause(t *gateway.Tables, now cs.Instant) {
	for _, f := range t.Feeds {
		if f.FailingSince == 0 && f.ReadableSince != 0 {
			f.FailedAt, f.RecoveredAt, f.ReadableSince = now, now, now
		}
	}
}
