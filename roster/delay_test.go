package roster_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/roster"
)

// Guards against logs in which a process without processor time looks like a failure of its peers or the store.
func TestDelayedTickIsLogged(t *testing.T) {
	c := qt.New(t)
	tables := gateway.New(gateway.Config{}, cs.VM{ID: "a"}, 1_000, 1)
	tables.DueAt = 2_000
	var out gateway.Actions
	roster.Delay(tables, 2_200, &out)
	c.Assert(out.List, qt.HasLen, 0)
	roster.Delay(tables, 2_800, &out)
	c.Assert(out.List, qt.DeepEquals, []gateway.Action{gateway.Note{Kind: gateway.NoteTickDelayed, Duration: 800 * cs.Millisecond}})
}
