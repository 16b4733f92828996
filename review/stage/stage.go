// Package stage runs the entry program against stand-ins of the platform for the cases of the review.
package stage

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/crocusstile/crocusstile/standin"
)

// Exit codes of a case.
const (
	RuleHeld   = 0
	RuleBroken = 1
	NotRun     = 2
)

// Program is the command of deploy/system.toml.
const Program = "target/crocusstile-entryd"

const templatePath = "deploy/settings.json"

// Stage holds the stand-ins of a case and the processes that it has started.
type Stage struct {
	// Store is the platform's store.
	Store *standin.Store
	// StoreAddress is where the VMs reach the store.
	StoreAddress string
	// Trouble is false if the case runs without its disruption.
	Trouble bool

	store  *store
	dir    string
	start  time.Time
	mu     sync.Mutex
	record *os.File
	vms    []*VM
	// runners is the number of runners, and runs are their runs.
	runners int
	runs    []*itemRun
}

// VM is one process of the entry program.
type VM struct {
	Name, IP, Callers, Ready string

	cmd  *exec.Cmd
	done chan struct{}
}

// New returns a stage that writes to record.txt in the folder of the case.
func New(caseDir string) (*Stage, error) {
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &Stage{Store: standin.NewStore(), Trouble: os.Getenv("TROUBLE") != "0", dir: dir, start: time.Now(), record: record}
	s.store = newStore(s.Store)
	s.StoreAddress, err = Serve("127.0.0.1", s.store)
	return s, err
}

// Logf writes a line with the time since the start to record.txt.
func (s *Stage) Logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...)) // a lost line does not change the verdict
}

// Serve serves HTTP on a free port of a loopback address and returns the address.
func Serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // ends with the process
	return l.Addr().String(), nil
}

// FreePorts returns ports that were free on all the given addresses a moment ago.
func FreePorts(n int, ips ...string) ([]int, error) {
	var ports []int
	for range 200 {
		if len(ports) == n {
			return ports, nil
		}
		l, err := net.Listen("tcp4", net.JoinHostPort(ips[0], "0"))
		if err != nil {
			return nil, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		free := true
		for _, ip := range ips[1:] {
			other, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = other.Close()
		}
		defer func() { _ = l.Close() }()
		if free {
			ports = append(ports, port)
		}
	}
	return nil, fmt.Errorf("no %d free ports", n)
}

// Settings are the fields of the platform's settings file that the template uses.
type Settings struct {
	Name, Zone, IP string
	// Ports are those for callers, readiness, peers and metrics.
	Ports    []int
	GraceS   int
	MemoryMB int
	// Store is where the VM reaches the store, or empty for StoreAddress.
	Store string
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// render fills in the template of the deploy file.
func (s *Stage) render(c Settings) ([]byte, error) {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	storeAddress := c.Store
	if storeAddress == "" {
		storeAddress = s.StoreAddress
	}
	values := map[string]string{
		"node": c.Name, "zone": c.Zone, "ip": c.IP,
		"listen.front": fmt.Sprintf("%s:%d", c.IP, c.Ports[0]), "listen.ready": fmt.Sprintf("%s:%d", c.IP, c.Ports[1]),
		"internal_ports.0": fmt.Sprint(c.Ports[2]), "internal_ports.1": fmt.Sprint(c.Ports[3]),
		"platform.address": storeAddress, "platform.parts": "8", "platform.record_bytes": "262144",
		"platform.max_call_bytes": fmt.Sprint(MaxCallBytes), "platform.ttl_min_ms": "1000",
		"bounds.grace_s": fmt.Sprint(c.GraceS), "bounds.status_ttl_s": "120", "limits.memory_mb": fmt.Sprint(c.MemoryMB),
	}
	rendered := placeholder.ReplaceAllStringFunc(string(template), func(p string) string { return values[strings.Trim(p, "{}")] })
	if !json.Valid([]byte(rendered)) {
		return nil, fmt.Errorf("rendered settings are no JSON: %s", rendered)
	}
	return []byte(rendered), nil
}

// StartVM starts the entry program with its settings file and returns once the VM says that it is ready.
func (s *Stage) StartVM(c Settings) (*VM, error) {
	settings, err := s.render(c)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.dir, c.Name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.dir, c.Name+".log"))
	if err != nil {
		return nil, err
	}
	vm := &VM{
		Name: c.Name, IP: c.IP, Callers: fmt.Sprintf("%s:%d", c.IP, c.Ports[0]), Ready: fmt.Sprintf("%s:%d", c.IP, c.Ports[1]),
		cmd: exec.Command(Program), done: make(chan struct{}),
	}
	vm.cmd.Env = append(os.Environ(), "CROCUSSTILE_NODE_FILE="+path)
	vm.cmd.Stdout, vm.cmd.Stderr = log, log
	if err := vm.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = vm.cmd.Wait() // the exit status is not part of the verdict
		close(vm.done)
	}()
	s.mu.Lock()
	s.vms = append(s.vms, vm)
	s.mu.Unlock()
	s.Logf("started %s, pid %d, callers at %s", vm.Name, vm.cmd.Process.Pid, vm.Callers)
	return vm, vm.waitReady()
}

func (v *VM) waitReady() error {
	for range 200 {
		resp, err := http.Get("http://" + v.Ready + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s does not become ready", v.Name)
}

// Signal sends a signal to the process.
func (v *VM) Signal(sig syscall.Signal) error { return v.cmd.Process.Signal(sig) }

// Pid returns the ID of the process.
func (v *VM) Pid() int { return v.cmd.Process.Pid }

// Done is closed when the process has ended.
func (v *VM) Done() <-chan struct{} { return v.done }

// Close ends all processes that the stage has started. It keeps the logs of the VMs if KEEP is set.
func (s *Stage) Close() {
	s.mu.Lock()
	vms := s.vms
	s.mu.Unlock()
	for _, v := range vms {
		select {
		case <-v.done:
		default:
			_ = v.cmd.Process.Kill() // fails only if the process has ended
			<-v.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir) // a temporary folder
	} else {
		s.Logf("logs of the VMs in %s", s.dir)
	}
	_ = s.record.Close() // each line was written at once
}

// Main runs a case and exits with its code; an error means that the case could not run.
func Main(run func(*Stage) (int, error)) {
	s, err := New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	code, err := run(s)
	if err != nil {
		s.Logf("the case could not run: %v", err)
		code = NotRun
	}
	s.Logf("exit code %d", code)
	s.Close()
	os.Exit(code)
}
