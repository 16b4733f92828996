package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// itemsRequests is the number of requests that each VM gets, one after the other.
	itemsRequests = 3
	// itemsBodyBytes is the size of a body, at most max_body_bytes.
	itemsBodyBytes = 4_194_304
	// itemsPause is the time between two requests to a VM, in which a process that was killed starts again.
	itemsPause = 4 * time.Second
)

// items submits jobs whose bodies have the largest legal size and are made of empty items, one at a time to each of two VMs. As the
// platform does, it kills a process that exceeds its memory and starts it again.
func items(r *rig) (bool, error) {
	r.store.Put("keyed.op", "config", []byte(memoryConfig))
	var vms []*entryVM
	if _, err := r.startRunner("i-7f3a91c2", "-framed", "-events", "2", "-pause", "2ms"); err != nil {
		return false, err
	}
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
	for i := range itemsRequests {
		for n, v := range vms {
			id := fmt.Sprintf("5a0d17c3%04x%04x", i, n)
			body := jobBody(id, 10, 3)
			if r.trouble {
				body = emptyItems()
			}
			r.note("client submits job %s with a body of %d bytes at %s", id, len(body), v.name)
			r.note("job %s: status %d", id, submitJob(v.callers, id, body))
		}
		time.Sleep(itemsPause)
	}
	close(stop)
	watchers.Wait()
	served, ended := 0, 0
	for i, v := range vms {
		status := submitJob(v.callers, fmt.Sprintf("77ab00000000%04x", i), jobBody(fmt.Sprint(i), 10, 3))
		r.note("ordinary job at %s: status %d", v.name, status)
		if status == http.StatusAccepted {
			served++
		}
		r.note("%s ended %d times since it exceeded %d MB, largest resident size %d MB", v.name, v.ends, memoryMB, v.peakMB)
		if v.ends >= memoryEnds {
			ended++
		}
	}
	if served == 0 {
		return false, fmt.Errorf("no ordinary job was accepted")
	}
	return ended >= 2, nil
}

// emptyItems returns the body of a job that is made of empty items.
func emptyItems() []byte {
	const begin, item, end = `{"items":[`, `{},`, `{}]}`
	n := (itemsBodyBytes - len(begin) - len(end)) / len(item)
	return []byte(begin + string(bytes.Repeat([]byte(item), n)) + end)
}
