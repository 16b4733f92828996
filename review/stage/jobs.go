package stage

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Item is an item of a batch job as clients send it.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// Items returns n items of a job, with bodies of a size and an output of some events.
func Items(job string, n, bodyBytes, events int) []Item {
	items := make([]Item, n)
	for i := range items {
		id := fmt.Sprintf("%s-%d", job, i)
		items[i] = Item{
			ID: id, Path: "/digest/run/" + id, Body: bytes.Repeat([]byte("shift log "), bodyBytes/10), Tokens: 350 + events,
			Headers: map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("350,%d", events), "Prompt-Prefix": "9c2e41:100,5d07b8:250"},
		}
	}
	return items
}

// Reply is the answer of a VM to a call about a batch job; Status is 0 if there was none.
type Reply struct {
	Status int
	Body   []byte
}

// call makes one call on a new channel.
func (s *Stage) call(method, address, host, path, id string, body []byte, timeout time.Duration) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}
	}
	req.Host, req.Close = host, true
	if id != "" {
		req.Header.Set("Request-Id", id)
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Reply{}
	}
	defer func() { _ = resp.Body.Close() }() // it was read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Reply{}
	}
	return Reply{resp.StatusCode, data}
}

// Submit submits a batch job to a VM.
func (s *Stage) Submit(vm *VM, host, job string, items []Item, timeout time.Duration) Reply {
	body, _ := json.Marshal(map[string]any{"items": items}) // cannot fail
	begin := time.Now()
	r := s.call(http.MethodPost, vm.Callers, host, "/digest/"+job, job, body, timeout)
	s.Logf("client: job %s with %d items, %d bytes, submitted to %s: status %d after %.2f s", job, len(items), len(body), vm.Name, r.Status, time.Since(begin).Seconds())
	return r
}

// Listed is a page of results.
type Listed struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []Result `json:"results"`
}

// Result is the result of an item.
type Result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// Results reads all results of a job from a VM; the status is that of the last page.
func (s *Stage) Results(vm *VM, host, job string) (Listed, int) {
	var all Listed
	for {
		r := s.call(http.MethodGet, vm.Callers, host, fmt.Sprintf("/lots/%s?after=%d", job, all.Next), "", nil, 3*time.Second)
		var page Listed
		if r.Status != http.StatusOK || json.Unmarshal(r.Body, &page) != nil {
			return all, r.Status
		}
		all.Total, all.Next, all.Results = page.Total, page.Next, append(all.Results, page.Results...)
		if len(page.Results) == 0 {
			return all, r.Status
		}
	}
}
