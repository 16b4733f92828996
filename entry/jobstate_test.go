package entry_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
	"github.com/crocusstile/crocusstile/wire"
)

// putJobs appends jobs with results of 12 KB each to the job log.
func (s *cluster) putJobs(jobs, results int) {
	number := uint64(0)
	put := func(change gateway.JobChange) {
		number++
		id := gateway.AppendID{Writer: 1, Number: number}
		if r, ok := change.(gateway.JobResultAppended); ok {
			r.AppendID = id
			change = r
		}
		records, err := wire.EncodeJobChanges(id, []gateway.JobChange{change}, cs.JobLogPlain, 1<<18)
		s.Assert(err, qt.IsNil)
		for _, r := range records {
			s.store.Put("keyed.jobs", r.Key, r.Value)
		}
	}
	for n := range jobs {
		spec := gateway.JobSpec{ID: cs.JobID(fmt.Sprint("j", n)), Route: "mark", Host: "h.example", Accepted: 1}
		for i := range results {
			spec.Items = append(spec.Items, gateway.Item{ID: cs.ItemID(fmt.Sprint("i", i)), Target: "/mark/x", Body: []byte("body"), Tokens: 1})
		}
		put(gateway.JobOpened{Spec: spec})
		for i := range results {
			i = (i*7 + n) % results // not in the order of the keys
			put(gateway.JobResultAppended{Job: spec.ID, Index: i, Result: gateway.Result{Item: spec.Items[i].ID, Done: true, Text: strings.Repeat(fmt.Sprint(i), 6000)}})
		}
	}
}

// resultsOf returns all results of a job as a VM lists them, or the status if that is not 200.
func (s *cluster) resultsOf(m *entryVM, job string) string {
	var all strings.Builder
	for next := 0; ; {
		code, body, _ := s.call(m, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", job, next), "q", "")
		if code != http.StatusOK {
			return fmt.Sprint("status ", code)
		}
		var page struct {
			Total, Next int
			Results     []json.RawMessage
		}
		s.Assert(json.Unmarshal([]byte(body), &page), qt.IsNil)
		for _, r := range page.Results {
			all.Write(r)
			all.WriteByte('\n')
		}
		if next = page.Next; next >= page.Total {
			return all.String()
		}
	}
}

// Guards against a VM that has started and cannot answer for accepted jobs, since the store does not send it the whole job log,
// while a peer has it. Results must be the same, at the same positions.
func TestStartedVMTakesJobLogFromPeer(t *testing.T) {
	for name, pages := range map[string]int64{"after a page": 1, "from the first page on": 0} {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t)
			s.putJobs(6, 50) // 3.6 MB in 306 records
			peer := s.start("a")
			s.eventually(func() bool { return strings.HasPrefix(s.resultsOf(peer, "j5"), "{") })
			var read atomic.Int64
			s.storeAddr = serve(s.C, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/log-newest" && r.URL.Query().Get("topic") == "keyed.jobs" && read.Add(1) > pages {
					<-r.Context().Done()
					return
				}
				s.store.ServeHTTP(w, r)
			}))
			v := s.start("b")
			s.eventually(func() bool { return strings.Contains(v.logs.String(), "stateAdopted") })
			for n := range 6 {
				job := fmt.Sprint("j", n)
				s.Assert(s.resultsOf(v, job), qt.Equals, s.resultsOf(peer, job))
			}
			code, _, _ := s.call(v, http.MethodGet, "/lots/none", "q", "")
			s.Assert(code, qt.Equals, http.StatusNotFound, qt.Commentf("the changes after the state must be read"))
		})
	}
}
