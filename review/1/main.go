// Command 1 is a case of the review: after the loss of the only VM of a zone, the items of batch jobs are not sent to the runners
// of that zone any more.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/crocusstile/crocusstile/review/stage"
)

const (
	host = "digest.example"
	// contact and finish are bounds of the deployment: contact_ms and finish_s.
	contact = 3 * time.Second
	finish  = 18 * time.Second
	// submitTimeout is how long a client waits for the answer to a submission.
	submitTimeout = 4 * time.Second
	jobs          = 6
	items         = 4
	itemBytes     = 15000
	itemEvents    = 40
)

func config() []byte {
	c, _ := json.Marshal(map[string]any{ // cannot fail
		"version": 3,
		"routes": []any{map[string]any{
			"name": "record", "host": host, "path_prefix": "/record/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 2, "service": "records", "max_attempts": 3,
		}, map[string]any{
			"name": "digest", "host": host, "path_prefix": "/digest/", "kind": "batch", "timeout_ms": 15000, "target_latency_ms": 500,
			"gap_target_ms": 400, "priority": 2, "service": "models", "max_attempts": 3, "resumable": true,
			"completion_target_ms": 18000, "retention_s": 60, "max_count": 2300000,
		}},
		"services": []any{
			map[string]any{"name": "models", "health_path": "/health", "max_conns": 498, "engine": map[string]any{"kv_cache_tokens": 147261}},
			map[string]any{"name": "records", "health_path": "/health", "max_conns": 208},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	return c
}

func main() { stage.Main(run) }

func run(s *stage.Stage) (int, error) {
	s.Store.Put("keyed.op", "config", config())
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		if _, err := s.AddRunner(id, "models", "mitte-b", 10*time.Millisecond); err != nil {
			return 0, err
		}
	}
	if _, err := s.AddRunner("i-4", "records", "mitte-a", 10*time.Millisecond); err != nil {
		return 0, err
	}
	vms, err := startVMs(s)
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second) // the VMs divide the partitions
	if accepted := submit(s, vms[0], "before", 1); len(accepted) == 0 || len(waitForResults(s, vms[0], accepted, 5*time.Second)) > 0 {
		return 0, fmt.Errorf("the job before the disruption is not done")
	}
	if s.Trouble {
		s.Logf("%s is removed for good", vms[2].Name)
		if err := vms[2].Signal(syscall.SIGKILL); err != nil {
			return 0, err
		}
	}
	time.Sleep(contact)
	accepted := submit(s, vms[0], "after", jobs)
	if len(accepted) == 0 {
		return 0, fmt.Errorf("no job was accepted")
	}
	unlisted := waitForResults(s, vms[0], accepted, finish)
	if lost := s.Lost(unlisted); len(lost) > 0 {
		s.Logf("LOST: %.0f s after the last submission %d items of accepted jobs are not listed, %d of them without an excuse", finish.Seconds(), len(unlisted), len(lost))
		return stage.RuleBroken, nil
	}
	return stage.RuleHeld, nil
}

// startVMs starts two VMs in one zone and one in another.
func startVMs(s *stage.Stage) ([]*stage.VM, error) {
	ips, zones := []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"}, []string{"mitte-a", "mitte-a", "mitte-b"}
	ports, err := stage.FreePorts(4, ips...)
	if err != nil {
		return nil, err
	}
	var vms []*stage.VM
	for i, ip := range ips {
		vm, err := s.StartVM(stage.Settings{Name: fmt.Sprintf("front-%s-%d", zones[i], i+1), Zone: zones[i], IP: ip, Ports: ports, GraceS: 8, MemoryMB: 164})
		if err != nil {
			return nil, err
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// submit submits n jobs and returns those that were accepted.
func submit(s *stage.Stage, vm *stage.VM, name string, n int) []string {
	var accepted []string
	for i := range n {
		job := fmt.Sprintf("%s-%d", name, i)
		if r := s.Submit(vm, host, job, stage.Items(job, items, itemBytes, itemEvents), submitTimeout); r.Status == http.StatusAccepted {
			accepted = append(accepted, job)
		}
	}
	return accepted
}

// waitForResults reads the results of jobs for a time and returns the items that are not listed at its end.
func waitForResults(s *stage.Stage, vm *stage.VM, accepted []string, limit time.Duration) []string {
	for end := time.Now().Add(limit); ; time.Sleep(500 * time.Millisecond) {
		var unlisted []string
		for _, job := range accepted {
			listed, _ := s.Results(vm, host, job)
			unlisted = append(unlisted, stage.Unlisted(job, items, listed)...)
		}
		if len(unlisted) == 0 || time.Now().After(end) {
			s.Logf("client: %d of %d results are listed; not listed: %v", items*len(accepted)-len(unlisted), items*len(accepted), unlisted)
			return unlisted
		}
	}
}
