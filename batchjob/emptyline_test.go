package batchjob_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/batchjob"
	"github.com/crocusstile/crocusstile/forward"
	"github.com/crocusstile/crocusstile/gateway"
)

// cutStream is a runner that sends the events after the last one of a run, and fails once, after cutAfter.
type cutStream struct {
	events   []string
	cutAfter cs.EventID
}

func (s *cutStream) Dispatch(_ context.Context, _ forward.RunnerRequest, d forward.Destination) (*forward.RunnerResponse, error) {
	end, last := io.Reader(strings.NewReader("")), cs.EventID(len(s.events))
	if s.cutAfter > d.LastEvent {
		end, last = iotest.ErrReader(io.ErrUnexpectedEOF), s.cutAfter
	}
	var b strings.Builder
	for n := d.LastEvent + 1; n <= last; n++ {
		data := strings.ReplaceAll(s.events[n-1], "\n", "\ndata: ")
		b.WriteString("id: " + strconv.Itoa(int(n)) + "\ndata: " + data + "\n\n")
	}
	body := io.NopCloser(io.MultiReader(strings.NewReader(b.String()), end))
	return &forward.RunnerResponse{Status: http.StatusOK, Stream: true, Signed: true, Body: body}, nil
}

// Guards against results that lack empty lines of their events, in one run or where a run resumes another (review/8).
func TestResultsKeepEmptyLines(t *testing.T) {
	events := []string{"", "\n", "\na", "", "b\n", "\n\nc"}
	for cutAfter := range cs.EventID(len(events)) {
		t.Run("cut after event "+strconv.Itoa(int(cutAfter)), func(t *testing.T) {
			c := qt.New(t)
			l := &jobLog{}
			v := newVM("a", 0, 1, 2, 3)
			submit(v, l, newJob("j", 1), 1, startTime)
			ended := make(chan gateway.ItemRunEnded, 1)
			traffic := batchjob.NewTraffic(&cutStream{events, cutAfter}, func(_ context.Context, e gateway.Event) error {
				ended <- e.(gateway.ItemRunEnded)
				return nil
			})
			defer traffic.Close()
			runs := 0
			for now := startTime; len(v.Jobs.Get("j").Results) == 0; now = now.Add(20) {
				c.Assert(now < startTime.Add(10*cs.Second), qt.IsTrue, qt.Commentf("no result after %d runs", runs))
				v.inbox = append(v.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}})
				v.readLog(l, now)
				v.tick(now)
				for ; runs < len(v.started); runs++ {
					v.started[runs].EventTimeout = 5 * cs.Second
					traffic.Run(t.Context(), v.started[runs])
					v.inbox = append(v.inbox, <-ended)
				}
				v.completeAppends(l)
			}
			c.Check(v.Jobs.Get("j").Results, qt.DeepEquals, []gateway.Result{{Item: "j-0", Done: true, Text: strings.Join(events, "\n")}})
			c.Check(runs, qt.Equals, min(int(cutAfter), 1)+1)
		})
	}
}
