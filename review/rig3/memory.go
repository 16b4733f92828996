package main

import (
	"fmt"
	"time"
)

func init() { scenarios["memory"] = playMemory }

// playMemory hands in batch jobs with bodies of legal size, many in a short time, and reads them all at the end. Without trouble the jobs have
// the usual size.
func playMemory(p *platform, trouble bool) (bool, error) {
	const jobs, memoryMB = 100, 164
	items, size := 10, 1500
	if trouble {
		items, size = 2, 860_000
	}
	if _, err := p.startFleet(3, memoryMB, 6, 20, 5*time.Millisecond, 2_300_000); err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer close(done)
	go p.enforceMemory(done)
	var accepted []job
	for i, end := 0, time.Now().Add(55*time.Second); i < jobs && time.Now().Before(end); i++ {
		j := newJob(fmt.Sprintf("7c41e09b52d6%04x", i), items, size)
		if p.submit(j, i, 2) {
			accepted = append(accepted, j)
		}
		if i%10 == 0 {
			p.record.add("memory of the machines' processes: %d, %d and %d MB", p.vms[0].rss(), p.vms[1].rss(), p.vms[2].rss())
		}
		time.Sleep(400 * time.Millisecond)
	}
	p.record.add("%d of %d jobs accepted, %d bytes in the job log", len(accepted), jobs, p.store.bytes("keyed.jobs"))
	time.Sleep(18 * time.Second) // finish_s
	lost := 0
	// Some of the jobs are read from the start, again after each failure.
	var sample []job
	for i := 0; i < len(accepted); i += max(len(accepted)/10, 1) {
		sample = append(sample, accepted[i])
	}
	for _, j := range sample {
		results, status, ok := p.readAll(j, 1500*time.Millisecond)
		if !ok || len(results) < len(j.items) {
			lost++
			p.record.add("job %s: %d of %d results, last status %d", j.id, len(results), len(j.items), status)
		}
	}
	kills := 0
	for _, v := range p.vms {
		kills += v.kills
	}
	p.record.add("%d of %d accepted jobs that were read are not complete; a process was over its memory %d times", lost, len(sample), kills)
	return lost > 0, nil
}
