package entry_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startFleet starts VMs of which the given number follows the job log, and returns them once all know a follower.
func (s *cluster) startFleet(vms, followers int) []*entryVM {
	var fleet []*entryVM
	for i := range vms {
		m := s.prepare(fmt.Sprint("vm-", i))
		s.setFollowers(m, followers)
		s.run(m)
		s.eventually(func() bool { return readyStatus(m.readyAddr) == http.StatusOK })
		fleet = append(fleet, m)
	}
	return fleet
}

// setFollowers sets the number of followers of a data centre in the settings of a VM.
func (s *cluster) setFollowers(m *entryVM, n int) {
	var settings map[string]any
	data, err := os.ReadFile(m.settings)
	s.Assert(err, qt.IsNil)
	s.Assert(json.Unmarshal(data, &settings), qt.IsNil)
	settings["jobLogFollowers"] = n
	data, err = json.Marshal(settings)
	s.Assert(err, qt.IsNil)
	s.Assert(os.WriteFile(m.settings, data, 0o600), qt.IsNil)
}

// followers returns the VMs that have begun to follow the job log.
func followers(fleet []*entryVM) (followers, others []*entryVM) {
	for _, m := range fleet {
		if strings.Contains(m.logs.String(), `"outcome":"follower"`) {
			followers = append(followers, m)
		} else {
			others = append(others, m)
		}
	}
	return followers, others
}

const oneItemJob = `{"items":[{"id":"%s","path":"/mark/x","headers":{},"body":"MQ==","tokens":100}]}`

// Guards against a job log that each of hundreds of VMs reads, which is more than the store can send. Every VM must accept
// jobs and list their results, although one VM follows the log, also after that VM was stopped.
func TestFewVMsFollowJobLog(t *testing.T) {
	s := newCluster(t)
	fleet := s.startFleet(4, 1)
	s.eventually(func() bool { f, _ := followers(fleet); return len(f) >= 1 })
	time.Sleep(300 * time.Millisecond) // a VM that were to follow as well would do so now
	first, others := followers(fleet)
	s.Assert(len(first) <= 2, qt.IsTrue, qt.Commentf("%d followers", len(first))) // a VM that comes first may start last
	submit := func(m *entryVM, job string) {
		s.eventually(func() bool {
			code, _, _ := s.call(m, http.MethodPost, "/mark/x", job, fmt.Sprintf(oneItemJob, job+"-i"))
			return code == http.StatusAccepted
		})
	}
	for i, m := range others {
		submit(m, fmt.Sprint("job-", i))
	}
	for _, m := range fleet {
		for i := range others {
			s.eventually(func() bool { return strings.Contains(s.resultsOf(m, fmt.Sprint("job-", i)), `"completed"`) })
		}
		code, _, _ := s.call(m, http.MethodGet, "/lots/none", "q", "")
		s.Assert(code, qt.Equals, http.StatusNotFound)
	}
	for _, m := range first {
		m.stop()
		s.Assert(<-m.runErr, qt.IsNil)
		m.runErr = nil
	}
	submit(others[0], "later")
	s.eventually(func() bool { return strings.Contains(s.resultsOf(others[1], "later"), `"completed"`) })
	s.eventually(func() bool { return strings.Contains(s.resultsOf(others[1], "job-0"), `"completed"`) })
}

// Guards against a refusal as not run of a job that the VM it was passed to may have accepted: its answer was lost.
func TestLostAnswerOfFollowerIsNoRefusal(t *testing.T) {
	s := newCluster(t)
	var lose atomic.Bool
	store := s.store
	s.storeAddr = serve(s.C, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if lose.Load() && r.URL.Path == "/log-append" && r.URL.Query().Get("topic") == "keyed.jobs" {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done() // neither done nor refused
			return
		}
		store.ServeHTTP(w, r)
	}))
	fleet := s.startFleet(3, 1)
	s.eventually(func() bool { f, _ := followers(fleet); return len(f) >= 1 })
	_, others := followers(fleet)
	s.eventually(func() bool {
		code, _, _ := s.call(others[0], http.MethodGet, "/lots/none", "q", "")
		return code == http.StatusNotFound
	})
	lose.Store(true)
	code, _, _ := s.call(others[0], http.MethodPost, "/mark/x", "lost", fmt.Sprintf(oneItemJob, "lost-i"))
	s.Assert(code == http.StatusBadGateway || code == http.StatusGatewayTimeout, qt.IsTrue, qt.Commentf("status %d", code))
}

// Guards against a call that was passed to another VM and is cut off when the VM that took it stops: it must be answered before
// the process exits.
func TestDrainWaitsForForwardedCalls(t *testing.T) {
	s := newCluster(t)
	fleet := s.startFleet(3, 1)
	s.eventually(func() bool { f, _ := followers(fleet); return len(f) >= 1 })
	_, others := followers(fleet)
	m := others[0]
	s.store.Put("keyed.servers", "i-0", nil) // without runners the job stays open and has no results
	s.store.Put("keyed.servers", "i-1", nil)
	s.eventually(func() bool {
		code, _, _ := s.call(m, http.MethodPost, "/mark/x", "open", fmt.Sprintf(oneItemJob, "open-i"))
		return code == http.StatusAccepted
	})
	type result struct {
		code int
		err  error
	}
	answered := make(chan result, 1)
	go func() {
		req, err := http.NewRequest(http.MethodGet, "http://"+m.callersAddr+"/lots/open?after=1", nil)
		if err != nil {
			answered <- result{err: err}
			return
		}
		req.Host = "h.example"
		req.Header.Set("Wait-Ms", "5000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answered <- result{err: err}
			return
		}
		_, err = io.ReadAll(resp.Body)
		answered <- result{code: resp.StatusCode, err: err}
		_ = resp.Body.Close()
	}()
	time.Sleep(200 * time.Millisecond)
	m.signals <- syscall.SIGTERM
	r := <-answered
	s.Assert(r.err, qt.IsNil)
	s.Assert(r.code, qt.Equals, http.StatusOK)
	s.Assert(<-m.runErr, qt.IsNil)
	m.runErr = nil
}
