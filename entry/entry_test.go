package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/crocusstile/crocusstile/entry"
	"github.com/crocusstile/crocusstile/standin"
)

// cluster is a stand-in store, two LLM runners, an application runner and entry VMs, all on this machine.
type cluster struct {
	*qt.C
	store      *standin.Store
	storeAddr  string
	llmRunners []*standin.Endpoint
	appRunner  *standin.Endpoint
	dir        string
}

func serve(c *qt.C, h http.Handler) string {
	s := httptest.NewServer(h)
	c.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

const catalogJSON = `{"version":1,"routes":[
{"name":"ask","host":"h.example","path_prefix":"/ask/","kind":"streaming","timeout_ms":5000,"target_latency_ms":300,"gap_target_ms":300,"service":"llm","max_attempts":2,"resumable":true},
{"name":"mark","host":"h.example","path_prefix":"/mark/","kind":"batch","timeout_ms":15000,"target_latency_ms":400,"service":"llm","max_attempts":3,"completion_target_ms":18000,"retention_s":60,"max_count":1000},
{"name":"fetch","host":"h.example","path_prefix":"/fetch/","kind":"idempotent","timeout_ms":1000,"target_latency_ms":150,"service":"app","max_attempts":3}],
"services":[{"name":"llm","engine":{"slots":8}},{"name":"app"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

func newCluster(t *testing.T) *cluster {
	return newClusterOf(qt.New(t), t.TempDir())
}

// newClusterOf starts the stand-ins for a test or a benchmark, with a directory for the settings of the VMs.
func newClusterOf(c *qt.C, dir string) *cluster {
	s := &cluster{C: c, store: standin.NewStore(), dir: dir}
	s.storeAddr = serve(c, s.store)
	c.Cleanup(s.store.Close)
	s.store.Put("keyed.op", "config", []byte(catalogJSON))
	for i := range 2 {
		e := standin.NewEndpoint(fmt.Sprintf("i-%d", i), 6, 10*time.Millisecond)
		s.llmRunners = append(s.llmRunners, e)
		s.register(e, "llm")
	}
	s.appRunner = standin.NewEndpoint("i-app", 0, 0)
	s.register(s.appRunner, "app")
	return s
}

func (s *cluster) register(e *standin.Endpoint, service string) {
	s.store.Put("keyed.servers", e.ID, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"a","slots":8,"state":"ready","born":1}`, service, serve(s.C, e)))
}

// Ports below the range from which the system takes those of connections and of listeners that name none, so that no other
// test of this process, and no connection, takes a port between the choice and its use.
const (
	firstTestPort = 12_000
	testPorts     = 8_000
)

var portsChosen atomic.Int64

// freePort returns a port on which nothing listens. It returns another one each time.
func freePort(c *qt.C) int {
	for range testPorts {
		port := firstTestPort + (os.Getpid()*61+int(portsChosen.Add(1)))%testPorts
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		c.Assert(l.Close(), qt.IsNil)
		return port
	}
	c.Fatal("no free port")
	return 0
}

// entryVM is an entry VM with its addresses and its log.
type entryVM struct {
	callersAddr, readyAddr, metrics string
	settings                        string
	signals                         chan os.Signal
	stop                            func()
	runErr                          chan error
	logs                            *syncBuffer
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// start runs an entry VM until the test ends and waits until it is ready.
func (s *cluster) start(name string) *entryVM {
	m := s.prepare(name)
	s.run(m)
	s.eventually(func() bool { return readyStatus(m.readyAddr) == http.StatusOK })
	return m
}

// prepare writes the settings of an entry VM and picks its ports.
func (s *cluster) prepare(name string) *entryVM {
	m := &entryVM{
		callersAddr: fmt.Sprintf("127.0.0.1:%d", freePort(s.C)), readyAddr: fmt.Sprintf("127.0.0.1:%d", freePort(s.C)),
		signals: make(chan os.Signal, 2), logs: &syncBuffer{}, settings: filepath.Join(s.dir, name+".json"),
	}
	metrics := freePort(s.C)
	m.metrics = fmt.Sprintf("127.0.0.1:%d", metrics)
	settings := fmt.Sprintf(`{"vm":%q,"dataCentre":"a","ip":"127.0.0.1","listen":{"callers":%q,"ready":%q,"peerPort":%d,"metricsPort":%d},
		"store":{"address":%q,"partitions":8,"maxRecord":262144,"maxAppend":2097152,"minGroup":"1s"},
		"grace":"8s","resultLife":"120s","memoryMB":164}`, name, m.callersAddr, m.readyAddr, freePort(s.C), metrics, s.storeAddr)
	s.Assert(os.WriteFile(m.settings, []byte(settings), 0o600), qt.IsNil)
	return m
}

// run runs an entry VM until the test ends or it is stopped.
func (s *cluster) run(m *entryVM) {
	vm, err := entry.New(m.settings, zerolog.New(m.logs))
	s.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	m.stop, m.runErr = cancel, runErr
	go func() { runErr <- vm.Run(ctx, m.signals) }()
	s.Cleanup(func() {
		cancel()
		if m.runErr == runErr {
			s.Check(<-runErr, qt.IsNil)
		}
	})
}

func readyStatus(address string) int {
	resp, err := http.Get("http://" + address + "/ready")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

func (s *cluster) eventually(condition func() bool) {
	for begin := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			s.Fatal("the condition does not hold")
		}
	}
}

