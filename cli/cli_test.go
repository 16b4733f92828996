package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// output is what a command printed and returned.
type output struct {
	code     Exit
	out, err string
}

// run performs a command against the handler.
func run(t *testing.T, h http.HandlerFunc, stdin string, args ...string) output {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	return runAt(server.Listener.Addr().String(), stdin, args...)
}

func runAt(addr, stdin string, args ...string) output {
	var out, errs bytes.Buffer
	getenv := func(name string) string { return map[string]string{"CROCUSSTILE_ADDR": addr}[name] }
	code := Run(context.Background(), args, Terminal{In: strings.NewReader(stdin), Out: &out, Err: &errs, Getenv: getenv})
	return output{code, out.String(), errs.String()}
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func refusal(name, ran string) string {
	return fmt.Sprintf(`{"name":%q,"message":"m","field":"f","ran":%q}`, name, ran)
}

// breakConnection closes the connection once the request has been read.
func breakConnection(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, _ := http.NewResponseController(w).Hijack()
	_ = conn.Close()
}

// TestExitCodes guards against an exit code that claims more than is known, above all "not run" for
// a request that may have run: a script would send it again and register a mark twice.
func TestExitCodes(t *testing.T) {
	call := []string{"call", "-tenant", "t", "-non-idempotent", "records-app", "registerMark", `{"mark":2}`}
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    Exit
	}{
		"done":               {answer(200, `{"id":"1","answer":{"ok":true},"joined":false}`), ExitDone},
		"invalid":            {answer(400, refusal("invalid", "notRun")), ExitMisuse},
		"overloaded":         {answer(429, refusal("overloaded", "notRun")), ExitNotRun},
		"rejected":           {answer(424, refusal("rejected", "failed")), ExitFailed},
		"quarantined":        {answer(422, refusal("quarantined", "failed")), ExitFailed},
		"expired":            {answer(504, refusal("expired", "unknown")), ExitUnknown},
		"unknown ran":        {answer(502, refusal("broken", "perhaps")), ExitUnknown},
		"connection broke":   {breakConnection, ExitUnknown},
		"other 400":          {answer(400, `{"name":"missing_field","message":"m"}`), ExitMisuse},
		"other 404":          {answer(404, `404 page not found`), ExitNotRun},
		"other 500":          {answer(500, `boom`), ExitUnknown},
		"answer is not JSON": {answer(200, `{"id"`), ExitUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			got := run(t, c.handler, "", call...)
			qt.Assert(t, got.code, qt.Equals, c.want, qt.Commentf(got.err))
			qt.Assert(t, got.err == "", qt.Equals, c.want == ExitDone)
		})
	}
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	got := runAt(server.Listener.Addr().String(), "", call...)
	qt.Assert(t, got.code, qt.Equals, ExitNotRun, qt.Commentf("connection refused: %s", got.err))
}

// TestTimeout guards against a command that hangs on a VM that accepts connections and says nothing,
// and against calling that "not run".
func TestTimeout(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	var errs bytes.Buffer
	code := Run(ctx, []string{"vms", "-addr", server.Listener.Addr().String()},
		Terminal{In: strings.NewReader(""), Out: io.Discard, Err: &errs, Getenv: func(string) string { return "" }})
	qt.Assert(t, code, qt.Equals, ExitUnknown, qt.Commentf(errs.String()))
}

// TestAsk guards against a stream that is taken for the whole answer although part of it is
// missing, repeated or another request's.
func TestAsk(t *testing.T) {
	const one, two = `{"id":"r1","n":1,"text":"Load "}`, `{"id":"r1","n":2,"text":"chart"}`
	const done = `{"id":"r1","done":true,"tokens":2,"load":{"running":1,"waiting":0,"slots":8}}`
	for name, c := range map[string]struct {
		events []string
		want   Exit
	}{
		"whole":            {[]string{one, two, done}, ExitDone},
		"no end marker":    {[]string{one, two}, ExitUnknown},
		"gap":              {[]string{one, `{"id":"r1","n":3,"text":"x"}`, done}, ExitFailed},
		"repeated":         {[]string{one, one, two, done}, ExitFailed},
		"last one missing": {[]string{one, done}, ExitFailed},
		"other request":    {[]string{one, `{"id":"r2","n":2,"text":"x"}`, done}, ExitFailed},
		"other end marker": {[]string{one, two, `{"id":"r2","done":true,"tokens":2}`}, ExitFailed},
		"not JSON":         {[]string{one, `{"id":`}, ExitFailed},
		"failed":           {[]string{one, `{"id":"r1","error":{"name":"broken","message":"m","ran":"failed"}}`}, ExitFailed},
		"unknown":          {[]string{one, `{"id":"r1","error":{"name":"broken","message":"m","ran":"unknown"}}`}, ExitUnknown},
		"not run":          {[]string{`{"id":"r1","error":{"name":"expired","message":"m","ran":"notRun"}}`}, ExitNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			h := func(w http.ResponseWriter, r *http.Request) {
				qt.Check(t, r.URL.Path, qt.Equals, "/v1/ask")
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("X-Request-Id", "r1")
				for _, e := range c.events {
					fmt.Fprintf(w, "data: %s\n\n", e)
				}
			}
			got := run(t, h, "prompt", "ask", "-tenant", "t", "-model", "tutor", "-")
			qt.Assert(t, got.code, qt.Equals, c.want, qt.Commentf(got.err))
			if c.want == ExitDone {
				qt.Assert(t, got.out, qt.Equals, "Load chart\n")
			}
			got = run(t, h, "prompt", "ask", "-json", "-tenant", "t", "-model", "tutor", "-")
			qt.Assert(t, got.out == "", qt.Equals, c.want != ExitDone)
		})
	}
}

// TestMisuse guards against requests that are sent although the arguments or the input are wrong.
func TestMisuse(t *testing.T) {
	ticket := filepath.Join(t.TempDir(), "ticket.json")
	qt.Assert(t, os.WriteFile(ticket, []byte(`{"number":1,"operator":"o","tenant":{"tenant":"t","burst":3}}`), 0o600), qt.IsNil)
	never := func(_ http.ResponseWriter, r *http.Request) { t.Errorf("sent %s", r.URL) }
	for _, args := range [][]string{
		{},
		{"job"},
		{"ask", "-tenant", "t", "hello"},
		{"ask", "-model", "m", "hello"},
		{"ask", "-tenant", "t", "-model", "m"},
		{"call", "-tenant", "t", "s", "m", "{"},
		{"job", "submit", "-tenant", "t", "-"},
		{"job", "status", "-tenant", "t"},
		{"job", "status", "-tenant", "t", "-key", "k", "id"},
		{"vms", "-addr", "nowhere"},
		{"vms", "-timeout", "soon"},
		{"ticket", "submit", ticket},
		{"settings", "check", "../setting/testdata/types.json"},
	} {
		got := run(t, never, `{"prompt":"p","modell":"m"}`, args...)
		qt.Assert(t, got.code, qt.Equals, ExitMisuse, qt.Commentf("%q", args))
		qt.Assert(t, got.err, qt.Not(qt.Equals), "")
	}
}

// TestHelp guards against a command whose help lacks its flags, an example or the exit codes.
func TestHelp(t *testing.T) {
	for _, e := range commands {
		got := run(t, http.NotFound, "", append(strings.Fields(e.name), "-h")...)
		qt.Assert(t, got.code, qt.Equals, ExitDone)
		for _, part := range []string{e.summary, e.example, "-addr", exitCodes} {
			qt.Assert(t, got.out, qt.Contains, part)
		}
	}
}
