package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// rig is a small deployment: a stand-in of the store in this process, and entry VMs and runners in processes of their own.
type rig struct {
	trouble bool
	dir     string
	store   *platformStore
	// storeAddress is where the store listens.
	storeAddress string

	mu      sync.Mutex
	record  *os.File
	started []*exec.Cmd
}

// timeLimit bounds a driver.
const timeLimit = 110 * time.Second

// drive runs a driver and ends all processes that it has started.
func drive(run func(*rig) (bool, error)) int {
	r, err := newRig()
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-rig2:", err)
		return exitNotRun
	}
	defer r.close()
	timer := time.AfterFunc(timeLimit, func() {
		r.note("the case took too long")
		r.close()
		os.Exit(exitNotRun)
	})
	defer timer.Stop()
	broken, err := run(r)
	switch {
	case err != nil:
		r.note("not run: %v", err)
		return exitNotRun
	case broken:
		r.note("result: the rule was broken")
		return exitBroken
	default:
		r.note("result: the rule held")
		return exitHeld
	}
}

// newRig starts the store. RECORD names the file for what is observed; TROUBLE=0 leaves out the disruption.
func newRig() (*rig, error) {
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &rig{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, store: newPlatformStore(), storeAddress: l.Addr().String(), record: record,
	}
	server := http.Server{Handler: r.store, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }() // ends with the process
	r.note("disruption: %t", r.trouble)
	return r, nil
}

// close ends the processes.
func (r *rig) close() {
	r.mu.Lock()
	started := r.started
	r.started = nil
	r.mu.Unlock()
	for _, c := range started {
		_ = c.Process.Kill() // fails only if it has ended
	}
	for _, c := range started {
		_ = c.Wait() // fails if it was waited for before
	}
	_ = os.RemoveAll(r.dir)
}

// timeFormat is that of the times in the record.
const timeFormat = "15:04:05.000"

func timestamp() string { return time.Now().UTC().Format(timeFormat) }

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, timestamp()+" "+format+"\n", args...)
}

// start starts a process whose output goes to the record, or to nowhere.
func (r *rig) start(recorded bool, env []string, name string, args ...string) (*exec.Cmd, error) {
	c := exec.Command(name, args...)
	c.Env = append(os.Environ(), env...)
	if recorded {
		c.Stdout, c.Stderr = r.record, r.record
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.started = append(r.started, c)
	r.mu.Unlock()
	return c, nil
}

// freeAddress returns an address on which nothing listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// entryVM is an entry VM in a process of its own.
type entryVM struct {
	name, settings  string
	process         *exec.Cmd
	callers, checks string
	// ends counts the ends of the process since it exceeded its memory, and peakMB is its largest resident size.
	ends, peakMB int
}

// launch starts the process with the command of the deploy file.
func (r *rig) launch(v *entryVM) error {
	var err error
	v.process, err = r.start(false, []string{"CROCUSSTILE_NODE_FILE=" + v.settings}, "target/crocusstile-entryd")
	return err
}

// startEntry starts an entry VM with the command of the deploy file and waits until it is ready.
func (r *rig) startEntry(name string) (*entryVM, error) {
	var addresses [4]string
	var ports [4]int
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		addresses[i] = address
		if ports[i], err = strconv.Atoi(port); err != nil {
			return nil, err
		}
	}
	settings, err := json.Marshal(map[string]any{
		"vm": name, "dataCentre": "mitte-a", "ip": "127.0.0.1",
		"listen": map[string]any{"callers": addresses[0], "ready": addresses[1], "peerPort": ports[2], "metricsPort": ports[3]},
		"store": map[string]any{
			"address": r.storeAddress, "partitions": 8, "maxRecord": 262144, "maxAppend": 2097152, "minGroup": "1000ms",
		},
		"grace": "8s", "resultLife": "120s", "maxDescriptors": 8200, "memoryMB": memoryMB,
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(r.dir, name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return nil, err
	}
	v := &entryVM{name: name, settings: file, callers: addresses[0], checks: addresses[1]}
	if err := r.launch(v); err != nil {
		return nil, err
	}
	return v, waitUntil(10*time.Second, "entry VM "+name+" is ready", func() bool { return statusOf("http://"+v.checks+"/ready") == http.StatusOK })
}

// startRunner starts a runner, waits until it listens and registers it in the store.
func (r *rig) startRunner(id string, args ...string) (*exec.Cmd, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	c, err := r.start(true, nil, "target/review-rig2", append([]string{"runner", "-listen", address, "-id", id}, args...)...)
	if err != nil {
		return nil, err
	}
	if err := waitUntil(5*time.Second, "runner "+id+" listens", func() bool {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			return false
		}
		return conn.Close() == nil
	}); err != nil {
		return nil, err
	}
	entry, err := json.Marshal(map[string]any{
		"service": "lese-modelle", "address": address, "zone": "mitte-a", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq_no": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return nil, err
	}
	r.store.Put("keyed.servers", id, entry)
	return c, nil
}

// kill ends a process with SIGKILL.
func kill(c *exec.Cmd) error { return c.Process.Signal(syscall.SIGKILL) }

// statusOf returns the status of a GET request, or 0.
func statusOf(url string) int {
	resp, err := http.Get(url) //nolint:gosec // an address of this rig
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// waitUntil waits for a condition.
func waitUntil(limit time.Duration, what string, condition func() bool) error {
	for begin := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > limit {
			return fmt.Errorf("in %s not so: %s", limit, what)
		}
	}
	return nil
}
