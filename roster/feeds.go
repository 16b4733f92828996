package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Feeds records which feeds of the store are readable and logs when one starts to fail and when it
// recovers.
func Feeds(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.FeedRead:
			f := t.Feeds[e.Feed]
			if f.FailingSince != 0 {
				n := gateway.Note{Kind: gateway.NoteFeedRegained, Feed: e.Feed.String(), Age: now.Sub(f.FailingSince)}
				if e.Loaded {
					n.Duration = now.Sub(e.AsOf)
				}
				out.Note(n)
				f.FailingSince, f.RecoveredAt = 0, now
			}
			if f.ReadableSince == 0 {
				f.ReadableSince = now
			}
			f.Loaded = f.Loaded || e.Loaded
			f.AsOf = max(f.AsOf, e.AsOf)
		case gateway.FeedFailed:
			f := t.Feeds[e.Feed]
			f.ReadableSince = 0
			if f.FailingSince == 0 {
				f.FailingSince, f.FailedAt = now, now
				out.Note(gateway.Note{Kind: gateway.NoteFeedLost, Feed: e.Feed.String(), Reason: e.Error, Age: f.Age(now)})
			}
		default:
		}
	}
}
