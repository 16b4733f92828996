package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// jobBody returns the JSON of a job with the given state and counts.
func jobBody(state string, count, done, failed, unknown int) string {
	return fmt.Sprintf(`{"id":"j1","tenant":"t","key":"k","state":%q,"dueMs":0,"count":%d,"waiting":0,"running":0,`+
		`"done":%d,"failed":%d,"cancelled":0,"unknown":%d,"undurable":0,"joined":false}`, state, count, done, failed, unknown)
}

// inputLines is the input of a job with three items and a blank line: a prompt without a model, a
// prompt with one, and a call of a service.
const inputLines = `{"prompt":"a"}

{"prompt":"b","model":"lese","maxTokens":7}
{"service":"protokoll-dienst","method":"entry","body":{"n":12345678901},"nonIdempotent":true}
`

// TestSubmitDerivesKey guards against a resend that starts a second job, and against the same key for
// different jobs.
func TestSubmitDerivesKey(t *testing.T) {
	var keys []string
	h := func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Key string }
		qt.Check(t, json.NewDecoder(r.Body).Decode(&body), qt.IsNil)
		keys = append(keys, body.Key)
		respond(202, jobBody("open", 3, 0, 0, 0))(w, r)
	}
	for _, args := range [][]string{
		{"-tenant", "t"},
		{"-tenant", "t", "-due", "8h"},
		{"-tenant", "u"},
		{"-tenant", "t", "-max-tokens", "9"},
		{"-tenant", "t", "-key", "mine"},
	} {
		got := runCommand(t, h, inputLines, append([]string{"job", "submit", "-model", "lese", "-"}, args...)...)
		qt.Assert(t, got.code, qt.Equals, ExitOK, qt.Commentf(got.err))
		qt.Assert(t, got.err, qt.Contains, keys[len(keys)-1])
	}
	qt.Assert(t, keys[1], qt.Equals, keys[0])
	qt.Assert(t, keys[2], qt.Not(qt.Equals), keys[0])
	qt.Assert(t, keys[3], qt.Not(qt.Equals), keys[0])
	qt.Assert(t, keys[4], qt.Equals, "mine")
}

// TestWaitSurvivesFailedPolls guards against waiting that ends at the first failed poll, as happens
// while a VM is replaced, and against exit code 0 for a job without the results of all its items.
func TestWaitSurvivesFailedPolls(t *testing.T) {
	for name, c := range map[string]struct {
		last string
		want ExitCode
	}{
		"all done":     {jobBody("finished", 3, 3, 0, 0), ExitOK},
		"item failed":  {jobBody("finished", 3, 2, 1, 0), ExitFailed},
		"item unknown": {jobBody("finished", 3, 1, 1, 1), ExitUnknown},
		"cancelled":    {jobBody("cancelled", 3, 1, 0, 0), ExitFailed},
	} {
		t.Run(name, func(t *testing.T) {
			responses := []http.HandlerFunc{
				respond(202, jobBody("open", 3, 0, 0, 0)),
				respond(200, jobBody("open", 3, 1, 0, 0)),
				closeConnection,
				respond(503, refusalBody("unavailable", "notRun")),
				respond(200, c.last),
			}
			requests := 0
			h := func(w http.ResponseWriter, r *http.Request) {
				respondNext := responses[min(requests, len(responses)-1)]
				requests++
				respondNext(w, r)
			}
			got := runCommand(t, h, inputLines, "job", "submit", "-tenant", "t", "-model", "lese", "-wait", "-poll", "1ms", "-")
			qt.Assert(t, got.code, qt.Equals, c.want, qt.Commentf(got.err))
			qt.Assert(t, got.err, qt.Contains, "open: 1 of 3 items ended")
		})
	}
}

// TestResultsReadsEachPageOnce guards against pages of results that are skipped or printed twice.
func TestResultsReadsEachPageOnce(t *testing.T) {
	h := func(w http.ResponseWriter, r *http.Request) {
		pages := map[string]string{
			"0":  `{"results":[{"index":0,"state":"done","output":"x\ny","attempts":1},{"index":9,"state":"failed","error":"e","attempts":3}],"next":10,"state":"open"}`,
			"10": `{"results":[{"index":12,"state":"done","output":"z","attempts":1}],"next":13,"state":"open"}`,
			"13": `{"results":[],"next":13,"state":"open"}`,
		}
		respond(200, pages[r.URL.Query().Get("after")])(w, r)
	}
	got := runCommand(t, h, "", "job", "results", "-json", "-tenant", "t", "j1")
	qt.Assert(t, got.code, qt.Equals, ExitOK, qt.Commentf(got.err))
	qt.Assert(t, strings.Count(got.out, "\n"), qt.Equals, 3)
	got = runCommand(t, h, "", "job", "results", "-tenant", "t", "j1")
	qt.Assert(t, got.out, qt.Equals, `ITEM  STATE   ATTEMPTS  OUTPUT
0     done    1         "x\ny"
9     failed  3         "error: e"
12    done    1         "z"
`)
}

// TestTableColumns guards against a column that shows another field than its header says.
func TestTableColumns(t *testing.T) {
	vms := `[{"id":"e1","incarnation":"7","dataCentre":"muc-a","address":"10.0.0.1:80","leaving":false,"live":true,"linked":false,"self":true},
		{"id":"e2","incarnation":"8","dataCentre":"muc-b","address":"10.0.0.2:80","leaving":true,"live":true,"linked":true,"self":false}]`
	got := runCommand(t, respond(200, vms), "", "vms")
	qt.Assert(t, got.out, qt.Equals, `VM  DATA CENTRE  ADDRESS      STATE    LINK    INCARNATION
e1  muc-a        10.0.0.1:80  live     self    7
e2  muc-b        10.0.0.2:80  leaving  linked  8
`)
	got = runCommand(t, respond(200, vms), "", "vms", "-json")
	qt.Assert(t, got.out, qt.JSONEquals, json.RawMessage(vms))
	runners := `[{"id":"g1","kind":"engine","service":"tutor-models","dataCentre":"muc-a","address":"10.0.1.1:80","leaving":false,"down":false,
		"ejected":true,"slots":16,"running":5,"online":2,"batch":3,"sender":"e1","batchLimit":4.5,"loaded":["tutor/1"]}]`
	got = runCommand(t, respond(200, runners), "", "runners")
	qt.Assert(t, got.out, qt.Equals, `RUNNER  SERVICE       DATA CENTRE  STATE    SLOTS  RUNNING  ONLINE  BATCH  LIMIT  SENDER  LOADED
g1      tutor-models  muc-a        ejected  16     5        2       3      4.5    e1      tutor/1
`)
	tickets := `[{"number":4,"operator":"o","scope":"service/records-app","inForceMs":1000,"service":{"name":"records-app","nonIdempotent":["registerMark"],"timeoutMs":1500}}]`
	got = runCommand(t, respond(200, tickets), "", "ticket", "show")
	qt.Assert(t, got.out, qt.Equals, `SCOPE                NUMBER  OPERATOR  IN FORCE SINCE        STATE
service/records-app  4       o         1970-01-01T00:00:01Z  timeout 1.5s, non-idempotent: registerMark
`)
}

// TestTicketConflict guards against reporting a ticket as filed that the VM refused as conflicting.
func TestTicketConflict(t *testing.T) {
	got := runCommand(t, respond(409, refusalBody("conflict", "notRun")), "", "ticket", "submit", "../examples/tickets/tenant-lehre.json")
	qt.Assert(t, got.code, qt.Equals, ExitNotRun)
	qt.Assert(t, got.err, qt.Contains, "conflict")
}
