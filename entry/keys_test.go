package entry_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/standin"
)

// keyedCatalog is a configuration with workspaces one, with the given keys, two (key-2) and three, which cannot be decoded.
func keyedCatalog(version int, keysOfOne string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
{"name":"fetch","host":"h.example","path_prefix":"/fetch/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"plain","max_attempts":3},
{"name":"open","host":"h.example","path_prefix":"/open/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":400,"service":"plain","max_attempts":3,"public":true},
{"name":"mark","host":"h.example","path_prefix":"/mark/","kind":"batch","timeout_ms":15000,"target_latency_ms":400,"service":"model","max_attempts":3,"completion_target_ms":18000,"retention_s":60,"max_count":100000}],
"services":[{"name":"model","engine":{"slots":8}},{"name":"plain"}],
"tenants":[{"name":"one","api_keys":[%s]},{"name":"two","api_keys":["key-2"],"priority":0}, {"name":"three","rate_per_s":"key-9"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, keysOfOne)
}

// headerLog keeps the headers of requests that runners got, by the ID of the request.
type headerLog struct {
	mu      sync.Mutex
	headers map[string]http.Header
}

func (l *headerLog) record(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		l.headers[r.Header.Get("Request-Id")] = r.Header.Clone()
		l.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// seen returns the keys and workspaces that a runner got with a request, and whether it got the request.
func (l *headerLog) seen(id string) (keys, workspaces []string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.headers[id]
	return h["Api-Key"], h["Tenant"], ok
}

// newKeyedCluster returns a cluster with workspaces whose runners record headers.
func newKeyedCluster(t *testing.T) (*cluster, *headerLog) {
	s := newCluster(t)
	log := &headerLog{headers: make(map[string]http.Header)}
	for service, e := range map[string]*standin.Endpoint{"plain": standin.NewEndpoint("i-plain", 0, 0), "model": standin.NewEndpoint("i-model", 2, 0)} {
		s.store.Put("keyed.servers", e.ID, fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":"a","slots":8,"state":"ready","born":1}`, service, serve(s.C, log.record(e))))
	}
	s.store.Put("keyed.op", "config", keyedCatalog(2, `"key-1a","key-1b"`))
	return s, log
}

// callWithKey sends a request with a key and a forged workspace, and returns the status and the body of the response.
func (s *cluster) callWithKey(m *entryVM, method, path, id, key, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+m.callersAddr+path, strings.NewReader(body))
	s.Assert(err, qt.IsNil)
	req.Host = "h.example"
	req.Header = http.Header{"Request-Id": {id}, "Deadline-Ms": {"2000"}, "Tenant": {"forged"}}
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	s.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	var text bytes.Buffer
	_, err = text.ReadFrom(resp.Body)
	s.Assert(err, qt.IsNil)
	return resp.StatusCode, text.String()
}

// Guards against requests that run without a key or for another workspace, jobs that another workspace finds at any VM, and keys in
// what runners get or in the log.
func TestWorkspacesAreKeptApart(t *testing.T) {
	s, log := newKeyedCluster(t)
	a, b := s.start("vm-1"), s.start("vm-2")
	for i, test := range []struct {
		path, key, workspace string
		status               int
	}{
		{"/fetch/x", "key-1a", "one", http.StatusOK},
		{"/fetch/x", "key-2", "two", http.StatusOK},
		{"/fetch/x", "", "", http.StatusUnauthorized},
		{"/fetch/x", "key-9", "", http.StatusUnauthorized},
		{"/open/x", "key-1b", "one", http.StatusOK},
		{"/open/x", "", "", http.StatusOK},
		{"/open/x", "key-9", "", http.StatusOK},
	} {
		id := fmt.Sprint("o", i)
		status, _ := s.callWithKey(a, "POST", test.path, id, test.key, "x")
		s.Check(status, qt.Equals, test.status, qt.Commentf("%+v", test))
		keys, workspaces, ran := log.seen(id)
		s.Check(ran, qt.Equals, test.status == http.StatusOK)
		s.Check(keys, qt.IsNil)
		s.Check(strings.Join(workspaces, "|"), qt.Equals, test.workspace, qt.Commentf("%+v", test))
	}

	job := `{"items":[{"id":"i1","path":"/mark/1","headers":{"api-key":"key-1a","Tenant":"forged"},"body":"cGF5bG9hZA==","tokens":10}]}`
	status, _ := s.callWithKey(a, "POST", "/mark/x", "job", "", job)
	s.Assert(status, qt.Equals, http.StatusUnauthorized)
	for _, m := range []*entryVM{a, b} {
		status, _ = s.callWithKey(m, "POST", "/mark/x", "job", "key-1a", job)
		s.Assert(status, qt.Equals, http.StatusAccepted)
	}
	s.eventually(func() bool {
		status, results := s.callWithKey(b, "GET", "/lots/job?after=0", "", "key-1b", "")
		return status == http.StatusOK && strings.Contains(results, `"next":1`)
	})
	keys, workspaces, _ := log.seen("i1")
	s.Check(keys, qt.IsNil)
	s.Check(workspaces, qt.DeepEquals, []string{"one"})
	for _, m := range []*entryVM{a, b} {
		for _, call := range [][2]string{{"GET", "/lots/job?after=0"}, {"GET", "/items/job?id=i1"}, {"DELETE", "/lots/job"}} {
			status, body := s.callWithKey(m, call[0], call[1], "", "key-2", "")
			_, unknown := s.callWithKey(m, call[0], strings.Replace(call[1], "job", "none", 1), "", "key-2", "")
			s.Check(status, qt.Equals, http.StatusNotFound)
			s.Check(body, qt.Equals, unknown)
			status, _ = s.callWithKey(m, call[0], call[1], "", "", "")
			s.Check(status, qt.Equals, http.StatusUnauthorized)
		}
	}
	status, body := s.callWithKey(b, "GET", "/items/job?id=i1", "", "key-1a", "")
	s.Check(status, qt.Equals, http.StatusOK)
	s.Check(body, qt.Equals, "payload")
	for _, m := range []*entryVM{a, b} {
		s.Check(m.logs.String(), qt.Not(qt.Contains), "key-")
		s.Check(m.logs.String(), qt.Contains, "tenants[2].rate_per_s")
	}
}

// withRevokeBound adds a bound of the withdrawal of keys to the settings of a VM.
func (s *cluster) withRevokeBound(m *entryVM, bound string) *entryVM {
	settings, err := os.ReadFile(m.settings)
	s.Assert(err, qt.IsNil)
	settings = bytes.Replace(settings, []byte(`"grace"`), fmt.Appendf(nil, `"strictRevoke":true,"revoke":%q,"grace"`, bound), 1)
	s.Assert(os.WriteFile(m.settings, settings, 0o600), qt.IsNil)
	return m
}

// Guards against a withdrawn key that is accepted by a VM which has lost the store or has started without it, against requests that
// are refused once the store is back, and against public routes that are refused with the keys.
func TestKeysAreRefusedWithoutConfirmation(t *testing.T) {
	s, log := newKeyedCluster(t)
	s.start("vm-2") // hands over its state
	m := s.withRevokeBound(s.prepare("vm-1"), "2s")
	s.run(m)
	isReady := func() bool { return readyStatus(m.readyAddr) == http.StatusOK }
	s.eventually(isReady)
	fetch := func(key string) int {
		status, _ := s.callWithKey(m, "POST", "/fetch/x", "f", key, "x")
		return status
	}
	s.Assert(fetch("key-1a"), qt.Equals, http.StatusOK)
	for range 2 { // in the second round the VM starts without the store
		s.store.SetMode(standin.StoreUnavailable)
		s.eventually(func() bool { return !isReady() })
		s.eventually(func() bool { return fetch("key-1a") == http.StatusServiceUnavailable })
		s.eventually(func() bool { return fetch("key-9") == http.StatusServiceUnavailable })
		status, _ := s.callWithKey(m, "POST", "/open/x", "p", "key-1a", "x")
		s.Assert(status, qt.Equals, http.StatusOK)
		_, workspaces, _ := log.seen("p")
		s.Assert(workspaces, qt.IsNil)
		s.Assert(m.logs.String(), qt.Contains, `"message":"keysRefused"`)
		m.stop()
		s.Assert(<-m.runErr, qt.IsNil)
		s.run(m)
		s.eventually(func() bool { return readyStatus(m.readyAddr) == http.StatusServiceUnavailable }) // it listens
		s.eventually(func() bool {
			status, _ := s.callWithKey(m, "POST", "/open/x", "p", "", "x")
			return status == http.StatusOK
		})
		s.Assert(fetch("key-1a"), qt.Equals, http.StatusServiceUnavailable)
		s.Assert(isReady(), qt.IsFalse)
		s.store.SetMode(standin.StoreNormal)
		s.eventually(isReady)
		s.Assert(fetch("key-1a"), qt.Equals, http.StatusOK)
	}
	s.store.Put("keyed.op", "config", keyedCatalog(3, `"key-1b"`))
	s.eventually(func() bool { return fetch("key-1a") == http.StatusUnauthorized })
	s.Assert(fetch("key-1b"), qt.Equals, http.StatusOK)

	s.store.Put("keyed.op", "config", []byte(`{"version":4,"tenants":7}`)) // it may withdraw any key
	s.eventually(func() bool { return !isReady() })
	s.eventually(func() bool { return fetch("key-1b") == http.StatusServiceUnavailable })
	s.store.Put("keyed.op", "config", keyedCatalog(5, `"key-1b"`))
	s.eventually(isReady)
	s.Assert(fetch("key-1b"), qt.Equals, http.StatusOK)
}
