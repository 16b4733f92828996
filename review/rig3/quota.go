package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

func init() { scenarios["quota"] = playQuota }

// The allowance of the tenant, and how it is measured: bounds of the sheet of Kangaveski.
const (
	tenantName  = "huka270"
	tenantKey   = "jy5rcpihhacruddedev3"
	tenantRate  = 100
	tenantBurst = 100
	quotaWindow = 5 * time.Second
	quotaLimit  = (tenantRate*5+tenantBurst)*1.1 + 20
)

// sentRun is a request that a runner ran.
type sentRun struct{ sent, arrived time.Time }

// playQuota sends more requests of one tenant than its allowance at all machines. With trouble, the store reassigns all partitions
// of the group at once, several times.
func playQuota(p *platform, trouble bool) (bool, error) {
	p.tenants = []map[string]any{{
		"name": tenantName, "api_keys": []string{tenantKey}, "priority": 1, "rate_per_s": tenantRate, "burst": tenantBurst,
	}}
	runners, err := p.startFleet(3, 536, 9, 1, time.Millisecond, 3_100_000)
	if err != nil {
		return false, err
	}
	p.store.moved = func(to string) { p.record.add("the store reassigns all partitions; %s has that of the tenant", to) }
	time.Sleep(4 * time.Second)
	sent := p.press(runners, trouble)
	var runs []sentRun
	for _, r := range runners {
		r.mu.Lock()
		for id, at := range r.arrived {
			runs = append(runs, sentRun{sent: sent[id], arrived: at})
		}
		r.mu.Unlock()
	}
	most, at := mostInWindow(runs)
	p.record.add("%d of %d requests ran; at most %d in %s, from %.3f s on; the bound is %.0f", len(runs), len(sent), most, quotaWindow,
		at.Sub(p.record.start).Seconds(), quotaLimit)
	return float64(most) > quotaLimit, nil
}

// press sends requests for 10 s at all machines and returns when each was sent.
func (p *platform) press(runners []*runner, trouble bool) map[string]time.Time {
	var mu sync.Mutex
	var calls sync.WaitGroup
	sent, start := make(map[string]time.Time), time.Now()
	stop := time.After(10 * time.Second)
	next := start.Add(2 * time.Second)
	tick := time.NewTicker(6 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			calls.Wait()
			return sent
		case <-tick.C:
		}
		if now := time.Now(); trouble && now.After(next) {
			p.store.rebalance(int(xxhash.Sum64String(tenantName) % partitions))
			next = now.Add(650*time.Millisecond + rand.N(200*time.Millisecond))
		}
		for i, v := range p.vms {
			id := fmt.Sprintf("9c41d07b%04x%04x", n, i)
			calls.Go(func() {
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				status, _ := call(http.MethodPost, v.callers, streamPrefix+"2f", map[string]string{
					"Request-Id": id, "Api-Key": tenantKey, "Deadline-Ms": "2000", "Model": "m", "Token-Count": "550,1",
					"Prompt-Prefix": "5c1e07a2:300," + id + ":250",
				}, []byte("x"), 3*time.Second)
				p.record.add("client: request %s at %s: %d", id, v.name, status)
			})
		}
	}
}

// mostInWindow returns the largest number of requests that were both sent and ran within a window, and its beginning.
func mostInWindow(runs []sentRun) (int, time.Time) {
	slices.SortFunc(runs, func(a, b sentRun) int { return a.sent.Compare(b.sent) })
	most, at := 0, time.Time{}
	for i, first := range runs {
		n, end := 0, first.sent.Add(quotaWindow)
		for _, r := range runs[i:] {
			if !r.arrived.After(end) {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	return most, at
}
