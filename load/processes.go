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

// The deployment that the runners serve.
const (
	model        = "tutor-7b"
	version      = "v1"
	modelService = "tutor-models"
)

// process is a started program.
type process struct {
	cmd     *exec.Cmd
	address cs.Address
	journal string
	done    chan struct{}
}

// cluster holds all programs of a variant.
type cluster struct {
	cfg     Config
	dir     string
	started []*process
	log     *process
	list    *process
	runners []*process
	vms     []*process
}

// start starts a program and waits until it prints its address.
func (c *cluster) start(name, program string, args ...string) (*process, error) {
	proc := &process{cmd: exec.Command(filepath.Join(c.cfg.BinDir, program), args...), done: make(chan struct{})}
	stderr, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = stderr.Close() }() // the program has its own descriptor
	proc.cmd.Stderr = stderr
	out, err := proc.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := proc.cmd.Start(); err != nil {
		return nil, err
	}
	c.started = append(c.started, proc)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if a, ok := strings.CutPrefix(lines.Text(), "listening on "); ok {
			proc.address = cs.Address(a)
			go func() {
				for lines.Scan() { //nolint:revive // keeps reading, so that a full pipe does not block the program
				}
				_ = proc.cmd.Wait()
				close(proc.done)
			}()
			return proc, nil
		}
	}
	return nil, errors.Newf("%s exited before it printed its address; see %s", name, stderr.Name())
}

// stop kills all programs and waits until they have exited.
func (c *cluster) stop() {
	for _, proc := range c.started {
		_ = proc.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, proc := range c.started {
		if proc.address != "" {
			<-proc.done
		}
	}
}

// startCluster starts all programs of a site, or none if one of them fails.
func startCluster(cfg Config, v Variant) (*cluster, error) {
	c := &cluster{cfg: cfg, dir: filepath.Join(cfg.Dir, strings.ReplaceAll(v.Name, " ", "-"))}
	if err := os.MkdirAll(c.dir, 0o700); err != nil {
		return nil, err
	}
	err := c.startProcesses(v)
	if err != nil {
		c.stop()
	}
	return c, err
}

// startProcesses starts the log, the runners, the list and the VMs. The addresses of the VMs are
// chosen before, because the list names them.
func (c *cluster) startProcesses(v Variant) error {
	var err error
	if c.log, err = c.start("log", "standin", "log"); err != nil {
		return err
	}
	registrations, err := c.startRunners()
	if err != nil {
		return err
	}
	addresses, err := freeAddresses(c.cfg.Site.VMs)
	if err != nil {
		return err
	}
	for i, a := range addresses {
		registrations = append(registrations, standin.Registration{ID: vmName(i), Kind: standin.KindEntry, Address: a, DataCentre: c.dataCentre(i)})
	}
	path := filepath.Join(c.dir, "list.json")
	if err := writeJSON(path, map[string]any{"vms": registrations}); err != nil {
		return err
	}
	if c.list, err = c.start("list", "standin", "list", "-entries", path); err != nil {
		return err
	}
	for i, a := range addresses {
		if err := c.startVM(i, a, v.Policy); err != nil {
			return err
		}
	}
	return nil
}

func vmName(i int) string { return "vm-" + strconv.Itoa(i) }

// dataCentre returns the data centre of the machine with index i, in rotation.
func (c *cluster) dataCentre(i int) cs.DataCentreID {
	return cs.DataCentreID(c.cfg.Site.DataCentres[i%len(c.cfg.Site.DataCentres)])
}

// startRunners starts the runners and services and returns their registrations.
func (c *cluster) startRunners() ([]standin.Registration, error) {
	var registrations []standin.Registration
	for i := range c.cfg.Site.Runners {
		name := "runner-" + strconv.Itoa(i)
		journal := filepath.Join(c.dir, name+".journal")
		proc, err := c.start(name, "standin", "runner", "-slots", strconv.Itoa(int(slotsPerRunner)), "-loaded", model+"/"+version,
			"-step-base", stepBase.String(), "-step-per-request", stepPerRequest.String(),
			"-prefill-rate", strconv.Itoa(int(prefillRate)), "-journal", journal)
		if err != nil {
			return nil, err
		}
		proc.journal = journal
		c.runners = append(c.runners, proc)
		registrations = append(registrations, standin.Registration{
			ID: name, Kind: standin.KindRunner, Service: modelService, Address: proc.address, DataCentre: c.dataCentre(i), Slots: slotsPerRunner,
		})
	}
	for i := range c.cfg.Site.Services {
		name := "records-" + strconv.Itoa(i)
		proc, err := c.start(name, "standin", "service", "-service", "records-app")
		if err != nil {
			return nil, err
		}
		registrations = append(registrations, standin.Registration{
			ID: name, Kind: standin.KindService, Service: "records-app", Address: proc.address, DataCentre: c.dataCentre(i), Slots: slotsPerRunner,
		})
	}
	return registrations, nil
}

// startVM writes the settings of a daemon and starts it.
func (c *cluster) startVM(i int, a cs.Address, policy fleet.Policy) error {
	path := filepath.Join(c.dir, vmName(i)+".json")
	err := writeJSON(path, map[string]any{
		"vm": map[string]any{"id": vmName(i), "dataCentre": c.dataCentre(i)}, "listen": a,
		"log": map[string]any{"address": c.log.address}, "list": map[string]any{"address": c.list.address},
		"control": map[string]any{"weight": c.cfg.Weight, "policy": map[string]any{
			"roundRobin": policy.RoundRobin, "noClasses": policy.NoClasses,
		}},
	})
	if err != nil {
		return err
	}
	proc, err := c.start(vmName(i), "crocusstiled", "-settings", path)
	if err != nil {
		return err
	}
	c.vms = append(c.vms, proc)
	return nil
}

// slowRunners multiplies the step time of one runner in six by a factor.
func (c *cluster) slowRunners(factor float64) error {
	for i, r := range c.runners {
		if i%6 != 0 {
			continue
		}
		if err := postJSON(r.address, "/standin/faults", map[string]any{"stepFactor": factor}, nil); err != nil {
			return err
		}
	}
	return nil
}

// signalHalfOfRunners sends a signal to every second runner.
func (c *cluster) signalHalfOfRunners(s syscall.Signal) {
	for i, r := range c.runners {
		if i%2 == 0 {
			_ = r.cmd.Process.Signal(s)
		}
	}
}

// waitReady waits until all daemons are ready.
func (c *cluster) waitReady() error {
	for _, v := range c.vms {
		ready := false
		for range 200 {
			if getJSON(v.address, "/readyz", nil) == nil {
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

// cpuTime returns the CPU time that all daemons together have used so far.
func (c *cluster) cpuTime() (time.Duration, error) {
	var sum time.Duration
	for _, v := range c.vms {
		d, err := CPUTime(v.cmd.Process.Pid)
		if err != nil {
			return 0, err
		}
		sum += d
	}
	return sum, nil
}

// clockTick is the unit of CPU time in /proc, which is 1/100 s on Linux.
const clockTick = 10 * time.Millisecond

// CPUTime returns the CPU time that a process has used so far, with a resolution of 10 ms.
func CPUTime(pid int) (time.Duration, error) {
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

// freeAddresses returns n loopback addresses with free ports.
func freeAddresses(n int) ([]cs.Address, error) {
	var addresses []cs.Address
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		addresses = append(addresses, cs.Address(ln.Addr().String()))
	}
	return addresses, nil
}

func writeJSON(path string, v any) error {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, body, 0o600)
}
