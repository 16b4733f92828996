package api_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/api"
	"github.com/crocusstile/crocusstile/engine"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/meter"
	"github.com/crocusstile/crocusstile/relay"
)

// maxBodyBytes and maxItems are the limits of the server under test.
const (
	maxBodyBytes = 4 << 10
	maxItems     = 3
)

// newServer returns the handler of a VM that has read the tickets; onEvent takes the place of its
// control loop.
func newServer(t *testing.T, onEvent func(*relay.Relay, fleet.Event)) http.Handler {
	clock := cs.NewClock()
	tables := fleet.New(fleet.DefaultConfig(), cs.VM{ID: "vm-1"}, clock.Now(), 1)
	tables.TicketLog.CaughtUp = true
	return newServerWithTables(t, clock, tables, onEvent)
}

// newServerWithTables returns the handler of a VM whose published state is that of the tables.
func newServerWithTables(t *testing.T, clock *cs.Clock, tables *fleet.Tables, onEvent func(*relay.Relay, fleet.Event)) http.Handler {
	m := meter.New(zerolog.Nop())
	var r *relay.Relay
	r = relay.New(relay.Config{
		Clock: clock, Meter: m, VM: "vm-1", RequestIDPrefix: "vm-1",
		Engine: engine.New(engine.Config{Clock: clock, FirstByteTimeout: cs.Minute, IdleTimeout: cs.Minute, MaxResponse: 1 << 20}),
		Post: func(_ context.Context, e fleet.Event) error {
			onEvent(r, e)
			return nil
		},
	})
	t.Cleanup(func() {
		r.Close()
		qt.Check(t, m.Close(), qt.IsNil)
	})
	return api.Handler(api.Config{
		Clock: clock, Relay: r, View: func() *fleet.View { return fleet.NewView(tables, clock.Now()) },
		Drain: func(context.Context) error { return nil }, Meter: m, Shards: 16, MaxBody: maxBodyBytes, MaxItems: maxItems,
	})
}

