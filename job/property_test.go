package job

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// init fixes the random seed, so that each run of the tests generates the same cases; -rapid.seed
// on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var largePrompt = strings.Repeat("p", 200<<10)

// history is what callers, senders and readers saw in a run, with the checks on it.
type history struct {
	*rapid.T
	c               *cluster
	queries         map[uint64]cs.ShardQuery
	submitted       map[cs.JobID]int
	accepted        map[cs.JobID]bool
	permitted       map[cs.CallID]int
	ended           map[cs.ItemKey]cs.ItemResult
	lastID          uint64
	lastIncarnation cs.Incarnation
}

// TestRandomFailures guards against lost jobs, items that end twice, repeated runs and readers that
// disagree. It injects lost and duplicated appends, outages of the log, and frozen, partitioned and
// replaced VMs.
func TestRandomFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{
			T: rt, c: newCluster(3), queries: map[uint64]cs.ShardQuery{}, submitted: map[cs.JobID]int{},
			accepted: map[cs.JobID]bool{}, permitted: map[cs.CallID]int{},
			ended: map[cs.ItemKey]cs.ItemResult{}, lastIncarnation: 100,
		}
		h.c.loseReply = func() bool { return rapid.IntRange(0, 3).Draw(rt, "lose reply") == 0 }
		h.c.duplicate = func() bool { return rapid.IntRange(0, 3).Draw(rt, "duplicate") == 0 }
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			h.injectFault()
			h.c.step(cs.Span(rapid.SampledFrom([]int{10, 60, 300, 2500}).Draw(rt, "ms")))
			h.check()
		}
		h.healAndCheck()
	})
}

func (h *history) draw(label string, n int) int { return rapid.IntRange(0, n-1).Draw(h.T, label) }

func (h *history) injectFault() {
	c, i := h.c, h.draw("vm", 3)
	n := c.nodes[i]
	switch h.draw("fault", 16) {
	case 0, 1, 2:
		m := job(fmt.Sprint("j", h.draw("job", 4)), 1+h.draw("items", 6), h.draw("once", 2) == 0)
		if m.Job.Key == "j3" { // its records need several batches
			for k := range m.Items {
				m.Items[k].Target = cs.Generation{Model: "m", Prompt: largePrompt}
			}
		}
		h.submitted[m.Job.ID]++
		h.ask(i, m)
	case 3:
		h.ask(i, cs.StopJob{Job: job(fmt.Sprint("j", h.draw("job", 4)), 1, false).Job.ID, Tenant: "t"})
	case 4:
		h.ask(i, cs.BeginCall{Call: cs.CallID(fmt.Sprint("c", h.draw("call", 3))), Hash: 1, VM: n.vm.ID})
	case 5, 6, 7, 8:
		c.offer(i, h.draw("to", 3), cs.Slots(1+h.draw("slots", 4)))
	case 9, 10:
		h.endRun()
	case 11:
		c.logDown = !c.logDown
	case 12:
		n.frozen = !n.frozen
	case 13:
		n.partitioned = !n.partitioned
	case 14:
		h.replaceVM(i)
	case 15:
		n.t.Drain.Phase = fleet.DrainFinishing
	}
	if len(c.delayed) > 0 && h.draw("late", 3) == 0 {
		c.appendToLog(c.delayed[0])
		c.delayed = c.delayed[1:]
	}
}

func (h *history) ask(i int, q cs.ShardQuery) {
	if h.c.nodes[i].frozen {
		return
	}
	h.lastID++
	h.queries[h.lastID] = q
	h.c.ask(i, h.lastID, q)
}

// replaceVM kills a VM, with its runs, and starts another process in its place.
func (h *history) replaceVM(i int) {
	h.lastIncarnation++
	old := h.c.nodes[i].vm.ID
	h.c.start(i, h.lastIncarnation)
	var left []heldRun
	for _, r := range h.c.runs {
		if r.sender != old {
			left = append(left, r)
		}
	}
	h.c.runs = left
}

func (h *history) endRun() {
	if len(h.c.runs) == 0 {
		return
	}
	m := cs.ItemOutcome{Output: fmt.Sprint("out", h.lastID)}
	switch h.draw("outcome", 5) {
	case 0:
		m.Refusal = cs.Refuse(cs.ReasonUnavailable, "not run")
	case 1:
		m.Refusal = &cs.Refusal{Reason: cs.ReasonRejected, Ran: cs.RanFailed, Message: "failed"}
	case 2:
		m.Refusal = &cs.Refusal{Reason: cs.ReasonBroken, Ran: cs.RanUnknown, Message: "broken"}
	case 3:
		m.Stopped = true
	}
	h.c.deliverOutcome(h.draw("run", len(h.c.runs)), m)
}

