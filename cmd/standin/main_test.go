package main

import (
	"bufio"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// runMainEnvVar names the environment variable that makes the test binary run the program itself.
const runMainEnvVar = "STANDIN_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnvVar) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// startProgram starts the program and returns it with the address on which it listens.
func startProgram(t *testing.T, args ...string) (*exec.Cmd, string) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runMainEnvVar+"=1")
	out, err := cmd.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cmd.Start(), qt.IsNil)
	t.Cleanup(func() { cmd.Process.Kill() })
	line, err := bufio.NewReader(out).ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening on ")
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("line %q", line))
	return cmd, address
}

// TestSubcommandsStartAndStop guards against a subcommand that does not start, or does not stop on
// SIGTERM.
func TestSubcommandsStartAndStop(t *testing.T) {
	for name := range subcommands {
		t.Run(name, func(t *testing.T) {
			args := []string{name, "-listen", "127.0.0.1:0"}
			if name == proxySubcommand {
				args = append(args, "-target", "127.0.0.1:1")
			}
			cmd, _ := startProgram(t, args...)
			qt.Assert(t, cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
			qt.Assert(t, cmd.Wait(), qt.IsNil)
		})
	}
}

// TestRunnerExitsOnCrash guards against a crash that a supervisor cannot distinguish from a normal
// exit, and against a journal that is lost with the process.
func TestRunnerExitsOnCrash(t *testing.T) {
	path := t.TempDir() + "/journal"
	cmd, address := startProgram(t, "runner", "-loaded", "tutor/v1", "-slots", "2", "-journal", path)
	_, err := http.Post("http://"+address+"/v1/generate", "application/json",
		strings.NewReader(`{"id":"a","model":"tutor","version":"v1","prompt":"CRASH","maxTokens":1}`))
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, cmd.Wait(), qt.ErrorMatches, "exit status 3")
	journal, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(journal), qt.Contains, `"event":"crash"`)
}
