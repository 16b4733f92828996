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

// What all sites serve.
const (
	model    = "tutor-7b"
	version  = "v1"
	engines  = "tutor-models"
	recordsS = "records-app"
	markCall = "registerMark"
)

// siteConfig describes a site.
type siteConfig struct {
	dataCentres  []string
	vms, runners int // for each data centre
	// defaults keeps the default settings instead of the shorter times that suit tests.
	defaults bool
	// control overrides fields of the settings' control object.
	control map[string]any
	// slots is the number of slots that the list shows for a runner; 0 stands for 8.
	slots cs.Slots
	// runnerArgs, logArgs and listArgs are added to the stand-ins' arguments.
	runnerArgs, logArgs, listArgs []string
	// recordsArgs are added to those of the plain service.
	recordsArgs []string
}

// site is a set of data centres with their processes, and the log that they share.
type site struct {
	t   *testing.T
	cfg siteConfig
	dir string
	log *process
	dcs []*dataCentre
}

// dataCentre is one data centre: its processes, and the proxies through which it reaches the rest.
type dataCentre struct {
	name    string
	list    *process
	toLog   *proxy
	vms     []*vm
	runners []*backend
	records *backend
	// remote are the proxies to VMs and runners of other data centres, by the target's address.
	remote map[cs.Address]*proxy
}

// vm is an entry VM; its process may be replaced.
type vm struct {
	*process
	id      string
	address cs.Address
	dc      *dataCentre
	starts  int
}

// backend is a runner or a plain service; its process may be replaced.
type backend struct {
	*process
	id      string
	address cs.Address
	journal string
	args    []string
	service bool
}

// proxy is a fault-injecting proxy in the test's process.
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

// hosts counts the loopback addresses handed out.
var hosts atomic.Uint32

// freeAddress returns an address that no other process of this run has: an IP number of its own, on
// a port below those that the system gives to clients. A restarted process can listen on it again.
func freeAddress() cs.Address {
	n := hosts.Add(1)
	return cs.Address(fmt.Sprintf("127.%d.%d.%d:7000", 64+os.Getpid()%64, n>>8, n&255))
}

// newSite starts a site and waits until all its VMs are ready and linked.
func newSite(t *testing.T, c siteConfig) *site {
	t.Helper()
	s := &site{t: t, cfg: c, dir: t.TempDir()}
	if *keepLogs != "" {
		s.dir = filepath.Join(*keepLogs, t.Name())
		// Journals of an earlier run would be taken for those of this one.
		if err := errors.Join(os.RemoveAll(s.dir), os.MkdirAll(s.dir, 0o700)); err != nil {
			t.Fatal(err)
		}
	}
	s.log = startProcess(t, s.dir, "log", "standin", append([]string{"log"}, c.logArgs...)...)
	for _, name := range c.dataCentres {
		s.dcs = append(s.dcs, s.newDataCentre(name))
	}
	for _, dc := range s.dcs {
		s.startList(dc)
	}
	for _, dc := range s.dcs {
		for _, v := range dc.vms {
			s.startVM(v)
		}
	}
	s.waitReady()
	return s
}

// newDataCentre starts the back ends of a data centre and plans its VMs.
func (s *site) newDataCentre(name string) *dataCentre {
	dc := &dataCentre{name: name, toLog: newProxy(s.t, s.log.address), remote: map[cs.Address]*proxy{}}
	for i := range s.cfg.vms {
		dc.vms = append(dc.vms, &vm{id: fmt.Sprintf("%s-vm%d", name, i), address: freeAddress(), dc: dc})
	}
	for i := range s.cfg.runners {
		id := fmt.Sprintf("%s-r%d", name, i)
		journal := filepath.Join(s.dir, id+".journal")
		b := &backend{id: id, address: freeAddress(), journal: journal}
		b.args = append([]string{"runner", "-listen", string(b.address), "-loaded", model + "/" + version, "-journal", journal}, s.cfg.runnerArgs...)
		dc.runners = append(dc.runners, b)
		s.startBackend(b)
	}
	journal := filepath.Join(s.dir, name+"-records.journal")
	b := &backend{id: name + "-records", address: freeAddress(), journal: journal, service: true}
	b.args = append([]string{"service", "-listen", string(b.address), "-service", recordsS, "-journal", journal}, s.cfg.recordsArgs...)
	dc.records = b
	s.startBackend(b)
	return dc
}

func (s *site) startBackend(b *backend) {
	b.process = startProcess(s.t, s.dir, b.id, "standin", b.args...)
}

