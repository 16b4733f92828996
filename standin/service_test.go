package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/standin"
)

// call sends a call with a request id to a method of a service.
func call(t testing.TB, url, method, id, body string) response {
	return send(t, "POST", url+"/v1/call/"+method, body, "X-Request-Id", id)
}

// TestServiceCountsRuns guards against repeated executions of a call that the response does not count.
func TestServiceCountsRuns(t *testing.T) {
	url := serve(t, standin.NewService(standin.ServiceConfig{Service: "records"}))
	call(t, url, "mark", "first", "body")
	resp := call(t, url, "mark", "second", "body")
	var body standin.ServiceResponse
	resp.decode(t, &body)
	hash := cs.HashTarget(cs.ServiceCall{Service: "records", Method: "mark", Body: []byte("body")})
	qt.Assert(t, body, qt.Equals, standin.ServiceResponse{Method: "mark", RequestID: "second", BodyHash: hash, Runs: 2})
	qt.Assert(t, resp.header.Get("X-Request-Id"), qt.Equals, "second")
	var load cs.Load
	qt.Assert(t, json.Unmarshal([]byte(resp.header.Get("X-Load")), &load), qt.IsNil)
	qt.Assert(t, load, qt.Equals, cs.Load{Slots: 8})
	entries := decodeLines[standin.JournalEntry](t, send(t, "GET", url+"/standin/journal", nil))
	qt.Assert(t, runIDs(entries, standin.JournalEnd), qt.DeepEquals, []string{"first", "second"})
}

// TestServiceLimitsConcurrency guards against more concurrent calls than slots.
func TestServiceLimitsConcurrency(t *testing.T) {
	s := standin.NewService(standin.ServiceConfig{Slots: 1, Faults: standin.ServiceFaults{Work: 5}})
	url := serve(t, s)
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() { call(t, url, "m", fmt.Sprint(i), "") })
	}
	clients.Wait()
	entries := s.Journal()
	qt.Assert(t, entries, qt.HasLen, 8)
	for i := 0; i < len(entries); i += 2 {
		qt.Assert(t, entries[i].ID, qt.Equals, entries[i+1].ID)
	}
}

// TestServiceFaults guards against faults without effect on the client, and against refused calls that are
// executed.
func TestServiceFaults(t *testing.T) {
	s := standin.NewService(standin.ServiceConfig{})
	url := serve(t, s)
	qt.Assert(t, call(t, url, "m", "1", "please FAIL").status, qt.Equals, 500)
	qt.Assert(t, call(t, url, "REFUSE", "2", "").header.Get("X-Not-Run"), qt.Equals, "true")
	setFaults(t, url, `{"refuse":true}`)
	qt.Assert(t, call(t, url, "m", "3", "").status, qt.Equals, 503)
	setFaults(t, url, `{"refuse":false,"errorNext":1}`)
	qt.Assert(t, call(t, url, "m", "4", "").status, qt.Equals, 500)
	setFaults(t, url, `{"loseNext":1}`)
	qt.Assert(t, call(t, url, "m", "5", "").err, qt.IsNotNil)
	setFaults(t, url, `{"crossNext":1}`)
	qt.Assert(t, call(t, url, "m", "6", "").header.Get("X-Request-Id"), qt.Not(qt.Equals), "6")
	setFaults(t, url, `{"silent":true}`)
	ctx, disconnect := context.WithTimeout(context.Background(), idleTimeout)
	defer disconnect()
	resp := sendWithContext(ctx, t, "POST", url+"/v1/call/m", "", "X-Request-Id", "silent")
	qt.Assert(t, resp.err, qt.IsNotNil)
	qt.Assert(t, send(t, "POST", url+"/standin/leaving", nil).status, qt.Equals, 204)
	qt.Assert(t, call(t, url, "m", "7", "").header.Get("X-Not-Run"), qt.Equals, "true")
	qt.Assert(t, runIDs(s.Journal(), standin.JournalStart), qt.DeepEquals, []string{"1", "4", "5", "6", "silent"})
}
