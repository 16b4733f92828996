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
	"strings"
	"sync"
	"syscall"
	"time"
)

// The names of the service, the routes and the host of all scripts.
const (
	host         = "ficu95.example"
	engines      = "huvo11a"
	streamPrefix = "/lohu930/"
	oncePrefix   = "/pufi791/"
	batchPrefix  = "/pule252/"
)

// platform is the stand-in of the platform: the store, the runners, and the machines with the project's processes.
type platform struct {
	dir     string
	store   *store
	address string
	vms     []*vm
	record  *record
	// tenants are those of the config, or nil.
	tenants []map[string]any
	// hasRootRoute adds a route with the prefix "/" to the config.
	hasRootRoute bool
}

// record writes the lines of record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

func newPlatform(dir string, r *record) (*platform, error) {
	p := &platform{dir: dir, store: newStore(), record: r}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = l.Addr().String()
	go func() { _ = http.Serve(l, p.store) }()
	return p, nil
}

// configure writes the operator's configuration.
func (p *platform) configure(version, maxTokens int) {
	routes := defaultRoutes(maxTokens)
	if p.hasRootRoute {
		routes = append(routes, map[string]any{
			"name": "r-all", "host": host, "path_prefix": "/", "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 300,
			"priority": 0, "service": engines, "max_attempts": 2, "session_affinity": true, "resumable": true, "gap_target_ms": 400,
		})
	}
	config := map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": engines, "health_path": "/health", "max_conns": 498, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 8, "kv_cache_tokens": 147261, "models": []map[string]string{{"name": "m"}}},
		}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if p.tenants != nil {
		config["tenants"] = p.tenants
	}
	value, _ := json.Marshal(config)
	p.store.put("keyed.op", "config", value)
	p.record.add("operator writes version %d of the config", version)
}

func defaultRoutes(maxTokens int) []map[string]any {
	return []map[string]any{
		{
			"name": "r-once", "host": host, "path_prefix": oncePrefix, "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 300,
			"priority": 0, "service": engines, "max_attempts": 1, "session_affinity": true, "resumable": false, "gap_target_ms": 400,
		},
		{
			"name": "r-stream", "host": host, "path_prefix": streamPrefix, "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 300,
			"priority": 0, "service": engines, "max_attempts": 2, "session_affinity": true, "resumable": true, "gap_target_ms": 400,
		},
		{
			"name": "r-batch", "host": host, "path_prefix": batchPrefix, "kind": "batch", "timeout_ms": 15000, "target_latency_ms": 500,
			"completion_target_ms": 18000, "priority": 2, "service": engines, "max_attempts": 3, "max_count": maxTokens, "retention_s": 60,
			"session_affinity": true, "resumable": true,
		},
	}
}

// vm is a machine that runs one process of the project.
type vm struct {
	name, zone, callers, ready string
	settings                   string
	memoryMB                   int
	mu                         sync.Mutex
	cmd                        *exec.Cmd
	ended                      chan struct{}
	stopped                    bool
	kills                      int
	// disturbedAt is when the process was last started or got a signal.
	disturbedAt time.Time
}

// ports returns n free ports on an address.
func ports(ip string, n int) ([]int, error) {
	var free []int
	for range n {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		free = append(free, l.Addr().(*net.TCPAddr).Port)
	}
	return free, nil
}

// addVM writes the settings file of a machine in the form of deploy/settings.json, and starts its process. All machines use the
// same ports on different loopback addresses.
func (p *platform) addVM(name, zone string, memoryMB int, free []int) error {
	ip := "127.0.1." + strconv.Itoa(len(p.vms)+1)
	v := &vm{
		name: name, zone: zone, callers: fmt.Sprintf("%s:%d", ip, free[0]), ready: fmt.Sprintf("%s:%d", ip, free[1]), memoryMB: memoryMB,
		settings: filepath.Join(p.dir, name+".json"),
	}
	settings := map[string]any{
		"vm": name, "dataCentre": zone, "ip": ip,
		"listen":         map[string]any{"callers": v.callers, "ready": v.ready, "peerPort": free[2], "metricsPort": free[3]},
		"store":          map[string]any{"address": p.address, "partitions": 8, "maxRecord": maxRecord, "maxAppend": maxCallBytes, "minGroup": "1000ms"},
		"grace":          "8s",
		"resultLife":     "120s",
		"maxDescriptors": 8200, "memoryMB": memoryMB,
	}
	if p.tenants != nil {
		settings["strictRevoke"], settings["revoke"] = true, "5000ms"
		settings["quota"] = map[string]any{"window": "5s", "overshoot": 0.1, "slack": 20}
	}
	data, _ := json.MarshalIndent(settings, "", "  ")
	if err := os.WriteFile(v.settings, data, 0o600); err != nil {
		return err
	}
	p.vms = append(p.vms, v)
	return v.start(p)
}

// start starts the process with the command of deploy/system.toml.
func (v *vm) start(p *platform) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	logFile, err := os.OpenFile(filepath.Join(p.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/crocusstile-entryd")
	cmd.Env = append(os.Environ(), "CROCUSSTILE_NODE_FILE="+v.settings)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.cmd, v.ended, v.disturbedAt = cmd, ended, time.Now()
	p.record.add("%s: process %d starts", v.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		p.record.add("%s: process %d has ended: %v", v.name, cmd.Process.Pid, err)
		close(ended)
		time.Sleep(500 * time.Millisecond) // a process that ends is started again after a short delay
		v.mu.Lock()
		again := !v.stopped
		v.mu.Unlock()
		if again {
			_ = v.start(p)
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disturbedAt = time.Now()
	_ = v.cmd.Process.Signal(s)
}

// stopAll ends all processes.
func (p *platform) stopAll() {
	for _, v := range p.vms {
		v.mu.Lock()
		v.stopped = true
		_ = v.cmd.Process.Kill()
		ended := v.ended
		v.mu.Unlock()
		<-ended
	}
}

// rss returns the resident memory of the process in MB, without pages of files.
func (v *vm) rss() int {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// enforceMemory kills each process that exceeds the memory of its machine, as DEPLOY.md says, until done is closed: "Bytes that have been
// received and not yet read count toward this limit."
func (p *platform) enforceMemory(done <-chan struct{}) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		for _, v := range p.vms {
			anonymous, queued := v.rss(), unread(v.callers)
			if mb := anonymous + queued; mb > v.memoryMB {
				v.mu.Lock()
				v.kills++
				n, ended := v.kills, v.ended
				_ = v.cmd.Process.Kill()
				v.mu.Unlock()
				p.record.add("%s: %d MB of memory and %d MB received and not read are over the %d MB of the machine, kill %d", v.name, anonymous, queued, v.memoryMB, n)
				<-ended
			}
		}
	}
}

// isReady asks a machine whether it is ready.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all machines are ready and reports whether they are.
func (p *platform) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range p.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(p.vms) {
			return true
		}
	}
	return false
}
