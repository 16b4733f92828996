package batchjob_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// crashItems ends the runs that have started as crashes of their runners, which the VM learns of, and returns how many.
func crashItems(v *vm, now cs.Instant) int {
	n := len(v.started)
	for _, r := range v.started {
		v.inbox = append(v.inbox, gateway.ItemRunEnded{
			Key: r.Key, Attempt: r.Attempt, Outcome: gateway.ItemInterrupted{Error: "EOF", Disconnected: true},
		})
	}
	v.started = nil
	v.tick(now)
	for _, r := range v.Runners.All() {
		r.Spec.Incarnation++ // each runner has started again
		r.ResetFailures()
	}
	v.tick(now)
	return n
}

// Guards against items whose part crashes each runner that begins on it: they must be held, without a result, while the
// part is quarantined, and run when its cause is gone.
func TestItemWithPartThatCrashesRunnersIsHeld(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	v := newVM("a", 0, 1, 2, 3)
	job := newJob("j", 1)
	job.Items[0].Parts = []cs.PromptPart{0xdead}
	submit(v, l, job, 1, startTime)
	now := startTime
	runs := 0
	for range 140 { // 14 s
		now = now.Add(100)
		v.inbox = append(v.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}})
		v.tick(now)
		runs += crashItems(v, now)
	}
	c.Assert(v.Quarantine.Parts, qt.DeepEquals, []cs.PromptPart{0xdead})
	// Three crashes prove the part; until the proof counts, the item may run again every 0.1 s.
	c.Assert(runs >= 3 && runs <= 12, qt.IsTrue, qt.Commentf("%d runs", runs))
	c.Assert(v.Jobs.Get("j").Results, qt.HasLen, 0)

	for range 100 { // 10 s: one run may find out that the cause is gone
		now = now.Add(100)
		v.inbox = append(v.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}})
		v.tick(now)
		for _, r := range v.started {
			v.inbox = append(v.inbox, gateway.ItemRunEnded{
				Key: r.Key, Attempt: r.Attempt, Outcome: gateway.ItemCompleted{}, Text: []byte("a"), LastEvent: 1,
			})
		}
		v.started = nil
		v.completeAppends(l)
		v.readLog(l, now)
	}
	c.Assert(v.Jobs.Get("j").Results, qt.DeepEquals, []gateway.Result{{Item: "j-0", Done: true, Text: "a"}})
	c.Assert(v.Quarantine.Parts, qt.HasLen, 0)
}
