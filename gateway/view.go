package gateway

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// View is what traffic goroutines read of the tables; it is not changed once it is published.
type View struct {
	// Catalog is nil until a version is known.
	Catalog *cs.Catalog
	// Loaded means that the catalog and the runners are known, from the store or from a peer.
	Loaded bool
	// Ready means that the platform may send callers here.
	Ready bool
	// Leaving means that callers should not keep their connections.
	Leaving bool
}

// NewView returns the view of the tables.
func NewView(t *Tables) View {
	leaving := t.Drain.Phase != fleet.DrainNone
	loaded := t.Catalog != nil && t.KnowsRunners()
	return View{
		Catalog: t.Catalog, Loaded: loaded, Leaving: leaving, Ready: !leaving && loaded && t.Runners.Len() > 0,
	}
}
