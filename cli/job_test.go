package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func jobBody(state string, count, done, failed, unknown int) string {
	return fmt.Sprintf(`{"id":"j1","tenant":"t","key":"k","state":%q,"dueMs":0,"count":%d,"waiting":0,"running":0,`+
		`"done":%d,"failed":%d,"cancelled":0,"unknown":%d,"undurable":0,"joined":false}`, state, count, done, failed, unknown)
}

const items = `{"prompt":"a"}

{"prompt":"b","model":"lese","maxTokens":7}
{"service":"protokoll-dienst","method":"entry","body":{"n":12345678901},"nonIdempotent":true}
`

// TestSubmitKey guards against a resend that starts a second job, and against one key for different
// jobs.
func TestSubmitKey(t *testing.T) {
	var keys []string
	h := func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Key string }
		qt.Check(t, json.NewDecoder(r.Body).Decode(&body), qt.IsNil)
		keys = append(keys, body.Key)
		answer(202, jobBody("open", 3, 0, 0, 0))(w, r)
	}
	for _, args := range [][]string{
		{"-tenant", "t"},
		{"-tenant", "t", "-due", "8h"},
		{"-tenant", "u"},
		{"-tenant", "t", "-max-tokens", "9"},
		{"-tenant", "t", "-key", "mine"},
	} {
		got := run(t, h, items, append([]string{"job", "submit", "-model", "lese", "-"}, args...)...)
		qt.Assert(t, got.code, qt.Equals, ExitDone, qt.Commentf(got.err))
		qt.Assert(t, got.err, qt.Contains, keys[len(keys)-1])
	}
	qt.Assert(t, keys[1], qt.Equals, keys[0])
	qt.Assert(t, keys[2], qt.Not(qt.Equals), keys[0])
	qt.Assert(t, keys[3], qt.Not(qt.Equals), keys[0])
	qt.Assert(t, keys[4], qt.Equals, "mine")
}

// TestWait guards against waiting that ends at the first failed reading, which a VM's replacement
// causes, and against exit code 0 for a job without all its results.
func TestWait(t *testing.T) {
	for name, c := range map[string]struct {
		last string
		want Exit
	}{
		"all done":     {jobBody("finished", 3, 3, 0, 0), ExitDone},
		"item failed":  {jobBody("finished", 3, 2, 1, 0), ExitFailed},
		"item unknown": {jobBody("finished", 3, 1, 1, 1), ExitUnknown},
		"cancelled":    {jobBody("cancelled", 3, 1, 0, 0), ExitFailed},
	} {
		t.Run(name, func(t *testing.T) {
			steps := []http.HandlerFunc{
				answer(202, jobBody("open", 3, 0, 0, 0)),
				answer(200, jobBody("open", 3, 1, 0, 0)),
				breakConnection,
				answer(503, refusal("unavailable", "notRun")),
				answer(200, c.last),
			}
			n := 0
			h := func(w http.ResponseWriter, r *http.Request) {
				step := steps[min(n, len(steps)-1)]
				n++
				step(w, r)
			}
			got := run(t, h, items, "job", "submit", "-tenant", "t", "-model", "lese", "-wait", "-poll", "1ms", "-")
			qt.Assert(t, got.code, qt.Equals, c.want, qt.Commentf(got.err))
			qt.Assert(t, got.err, qt.Contains, "open: 1 of 3 items ended")
		})
	}
}

// TestResults guards against pages that are lost or printed twice.
func TestResults(t *testing.T) {
	h := func(w http.ResponseWriter, r *http.Request) {
		pages := map[string]string{
			"0":  `{"results":[{"index":0,"state":"done","output":"x\ny","attempts":1},{"index":9,"state":"failed","error":"e","attempts":3}],"next":10,"state":"open"}`,
			"10": `{"results":[{"index":12,"state":"done","output":"z","attempts":1}],"next":13,"state":"open"}`,
			"13": `{"results":[],"next":13,"state":"open"}`,
		}
		answer(200, pages[r.URL.Query().Get("after")])(w, r)
	}
	got := run(t, h, "", "job", "results", "-json", "-tenant", "t", "j1")
	qt.Assert(t, got.code, qt.Equals, ExitDone, qt.Commentf(got.err))
	qt.Assert(t, strings.Count(got.out, "\n"), qt.Equals, 3)
	got = run(t, h, "", "job", "results", "-tenant", "t", "j1")
	qt.Assert(t, got.out, qt.Equals, `ITEM  STATE   ATTEMPTS  OUTPUT
0     done    1         "x\ny"
9     failed  3         "error: e"
12    done    1         "z"
`)
}

// TestTables guards against columns that show another field than their header says.
func TestTables(t *testing.T) {
	vms := `[{"id":"e1","incarnation":"7","dataCentre":"muc-a","address":"10.0.0.1:80","leaving":false,"live":true,"linked":false,"self":true},
		{"id":"e2","incarnation":"8","dataCentre":"muc-b","address":"10.0.0.2:80","leaving":true,"live":true,"linked":true,"self":false}]`
	got := run(t, answer(200, vms), "", "vms")
	qt.Assert(t, got.out, qt.Equals, `VM  DATA CENTRE  ADDRESS      STATE    LINK    INCARNATION
e1  muc-a        10.0.0.1:80  live     self    7
e2  muc-b        10.0.0.2:80  leaving  linked  8
`)
	got = run(t, answer(200, vms), "", "vms", "-json")
	qt.Assert(t, got.out, qt.JSONEquals, json.RawMessage(vms))
	runners := `[{"id":"g1","kind":"engine","service":"tutor-models","dataCentre":"muc-a","address":"10.0.1.1:80","leaving":false,"down":false,
		"ejected":true,"slots":16,"running":5,"online":2,"batch":3,"sender":"e1","batchLimit":4.5,"loaded":["tutor/1"]}]`
	got = run(t, answer(200, runners), "", "runners")
	qt.Assert(t, got.out, qt.Equals, `RUNNER  SERVICE       DATA CENTRE  STATE    SLOTS  RUNNING  ONLINE  BATCH  LIMIT  SENDER  LOADED
g1      tutor-models  muc-a        ejected  16     5        2       3      4.5    e1      tutor/1
`)
	tickets := `[{"number":4,"operator":"o","scope":"service/records-app","inForceMs":1000,"service":{"name":"records-app","nonIdempotent":["registerMark"],"timeoutMs":1500}}]`
	got = run(t, answer(200, tickets), "", "ticket", "show")
	qt.Assert(t, got.out, qt.Equals, `SCOPE                NUMBER  OPERATOR  IN FORCE SINCE        STATE
service/records-app  4       o         1970-01-01T00:00:01Z  timeout 1.5s, non-idempotent: registerMark
`)
}

// TestTicketConflict guards against a conflicting ticket that is reported as filed.
func TestTicketConflict(t *testing.T) {
	got := run(t, answer(409, refusal("conflict", "notRun")), "", "ticket", "submit", "../examples/tickets/tenant-lehre.json")
	qt.Assert(t, got.code, qt.Equals, ExitNotRun)
	qt.Assert(t, got.err, qt.Contains, "conflict")
}
