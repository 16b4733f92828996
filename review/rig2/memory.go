package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memoryConfig is the operator's configuration of the case memory.
const memoryConfig = `{"version":1,"routes":[
{"name":"nacht-digest","host":"ficu95.example","path_prefix":"/pule252/","kind":"batch","timeout_ms":15000,"target_latency_ms":500,
"priority":2,"service":"lese-modelle","max_attempts":3,"completion_target_ms":18000,"retention_s":60,"max_count":2300000}],
"services":[{"name":"lese-modelle","engine":{"slots":8,"kv_cache_tokens":147261}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	// memoryMB is the memory of a machine of laugen-archiv.
	memoryMB = 164
	// memoryJobs is the number of jobs that the client submits, each once, or again after a refusal.
	memoryJobs = 24
	// memoryEnds is the number of ends of a process, on two machines, from which the rule is broken.
	memoryEnds = 3
	// restartDelay is the pause of the platform before it starts a process again.
	restartDelay = 500 * time.Millisecond
	// submitTime bounds the time in which jobs are submitted.
	submitTime = 30 * time.Second
	// watchTime is the time for batch jobs after the end of the traffic (finish_s).
	watchTime = 18 * time.Second
	// readTime bounds the reads of the accepted jobs.
	readTime = 40 * time.Second
	// readTimeout is the time that a read may take: clients wait 1.5 s longer than they allow, which is 1 s with Wait-Ms.
	readTimeout = 2500 * time.Millisecond
)

// memory submits jobs of legal size whose items have many short headers. As the platform does, it kills a process that exceeds its
// memory and starts it again.
func memory(r *rig) (bool, error) {
	r.store.Put("keyed.op", "config", []byte(memoryConfig))
	for _, id := range []string{"i-7f3a91c2", "i-2b80d4e7", "i-c95e1a06"} {
		if _, err := r.startRunner(id, "-framed", "-events", "2", "-pause", "2ms"); err != nil {
			return false, err
		}
	}
	var vms []*entryVM
	for _, name := range []string{"front-mitte-a-1", "front-mitte-b-1"} {
		v, err := r.startEntry(name)
		if err != nil {
			return false, err
		}
		vms = append(vms, v)
	}
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	for _, v := range vms {
		watchers.Go(func() { r.enforceMemory(v, stop) })
	}
	time.Sleep(2 * time.Second)
	accepted := r.submitJobs(vms)
	r.note("%d of %d jobs accepted; %s", len(accepted), memoryJobs, r.store)
	time.Sleep(watchTime)
	readable := r.countReadable(vms, accepted)
	close(stop)
	watchers.Wait()
	r.note("%d of %d accepted jobs can be read", readable, len(accepted))
	ended := 0
	for _, v := range vms {
		r.note("%s ended %d times since it exceeded %d MB, largest resident size %d MB", v.name, v.ends, memoryMB, v.peakMB)
		if v.ends >= memoryEnds {
			ended++
		}
	}
	if len(accepted) == 0 {
		return false, fmt.Errorf("no job was accepted")
	}
	return ended >= 2 || readable < len(accepted), nil
}

// submitJobs submits the jobs one after the other, at the VMs in turn, and returns the IDs of those that were accepted.
func (r *rig) submitJobs(vms []*entryVM) []string {
	items, headers := 10, 3
	if r.trouble {
		items, headers = 100, 1000
	}
	var accepted []string
	until := time.Now().Add(submitTime)
	for i := range memoryJobs {
		if time.Now().After(until) {
			break
		}
		id := fmt.Sprintf("7c41e09b52d6%04x", i)
		body := jobBody(id, items, headers)
		if i == 0 {
			r.note("each job has %d items with %d headers of a few bytes each; its body has %d bytes", items, headers, len(body))
		}
		for attempt := range 4 {
			status := submitJob(vms[(i+attempt)%len(vms)].callers, id, body)
			r.note("client submits job %s at %s: %d", id, vms[(i+attempt)%len(vms)].name, status)
			if status == http.StatusAccepted {
				accepted = append(accepted, id)
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	return accepted
}

// jobBody returns the body of a job.
func jobBody(id string, items, headers int) []byte {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	job := struct {
		Items []item `json:"items"`
	}{}
	for i := range items {
		h := map[string]string{"Model": "m", "Token-Count": "50,20", "Prompt-Prefix": fmt.Sprintf("%x:50", i)}
		for n := len(h); n < headers; n++ {
			h["X"+strconv.FormatInt(int64(n), 36)] = "1"
		}
		job.Items = append(job.Items, item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/pule252/3", Headers: h, Body: []byte("text"), Tokens: 70})
	}
	body, err := json.Marshal(job)
	if err != nil {
		panic(err) // plain values
	}
	return body
}

// submitJob submits a job and returns the status, or 0 without an answer.
func submitJob(address, id string, body []byte) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/pule252/7c41e0", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host, req.Close = "ficu95.example", true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// countReadable reads the jobs at the VMs in turn, again after each failure, and returns how many were read within readTime.
func (r *rig) countReadable(vms []*entryVM, ids []string) int {
	unread := slices.Clone(ids)
	until := time.Now().Add(readTime)
	for turn := 0; len(unread) > 0 && time.Now().Before(until); turn++ {
		v := vms[turn%len(vms)]
		status, page := readJob(v.callers, unread[0])
		if status == http.StatusOK {
			unread = unread[1:]
			continue
		}
		r.note("job %s cannot be read at %s: status %d %s", unread[0], v.name, status, page[:min(len(page), 80)])
		unread = append(unread[1:], unread[0])
		time.Sleep(200 * time.Millisecond)
	}
	return len(ids) - len(unread)
}

// readJob reads the first results of a job.
func readJob(address, id string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/lots/"+id+"?after=0", nil)
	if err != nil {
		return 0, err.Error()
	}
	req.Host, req.Close = "ficu95.example", true
	resp, err := (&http.Client{Timeout: readTimeout}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	page, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(page))
}

// enforceMemory kills a process that exceeds the memory of its machine, and starts it again.
func (r *rig) enforceMemory(v *entryVM, stop <-chan struct{}) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		mb := residentMB(v.process.Process.Pid)
		v.peakMB = max(v.peakMB, mb)
		if mb <= memoryMB {
			continue
		}
		r.note("%s has %d MB, more than its %d MB: killed by the platform", v.name, mb, memoryMB)
		v.ends++
		if err := kill(v.process); err != nil {
			r.note("%v", err)
		}
		_ = v.process.Wait() // it was killed
		time.Sleep(restartDelay)
		if err := r.launch(v); err != nil {
			r.note("%v", err)
			return
		}
	}
}

// residentMB returns the resident size of a process, or 0.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}
