package routing

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// TestUnansweredRunner guards against dispatching to a runner that accepts requests and answers
// none, and against skipping a runner that still answers others.
func TestUnansweredRunner(t *testing.T) {
	for _, c := range []struct {
		name string
		// since is the start of a request that r0 has not answered; lastSample is r0's last first
		// token.
		since, lastSample cs.Instant
		// otherRemote means that the other runner is in another data centre.
		otherRemote bool
		skipped     bool
	}{
		{"answers none", testStart, testStart - 1000, false, true},
		{"answers others", testStart, testStart + 1000, false, false},
		{"the only local runner answers none", testStart, testStart - 1000, true, true},
		{"just sent", testStart + 999, testStart - 1000, false, false},
	} {
		sent := 0
		for i := range 20 {
			tb := newUnansweredTables(c.since, c.lastSample, c.otherRemote)
			r := newRequest(cs.RequestID(fmt.Sprint("q", i)))
			for _, d := range actionsOf[fleet.Dispatch](runTick(tb, testStart.Add(cs.Second), fleet.RequestArrived{Request: r})) {
				if d.ID == r.ID && d.Runner == "r0" {
					sent++
				}
			}
		}
		qt.Check(t, sent == 0, qt.Equals, c.skipped, qt.Commentf("%s: %d of 20 sent to r0", c.name, sent))
	}
}

// newUnansweredTables returns a VM with two runners, of which r0 has not sent the first token of a
// request that started at the given instant.
func newUnansweredTables(since, lastSample cs.Instant, otherRemote bool) *fleet.Tables {
	t := newTables(2)
	r0, r1 := t.Runners.Get("r0"), t.Runners.Get("r1")
	r0.FirstToken, r1.FirstToken = 50, 50
	r0.SampledAt, r0.Online = lastSample, 1
	if otherRemote {
		r1.DataCentre = "b"
	}
	t.Tenants.Insert("t", fleet.Tenant{Online: 1, Pending: []cs.RequestID{"old"}})
	t.Requests.Insert("old", fleet.Request{
		Request: newRequest("old"), Phase: fleet.PhaseRunning, Attempt: 1,
		Runs: []fleet.RequestAttempt{{Runner: "r0", Attempt: 1, Since: since}},
	})
	return t
}
