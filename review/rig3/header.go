package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["header"] = playHeader }

// playHeader hands in a job of which one item has a header whose name is no token of HTTP, and then ordinary jobs and requests.
func playHeader(p *platform, trouble bool) (bool, error) {
	if _, err := p.startFleet(3, 164, 6, 20, 5*time.Millisecond, 2_300_000); err != nil {
		return false, err
	}
	bad := newJob("7c41e09b52d6ffff", 10, 1500)
	if trouble {
		for i := range bad.items {
			bad.items[i].Headers["Prüfer"] = "1"
		}
	}
	p.submit(bad, 0, 2)
	var accepted []job
	served, refused := 0, 0
	for i := range 60 {
		if i%6 == 0 {
			j := newJob(fmt.Sprintf("7c41e09b52d6%04x", i), 10, 1500)
			if p.submit(j, i, 3) {
				accepted = append(accepted, j)
			}
		}
		id := fmt.Sprintf("9c41d07be2a3%04x", i)
		v := p.vms[i%3]
		status, _ := call(http.MethodPost, v.callers, streamPrefix+"2f", map[string]string{
			"Request-Id": id, "Deadline-Ms": "5000", "Model": "m", "Token-Count": "550,30", "Prompt-Prefix": "5c1e07a2:300," + id + ":250",
		}, []byte("x"), 5*time.Second)
		p.record.add("client: request %s at %s: %d", id, v.name, status)
		if status == http.StatusOK {
			served++
		} else {
			refused++
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(18 * time.Second)
	lost := 0
	for _, j := range accepted {
		results, status, ok := p.readAll(j, 2*time.Second)
		if !ok || len(results) < len(j.items) {
			lost++
			p.record.add("job %s: %d of %d results, last status %d", j.id, len(results), len(j.items), status)
		}
	}
	p.record.add("%d requests served, %d not; %d of %d accepted jobs are not complete", served, refused, lost, len(accepted))
	return lost > 0, nil
}