// call sends a request to a VM and returns the status, body and headers of the response.
func (s *cluster) call(m *entryVM, method, path, id, body string) (int, string, http.Header) {
	req, err := http.NewRequest(method, "http://"+m.callersAddr+path, strings.NewReader(body))
	s.Assert(err, qt.IsNil)
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "4000")
	resp, err := http.DefaultClient.Do(req)
	s.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	s.Assert(err, qt.IsNil)
	return resp.StatusCode, string(data), resp.Header
}

// events returns the text of a complete stream of n events.
func events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

// Online requests from a caller to a runner and back: complete responses, streams that resume on another
// runner after a broken connection, and refusals of invalid requests.
func TestOnlineRequests(t *testing.T) {
	s := newCluster(t)
	m := s.start("vm-1")
	code, body, header := s.call(m, "POST", "/fetch/x?y=1", "f1", "record")
	s.Assert(code, qt.Equals, http.StatusOK)
	s.Assert(body, qt.Equals, "record")
	s.Assert(header.Get("Response-Signature"), qt.Equals, "sig-i-app")

	for _, e := range s.llmRunners {
		e.DisconnectOnce("s1")
	}
	code, body, _ = s.call(m, "POST", "/ask/x", "s0", "prompt")
	s.Assert(code, qt.Equals, http.StatusOK)
	s.Assert(body, qt.Equals, events(6))
	s.llmRunners[0].DisconnectOnce("s2")
	s.llmRunners[1].DisconnectOnce("s3")
	for _, id := range []string{"s2", "s3"} {
		code, body, _ = s.call(m, "POST", "/ask/x", id, "prompt "+id)
		s.Assert(code, qt.Equals, http.StatusOK)
		s.Assert(body, qt.Equals, events(6))
	}

	code, _, _ = s.call(m, "POST", "/none/x", "n1", "")
	s.Assert(code, qt.Equals, http.StatusNotFound)
	code, _, _ = s.call(m, "POST", "/fetch/x", "n2", strings.Repeat("x", 100001))
	s.Assert(code, qt.Equals, http.StatusRequestEntityTooLarge)
	s.Assert(s.appRunner.Runs("n2"), qt.Equals, 0)
	s.Assert(m.logs.String(), qt.Contains, `"request":"n1"`)
}

// A job submitted to two VMs must be accepted once, run, and give the same results on every VM; once it has
// ended its items must not be served.
func TestJobs(t *testing.T) {
	s := newCluster(t)
	a, b := s.start("vm-1"), s.start("vm-2")
	job := `{"items":[{"id":"i1","path":"/mark/1","headers":{"Model":"m"},"body":"cGF5bG9hZA==","tokens":10},
		{"id":"i2","path":"/mark/2","body":"","tokens":10}]}`
	for _, m := range []*entryVM{a, b} {
		code, _, _ := s.call(m, "POST", "/mark/x", "job1", job)
		s.Assert(code, qt.Equals, http.StatusAccepted)
	}
	read := func(m *entryVM) string {
		_, body, _ := s.call(m, "GET", "/lots/job1?after=0", "", "")
		return body
	}
	s.eventually(func() bool { return strings.Contains(read(a), `"next":2`) })
	s.eventually(func() bool { return read(b) == read(a) })
	var results struct {
		Total   int
		Results []struct{ ID, State, Text string }
	}
	s.Assert(json.Unmarshal([]byte(read(a)), &results), qt.IsNil)
	s.Assert(results.Total, qt.Equals, 2)
	for _, r := range results.Results {
		s.Assert(r.State, qt.Equals, "completed")
		s.Assert(r.Text, qt.Equals, "event 1\nevent 2\nevent 3\nevent 4\nevent 5\nevent 6")
	}
	code, body, _ := s.call(b, "GET", "/items/job1?id=i1", "", "")
	s.Assert(code, qt.Equals, http.StatusOK)
	s.Assert(body, qt.Equals, "payload")
	code, _, _ = s.call(a, "DELETE", "/lots/job1", "", "")
	s.Assert(code, qt.Equals, http.StatusOK)
	s.eventually(func() bool {
		code, _, _ := s.call(b, "GET", "/items/job1?id=i1", "", "")
		return code == http.StatusNotFound
	})
	code, _, _ = s.call(b, "GET", "/lots/none", "", "")
	s.Assert(code, qt.Equals, http.StatusNotFound)
	code, body, _ = s.call(a, "POST", "/mark/x", "job2", `{"items":[{"id":"i1","path":"mark"}]}`)
	s.Assert(code, qt.Equals, http.StatusBadRequest)
	s.Assert(body, qt.Contains, "items[0].path")
	code, _, _ = s.call(a, "POST", "/mark/x", "job3", `{"items":[{"id":"i1","path":"/mark/1","tokens":2000}]}`)
	s.Assert(code, qt.Equals, http.StatusTooManyRequests)
}

