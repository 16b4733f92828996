package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/standin"
	"github.com/crocusstile/crocusstile/wire"
)

// malformedRegistrations returns registrations of other writers that name no runner to which requests can be sent. The
// service of each is "app".
func malformedRegistrations() map[string]string {
	const format = `{"service":"app","address":"%s","zone":"a","slots":%s,"state":"ready","born":1%s}`
	return map[string]string{
		"nested":                     strings.Repeat("[", 60_000) + strings.Repeat("]", 60_000),
		"nested field":               fmt.Sprintf(format, "127.0.0.1:9", "8", `,"more":`+strings.Repeat(`{"a":`, 20_000)+"1"+strings.Repeat("}", 20_000)),
		"number too large to decode": fmt.Sprintf(format, "127.0.0.1:9", "1"+strings.Repeat("0", 400), ""),
		"largest number of slots":    fmt.Sprintf(format, "127.0.0.1:9", "2147483647", ""),
		"a million slots":            fmt.Sprintf(format, "127.0.0.1:9", "1000000", ""),
		"port 0":                     fmt.Sprintf(format, "127.0.0.1:0", "8", ""),
		"port out of range":          fmt.Sprintf(format, "127.0.0.1:65536", "8", ""),
		"scoped address":             fmt.Sprintf(format, "[fe80::1%eth0]:80", "8", ""),
	}
}

// Guards against VMs that end, stop to follow the registrations, or refuse requests after another writer has left a
// registration that is deeply nested, or has a number or a port out of range, among those of the runners.
func TestMalformedRegistrationsDisturbNothing(t *testing.T) {
	for name, value := range malformedRegistrations() {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t)
			s.store.Put("keyed.servers", "i-first", []byte(value))
			m := s.start("vm-1")
			s.checkServed(m, "a", 10)
			for range 100 { // the other writer goes on
				s.store.Put("keyed.servers", "i-other", []byte(value))
			}
			s.checkServed(m, "b", 10)

			s.store.Put("keyed.servers", s.appRunner.ID, nil)
			next := standin.NewEndpoint("i-next", 0, 0)
			s.register(next, "app")
			s.eventually(func() bool { return strings.Contains(m.logs.String(), `"runner":"i-next"`) })
			s.checkServed(m, "c", 10)
			s.Check(next.Runs("c9"), qt.Equals, 1)
			s.Check(strings.Count(m.logs.String(), `"requestRetried"`), qt.Equals, 0)
		})
	}
}

// checkServed checks that requests for the service "app" are served.
func (s *cluster) checkServed(m *entryVM, prefix string, n int) {
	for i := range n {
		code, body, _ := s.call(m, "POST", "/fetch/x", fmt.Sprintf("%s%d", prefix, i), "record")
		s.Check(code, qt.Equals, http.StatusOK)
		s.Check(body, qt.Equals, "record")
	}
}

// Guards against VMs that go on to use a runner after its registration was replaced by one that names no runner, or that use
// it no longer once it has written its own again.
func TestMalformedRegistrationOfRunnerInUse(t *testing.T) {
	s := newCluster(t)
	m := s.start("vm-1")
	s.checkServed(m, "a", 1)
	s.store.Put("keyed.servers", s.appRunner.ID, []byte(malformedRegistrations()["port out of range"]))
	s.eventually(func() bool { return strings.Contains(m.logs.String(), `"message":"runnerRemoved"`) })
	s.register(s.appRunner, "app")
	s.eventually(func() bool { return strings.Count(m.logs.String(), `"runner":"`+s.appRunner.ID+`","outcome"`) == 2 })
	s.checkServed(m, "b", 3)
}

// Guards against a record of the job log with a position outside of its job, which ends the VMs that read it, and again
// whenever they start.
func TestMalformedRecordsOfJobLogDisturbNothing(t *testing.T) {
	s := newCluster(t)
	m := s.start("vm-1")
	code, _, _ := s.call(m, "POST", "/mark/x", "job1", `{"items":[{"id":"i1","path":"/mark/1","body":"","tokens":10}]}`)
	s.Assert(code, qt.Equals, http.StatusAccepted)
	id := gateway.AppendID{Writer: 1, Number: 1}
	changes := []gateway.JobChange{
		gateway.JobResultAppended{Job: "job1", Index: -1, AppendID: id, Result: gateway.Result{Item: "i1"}},
		gateway.JobResultAppended{Job: "job1", Index: 1 << 62, AppendID: id, Result: gateway.Result{Item: "i1"}},
		gateway.ProgressSaved{Job: "job1", Item: "i1", Index: -1, Progress: gateway.Progress{LastEvent: 1}},
	}
	records, err := wire.EncodeJobChanges(id, changes, cs.JobLogPlain, 1<<18)
	s.Assert(err, qt.IsNil)
	for _, r := range records {
		s.store.Put("keyed.jobs", r.Key, r.Value)
	}
	for _, key := range []string{"r/job1/0/1-2", "j/job2/0", "e", "", "\xff"} {
		s.store.Put("keyed.jobs", key, []byte(strings.Repeat("\x81", 10_000))) // nested arrays of one element
	}
	for _, vm := range []*entryVM{m, s.start("vm-2")} { // the second one reads a snapshot
		s.eventually(func() bool {
			_, results, _ := s.call(vm, "GET", "/lots/job1?after=0", "", "")
			return strings.Contains(results, `"completed"`)
		})
	}
}

// Guards against VMs whose peers can decode none of their reports because they know a runner by an ID that is not text.
func TestRunnerIDThatIsNotTextSilencesNoVM(t *testing.T) {
	s := newCluster(t)
	a, b := s.start("vm-1"), s.start("vm-2")
	s.store.Put("keyed.servers", "i-\xff\xfe", []byte(`{"service":"app","address":"127.0.0.1:9","zone":"a","slots":8,"state":"ready","born":1}`))
	s.register(standin.NewEndpoint("i-next", 0, 0), "app")
	s.eventually(func() bool { return strings.Contains(a.logs.String(), `"runner":"i-next"`) })
	for i := range 20 {
		code, _, _ := s.call(a, "POST", "/fetch/x", fmt.Sprintf("a%d", i), "record")
		s.Check(code, qt.Equals, http.StatusOK)
		time.Sleep(50 * time.Millisecond)
	}
	s.eventually(func() bool { return strings.Contains(b.logs.String(), `"peerFound"`) })
	s.Check(strings.Count(b.logs.String(), "load report cannot be decoded"), qt.Equals, 0)
	s.Check(b.logs.String(), qt.Not(qt.Contains), `"peerLost"`)
}
