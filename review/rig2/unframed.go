package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"time"
)

// unframedConfig is the operator's configuration of the case unframed.
const unframedConfig = `{"version":1,"routes":[
{"name":"schicht-frage","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":5000,"target_latency_ms":300,
"gap_target_ms":400,"priority":0,"service":"lese-modelle","max_attempts":2,"resumable":true,"session_affinity":true}],
"services":[{"name":"lese-modelle","engine":{"slots":8,"kv_cache_tokens":147261}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	unframedEvents = 20
	// unframedKillAt is the event after which the runner crashes.
	unframedKillAt = 8
)

// unframed sends one resumable stream to a deployment whose runners end their answers with the connection, and kills the runner that
// runs it between two events. The rule is broken if the caller gets an answer that looks complete without its last event.
func unframed(r *rig) (bool, error) {
	r.store.Put("keyed.op", "config", []byte(unframedConfig))
	runners := make(map[string]*exec.Cmd)
	for _, id := range []string{"i-7f3a91c2", "i-2b80d4e7", "i-c95e1a06", "i-05d7b3f8", "i-e41c6a92", "i-68f20b7d"} {
		c, err := r.startRunner(id, "-events", fmt.Sprint(unframedEvents), "-pause", "50ms")
		if err != nil {
			return false, err
		}
		runners["sig-"+id] = c
	}
	vm, err := r.startEntry("front-muc-a-1")
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	req, err := http.NewRequest(http.MethodPost, "http://"+vm.callers+"/lohu930/2f", strings.NewReader("prompt"))
	if err != nil {
		return false, err
	}
	req.Host = "ficu95.example"
	for name, value := range map[string]string{
		"Request-Id": "9c41d07be2a35f68", "Model": "m", "Token-Count": "450,80", "Prompt-Prefix": "5c1e07a2:100,91bd3f06:100,e4402b7d:250",
		"Deadline-Ms": "5000",
	} {
		req.Header.Set(name, value)
	}
	r.note("client sends request 9c41d07be2a35f68")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	signature := resp.Header.Get("Response-Signature")
	r.note("client gets status %d, signature %q, transfer encoding %v", resp.StatusCode, signature, resp.TransferEncoding)
	body, err := r.readStream(resp.Body, func() error {
		if !r.trouble {
			return nil
		}
		r.note("the runner of the answer is killed (SIGKILL) after event %d of %d", unframedKillAt, unframedEvents)
		return kill(runners[signature])
	})
	complete := bytes.Contains(body, fmt.Appendf(nil, "id: %d\n", unframedEvents))
	r.note("client has %d events, last one there: %t, end of the answer: %v", bytes.Count(body, []byte("id: ")), complete, endOf(err))
	return resp.StatusCode == http.StatusOK && err == nil && !complete, nil
}

// endOf describes how an answer ended.
func endOf(err error) string {
	if err == nil {
		return "complete (last chunk received)"
	}
	return "broken off: " + err.Error()
}

// readStream reads a stream to its end, and calls atEvent once the client has event unframedKillAt. The error is nil if the stream
// has ended as complete.
func (r *rig) readStream(body io.Reader, atEvent func() error) ([]byte, error) {
	var all []byte
	buffer := make([]byte, 4096)
	called := false
	for {
		n, err := body.Read(buffer)
		all = append(all, buffer[:n]...)
		if !called && bytes.Contains(all, fmt.Appendf(nil, "id: %d\n", unframedKillAt)) {
			called = true
			if err := atEvent(); err != nil {
				return all, err
			}
		}
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, err
		}
	}
}