// A VM that is told to stop must report itself unready at once, keep serving until the platform has noticed,
// finish the requests in flight and exit within its grace period.
func TestDrain(t *testing.T) {
	s := newCluster(t)
	m := s.start("vm-1")
	m.signals <- syscall.SIGTERM
	s.eventually(func() bool { return readyStatus(m.readyAddr) == http.StatusServiceUnavailable })
	code, body, _ := s.call(m, "POST", "/ask/x", "d1", "prompt")
	s.Assert(code, qt.Equals, http.StatusOK)
	s.Assert(body, qt.Equals, events(6))
	select {
	case err := <-m.runErr:
		m.runErr <- err // read again by the cleanup of the test
		s.Assert(err, qt.IsNil)
	case <-time.After(8 * time.Second):
		s.Fatal("the VM still runs at the end of its grace period")
	}
	s.Assert(m.logs.String(), qt.Contains, `"message":"stopped"`)
}

// Counts of decisions and response times must be served on the metrics address.
func TestMetrics(t *testing.T) {
	s := newCluster(t)
	m := s.start("vm-1")
	code, _, _ := s.call(m, "POST", "/ask/x", "m1", "prompt")
	s.Assert(code, qt.Equals, http.StatusOK)
	s.eventually(func() bool {
		resp, err := http.Get("http://" + m.metrics + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		return err == nil && strings.Contains(string(text), `crocusstile_decisions_total{kind="requestAnswered"} 1`) &&
			strings.Contains(string(text), `first_token_seconds_bucket{class="online",tenant="ask"`)
	})
}

// A changed settings file must be reloaded with or without a signal, and an invalid one must change nothing.
func TestSettingsReload(t *testing.T) {
	s := newCluster(t)
	m := s.start("vm-1")
	path := filepath.Join(s.dir, "vm-1.json")
	data, err := os.ReadFile(path)
	s.Assert(err, qt.IsNil)
	s.Assert(os.WriteFile(path, []byte("{"), 0o600), qt.IsNil)
	m.signals <- syscall.SIGHUP
	s.eventually(func() bool { return strings.Contains(m.logs.String(), "keeping the previous ones") })
	time.Sleep(20 * time.Millisecond) // so that the modification time of the file differs
	s.Assert(os.WriteFile(path, bytes.Replace(data, []byte(`"memoryMB":164`), []byte(`"memoryMB":128`), 1), 0o600), qt.IsNil)
	s.eventually(func() bool { return strings.Contains(m.logs.String(), `"restartNeeded":false`) })
	code, _, _ := s.call(m, "POST", "/ask/x", "c1", "prompt")
	s.Assert(code, qt.Equals, http.StatusOK)
}

// Invalid settings must be reported field by field and must prevent the start.
func TestInvalidSettings(t *testing.T) {
	c := qt.New(t)
	_, err := entry.ParseSettings([]byte(`{"vm":"v","dataCentre":"","ip":"x","listen":{"callers":"1.2.3.4"}}`))
	for _, path := range []string{"dataCentre", "ip", "listen.callers", "listen.ready", "store.address", "grace", "memoryMB"} {
		c.Assert(err, qt.ErrorMatches, `(?s).*`+path+`: .*`)
	}
	_, err = entry.ParseSettings([]byte(`{"vm":`))
	c.Assert(err, qt.ErrorMatches, "is not valid: .*")
}

// A VM that starts while the store cannot be reached must learn routes and runners from its peers. Guards
// against refusing every request until the store is back.
func TestStartWithoutTheStore(t *testing.T) {
	s := newCluster(t)
	s.start("vm-1")
	second := s.prepare("vm-2")
	s.run(second)
	s.eventually(func() bool { return readyStatus(second.readyAddr) == http.StatusOK })
	s.store.SetMode(standin.StoreUnavailable)
	second.stop()
	s.Assert(<-second.runErr, qt.IsNil)
	s.run(second)
	s.eventually(func() bool { return readyStatus(second.readyAddr) == http.StatusOK })
	code, body, _ := s.call(second, "POST", "/fetch/x", "f1", "record")
	s.Assert(code, qt.Equals, http.StatusOK)
	s.Assert(body, qt.Equals, "record")
	s.store.SetMode(standin.StoreNormal)
	s.eventually(func() bool {
		code, _, _ := s.call(second, "POST", "/mark/x", "j1", `{"items":[{"id":"i1","path":"/mark/1","body":"YQ=="}]}`)
		return code == http.StatusAccepted
	})
}
