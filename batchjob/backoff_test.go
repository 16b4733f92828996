package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against appends that all VMs send again four to six times a second for as long as the store is too slow to serve
// them, which keeps it slow, and against a VM that still waits when the store is back.
func TestFailedAppendsBackOff(t *testing.T) {
	for name, test := range map[string]struct {
		outcome gateway.AppendOutcome
		// most is the largest number of appends and fences in the time of the outage.
		most int
	}{
		"rejected": {gateway.AppendRejected{Reason: "503"}, 30},
		"unknown":  {gateway.AppendUnknown{}, 30},
	} {
		t.Run(name, func(t *testing.T) {
			const outage, step = 20 * cs.Second, 10 * cs.Millisecond
			c := qt.New(t)
			l := &jobLog{}
			v := newVM("a")
			spec := newJob("j", 1)
			v.Jobs.Insert("j", gateway.Job{Spec: spec, ItemWork: make([]gateway.ItemWork, 1)})
			v.Proposals = append(v.Proposals, gateway.ProposeResult{Key: gateway.ItemKey{Job: "j"}, Result: gateway.Result{Item: spec.Items[0].ID, Done: true}})
			now, sent := startTime, 0
			var timeout cs.Span
			for ; now < startTime.Add(outage); now = now.Add(step) {
				v.tick(now)
				for _, a := range v.appends {
					sent++
					c.Check(a.Timeout >= timeout, qt.IsTrue)
					timeout = a.Timeout
					v.inbox = append(v.inbox, gateway.JobsAppended{Number: a.AppendID.Number, Outcome: test.outcome})
				}
				for _, a := range v.fences {
					sent++
					c.Check(a.Timeout >= timeout, qt.IsTrue)
					timeout = a.Timeout
					v.inbox = append(v.inbox, gateway.JobsFenced{Number: a.AppendID.Number, Outcome: test.outcome})
				}
				v.appends, v.fences = nil, nil
				v.readLog(l, now)
			}
			c.Check(sent > 8 && sent <= test.most, qt.IsTrue, qt.Commentf("%d appends in %s", sent, outage))
			c.Check(timeout > 2*cs.Second, qt.IsTrue, qt.Commentf("the store may have 2 s waiting; the timeout is %s", timeout))
			back := now
			for ; len(l.records) == 0 && now < back.Add(5*cs.Second); now = now.Add(step) {
				v.tick(now)
				v.completeAppends(l)
				v.readLog(l, now)
			}
			c.Check(now.Sub(back) <= 2*cs.Second+2*step, qt.IsTrue, qt.Commentf("%s after the store is back", now.Sub(back)))
			v.tick(now)
			c.Check(v.JobLog.Failures, qt.Equals, 0)
		})
	}
}
