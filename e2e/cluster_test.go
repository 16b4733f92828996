package e2e

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/standin"
)

// The model and the service that the tests use.
const (
	model          = "tutor-7b"
	version        = "v1"
	engineService  = "tutor-models"
	recordsService = "records-app"
	markMethod     = "registerMark"
)

// clusterConfig configures a test cluster.
type clusterConfig struct {
	dataCentres  []string
	vms, runners int // in each data centre
	// defaultSettings keeps the default timeouts and intervals; otherwise shorter ones speed up the test.
	defaultSettings bool
	// control overrides fields of the control object in the daemons' settings.
	control map[string]any
	// slots is the number of slots in a runner's registration; 0 stands for 8.
	slots cs.Slots
	// runnerArgs, logArgs and listArgs are added to the command lines of these stand-ins.
	runnerArgs, logArgs, listArgs []string
	// recordsArgs are added to the command line of the records service.
	recordsArgs []string
}

// cluster is a set of data centres with their processes and the log that they share.
type cluster struct {
	t   *testing.T
	cfg clusterConfig
	dir string
	log *process
	dcs []*dataCentre
}

// dataCentre holds the processes of a data centre and the proxies for its traffic to the log and to
// other data centres.
type dataCentre struct {
	name     string
	list     *process
	logProxy *proxy
	vms      []*vm
	runners  []*backend
	records  *backend
	// remoteProxies holds the proxies to processes in other data centres by the target's address.
	remoteProxies map[cs.Address]*proxy
}

// vm is an entry VM. Its process may be replaced by a new one with the same id and address.
type vm struct {
	*process
	id         string
	address    cs.Address
	dc         *dataCentre
	startCount int
}

// backend is a runner or a service. Its process may be replaced by a new one with the same id and
// address.
type backend struct {
	*process
	id        string
	address   cs.Address
	journal   string
	args      []string
	isService bool
}

// proxy is a fault-injecting proxy that runs in the test process.
type proxy struct {
	*standin.Proxy
	address cs.Address
}

func newProxy(t *testing.T, target cs.Address) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{standin.NewProxy(standin.ProxyConfig{Target: target, Listener: ln}), cs.Address(ln.Addr().String())}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = p.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p
}

func (p *proxy) set(m standin.ProxyMode) { p.SetMode(context.Background(), m) }

// hostCount is the number of loopback addresses given out.
var hostCount atomic.Uint32

// uniqueAddress returns a loopback address with an IP address that no other process of this test run
// uses. The port is below the ephemeral range, so that no outgoing connection takes it and a restarted
// process can listen on it again.
func uniqueAddress() cs.Address {
	n := hostCount.Add(1)
	return cs.Address(fmt.Sprintf("127.%d.%d.%d:7000", 64+os.Getpid()%64, n>>8, n&255))
}

// newCluster starts a cluster and waits until all its VMs are ready and connected to each other.
func newCluster(t *testing.T, config clusterConfig) *cluster {
	t.Helper()
	cl := &cluster{t: t, cfg: config, dir: t.TempDir()}
	if *logsFlag != "" {
		cl.dir = filepath.Join(*logsFlag, t.Name())
		// Processes append to journals, so that those of an earlier run would count for this one.
		if err := errors.Join(os.RemoveAll(cl.dir), os.MkdirAll(cl.dir, 0o700)); err != nil {
			t.Fatal(err)
		}
	}
	cl.log = startProcess(t, cl.dir, "log", "standin", append([]string{"log"}, config.logArgs...)...)
	for _, name := range config.dataCentres {
		cl.dcs = append(cl.dcs, cl.newDataCentre(name))
	}
	for _, dc := range cl.dcs {
		cl.startList(dc)
	}
	for _, dc := range cl.dcs {
		for _, v := range dc.vms {
			cl.startVM(v)
		}
	}
	cl.waitReady()
	return cl
}

// newDataCentre starts the runners and the service of a data centre and assigns the addresses of its
// VMs, which start later because the list must name all of them.
func (cl *cluster) newDataCentre(name string) *dataCentre {
	dc := &dataCentre{name: name, logProxy: newProxy(cl.t, cl.log.address), remoteProxies: map[cs.Address]*proxy{}}
	for i := range cl.cfg.vms {
		dc.vms = append(dc.vms, &vm{id: fmt.Sprintf("%s-vm%d", name, i), address: uniqueAddress(), dc: dc})
	}
	for i := range cl.cfg.runners {
		id := fmt.Sprintf("%s-r%d", name, i)
		journal := filepath.Join(cl.dir, id+".journal")
		b := &backend{id: id, address: uniqueAddress(), journal: journal}
		b.args = append([]string{"runner", "-listen", string(b.address), "-loaded", model + "/" + version, "-journal", journal}, cl.cfg.runnerArgs...)
		dc.runners = append(dc.runners, b)
		cl.startBackend(b)
	}
	journal := filepath.Join(cl.dir, name+"-records.journal")
	b := &backend{id: name + "-records", address: uniqueAddress(), journal: journal, isService: true}
	b.args = append([]string{"service", "-listen", string(b.address), "-service", recordsService, "-journal", journal}, cl.cfg.recordsArgs...)
	dc.records = b
	cl.startBackend(b)
	return dc
}

func (cl *cluster) startBackend(b *backend) {
	b.process = startProcess(cl.t, cl.dir, b.id, "standin", b.args...)
}

