package standin_test

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/standin"
)

// TestWeightStoreRateLimit guards against reads above the rate limit that are admitted, and against a wrong
// Retry-After header.
func TestWeightStoreRateLimit(t *testing.T) {
	url := serve(t, standin.NewWeightStore(standin.WeightStoreConfig{
		Size: 100_000, Faults: standin.WeightStoreFaults{Rate: 1000},
	})) + "/v1/weights/tutor/v1"
	qt.Assert(t, send(t, "GET", url, nil).body, qt.HasLen, 100_000)
	resp := send(t, "GET", url, nil)
	qt.Assert(t, resp.status, qt.Equals, 429)
	seconds, err := strconv.Atoi(resp.header.Get("Retry-After"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, seconds >= 90 && seconds <= 100, qt.IsTrue, qt.Commentf("%d s", seconds))
}

// TestWeightStoreFaults guards against delay and outage settings without effect on the client.
func TestWeightStoreFaults(t *testing.T) {
	url := serve(t, standin.NewWeightStore(standin.WeightStoreConfig{}))
	setFaults(t, url, `{"delay":"20ms"}`)
	start := time.Now()
	qt.Assert(t, send(t, "GET", url+"/v1/weights/tutor/v1", nil).status, qt.Equals, 200)
	qt.Assert(t, time.Since(start) >= 20*time.Millisecond, qt.IsTrue)
	setFaults(t, url, `{"outage":true}`)
	qt.Assert(t, send(t, "GET", url+"/v1/weights/tutor/v1", nil).status, qt.Equals, 503)
}
