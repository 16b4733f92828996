package bulk

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// dropMargin is added to the time for which results stay readable, since clocks differ between VMs.
const clockSkewMargin = 10 * cs.Second

// Drop removes jobs of this VM whose results need not be readable any more.
func Drop(t *gateway.Tables, now cs.Instant, _ *gateway.Actions) {
	for id, j := range t.Jobs.All() {
		if j.Dropping || j.Open() || !owns(t, id) || now.Sub(j.Seen) < t.Config.ResultLife+clockSkewMargin {
			continue
		}
		j.Dropping = true
		t.Proposals = append(t.Proposals, gateway.ProposeDrop{Job: id})
	}
}
