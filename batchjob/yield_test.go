package batchjob_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Guards against partitions whose results are never listed, since their VM keeps them although the store takes none of its appends,
// or it does not get to the end of the job log, while others could serve them; and against a VM that gives them up although it can
// serve them, or while nobody can.
func TestPartitionsThatCannotBeServedAreGivenUp(t *testing.T) {
	const step, trouble, span = 20 * cs.Millisecond, 30 * cs.Second, 45 * cs.Second
	for name, test := range map[string]struct {
		// appends and fences are the outcomes of those of the VM in the trouble, or nil if they succeed.
		appends, fences gateway.AppendOutcome
		// othersAppend, reads and renews tell whether others append, and whether the VM reads the log and renews its membership.
		othersAppend, reads, renews bool
		yields                      bool
	}{
		"store refuses all appends of the VM": {gateway.AppendRejected{}, gateway.AppendRejected{}, true, true, true, true},
		"store answers no append of the VM":   {gateway.AppendUnknown{}, gateway.AppendUnknown{}, true, true, true, true},
		"store refuses one change":            {gateway.AppendRejected{}, nil, true, true, true, false},
		"store refuses the appends of all":    {gateway.AppendRejected{}, gateway.AppendRejected{}, false, true, true, false},
		"log cannot be read":                  {nil, nil, true, false, true, true},
		"store is cut off":                    {gateway.AppendUnknown{}, gateway.AppendUnknown{}, true, false, false, false},
		"no trouble":                          {nil, nil, true, true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := &jobLog{}
			v := newVM("a", 0, 1, 2, 3)
			spec := newJob("bad", 1)
			v.Jobs.Insert("bad", gateway.Job{Spec: spec, FirstReadAt: startTime, ItemWork: []gateway.ItemWork{{Phase: gateway.ItemProposed}}})
			v.Proposals = append(v.Proposals, gateway.ProposeResult{Key: gateway.ItemKey{Job: "bad"}, Result: gateway.Result{Item: spec.Items[0].ID, Done: true}})
			var changes []cs.Span
			role := v.JobLog.Role
			for now := startTime; now < startTime.Add(span); now = now.Add(step) {
				elapsed := now.Sub(startTime)
				inTrouble := elapsed < trouble
				if test.othersAppend && elapsed%cs.Second == 0 {
					job := newJob(cs.JobID(fmt.Sprint("other", elapsed)), 1)
					l.records = append(l.records, gateway.JobRecord{Offset: cs.Offset(len(l.records)), Change: gateway.JobOpened{Spec: job}})
				}
				if (test.reads || !inTrouble) && elapsed%(200*cs.Millisecond) == 0 {
					v.readLog(l, now)
				}
				if (test.renews || !inTrouble) && elapsed%(600*cs.Millisecond) == 0 && v.JobLog.Role == gateway.JobLogFollower {
					v.inbox = append(v.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}})
				}
				v.tick(now)
				for _, a := range v.appends {
					if inTrouble && test.appends != nil {
						v.inbox = append(v.inbox, gateway.JobsAppended{Number: a.AppendID.Number, Outcome: test.appends})
					} else {
						v.inbox = append(v.inbox, gateway.JobsAppended{Number: a.AppendID.Number, Outcome: l.append(a)})
					}
				}
				for _, a := range v.fences {
					if inTrouble && test.fences != nil {
						v.inbox = append(v.inbox, gateway.JobsFenced{Number: a.AppendID.Number, Outcome: test.fences})
					} else {
						v.inbox = append(v.inbox, gateway.JobsFenced{Number: a.AppendID.Number, Outcome: l.fence(a)})
					}
				}
				v.appends, v.fences, v.started = nil, nil, nil
				if v.JobLog.Role != role {
					role = v.JobLog.Role
					changes = append(changes, elapsed)
				}
			}
			c.Check(v.JobLog.Role, qt.Equals, gateway.JobLogFollower)
			c.Check(v.Jobs.Get("bad").Results, qt.HasLen, 1)
			if !test.yields {
				c.Check(changes, qt.HasLen, 0)
				return
			}
			c.Assert(changes, qt.HasLen, 2, qt.Commentf("one change of role to give the partitions up, and one to come back"))
			c.Check(changes[0] > 6*cs.Second && changes[0] < 12*cs.Second, qt.IsTrue, qt.Commentf("given up after %s", changes[0]))
			c.Check(changes[1] > trouble && changes[1] < trouble+6*cs.Second, qt.IsTrue, qt.Commentf("back after %s", changes[1]))
		})
	}
}
