package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Catalog applies the newest catalog version that was read; older versions are ignored.
func Catalog(t *gateway.Tables, _ cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		read, ok := e.(gateway.CatalogRead)
		if !ok || read.Catalog == nil {
			continue
		}
		if t.Catalog != nil && read.Catalog.Version <= t.Catalog.Version {
			continue
		}
		t.Catalog = read.Catalog
		out.Note(gateway.Note{Kind: gateway.NoteCatalogInForce, Version: read.Catalog.Version})
	}
}