// entries returns the list as a data centre sees it: the rest is behind proxies.
func (s *site) entries(seer *dataCentre) []standin.Registration {
	var list []standin.Registration
	for _, dc := range s.dcs {
		at := func(a cs.Address) cs.Address {
			if dc == seer {
				return a
			}
			if seer.remote[a] == nil {
				seer.remote[a] = newProxy(s.t, a)
			}
			return seer.remote[a].address
		}
		id := cs.DataCentreID(dc.name)
		for _, v := range dc.vms {
			list = append(list, standin.Registration{ID: v.id, Kind: standin.KindEntry, Address: at(v.address), DataCentre: id})
		}
		for _, r := range dc.runners {
			list = append(list, standin.Registration{ID: r.id, Kind: standin.KindRunner, Service: engines, Address: at(r.address), DataCentre: id, Slots: cmp.Or(s.cfg.slots, 8)})
		}
		list = append(list, standin.Registration{ID: dc.records.id, Kind: standin.KindService, Service: recordsS, Address: at(dc.records.address), DataCentre: id, Slots: 8})
	}
	return list
}

func (s *site) startList(dc *dataCentre) {
	path := filepath.Join(s.dir, dc.name+"-list.json")
	s.writeJSON(path, map[string]any{"vms": s.entries(dc)})
	dc.list = startProcess(s.t, s.dir, dc.name+"-list", "standin", append([]string{"list", "-entries", path}, s.cfg.listArgs...)...)
}

// startVM starts a VM's process, or a replacement of it.
func (s *site) startVM(v *vm) {
	s.t.Helper()
	control, poll := map[string]any{
		"shards": 8, "lease": "3s", "renewal": "1s", "peerTimeout": "1500ms", "drainWait": "300ms",
	}, "300ms"
	if s.cfg.defaults {
		control, poll = map[string]any{"shards": 8}, "1s"
	}
	if *policyFlag != "" {
		control["policy"] = json.RawMessage(*policyFlag)
	}
	for k, x := range s.cfg.control {
		control[k] = x
	}
	path := filepath.Join(s.dir, v.id+".json")
	s.writeJSON(path, map[string]any{
		"vm": map[string]any{"id": v.id, "dataCentre": v.dc.name}, "listen": v.address,
		"log": map[string]any{"address": v.dc.toLog.address}, "list": map[string]any{"address": v.dc.list.address, "poll": poll},
		"control": control,
	})
	v.starts++
	v.process = startProcess(s.t, s.dir, v.id+"-"+strconv.Itoa(v.starts), "crocusstiled", "-settings", path)
}

func (s *site) writeJSON(path string, v any) {
	s.t.Helper()
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(path, body, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// vms returns all VMs.
func (s *site) vms() []*vm {
	var list []*vm
	for _, dc := range s.dcs {
		list = append(list, dc.vms...)
	}
	return list
}

// backends returns all runners and services.
func (s *site) backends() []*backend {
	var list []*backend
	for _, dc := range s.dcs {
		list = append(append(list, dc.runners...), dc.records)
	}
	return list
}

// cutOff cuts the traffic between a data centre and all others, and heals it again.
func (s *site) cutOff(dc *dataCentre, cut bool) {
	var mode standin.ProxyMode = standin.Pass{}
	if cut {
		mode = standin.Cut{}
	}
	own := map[cs.Address]bool{}
	for _, v := range dc.vms {
		own[v.address] = true
	}
	for _, r := range dc.runners {
		own[r.address] = true
	}
	for _, other := range s.dcs {
		for target, p := range other.remote {
			if other == dc || own[target] {
				p.set(mode)
			}
		}
	}
}

// waitReady waits until all VMs are ready and see all VMs as live.
func (s *site) waitReady() {
	s.t.Helper()
	want := len(s.vms())
	s.eventually(20*time.Second, "all VMs ready and linked", func() bool {
		for _, v := range s.vms() {
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

// eventually waits until cond holds.
func (s *site) eventually(limit time.Duration, what string, cond func() bool) time.Duration {
	s.t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		if cond() {
			return time.Since(began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.t.Fatalf("not within %v: %s", limit, what)
	return 0
}

// dump logs what the VMs know of runners and jobs.
func (s *site) dump() {
	s.t.Helper()
	for _, v := range s.vms() {
		for _, path := range []string{"/v1/runners", "/v1/jobs"} {
			var text json.RawMessage
			err := getJSON(v.address, path, &text)
			s.t.Logf("%s %s: %s %v", v.id, path, text, err)
		}
	}
}
