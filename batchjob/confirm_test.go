package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against an item that is listed as completed with a part of its output, since its runner crashed in the middle of a stream
// that ends with its connection (review/4), and against one that never completes at runners that end all streams so.
func TestEndWithConnectionIsConfirmed(t *testing.T) {
	type ended struct {
		text string
		last cs.EventID
		gateway.ItemOutcome
	}
	closed := gateway.ItemEndedWithConnection{}
	for name, test := range map[string]struct {
		runs []ended
		want string
	}{
		"crash, then the rest":             {[]ended{{"a\nb", 2, closed}, {"c", 3, gateway.ItemCompleted{}}}, "a\nb\nc"},
		"end, confirmed by no more events": {[]ended{{"a\nb", 2, closed}, {"", 0, closed}}, "a\nb"},
		"end, confirmed by an empty body":  {[]ended{{"a\nb", 2, closed}, {"", 0, gateway.ItemCompleted{}}}, "a\nb"},
		"crash, then an end":               {[]ended{{"a", 1, closed}, {"b", 2, closed}, {"", 0, closed}}, "a\nb"},
		"no response between":              {[]ended{{"a", 1, closed}, {"", 0, gateway.ItemInterrupted{}}, {"", 0, closed}}, "a"},
		"crash after an interruption":      {[]ended{{"a", 1, gateway.ItemInterrupted{}}, {"", 0, closed}, {"b", 2, gateway.ItemCompleted{}}}, "a\nb"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := &jobLog{}
			v := newVM("a", 0, 1, 2, 3)
			submit(v, l, newJob("j", 1), 1, startTime)
			now, lastEvent := startTime, cs.EventID(0)
			for i, run := range test.runs {
				for ; len(v.started) == i; now = now.Add(20) {
					c.Assert(now < startTime.Add(10*cs.Second), qt.IsTrue, qt.Commentf("run %d does not start", i+1))
					v.inbox = append(v.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}})
					v.readLog(l, now)
					v.tick(now)
					v.completeAppends(l)
				}
				c.Assert(v.Jobs.Get("j").Results, qt.HasLen, 0, qt.Commentf("listed before run %d", i+1))
				c.Check(v.started[i].LastEvent, qt.Equals, lastEvent)
				v.inbox = append(v.inbox, gateway.ItemRunEnded{
					Key: v.started[i].Key, Attempt: v.started[i].Attempt, Outcome: run.ItemOutcome, Text: []byte(run.text), LastEvent: run.last,
				})
				lastEvent = max(lastEvent, run.last)
				v.tick(now)
				v.completeAppends(l)
				v.tick(now)
			}
			c.Assert(v.started, qt.HasLen, len(test.runs))
			c.Assert(v.Jobs.Get("j").Results, qt.DeepEquals, []gateway.Result{{Item: "j-0", Done: true, Text: test.want}})
		})
	}
}
