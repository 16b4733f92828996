package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Feeds records which feeds of the store are readable and logs when one is lost or regained.
func Feeds(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case gateway.FeedRead:
			f := t.Feeds[e.Feed]
			if f.LostAt != 0 {
				out.Note(gateway.Note{Kind: gateway.NoteFeedRegained, Feed: e.Feed.String(), Age: now.Sub(f.LostAt)})
				f.LostAt, f.RegainedAt = 0, now
			}
			f.ReadAt = now
			f.Loaded = f.Loaded || e.Loaded
		case gateway.FeedFailed:
			f := t.Feeds[e.Feed]
			if f.LostAt == 0 {
				f.LostAt = now
				out.Note(gateway.Note{Kind: gateway.NoteFeedLost, Feed: e.Feed.String(), Reason: e.Error, Age: f.Age(now)})
			}
		default:
		}
	}
}
