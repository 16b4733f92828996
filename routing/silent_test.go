package routing

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// TestSilentRunner guards against requests that go on to be sent to a runner which takes requests and
// answers none, and against avoiding one that answers others.
func TestSilentRunner(t *testing.T) {
	for _, c := range []struct {
		name string
		// since is the start of a request that r0 has not answered, sampled its last first token.
		since, sampled cs.Instant
		// far tells whether the other runner is in another data centre.
		far    bool
		silent bool
	}{
		{"silent", at, at - 1000, false, true},
		{"answers others", at, at + 1000, false, false},
		{"the only one near is silent", at, at - 1000, true, true},
		{"just sent", at + 999, at - 1000, false, false},
	} {
		sent := 0
		for i := range 20 {
			tb := silentTables(c.since, c.sampled, c.far)
			r := request(cs.RequestID(fmt.Sprint("q", i)))
			for _, d := range find[fleet.Dispatch](step(tb, at.Add(cs.Second), fleet.RequestArrived{Request: r})) {
				if d.ID == r.ID && d.Runner == "r0" {
					sent++
				}
			}
		}
		qt.Check(t, sent == 0, qt.Equals, c.silent, qt.Commentf("%s: %d of 20 sent to r0", c.name, sent))
	}
}

// silentTables returns two runners, of which r0 owes the first token of a request since an instant.
func silentTables(since, sampled cs.Instant, far bool) *fleet.Tables {
	t := tables(2)
	r0, r1 := t.Runners.Get("r0"), t.Runners.Get("r1")
	r0.FirstToken, r1.FirstToken = 50, 50
	r0.SampledAt, r0.Online = sampled, 1
	if far {
		r1.DataCentre = "b"
	}
	t.Tenants.Insert("t", fleet.Tenant{Online: 1, Pending: []cs.RequestID{"old"}})
	t.Requests.Insert("old", fleet.Request{
		Request: request("old"), Phase: fleet.PhaseRunning, Attempt: 1,
		Runs: []fleet.RequestRun{{Runner: "r0", Attempt: 1, Since: since}},
	})
	return t
}
