package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/standin"
)

// What the runners serve.
const (
	model   = "tutor-7b"
	version = "v1"
	group   = "tutor-models"
)

// process is a program that the run has started.
type process struct {
	cmd     *exec.Cmd
	address cs.Address
	journal string
	done    chan struct{}
}

// processes are all programs of a variant.
type processes struct {
	cfg     Config
	dir     string
	all     []*process
	log     *process
	list    *process
	runners []*process
	vms     []*process
}

// start starts a program and waits for its address.
func (p *processes) start(name, program string, args ...string) (*process, error) {
	x := &process{cmd: exec.Command(filepath.Join(p.cfg.Programs, program), args...), done: make(chan struct{})}
	stderr, err := os.Create(filepath.Join(p.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = stderr.Close() }() // the program has a descriptor of its own
	x.cmd.Stderr = stderr
	out, err := x.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := x.cmd.Start(); err != nil {
		return nil, err
	}
	p.all = append(p.all, x)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if a, ok := strings.CutPrefix(lines.Text(), "listening on "); ok {
			x.address = cs.Address(a)
			go func() {
				for lines.Scan() { //nolint:revive // reads to the end, so that the program is not blocked
				}
				_ = x.cmd.Wait()
				close(x.done)
			}()
			return x, nil
		}
	}
	return nil, errors.Newf("%s ended at its start; see %s", name, stderr.Name())
}

// stop ends all programs.
func (p *processes) stop() {
	for _, x := range p.all {
		_ = x.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, x := range p.all {
		if x.address != "" {
			<-x.done
		}
	}
}

// startAll starts a whole site.
func startAll(cfg Config, v Variant) (*processes, error) {
	p := &processes{cfg: cfg, dir: filepath.Join(cfg.Dir, strings.ReplaceAll(v.Name, " ", "-"))}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return nil, err
	}
	err := p.startSite(v)
	if err != nil {
		p.stop()
	}
	return p, err
}

func (p *processes) startSite(v Variant) error {
	var err error
	if p.log, err = p.start("log", "standin", "log"); err != nil {
		return err
	}
	entries, err := p.startRunners()
	if err != nil {
		return err
	}
	addresses, err := freeAddresses(p.cfg.Site.VMs)
	if err != nil {
		return err
	}
	for i, a := range addresses {
		entries = append(entries, standin.Entry{ID: vmName(i), Kind: standin.KindEntry, Address: a, DataCentre: p.dataCentre(i)})
	}
	path := filepath.Join(p.dir, "list.json")
	if err := writeJSON(path, map[string]any{"vms": entries}); err != nil {
		return err
	}
	if p.list, err = p.start("list", "standin", "list", "-entries", path); err != nil {
		return err
	}
	for i, a := range addresses {
		if err := p.startVM(i, a, v.Policy); err != nil {
			return err
		}
	}
	return nil
}

func vmName(i int) string { return "vm-" + strconv.Itoa(i) }

// dataCentre spreads machines evenly.
func (p *processes) dataCentre(i int) cs.DataCentreID {
	return cs.DataCentreID(p.cfg.Site.DataCentres[i%len(p.cfg.Site.DataCentres)])
}

// startRunners starts the runners and services and returns their entries.
func (p *processes) startRunners() ([]standin.Entry, error) {
	var entries []standin.Entry
	for i := range p.cfg.Site.Runners {
		name := "runner-" + strconv.Itoa(i)
		journal := filepath.Join(p.dir, name+".journal")
		x, err := p.start(name, "standin", "runner", "-slots", strconv.Itoa(int(slots)), "-loaded", model+"/"+version,
			"-step-base", stepBase.String(), "-step-per-request", stepEach.String(),
			"-prefill-rate", strconv.Itoa(int(prefillRate)), "-journal", journal)
		if err != nil {
			return nil, err
		}
		x.journal = journal
		p.runners = append(p.runners, x)
		entries = append(entries, standin.Entry{
			ID: name, Kind: standin.KindRunner, Service: group, Address: x.address, DataCentre: p.dataCentre(i), Slots: slots,
		})
	}
	for i := range p.cfg.Site.Services {
		name := "records-" + strconv.Itoa(i)
		x, err := p.start(name, "standin", "service", "-service", "records-app")
		if err != nil {
			return nil, err
		}
		entries = append(entries, standin.Entry{
			ID: name, Kind: standin.KindService, Service: "records-app", Address: x.address, DataCentre: p.dataCentre(i), Slots: slots,
		})
	}
	return entries, nil
}

// startVM starts a daemon.
func (p *processes) startVM(i int, a cs.Address, policy fleet.Policy) error {
	path := filepath.Join(p.dir, vmName(i)+".json")
	err := writeJSON(path, map[string]any{
		"vm": map[string]any{"id": vmName(i), "dataCentre": p.dataCentre(i)}, "listen": a,
		"log": map[string]any{"address": p.log.address}, "list": map[string]any{"address": p.list.address},
		"control": map[string]any{"weight": p.cfg.Weight, "policy": map[string]any{
			"roundRobin": policy.RoundRobin, "noClasses": policy.NoClasses,
		}},
	})
	if err != nil {
		return err
	}
	x, err := p.start(vmName(i), "crocusstiled", "-settings", path)
	if err != nil {
		return err
	}
	p.vms = append(p.vms, x)
	return nil
}

// slowDown makes one runner in six slow.
func (p *processes) slowDown(factor float64) error {
	for i, r := range p.runners {
		if i%6 != 0 {
			continue
		}
		if err := send(r.address, "/standin/faults", map[string]any{"stepFactor": factor}, nil); err != nil {
			return err
		}
	}
	return nil
}

// signalHalf sends a signal to every second runner.
func (p *processes) signalHalf(s syscall.Signal) {
	for i, r := range p.runners {
		if i%2 == 0 {
			_ = r.cmd.Process.Signal(s)
		}
	}
}

// waitReady waits until all daemons are ready.
func (p *processes) waitReady() error {
	for _, v := range p.vms {
		ready := false
		for range 200 {
			if get(v.address, "/readyz", nil) == nil {
				ready = true
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if !ready {
			return errors.Newf("%s is not ready after 10 s", v.address)
		}
	}
	return nil
}

// processorTime returns the time that the daemons have used so far.
func (p *processes) processorTime() (time.Duration, error) {
	var sum time.Duration
	for _, v := range p.vms {
		d, err := ProcessorTime(v.cmd.Process.Pid)
		if err != nil {
			return 0, err
		}
		sum += d
	}
	return sum, nil
}

// clockTick is the unit of processor time in /proc, 100 a second on Linux.
const clockTick = 10 * time.Millisecond

// ProcessorTime returns the time that a process has used so far, to 10 ms.
func ProcessorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var ticks time.Duration
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += time.Duration(n)
	}
	return ticks * clockTick, nil
}

// freeAddresses returns addresses that nobody listens on.
func freeAddresses(n int) ([]cs.Address, error) {
	var list []cs.Address
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		list = append(list, cs.Address(ln.Addr().String()))
	}
	return list, nil
}

func writeJSON(path string, v any) error {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, body, 0o600)
}
