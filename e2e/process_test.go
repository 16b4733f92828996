// Package e2e starts real processes and proves what must always hold under failure.
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

// binaries is the folder of the programs that TestMain builds.
var binaries string

var (
	seedFlag   = flag.Uint64("seed", 0, "seed of the randomised run; 0 runs the fixed seeds")
	longFlag   = flag.Duration("mixed", 0, "length of the randomised run; 0 stands for the short one of CI")
	policyFlag = flag.String("policy", "", "settings of control.policy in JSON, such as {\"noFence\":true}, to see a proof fail without its mechanism")
	keepLogs   = flag.String("logs", "", "folder in which the processes' logs are kept")
)

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "crocusstile-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/crocusstiled", "../cmd/crocusstile", "../cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a program that runs.
type process struct {
	t       *testing.T
	name    string
	cmd     *exec.Cmd
	address cs.Address
	done    chan struct{}
	mu      sync.Mutex
	err     error
	log     string
}

// startProcess starts a program and waits for its address.
func startProcess(t *testing.T, dir, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, done: make(chan struct{}), log: filepath.Join(dir, name+".log")}
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = log
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
		_ = log.Close()
		close(p.done)
	}()
	t.Cleanup(p.kill)
	select {
	case p.address = <-ready:
	case <-p.done:
		text, _ := os.ReadFile(p.log)
		t.Fatalf("%s ended at its start: %v\n%s", name, p.err, text)
	case <-time.After(20 * time.Second):
		t.Fatalf("%s is not ready after 20 s", name)
	}
	return p
}

// signal sends a signal; a process that has ended is no error.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once, also when it is frozen.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) wake()   { p.signal(syscall.SIGCONT) }

// terminate asks the process to end and returns how long that took and its error.
func (p *process) terminate(limit time.Duration) (time.Duration, error) {
	p.t.Helper()
	began := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(limit):
		p.t.Fatalf("%s has not ended %v after SIGTERM", p.name, limit)
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
