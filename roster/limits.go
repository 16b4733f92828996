package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Limits applies the limits on requests that runners name.
func Limits(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		if read, ok := e.(gateway.RunnerLimitRead); ok {
			t.RecordLimit(t.Runners.Get(read.Runner), read.Named, read.Limit, now, out)
		}
	}
}
