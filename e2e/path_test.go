package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/standin"
)

// tool runs the command-line tool against a VM and returns its output and exit code.
func tool(t *testing.T, v *vm, args ...string) (out string, code int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "crocusstile"), args...)
	cmd.Env = append(os.Environ(), "CROCUSSTILE_ADDR="+string(v.address))
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	t.Logf("crocusstile %s: exit %d %s", strings.Join(args, " "), cmd.ProcessState.ExitCode(), stderr.String())
	return stdout.String(), cmd.ProcessState.ExitCode()
}

// TestCommandLineDrivesTwoDataCentres guards against a path that works only in parts: the tool drives
// four daemons in two data centres, with stand-ins as separate processes.
func TestCommandLineDrivesTwoDataCentres(t *testing.T) {
	t.Parallel()
	s := newSite(t, twoSites())
	c := newCaller(t, s)
	vms := s.vms()
	for i, ticket := range []any{
		map[string]any{"number": 1, "operator": "a", "deployment": map[string]any{"name": "tutor", "service": engines, "model": model, "version": version}},
		map[string]any{"number": 2, "operator": "a", "service": map[string]any{"name": recordsS, "nonIdempotent": []string{markCall}}},
	} {
		path := filepath.Join(s.dir, fmt.Sprintf("ticket-%d.json", i))
		s.writeJSON(path, ticket)
		_, code := tool(t, vms[i], "ticket", "submit", path)
		qt.Assert(t, code, qt.Equals, 0)
	}
	c.everywhere(vms, "deployment/tutor", 1)
	c.everywhere(vms, "service/"+recordsS, 2)

	out, code := tool(t, vms[1], "ask", "-tenant", "hebewerk", "-model", model, "-max-tokens", "12", "How do I lift a crate?")
	qt.Assert(t, code, qt.Equals, 0)
	qt.Assert(t, strings.TrimSpace(out), qt.Equals, standin.ExpectedText(model, "", version, "How do I lift a crate?", 12))

	out, code = tool(t, vms[2], "call", "-tenant", "hebewerk", "-key", "m1", recordsS, markCall, `{"trainee": 1}`)
	qt.Assert(t, code, qt.Equals, 0)
	qt.Assert(t, out, qt.Contains, markCall)

	var lines strings.Builder
	for i := range 120 {
		line, err := json.Marshal(map[string]any{"prompt": fmt.Sprintf("note %d", i), "maxTokens": 8, "model": model})
		qt.Assert(t, err, qt.IsNil)
		lines.Write(append(line, '\n'))
	}
	items := filepath.Join(s.dir, "items.jsonl")
	qt.Assert(t, os.WriteFile(items, []byte(lines.String()), 0o600), qt.IsNil)
	_, code = tool(t, vms[3], "job", "submit", "-tenant", "verein", "-key", "night", "-wait", items)
	qt.Assert(t, code, qt.Equals, 0)
	var job []jobBody
	s.eventually(5*time.Second, "the job on its owner's list", func() bool {
		for _, v := range vms {
			if getJSON(v.address, "/v1/jobs", &job) == nil && len(job) == 1 {
				return true
			}
		}
		return false
	})
	out, code = tool(t, vms[0], "job", "results", "-json", "-tenant", "verein", job[0].ID)
	qt.Assert(t, code, qt.Equals, 0)
	qt.Assert(t, out, qt.Contains, standin.ExpectedText(model, "", version, "note 119", 8))

	out, code = tool(t, vms[0], "vms")
	qt.Assert(t, code, qt.Equals, 0)
	for _, v := range vms {
		qt.Assert(t, out, qt.Contains, v.id)
	}
	_, code = tool(t, vms[0], "ask", "-tenant", "hebewerk", "-model", "none", "x")
	qt.Assert(t, code, qt.Equals, 3)
	_, code = tool(t, vms[0], "ask", "-model", model, "x")
	qt.Assert(t, code, qt.Equals, 2)
	c.check(false)
}
