package standin_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/standin"
)

// listedVMs returns the id and state of each VM in a response of the list.
func listedVMs(t testing.TB, url string) []string {
	var body struct{ VMs []standin.Registration }
	send(t, "GET", url+"/v1/vms", nil).decode(t, &body)
	ids := []string{}
	for _, r := range body.VMs {
		ids = append(ids, r.ID+"/"+r.State.String())
	}
	return ids
}

// TestListLags guards against changes that readers see before the lag has passed, unlike on the platform.
func TestListLags(t *testing.T) {
	clock := cs.NewManualClock(0)
	url := serve(t, standin.NewVMList(standin.VMListConfig{
		Clock: clock, Faults: standin.VMListFaults{Lag: 100},
		Registrations: []standin.Registration{{ID: "a", Kind: standin.KindRunner}, {ID: "b"}},
	}))
	qt.Assert(t, send(t, "POST", url+"/standin/vms", `{"vms":[{"id":"a","state":"leaving"},{"id":"c"}]}`).status, qt.Equals, 204)
	qt.Assert(t, send(t, "DELETE", url+"/standin/vms/b", nil).status, qt.Equals, 204)
	clock.Advance(99)
	qt.Assert(t, listedVMs(t, url), qt.DeepEquals, []string{"a/live", "b/live"})
	clock.Advance(1)
	qt.Assert(t, listedVMs(t, url), qt.DeepEquals, []string{"a/leaving", "c/live"})
	send(t, "POST", url+"/standin/vms", `{"replace":true,"vms":[{"id":"d"}]}`)
	clock.Advance(100)
	qt.Assert(t, listedVMs(t, url), qt.DeepEquals, []string{"d/live"})
}

// TestListFormat guards against JSON field names that differ from the platform's, and against delay and
// outage settings without effect.
func TestListFormat(t *testing.T) {
	url := serve(t, standin.NewVMList(standin.VMListConfig{Registrations: []standin.Registration{{
		ID: "r1", Kind: standin.KindRunner, Service: "tutor-models", Address: "127.0.0.1:1",
		DataCentre: "muc-a", Incarnation: 7, ChecksFencingToken: true, Slots: 8,
	}}}))
	qt.Assert(t, send(t, "GET", url+"/v1/vms", nil).body, qt.JSONEquals, map[string]any{"vms": []any{map[string]any{
		"id": "r1", "kind": "runner", "service": "tutor-models", "address": "127.0.0.1:1",
		"dataCentre": "muc-a", "state": "live", "incarnation": 7, "fencing": true, "slots": 8,
	}}})
	setFaults(t, url, `{"delay":"20ms"}`)
	start := time.Now()
	qt.Assert(t, listedVMs(t, url), qt.HasLen, 1)
	qt.Assert(t, time.Since(start) >= 20*time.Millisecond, qt.IsTrue)
	setFaults(t, url, `{"outage":true}`)
	qt.Assert(t, send(t, "GET", url+"/v1/vms", nil).status, qt.Equals, 503)
}
