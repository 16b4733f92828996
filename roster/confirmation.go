package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Confirmation determines whether the catalog is known to be new enough for the withdrawal of keys, and logs when requests with a key
// begin to be refused and when that ends.
func Confirmation(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	was := t.Confirmation
	t.Confirmation = gateway.Confirmation{}
	if t.NeedsConfirmation() {
		age := t.BootTime(now).Sub(t.Feeds[gateway.FeedCatalog].ConfirmedAt)
		ready, accepted := t.ConfirmationAges()
		t.Confirmation = gateway.Confirmation{Aged: age > ready, Expired: age > accepted}
		switch {
		case !t.Confirmation.Aged:
			out.WakeAt(now.Add(ready - age + 1))
		case !t.Confirmation.Expired:
			out.WakeAt(now.Add(accepted - age + 1))
		}
		if t.Confirmation.Expired && !was.Expired {
			out.Note(gateway.Note{Kind: gateway.NoteKeysRefused, Version: t.Catalog.Version, Age: t.Feeds[gateway.FeedCatalog].Age(now)})
		}
	}
	if was.Expired && !t.Confirmation.Expired {
		out.Note(gateway.Note{Kind: gateway.NoteKeysAccepted, Version: t.Catalog.Version})
	}
}