// send sends a request and returns the status and the body of the response.
func send(h http.Handler, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

// errorBody is the JSON body of an error response.
type errorBody struct{ Name, Message, Field, Ran string }

// TestInvalidRequestNamesField guards against invalid requests that reach the control loop, and against
// refusals that do not name the invalid field or that repeat a long value.
func TestInvalidRequestNamesField(t *testing.T) {
	h := newServer(t, func(_ *relay.Relay, e fleet.Event) { t.Errorf("the control loop received %#v", e) })
	ask := func(fields string) string { return `{"tenant":"t","model":"m","prompt":"p"` + fields + `}` }
	job := func(items string) string { return `{"tenant":"t","key":"k","items":[` + items + `]}` }
	ticket := func(state string) string { return `{"number":1,"operator":"o",` + state + `}` }
	const item = `{"model":"m","prompt":"p"}`
	for name, test := range map[string]struct{ request, body, field string }{
		"no body":             {"POST /v1/ask", "", ""},
		"incomplete JSON":     {"POST /v1/ask", "{", ""},
		"two values":          {"POST /v1/ask", ask("") + "{}", ""},
		"trailing brace":      {"POST /v1/ask", ask("") + "}", ""},
		"no tenant":           {"POST /v1/ask", `{"model":"m","prompt":"p"}`, "tenant"},
		"empty tenant":        {"POST /v1/answer", `{"tenant":"","model":"m","prompt":"p"}`, "tenant"},
		"long tenant":         {"POST /v1/answer", `{"tenant":"` + strings.Repeat("t", 65) + `","model":"m","prompt":"p"}`, "tenant"},
		"no prompt":           {"POST /v1/answer", `{"tenant":"t","model":"m"}`, "prompt"},
		"unknown field":       {"POST /v1/ask", ask(`,"temperature":1`), "temperature"},
		"unknown class":       {"POST /v1/ask", ask(`,"class":"urgent"`), "class"},
		"tokens as string":    {"POST /v1/ask", ask(`,"maxTokens":"5"`), "maxTokens"},
		"no tokens":           {"POST /v1/ask", ask(`,"maxTokens":0`), "maxTokens"},
		"too many tokens":     {"POST /v1/ask", ask(`,"maxTokens":32769`), "maxTokens"},
		"fraction of tokens":  {"POST /v1/ask", ask(`,"maxTokens":1.5`), "maxTokens"},
		"no deadline":         {"POST /v1/ask", ask(`,"deadlineMs":0`), "deadlineMs"},
		"deadline overflows":  {"POST /v1/answer", ask(`,"deadlineMs":9223372036854775807`), "deadlineMs"},
		"call: deadline":      {"POST /v1/services/s/m", `{"tenant":"t","deadlineMs":86400001}`, "deadlineMs"},
		"call: no tenant":     {"POST /v1/services/s/m", `{"body":{}}`, "tenant"},
		"call: long key":      {"POST /v1/services/s/m", `{"tenant":"t","idempotencyKey":"` + strings.Repeat("k", 257) + `"}`, "idempotencyKey"},
		"job: no items":       {"POST /v1/jobs", job(""), "items"},
		"job: many items":     {"POST /v1/jobs", job(item + strings.Repeat(","+item, maxItems)), "items"},
		"job: null item":      {"POST /v1/jobs", job(item + ",null"), "items[1]"},
		"job: no model":       {"POST /v1/jobs", job(`{"prompt":"p"}`), "items[0].model"},
		"job: no prompt":      {"POST /v1/jobs", job(item + `,{"model":"m"}`), "items[1].prompt"},
		"job: no service":     {"POST /v1/jobs", job(`{"service":"","method":"m"}`), "items[0].service"},
		"job: two targets":    {"POST /v1/jobs", job(`{"service":"s","method":"m","model":"m"}`), "items[0].service"},
		"job: no method":      {"POST /v1/jobs", job(`{"service":"s"}`), "items[0].method"},
		"job: due overflows":  {"POST /v1/jobs", `{"tenant":"t","key":"k","dueMs":9223372036854775807,"items":[` + item + `]}`, "dueMs"},
		"status: no tenant":   {"GET /v1/jobs/1", "", "tenant"},
		"results: limit":      {"GET /v1/jobs/1/results?tenant=t&limit=0", "", "limit"},
		"results: bad number": {"GET /v1/jobs/1/results?tenant=t&after=x", "", "after"},
		"ticket: no state":    {"POST /v1/tickets", `{"number":1,"operator":"o"}`, "deployment"},
		"ticket: two states":  {"POST /v1/tickets", ticket(`"tenant":{"tenant":"t"},"service":{"name":"s"}`), "deployment"},
		"ticket: number":      {"POST /v1/tickets", `{"number":0,"operator":"o","tenant":{"tenant":"t"}}`, "number"},
		"ticket: name":        {"POST /v1/tickets", ticket(`"service":{"name":"a/b"}`), "service.name"},
		"ticket: timeout":     {"POST /v1/tickets", ticket(`"service":{"name":"s","timeoutMs":9223372036854775807}`), "service.timeoutMs"},
		"ticket: no version":  {"POST /v1/tickets", ticket(`"deployment":{"name":"d","service":"s","model":"m"}`), "version"},
	} {
		t.Run(name, func(t *testing.T) {
			method, path, _ := strings.Cut(test.request, " ")
			status, response := send(h, method, path, test.body)
			var e errorBody
			qt.Assert(t, json.Unmarshal([]byte(response), &e), qt.IsNil, qt.Commentf("%d %s", status, response))
			qt.Check(t, status, qt.Equals, http.StatusBadRequest)
			qt.Check(t, e.Name, qt.Equals, "invalid", qt.Commentf("%s", response))
			qt.Check(t, e.Field, qt.Equals, test.field, qt.Commentf("%s", response))
			qt.Check(t, e.Ran, qt.Equals, "notRun")
			qt.Check(t, e.Message, qt.Not(qt.Equals), "")
			qt.Check(t, len(response) < 1000, qt.IsTrue, qt.Commentf("the response has %d bytes", len(response)))
		})
	}
}

// TestBodyAboveLimitIsRefused guards against a wrong status for a body above the limit, also if the
// limit is exceeded only by white space after the JSON value.
func TestBodyAboveLimitIsRefused(t *testing.T) {
	h := newServer(t, func(_ *relay.Relay, e fleet.Event) { t.Errorf("the control loop received %#v", e) })
	prompt := `{"tenant":"t","model":"m","prompt":"` + strings.Repeat("p", maxBodyBytes) + `"}`
	for _, body := range []string{prompt, `{"tenant":"t","model":"m","prompt":"p"}` + strings.Repeat(" ", maxBodyBytes)} {
		status, response := send(h, "POST", "/v1/answer", body)
		var e errorBody
		qt.Assert(t, json.Unmarshal([]byte(response), &e), qt.IsNil)
		qt.Check(t, status, qt.Equals, http.StatusRequestEntityTooLarge)
		qt.Check(t, e.Ran, qt.Equals, "notRun")
	}
}

// TestRefusalStatusAndRan guards against a refusal reason with the wrong status, and against a `ran`
// other than the control loop's.
func TestRefusalStatusAndRan(t *testing.T) {
	for reason, want := range map[cs.Reason]int{
		cs.ReasonInvalid: 400, cs.ReasonNotFound: 404, cs.ReasonConflict: 409, cs.ReasonStale: 412,
		cs.ReasonOverloaded: 429, cs.ReasonExpired: 504, cs.ReasonUnavailable: 503, cs.ReasonQuarantined: 422,
		cs.ReasonBroken: 502, cs.ReasonRejected: 424, cs.ReasonLeaving: 503,
	} {
		for _, ran := range cs.RanValues() {
			h := newServer(t, func(r *relay.Relay, e fleet.Event) {
				if a, ok := e.(fleet.RequestArrived); ok {
					r.Finish(fleet.Finish{ID: a.Request.ID, Refusal: &cs.Refusal{Reason: reason, Ran: ran, Message: "m"}})
				}
			})
			for _, path := range []string{"/v1/ask", "/v1/answer", "/v1/services/s/m"} {
				body := `{"tenant":"t","model":"m","prompt":"p"}`
				if strings.HasPrefix(path, "/v1/services") {
					body = `{"tenant":"t","body":{}}`
				}
				status, response := send(h, "POST", path, body)
				qt.Check(t, status, qt.Equals, want, qt.Commentf("%s %v", path, reason))
				qt.Check(t, strings.TrimSpace(response), qt.Equals, fmt.Sprintf(`{"name":"%v","message":"m","ran":"%v"}`, reason, ran))
			}
		}
	}
}

// TestNumbersKeepTheirDigits guards against long numbers that lose digits in a conversion to float64,
// on the way to the service or back to the caller.
func TestNumbersKeepTheirDigits(t *testing.T) {
	const digits = `{"a":12345678901234567890123,"b":0.10000000000000000000001,"c":1e400}`
	h := newServer(t, func(r *relay.Relay, e fleet.Event) {
		switch e := e.(type) {
		case fleet.RequestArrived:
			qt.Check(t, string(e.Request.Target.(cs.ServiceCall).Body), qt.Equals, digits)
			r.Finish(fleet.Finish{ID: e.Request.ID, Answer: []byte(digits)})
		case fleet.QueryReceived:
			item := e.Query.(cs.SubmitJob).Items[0]
			qt.Check(t, string(item.Target.(cs.ServiceCall).Body), qt.Equals, digits)
			r.AnswerQuery(fleet.AnswerQuery{ID: e.ID, Answer: cs.JobReply{}})
		}
	})
	status, response := send(h, "POST", "/v1/services/s/m", `{"tenant":"t","body":`+digits+`}`)
	qt.Check(t, status, qt.Equals, http.StatusOK)
	qt.Check(t, response, qt.Contains, `"answer":`+digits)
	status, _ = send(h, "POST", "/v1/jobs", `{"tenant":"t","key":"k","items":[{"service":"s","method":"m","body":`+digits+`}]}`)
	qt.Check(t, status, qt.Equals, http.StatusAccepted)
}

// TestRefusesUntilTicketsAreKnown guards against a VM that runs a version that is not in force, or
// repeats a non-idempotent call, because it has not read the tickets yet.
func TestRefusesUntilTicketsAreKnown(t *testing.T) {
	clock := cs.NewClock()
	tables := fleet.New(fleet.DefaultConfig(), cs.VM{ID: "vm-1"}, clock.Now(), 1)
	h := newServerWithTables(t, clock, tables, func(*relay.Relay, fleet.Event) { t.Error("a request reached the control loop") })
	for path, body := range map[string]string{
		"/v1/answer":                 `{"tenant":"t","model":"m","prompt":"p"}`,
		"/v1/services/records/write": `{"tenant":"t"}`,
	} {
		status, response := send(h, http.MethodPost, path, body)
		qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, response, qt.Contains, `"ran":"notRun"`)
	}
}
