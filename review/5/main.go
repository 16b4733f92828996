// Command 5 is a case of the review: a VM that was told to stop admits a stream that it then breaks off.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/crocusstile/crocusstile/review/stage"
)

const (
	host  = "lesson.example"
	zone  = "mitte-a"
	grace = 8
	// budgetMs is the time budget of a request and the timeout of its route.
	budgetMs = 5000
	// shortEvents and longEvents are the lengths of answers. The pause between two events is well below the 400 ms that the
	// route allows.
	shortEvents, longEvents = 8, 44
	pause                   = 100 * time.Millisecond
)

// late are the times after SIGTERM at which requests are sent on channels that are open.
var late = []time.Duration{3200 * time.Millisecond, 3500 * time.Millisecond, 3700 * time.Millisecond, 3920 * time.Millisecond}

func config() []byte {
	c, _ := json.Marshal(map[string]any{ // cannot fail
		"version": 3,
		"routes": []any{map[string]any{
			"name": "hint", "host": host, "path_prefix": "/hint/", "kind": "streaming", "timeout_ms": budgetMs,
			"target_latency_ms": 300, "gap_target_ms": 400, "priority": 0, "service": "tutor", "max_attempts": 1, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "tutor", "health_path": "/health", "max_conns": 500, "engine": map[string]any{"kv_cache_tokens": 147261}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	return c
}

// channel is a client's channel, which is kept for several requests.
type channel struct {
	conn net.Conn
	in   *bufio.Reader
}

func open(address string) (*channel, error) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

// outcome is what the client saw of one request.
type outcome struct {
	status, events int
	// sent is the time after the SIGTERM at which the request was sent, and ended that of the end.
	sent, ended time.Duration
	took        time.Duration
	err         error
}

// send sends one request and reads the whole answer.
func (c *channel) send(id string, events int) outcome {
	begin := time.Now()
	body := "posture of the lift"
	_, err := fmt.Fprintf(c.conn, "POST /hint/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Count: 350,%d\r\nPrompt-Prefix: 5c1e07a2:100,e4402b7d:250\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		host, id, events, budgetMs, len(body), body)
	if err != nil {
		return outcome{err: err}
	}
	_ = c.conn.SetReadDeadline(begin.Add((budgetMs + 500) * time.Millisecond)) // fails only on a closed connection
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return outcome{err: err, took: time.Since(begin)}
	}
	defer func() { _ = resp.Body.Close() }() // the answer was read, or is broken
	data, err := io.ReadAll(resp.Body)
	return outcome{status: resp.StatusCode, events: bytes.Count(data, []byte("\n\n")), took: time.Since(begin), err: err}
}

func (o outcome) String() string {
	return fmt.Sprintf("status %d, %d events, %.3f s, error %v", o.status, o.events, o.took.Seconds(), o.err)
}

func main() { stage.Main(run) }

func run(s *stage.Stage) (int, error) {
	s.Store.Put("keyed.op", "config", config())
	for _, id := range []string{"i-1", "i-2"} {
		if _, err := s.AddRunner(id, "tutor", zone, pause); err != nil {
			return 0, err
		}
	}
	ports, err := stage.FreePorts(4, "127.0.0.1")
	if err != nil {
		return 0, err
	}
	vm, err := s.StartVM(stage.Settings{Name: "front-mitte-a-1", Zone: zone, IP: "127.0.0.1", Ports: ports, GraceS: grace, MemoryMB: 164})
	if err != nil {
		return 0, err
	}
	channels, err := warmUp(s, vm)
	if err != nil {
		return 0, err
	}
	stopped := time.Now()
	if s.Trouble {
		s.Logf("SIGTERM to %s", vm.Name)
		if err := vm.Signal(syscall.SIGTERM); err != nil {
			return 0, err
		}
		kill := time.AfterFunc(grace*time.Second, func() { _ = vm.Signal(syscall.SIGKILL) }) // as the platform does
		defer kill.Stop()
	}
	return sendLate(s, channels, stopped), nil
}

// warmUp sends short requests, as most are, on the channels that are used again after the SIGTERM.
func warmUp(s *stage.Stage, vm *stage.VM) ([]*channel, error) {
	channels := make([]*channel, len(late))
	for i := range channels {
		var err error
		if channels[i], err = open(vm.Callers); err != nil {
			return nil, err
		}
	}
	for round := range 6 {
		for i, c := range channels {
			id := fmt.Sprintf("short-%d-%d", round, i)
			o := c.send(id, shortEvents)
			s.Logf("client: %s: %v", id, o)
			if o.err != nil || o.status != http.StatusOK || o.events != shortEvents {
				return nil, fmt.Errorf("%s before the disruption: %v", id, o)
			}
		}
	}
	return channels, nil
}

// sendLate sends one long request on each channel and returns whether an answer was broken off.
func sendLate(s *stage.Stage, channels []*channel, stopped time.Time) int {
	outcomes := make([]outcome, len(channels))
	var all sync.WaitGroup
	for i, c := range channels {
		all.Go(func() {
			time.Sleep(time.Until(stopped.Add(late[i])))
			id := fmt.Sprintf("late-%d", i)
			sent := time.Since(stopped)
			s.Logf("client: %s is sent %.2f s after the SIGTERM", id, sent.Seconds())
			outcomes[i] = c.send(id, longEvents)
			outcomes[i].sent, outcomes[i].ended = sent, time.Since(stopped)
			s.Logf("client: %s: %v", id, outcomes[i])
		})
	}
	all.Wait()
	code := stage.RuleHeld
	for i, o := range outcomes {
		// Excused are requests sent no later than 3 s after the SIGTERM, those that were never passed on, those that have used their
		// time, and an end later than 1 s after the grace period.
		isCut := o.err != nil && s.HasBegun(fmt.Sprintf("late-%d", i)) && o.sent > 3*time.Second &&
			o.took < budgetMs*time.Millisecond && o.ended <= (grace+1)*time.Second
		if isCut {
			s.Logf("LOST: late-%d was passed on to a sound runner and its channel ended after %d of %d events, %.3f s after it was sent", i, o.events, longEvents, o.took.Seconds())
			code = stage.RuleBroken
		}
	}
	return code
}
