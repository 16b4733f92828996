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

// commandResult holds the exit code and the output of a command.
type commandResult struct {
	code     ExitCode
	out, err string
}

// runCommand executes a command against a server with the handler.
func runCommand(t *testing.T, h http.HandlerFunc, stdin string, args ...string) commandResult {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	return runCommandAt(server.Listener.Addr().String(), stdin, args...)
}

// runCommandAt executes a command against the server at an address.
func runCommandAt(addr, stdin string, args ...string) commandResult {
	var out, errs bytes.Buffer
	getenv := func(name string) string { return map[string]string{"CROCUSSTILE_ADDR": addr}[name] }
	code := Run(context.Background(), args, Terminal{In: strings.NewReader(stdin), Out: &out, Err: &errs, Getenv: getenv})
	return commandResult{code, out.String(), errs.String()}
}

// respond returns a handler that sends the same JSON response to every request.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// refusalBody returns the JSON of an error response with the name and the value of "ran".
func refusalBody(name, ran string) string {
	return fmt.Sprintf(`{"name":%q,"message":"m","field":"f","ran":%q}`, name, ran)
}

// closeConnection reads the request and closes the connection without a response.
func closeConnection(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, _ := http.NewResponseController(w).Hijack()
	_ = conn.Close()
}

// TestExitCodes guards against an exit code that claims more than is known. The worst case is "not
// run" for a request that may have run: a script would send it again and register a mark twice.
func TestExitCodes(t *testing.T) {
	call := []string{"call", "-tenant", "t", "-non-idempotent", "records-app", "registerMark", `{"mark":2}`}
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    ExitCode
	}{
		"done":              {respond(200, `{"id":"1","answer":{"ok":true},"joined":false}`), ExitOK},
		"invalid":           {respond(400, refusalBody("invalid", "notRun")), ExitUsage},
		"overloaded":        {respond(429, refusalBody("overloaded", "notRun")), ExitNotRun},
		"rejected":          {respond(424, refusalBody("rejected", "failed")), ExitFailed},
		"quarantined":       {respond(422, refusalBody("quarantined", "failed")), ExitFailed},
		"expired":           {respond(504, refusalBody("expired", "unknown")), ExitUnknown},
		"unknown ran":       {respond(502, refusalBody("broken", "perhaps")), ExitUnknown},
		"connection closed": {closeConnection, ExitUnknown},
		"other 400":         {respond(400, `{"name":"missing_field","message":"m"}`), ExitUsage},
		"other 404":         {respond(404, `404 page not found`), ExitNotRun},
		"other 500":         {respond(500, `boom`), ExitUnknown},
		"response not JSON": {respond(200, `{"id"`), ExitUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			got := runCommand(t, c.handler, "", call...)
			qt.Assert(t, got.code, qt.Equals, c.want, qt.Commentf(got.err))
			qt.Assert(t, got.err == "", qt.Equals, c.want == ExitOK)
		})
	}
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	got := runCommandAt(server.Listener.Addr().String(), "", call...)
	qt.Assert(t, got.code, qt.Equals, ExitNotRun, qt.Commentf("connection refused: %s", got.err))
}

// TestTimeoutMeansUnknown guards against a command that hangs on a VM that accepts connections but
// sends no response, and against reporting that case as "not run".
func TestTimeoutMeansUnknown(t *testing.T) {
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

// TestAskChecksStream guards against accepting a stream as the complete response although events are
// missing, repeated or those of another request.
func TestAskChecksStream(t *testing.T) {
	const one, two = `{"id":"r1","n":1,"text":"Load "}`, `{"id":"r1","n":2,"text":"chart"}`
	const done = `{"id":"r1","done":true,"tokens":2,"load":{"running":1,"waiting":0,"slots":8}}`
	for name, c := range map[string]struct {
		events []string
		want   ExitCode
	}{
		"complete":         {[]string{one, two, done}, ExitOK},
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
				for _, event := range c.events {
					fmt.Fprintf(w, "data: %s\n\n", event)
				}
			}
			got := runCommand(t, h, "prompt", "ask", "-tenant", "t", "-model", "tutor", "-")
			qt.Assert(t, got.code, qt.Equals, c.want, qt.Commentf(got.err))
			if c.want == ExitOK {
				qt.Assert(t, got.out, qt.Equals, "Load chart\n")
			}
			got = runCommand(t, h, "prompt", "ask", "-json", "-tenant", "t", "-model", "tutor", "-")
			qt.Assert(t, got.out == "", qt.Equals, c.want != ExitOK)
		})
	}
}

// TestUsageErrorSendsNothing guards against requests that are sent although the arguments or the input
// are invalid.
func TestUsageErrorSendsNothing(t *testing.T) {
	ticket := filepath.Join(t.TempDir(), "ticket.json")
	qt.Assert(t, os.WriteFile(ticket, []byte(`{"number":1,"operator":"o","tenant":{"tenant":"t","burst":3}}`), 0o600), qt.IsNil)
	failOnRequest := func(_ http.ResponseWriter, r *http.Request) { t.Errorf("sent %s", r.URL) }
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
		got := runCommand(t, failOnRequest, `{"prompt":"p","modell":"m"}`, args...)
		qt.Assert(t, got.code, qt.Equals, ExitUsage, qt.Commentf("%q", args))
		qt.Assert(t, got.err, qt.Not(qt.Equals), "")
	}
}

// TestHelpIsComplete guards against help of a command that lacks its flags, an example or the exit
// codes.
func TestHelpIsComplete(t *testing.T) {
	for _, spec := range commands {
		got := runCommand(t, http.NotFound, "", append(strings.Fields(spec.name), "-h")...)
		qt.Assert(t, got.code, qt.Equals, ExitOK)
		for _, part := range []string{spec.summary, spec.example, "-addr", exitCodesHelp} {
			qt.Assert(t, got.out, qt.Contains, part)
		}
	}
}
