package gateway

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// View is the part of the tables that traffic goroutines read; a published view is immutable.
type View struct {
	// Catalog is nil until a version is known.
	Catalog *cs.Catalog
	// CatalogAsOf is the latest instant for which Catalog is known to have been the newest version, or 0.
	CatalogAsOf cs.Instant
	// CatalogConfirmedAt is when the read was sent that confirmed Catalog, on the clock that counts suspension, or 0.
	CatalogConfirmedAt cs.BootInstant
	// CatalogUnreadable means that a newer version of the catalog could not be decoded.
	CatalogUnreadable bool
	// RevokeBound is that of Config.
	RevokeBound cs.Span
	// Loaded means that the catalog and the list of runners are known, from the store or from a peer.
	Loaded bool
	// Ready is the answer to the platform's readiness probe: callers may be routed to this VM.
	Ready bool
	// Leaving means that this VM is draining and asks callers to close their connections.
	Leaving bool
	// ForwardsJobCalls means that this VM does not follow the job log and passes calls about jobs to one that does.
	ForwardsJobCalls bool
	// AppendSentAt is when the append to the job log that is in flight was sent, or 0, and ChangesAside the number of changes that
	// the store has refused.
	AppendSentAt cs.Instant
	ChangesAside int
	// ReceivePause is how long received reports may wait for others, so that one tick applies them all.
	ReceivePause cs.Span
}

// NewView returns a snapshot of the tables for traffic goroutines.
func NewView(t *Tables) View {
	leaving := t.Drain.Phase != fleet.DrainNone
	sentAt := cs.Instant(0)
	if t.JobLog.InFlight != nil {
		sentAt = t.JobLog.SentAt
	}
	loaded := t.Catalog != nil && t.RunnersLoaded()
	return View{
		Catalog: t.Catalog, CatalogAsOf: t.Feeds[FeedCatalog].AsOf, CatalogConfirmedAt: t.Feeds[FeedCatalog].ConfirmedAt,
		CatalogUnreadable: t.Feeds[FeedCatalog].Unreadable, RevokeBound: t.Config.RevokeBound,
		Loaded: loaded, Leaving: leaving, Ready: !leaving && loaded && t.Runners.Len() > 0 && !t.Confirmation.Aged,
		ReceivePause: t.receivePause(), ForwardsJobCalls: t.JobLog.Role == JobLogNone || !t.JobLog.Synced,
		AppendSentAt: sentAt, ChangesAside: t.JobLog.ChangesAside(),
	}
}
