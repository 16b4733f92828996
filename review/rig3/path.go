package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["path"] = playPath }

// playPath sends requests on a route with the prefix "/". With trouble, their paths begin with two slashes.
func playPath(p *platform, trouble bool) (bool, error) {
	p.hasRootRoute = true
	runners, err := p.startFleet(3, 164, 3, 5, time.Millisecond, 2_300_000)
	if err != nil {
		return false, err
	}
	path := "/lohu/2f?x=1"
	if trouble {
		path = "//lohu/2f?x=1"
	}
	sent := make(map[string]bool)
	for i := range 9 {
		id, v := fmt.Sprintf("9c41d07be2a3%04x", i), p.vms[i%3]
		sent[id] = true
		status, _ := call(http.MethodPost, v.callers, path, map[string]string{
			"Request-Id": id, "Deadline-Ms": "3000", "Model": "m", "Token-Count": "550,5", "Prompt-Prefix": "5c1e07a2:300," + id + ":250",
		}, []byte("x"), 4*time.Second)
		p.record.add("client: request %s POST %s, Host %s, at %s: %d", id, path, host, v.name, status)
	}
	changed := 0
	for _, r := range runners {
		r.mu.Lock()
		for id, got := range r.targets {
			p.record.add("%s ran %s as %s, Host %s", r.id, id, got.target, got.host)
			if sent[id] && got.target != path {
				changed++
			}
		}
		r.mu.Unlock()
	}
	p.record.add("%d of %d requests ran with another path", changed, len(sent))
	return changed > 0, nil
}
