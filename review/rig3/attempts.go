package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["attempts"] = playAttempts }

const (
	// maxAttempts is that of the batch route, and maxErrors the number of answers of 500 after which an item may not reach a runner again.
	maxAttempts = 3
	maxErrors   = 3 * maxAttempts
	// contact is contact_ms.
	contact = 3 * time.Second
	// settled is how long a machine must have owned the partition to be taken for the sender: the one before it learns of its loss within 0.7 s.
	settled = time.Second
	grace   = 8 * time.Second
)

// playAttempts hands in jobs whose items fail at each run. With trouble, the machines are stopped and started in turn.
func playAttempts(p *platform, trouble bool) (bool, error) {
	const jobs, machines, gap = 60, 12, 1500 * time.Millisecond
	runners, err := p.startFleet(machines, 164, 6, 20, 5*time.Millisecond, 2_300_000)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	runs, answers, late := make(map[string]int), make(map[string]int), 0
	for _, r := range runners {
		r.fails = func(id string) bool {
			mu.Lock()
			defer mu.Unlock()
			runs[id]++
			if n := answers[id]; n >= maxErrors {
				member, held := p.store.ownerOf(id[:16])
				calm := p.calmTime(member)
				p.record.add("item %s reaches a runner again after %d answers of 500; its owner %s, for %s, has been undisturbed for %s", id, n, member, held, calm)
				if calm > contact && held > settled {
					late++
				}
			}
			return true
		}
		r.failed = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			answers[id]++
		}
	}
	time.Sleep(3 * time.Second)
	go func() {
		for i := range jobs {
			go p.submit(newJob(fmt.Sprintf("7c41e09b52d6%04x", i), 1, 1500), i, 4)
			time.Sleep(150 * time.Millisecond)
		}
	}()
	if trouble {
		p.rollTerm(gap)
	} else {
		time.Sleep(machines * gap)
	}
	time.Sleep(10 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	most := 0
	for _, n := range runs {
		most = max(most, n)
	}
	p.record.add("%d items ran, one of them %d times; %d runs after %d answers of 500, sent by machines in touch", len(runs), most, late, maxErrors)
	return late > 0, nil
}

// calmTime returns for how long the process of a member of the group has been running without a signal.
func (p *platform) calmTime(member string) time.Duration {
	name, _, _ := strings.Cut(member, "/")
	for _, v := range p.vms {
		if v.name == name {
			v.mu.Lock()
			defer v.mu.Unlock()
			return time.Since(v.disturbedAt)
		}
	}
	return 0
}

// rollTerm stops and starts the machines in turn, in the order of their names.
func (p *platform) rollTerm(gap time.Duration) {
	order := append([]*vm(nil), p.vms...)
	for i := range order {
		for j := i + 1; j < len(order); j++ {
			if order[j].name < order[i].name {
				order[i], order[j] = order[j], order[i]
			}
		}
	}
	for _, v := range order {
		p.record.add("%s gets SIGTERM", v.name)
		v.mu.Lock()
		process, ended := v.cmd.Process, v.ended
		v.mu.Unlock()
		v.signal(syscall.SIGTERM)
		go func() {
			select {
			case <-ended:
			case <-time.After(grace):
				_ = process.Kill()
			}
		}()
		time.Sleep(gap)
	}
}
