package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { scenarios["burst"] = playBurst }

// playBurst hands in as many jobs as there are machines, one at each. With trouble they come at once, and otherwise one after the other.
func playBurst(p *platform, trouble bool) (bool, error) {
	const machines, items, maxTokens = 16, 200, 2_300_000
	runners, err := p.startFleet(machines, 164, 18, 190, 15*time.Millisecond, maxTokens)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var calls sync.WaitGroup
	var accepted []time.Time
	jobTokens := 0
	for i := range machines {
		j := newJob(fmt.Sprintf("7c41e09b52d6%04x", i), items, 1500)
		jobTokens = items * j.items[0].Tokens
		calls.Go(func() {
			if p.submit(j, i, 1) {
				mu.Lock()
				accepted = append(accepted, time.Now())
				mu.Unlock()
			}
		})
		if !trouble {
			calls.Wait()
			time.Sleep(time.Second)
		}
	}
	calls.Wait()
	slices.SortFunc(accepted, time.Time.Compare)
	const bound = maxTokens * 11 / 10
	worst := 0
	for n, at := range accepted {
		finished := 0
		for _, r := range runners {
			finished += r.finishedBy(at)
		}
		waiting := (n+1)*jobTokens - finished*jobTokens/items
		worst = max(worst, waiting)
		p.record.add("202 number %d at %.3f s: %d tokens wait, %d items are finished", n+1, at.Sub(p.record.start).Seconds(), waiting, finished)
	}
	p.record.add("%d of %d jobs of %d tokens accepted, at most %d tokens wait; the bound is %d", len(accepted), machines, jobTokens, worst, bound)
	return worst > bound, nil
}

// finishedBy returns how many runs the runner had finished at an instant.
func (r *runner) finishedBy(at time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, f := range r.finished {
		if !f.After(at) {
			n++
		}
	}
	return n
}
