package batchjob

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// clockSkewMargin is added to the time for which results stay readable, since VMs' clocks differ.
const clockSkewMargin = 10 * cs.Second

// ExpireJobs proposes the removal of finished jobs owned by this VM whose retention time has passed.
func ExpireJobs(t *gateway.Tables, now cs.Instant, _ *gateway.Actions) {
	for id, j := range t.Jobs.All() {
		if j.RemovalProposed || j.Open() || !owns(t, id) || now.Sub(j.FirstReadAt) < t.Config.ResultRetention+clockSkewMargin {
			continue
		}
		j.RemovalProposed = true
		t.Proposals = append(t.Proposals, gateway.ProposeRemoval{Job: id})
	}
}