func (h *history) check() {
	h.checkAnswers()
	for k, n := range h.c.runCount {
		if n > 1 {
			h.Fatalf("non-idempotent item %v was granted %d times", k, n)
		}
	}
	if n := h.c.grantsAfterStop; n > 0 {
		h.Fatalf("%d items of cancelled jobs were granted after the cancellation", n)
	}
	if h.c.immediateWakes > 0 {
		h.Fatalf("a tick requested another one at once")
	}
	for _, n := range h.c.nodes {
		h.checkEnds(n.t)
	}
}

func (h *history) checkAnswers() {
	for _, id := range slices.Sorted(maps.Keys(h.c.answers)) {
		a := h.c.answers[id]
		delete(h.c.answers, id)
		switch q := h.queries[id].(type) {
		case cs.SubmitJob:
			if ja, ok := a.(cs.JobReply); ok {
				h.accepted[q.Job.ID] = true
				if int(ja.Status.Job.Count) != len(q.Items) {
					h.Fatalf("job %s has lost items", q.Job.ID)
				}
			}
			h.checkNotRun(q.Job.ID, a)
		case cs.BeginCall:
			if ca, ok := a.(cs.CallReply); ok && ca.Run {
				h.permitted[q.Call]++
				h.ask(h.draw("ender", 3), cs.EndCall{Call: q.Call, Answer: []byte("done")})
			}
			if h.permitted[q.Call] > 1 {
				h.Fatalf("call %s was permitted twice", q.Call)
			}
		default:
		}
	}
}

// checkNotRun checks that the log does not hold a job that was submitted once and refused as not
// run.
func (h *history) checkNotRun(id cs.JobID, a cs.ShardReply) {
	r, ok := a.(cs.RefusedReply)
	if !ok || h.submitted[id] > 1 || r.Refusal.Ran != cs.RanNotRun {
		return
	}
	for _, b := range h.c.log {
		for _, rec := range b.Batch.Records {
			if o, ok := rec.(cs.JobOpened); ok && o.Job.ID == id {
				h.Fatalf("job %s was refused as not run and is in the log", id)
			}
		}
	}
}

// checkEnds checks that an item that has ended for one reader keeps that end for all readers.
func (h *history) checkEnds(t *fleet.Tables) {
	for id, j := range t.Jobs.All() {
		for i := range j.Items {
			it := &j.Items[i]
			if !it.State.Ended() || it.Undurable {
				continue
			}
			k, res := cs.ItemKey{Job: id, Index: cs.ItemIndex(i)}, resultOf(cs.ItemIndex(i), it)
			if first, ok := h.ended[k]; ok && first != res {
				h.Fatalf("item %v ended as %v and as %v", k, first, res)
			}
			h.ended[k] = res
		}
	}
}

// checkSubmissionsAnswered checks that each submission gets an answer once all faults are removed.
func (h *history) checkSubmissionsAnswered() {
	if !h.c.runUntil(cs.Minute, func() bool { return h.c.owner() != nil }) {
		h.Fatalf("no VM owns the shard")
	}
	for i := range 4 {
		id := uint64(10_000 + i)
		h.c.ask(0, id, job(fmt.Sprint("j", i), 2, false))
		h.c.runUntil(31*cs.Second, func() bool { return h.c.answers[id] != nil })
		a := h.c.answers[id]
		refused, ok := a.(cs.RefusedReply)
		if a == nil || ok && refused.Refusal.Reason != cs.ReasonConflict {
			h.Fatalf("submission of job j%d was answered with %v", i, a)
		}
	}
}

// healAndCheck removes all faults and checks that every accepted job ends and all readers agree.
func (h *history) healAndCheck() {
	c := h.c
	c.logDown, c.delayed = false, nil
	c.loseReply, c.duplicate = func() bool { return false }, func() bool { return false }
	for _, n := range c.nodes {
		n.frozen, n.partitioned, n.t.Drain.Phase = false, false, fleet.DrainNone
	}
	for _, id := range slices.Sorted(maps.Keys(h.accepted)) {
		if !c.finish(id, 12*cs.Minute) {
			h.Fatalf("accepted job %s does not end", id)
		}
		h.check()
	}
	h.checkSubmissionsAnswered()
	c.runUntil(3*cs.Second, func() bool { return false })
	for _, n := range c.nodes {
		if !n.tailing {
			continue
		}
		for id, j := range n.t.Jobs.All() {
			if j.State == cs.JobOpening {
				h.Fatalf("job %s is neither opened nor dropped", id)
			}
		}
		got, want := fmt.Sprint(logFacts(n.t)), fmt.Sprint(logFacts(c.replay(n.t.Shards.Get(0).Next)))
		if got != want {
			h.Fatalf("%s holds %s, the log holds %s", n.vm.ID, got, want)
		}
	}
}
