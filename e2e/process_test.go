// Package e2e runs the programs as separate processes, injects failures and checks that the
// system's invariants hold.
package e2e

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	cs "github.com/crocusstile/crocusstile"
)

// binaryDir is the directory into which TestMain builds the programs.
var binaryDir string

var (
	seedFlag   = flag.Uint64("seed", 0, "seed of TestMixedFailures; 0 runs the fixed seeds")
	mixedFlag  = flag.Duration("mixed", 0, "duration of the load in TestMixedFailures; 0 runs the short form used in CI")
	policyFlag = flag.String("policy", "", "settings of control.policy in JSON, such as {\"noFence\":true}, to check that a test fails when the mechanism that it covers is switched off")
	logsFlag   = flag.String("logs", "", "directory in which the logs and journals of the processes are kept; empty deletes them after each test")
)

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "crocusstile-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaryDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/crocusstiled", "../cmd/crocusstile", "../cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a started program; it may have exited since.
type process struct {
	t       *testing.T
	name    string
	cmd     *exec.Cmd
	address cs.Address
	// done is closed once the process has exited and err is set.
	done chan struct{}
	// mu guards err, the result of waiting for the process.
	mu  sync.Mutex
	err error
	// logFile is the path of the file that receives the standard error output.
	logFile string
}

// startProcess starts a program and waits until it prints the address on which it listens.
func startProcess(t *testing.T, dir, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, done: make(chan struct{}), logFile: filepath.Join(dir, name+".log")}
	p.cmd = exec.Command(filepath.Join(binaryDir, program), args...)
	logFile, err := os.OpenFile(p.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = logFile
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ready := make(chan cs.Address, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if a, ok := strings.CutPrefix(lines.Text(), "listening on "); ok {
				select {
				case ready <- cs.Address(a):
				default:
				}
			}
		}
		err := p.cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		_ = logFile.Close()
		close(p.done)
	}()
	t.Cleanup(p.kill)
	select {
	case p.address = <-ready:
	case <-p.done:
		text, _ := os.ReadFile(p.logFile)
		t.Fatalf("%s exited during startup: %v\n%s", name, p.err, text)
	case <-time.After(20 * time.Second):
		t.Fatalf("%s did not print its listening address within 20 s", name)
	}
	return p
}

// signal sends a signal; it does nothing if the process has exited.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL, which also ends a suspended process, and waits for the exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) suspend() { p.signal(syscall.SIGSTOP) }
func (p *process) resume()  { p.signal(syscall.SIGCONT) }

// terminate sends SIGTERM and returns the time until the exit and the error of the process.
func (p *process) terminate(timeout time.Duration) (time.Duration, error) {
	p.t.Helper()
	began := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.t.Fatalf("%s did not exit within %v of SIGTERM", p.name, timeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(began), p.err
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}
