package forward

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// PickRunner is the choice of a runner, for its benchmark.
func PickRunner(t *gateway.Tables, f *gateway.Forward, now cs.Instant) *gateway.Runner {
	return pickRunner(t, f, now, false)
}
