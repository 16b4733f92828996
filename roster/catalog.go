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
		if t.Catalog != nil && read.Catalog.Version <= t.Catalog.Version && !restoresWorkspaces(t.Catalog, read.Catalog) {
			continue
		}
		t.Catalog = read.Catalog
		out.Note(gateway.Note{Kind: gateway.NoteCatalogInForce, Version: read.Catalog.Version})
	}
}

// restoresWorkspaces reports whether the catalog that was read is the one in force with its workspaces, which a peer of an earlier
// version has left out.
func restoresWorkspaces(inForce, read *cs.Catalog) bool {
	return read.Version == inForce.Version && read.RequiresKeys && !inForce.RequiresKeys
}
