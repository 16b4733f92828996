package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { scenarios["restart"] = playRestart }

// playRestart hands in jobs of legal size, waits until they are done and, with trouble, kills all processes at once. Then it reads the jobs.
func playRestart(p *platform, trouble bool) (bool, error) {
	const jobs = 58
	if _, err := p.startFleet(3, 164, 6, 20, 5*time.Millisecond, 2_300_000); err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer close(done)
	go p.enforceMemory(done)
	var accepted []job
	for i := range jobs {
		j := newJob(fmt.Sprintf("7c41e09b52d6%04x", i), 2, 860_000)
		if p.submit(j, i, 2) {
			accepted = append(accepted, j)
		}
		time.Sleep(400 * time.Millisecond)
	}
	p.record.add("memory of the machines' processes: %d, %d and %d MB", p.vms[0].rss(), p.vms[1].rss(), p.vms[2].rss())
	time.Sleep(4 * time.Second)
	before := p.kills()
	p.record.add("%d of %d jobs accepted, %d bytes in the job log, memory %d, %d and %d MB, %d kills", len(accepted), jobs, p.store.bytes("keyed.jobs"), p.vms[0].rss(), p.vms[1].rss(), p.vms[2].rss(), before)
	if trouble {
		for _, v := range p.vms {
			v.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(18 * time.Second)
	lost := 0
	for i := 0; i < len(accepted); i += max(len(accepted)/6, 1) {
		j := accepted[i]
		results, status, ok := p.readAll(j, 3*time.Second)
		if !ok || len(results) < len(j.items) {
			lost++
			p.record.add("job %s: %d of %d results, last status %d", j.id, len(results), len(j.items), status)
		}
	}
	p.record.add("%d accepted jobs that were read are not complete; processes over their memory %d times before and %d times after", lost, before, p.kills()-before)
	return lost > 0, nil
}

// kills returns how often a process was over its memory.
func (p *platform) kills() int {
	n := 0
	for _, v := range p.vms {
		v.mu.Lock()
		n += v.kills
		v.mu.Unlock()
	}
	return n
}
