package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// minLapse is the shortest time without access to the store after which a registration may expire: a runner renews its own
// about once a second, and it expires when three renewals are missing, the first of them up to an interval after the last one.
const minLapse = 2 * cs.Second

// Feeds records which feeds of the store are readable and logs when one starts to fail and when it
// recovers.
func Feeds(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.FeedRead:
			if isIgnored(t, e.Feed) {
				continue
			}
			f := t.Feeds[e.Feed]
			if f.FailingSince != 0 {
				n := gateway.Note{Kind: gateway.NoteFeedRegained, Feed: e.Feed.String(), Age: now.Sub(f.FailingSince)}
				if e.Loaded {
					n.Duration = now.Sub(e.AsOf)
				}
				out.Note(n)
				f.FailingSince = 0
				recordRecovery(f, now)
			}
			if f.ReadableSince == 0 {
				f.ReadableSince = now
			}
			if e.Feed == gateway.FeedJobs {
				continue // batchjob.ApplyJobLog decides whether the records follow those that it has applied
			}
			f.Loaded = f.Loaded || e.Loaded
			f.AsOf = max(f.AsOf, e.AsOf)
			if e.Feed == gateway.FeedCatalog && e.Loaded {
				recordConfirmation(f, e)
			}
		case gateway.FeedFailed:
			if isIgnored(t, e.Feed) {
				continue
			}
			f := t.Feeds[e.Feed]
			if f.FailingSince == 0 {
				f.FailingSince, f.FailedAt = now, now
				f.ReadableBefore, f.ReadableSince = f.ReadableSince, 0
				out.Note(gateway.Note{Kind: gateway.NoteFeedLost, Feed: e.Feed.String(), Reason: e.Error, Age: f.Age(now)})
			}
		default:
		}
	}
}

// recordConfirmation records that the newest version of the catalog is known as of when a read was sent. A version that could not be
// decoded may withdraw keys that are still in the catalog.
func recordConfirmation(f *gateway.FeedState, e gateway.FeedRead) {
	f.Unreadable = e.Unreadable
	if !e.Unreadable {
		f.ConfirmedAt = max(f.ConfirmedAt, e.SentAt)
	}
}

// isIgnored reports whether a read of a feed began before this VM stopped following it.
func isIgnored(t *gateway.Tables, name gateway.Feed) bool {
	return name == gateway.FeedJobs && t.JobLog.Role == gateway.JobLogNone
}

// recordRecovery records that reads of a feed succeed again. A failure that was too short for a registration to expire does
// not end the series of successful reads.
func recordRecovery(f *gateway.FeedState, now cs.Instant) {
	if f.ReadableBefore != 0 && f.Age(now) < minLapse {
		f.ReadableSince = f.ReadableBefore
		return
	}
	f.RecoveredAt = now
}
