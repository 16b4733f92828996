package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// item is an item of a batch job as a client sends it.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// job is a batch job of a client.
type job struct {
	id    string
	items []item
}

// newJob returns a job whose items have bodies of a size.
func newJob(id string, items, bodyBytes int) job {
	j := job{id: id}
	for i := range items {
		itemID := fmt.Sprintf("%s%04x", id, i)
		j.items = append(j.items, item{
			ID: itemID, Path: batchPrefix + "3/" + itemID, Body: bytes.Repeat([]byte{byte('a' + i%26)}, bodyBytes), Tokens: 940,
			Headers: map[string]string{"Model": "m", "Token-Count": "540,400", "Prompt-Prefix": "9c2e41:300," + itemID + ":240"},
		})
	}
	return j
}

// call sends one request on a new connection, as clients do with calls about jobs, and returns the status, or 0 without an answer.
func call(method, address, path string, header map[string]string, body []byte, limit time.Duration) (int, []byte) {
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	q, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	q.Host = host
	for name, value := range header {
		q.Header.Set(name, value)
	}
	resp, err := client.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// submit hands a job in at a machine, and again at the next ones while it gets no 202, up to tries times.
func (p *platform) submit(j job, first, tries int) (accepted bool) {
	body, _ := json.Marshal(map[string]any{"items": j.items})
	for n := range tries {
		v := p.vms[(first+n)%len(p.vms)]
		status, _ := call(http.MethodPost, v.callers, batchPrefix+j.id, map[string]string{"Request-Id": j.id, "Content-Type": "application/json"}, body, 4*time.Second)
		p.record.add("client hands job %s in (%d items, %d bytes) at %s: %d", j.id, len(j.items), len(body), v.name, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// result is a result of an item.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// page is a page of results.
type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

var errNoPage = errors.New("no page")

// readJob reads the results of a job from a position at a machine.
func (p *platform) readJob(j job, v *vm, after int) (page, int, error) {
	status, data := call(http.MethodGet, v.callers, fmt.Sprintf("/lots/%s?after=%d", j.id, after), nil, nil, 3*time.Second)
	var got page
	if status != http.StatusOK || json.Unmarshal(data, &got) != nil {
		return page{}, status, errNoPage
	}
	return got, status, nil
}

// readAll reads all results of a job that there are, at any machine, again after each failure until the limit.
func (p *platform) readAll(j job, limit time.Duration) ([]result, int, bool) {
	var results []result
	status := 0
	for n, end := 0, time.Now().Add(limit); time.Now().Before(end); n++ {
		got, s, err := p.readJob(j, p.vms[n%len(p.vms)], len(results))
		status = s
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		results = append(results, got.Results...)
		if len(got.Results) == 0 || len(results) == got.Total {
			return results, status, true
		}
	}
	return results, status, false
}
