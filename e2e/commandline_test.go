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

// runTool runs the command-line tool against a VM and returns its standard output and exit code.
func runTool(t *testing.T, v *vm, args ...string) (out string, code int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaryDir, "crocusstile"), args...)
	cmd.Env = append(os.Environ(), "CROCUSSTILE_ADDR="+string(v.address))
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		t.Fatal(err)
	}
	t.Logf("crocusstile %s: exit %d %s", strings.Join(args, " "), cmd.ProcessState.ExitCode(), stderr.String())
	return stdout.String(), cmd.ProcessState.ExitCode()
}

// TestCommandLineEndToEnd guards against programs that work alone but not together: the command-line
// tool uses four daemons in two data centres, with stand-ins for the log, the list and the backends.
func TestCommandLineEndToEnd(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, twoDataCentres())
	c := newCaller(t, cl)
	vms := cl.vms()
	for i, ticket := range []any{
		map[string]any{"number": 1, "operator": "a", "deployment": map[string]any{"name": "tutor", "service": engineService, "model": model, "version": version}},
		map[string]any{"number": 2, "operator": "a", "service": map[string]any{"name": recordsService, "nonIdempotent": []string{markMethod}}},
	} {
		path := filepath.Join(cl.dir, fmt.Sprintf("ticket-%d.json", i))
		cl.writeJSON(path, ticket)
		_, code := runTool(t, vms[i], "ticket", "submit", path)
		qt.Assert(t, code, qt.Equals, 0)
	}
	c.waitInForce(vms, "deployment/tutor", 1)
	c.waitInForce(vms, "service/"+recordsService, 2)

	out, code := runTool(t, vms[1], "ask", "-tenant", "hebewerk", "-model", model, "-max-tokens", "12", "How do I lift a crate?")
	qt.Assert(t, code, qt.Equals, 0)
	qt.Assert(t, strings.TrimSpace(out), qt.Equals, standin.ExpectedText(model, "", version, "How do I lift a crate?", 12))

	out, code = runTool(t, vms[2], "call", "-tenant", "hebewerk", "-key", "m1", recordsService, markMethod, `{"trainee": 1}`)
	qt.Assert(t, code, qt.Equals, 0)
	qt.Assert(t, out, qt.Contains, markMethod)

	var lines strings.Builder
	for i := range 120 {
		line, err := json.Marshal(map[string]any{"prompt": fmt.Sprintf("note %d", i), "maxTokens": 8, "model": model})
		qt.Assert(t, err, qt.IsNil)
		lines.Write(append(line, '\n'))
	}
	items := filepath.Join(cl.dir, "items.jsonl")
	qt.Assert(t, os.WriteFile(items, []byte(lines.String()), 0o600), qt.IsNil)
	_, code = runTool(t, vms[3], "job", "submit", "-tenant", "verein", "-key", "night", "-wait", items)
	qt.Assert(t, code, qt.Equals, 0)
	var job []jobBody
	cl.eventually(5*time.Second, "job listed by the VM that owns its shard", func() bool {
		for _, v := range vms {
			if getJSON(v.address, "/v1/jobs", &job) == nil && len(job) == 1 {
				return true
			}
		}
		return false
	})
	out, code = runTool(t, vms[0], "job", "results", "-json", "-tenant", "verein", job[0].ID)
	qt.Assert(t, code, qt.Equals, 0)
	qt.Assert(t, out, qt.Contains, standin.ExpectedText(model, "", version, "note 119", 8))

	out, code = runTool(t, vms[0], "vms")
	qt.Assert(t, code, qt.Equals, 0)
	for _, v := range vms {
		qt.Assert(t, out, qt.Contains, v.id)
	}
	_, code = runTool(t, vms[0], "ask", "-tenant", "hebewerk", "-model", "none", "x")
	qt.Assert(t, code, qt.Equals, 3)
	_, code = runTool(t, vms[0], "ask", "-model", model, "x")
	qt.Assert(t, code, qt.Equals, 2)
	c.checkInvariants(false)
}