// registrations returns the list that a data centre is given, in which processes of other data
// centres have the addresses of proxies.
func (cl *cluster) registrations(viewer *dataCentre) []standin.Registration {
	var list []standin.Registration
	for _, dc := range cl.dcs {
		addressFor := func(a cs.Address) cs.Address {
			if dc == viewer {
				return a
			}
			if viewer.remoteProxies[a] == nil {
				viewer.remoteProxies[a] = newProxy(cl.t, a)
			}
			return viewer.remoteProxies[a].address
		}
		id := cs.DataCentreID(dc.name)
		for _, v := range dc.vms {
			list = append(list, standin.Registration{ID: v.id, Kind: standin.KindEntry, Address: addressFor(v.address), DataCentre: id})
		}
		for _, r := range dc.runners {
			list = append(list, standin.Registration{ID: r.id, Kind: standin.KindRunner, Service: engineService, Address: addressFor(r.address), DataCentre: id, Slots: cmp.Or(cl.cfg.slots, 8)})
		}
		list = append(list, standin.Registration{ID: dc.records.id, Kind: standin.KindService, Service: recordsService, Address: addressFor(dc.records.address), DataCentre: id, Slots: 8})
	}
	return list
}

func (cl *cluster) startList(dc *dataCentre) {
	path := filepath.Join(cl.dir, dc.name+"-list.json")
	cl.writeJSON(path, map[string]any{"vms": cl.registrations(dc)})
	dc.list = startProcess(cl.t, cl.dir, dc.name+"-list", "standin", append([]string{"list", "-entries", path}, cl.cfg.listArgs...)...)
}

// startVM starts the process of a VM, or a new one that replaces it.
func (cl *cluster) startVM(v *vm) {
	cl.t.Helper()
	control, poll := map[string]any{
		"shards": 8, "lease": "3s", "renewal": "1s", "peerTimeout": "1500ms", "drainWait": "300ms",
	}, "300ms"
	if cl.cfg.defaultSettings {
		control, poll = map[string]any{"shards": 8}, "1s"
	}
	if *policyFlag != "" {
		control["policy"] = json.RawMessage(*policyFlag)
	}
	for k, x := range cl.cfg.control {
		control[k] = x
	}
	path := filepath.Join(cl.dir, v.id+".json")
	cl.writeJSON(path, map[string]any{
		"vm": map[string]any{"id": v.id, "dataCentre": v.dc.name}, "listen": v.address,
		"log": map[string]any{"address": v.dc.logProxy.address}, "list": map[string]any{"address": v.dc.list.address, "poll": poll},
		"control": control,
	})
	v.startCount++
	v.process = startProcess(cl.t, cl.dir, v.id+"-"+strconv.Itoa(v.startCount), "crocusstiled", "-settings", path)
}

func (cl *cluster) writeJSON(path string, v any) {
	cl.t.Helper()
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		cl.t.Fatal(err)
	}
	if err := os.WriteFile(path, body, 0o600); err != nil {
		cl.t.Fatal(err)
	}
}

// vms returns the VMs of all data centres.
func (cl *cluster) vms() []*vm {
	var list []*vm
	for _, dc := range cl.dcs {
		list = append(list, dc.vms...)
	}
	return list
}

// backends returns the runners and services of all data centres.
func (cl *cluster) backends() []*backend {
	var list []*backend
	for _, dc := range cl.dcs {
		list = append(append(list, dc.runners...), dc.records)
	}
	return list
}

// setPartitioned starts or ends a network partition between a data centre and all others. It affects
// neither the traffic to the log nor calls from other data centres to this one's records service.
func (cl *cluster) setPartitioned(dc *dataCentre, partitioned bool) {
	var mode standin.ProxyMode = standin.Pass{}
	if partitioned {
		mode = standin.Cut{}
	}
	ownAddresses := map[cs.Address]bool{}
	for _, v := range dc.vms {
		ownAddresses[v.address] = true
	}
	for _, r := range dc.runners {
		ownAddresses[r.address] = true
	}
	for _, other := range cl.dcs {
		for target, p := range other.remoteProxies {
			if other == dc || ownAddresses[target] {
				p.set(mode)
			}
		}
	}
}

// waitReady waits until each VM is ready and reports all VMs as live.
func (cl *cluster) waitReady() {
	cl.t.Helper()
	want := len(cl.vms())
	cl.eventually(20*time.Second, "all VMs ready and connected", func() bool {
		for _, v := range cl.vms() {
			var list []struct {
				Live bool `json:"live"`
			}
			if getJSON(v.address, "/readyz", nil) != nil || getJSON(v.address, "/v1/vms", &list) != nil {
				return false
			}
			live := 0
			for _, x := range list {
				if x.Live {
					live++
				}
			}
			if live != want {
				return false
			}
		}
		return true
	})
}

// eventually waits until cond holds and returns how long that took; it fails the test at the timeout.
func (cl *cluster) eventually(timeout time.Duration, description string, cond func() bool) time.Duration {
	cl.t.Helper()
	began := time.Now()
	for time.Since(began) < timeout {
		if cond() {
			return time.Since(began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	cl.t.Fatalf("condition not met within %v: %s", timeout, description)
	return 0
}

// logState logs what each VM reports about runners and jobs.
func (cl *cluster) logState() {
	cl.t.Helper()
	for _, v := range cl.vms() {
		for _, path := range []string{"/v1/runners", "/v1/jobs"} {
			var text json.RawMessage
			err := getJSON(v.address, path, &text)
			cl.t.Logf("%s %s: %s %v", v.id, path, text, err)
		}
	}
}
