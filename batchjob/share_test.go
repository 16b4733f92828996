package batchjob_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// stateOf returns the state of the job log that a VM hands over.
func stateOf(v *vm, now cs.Instant) *gateway.JobLogState {
	v.states = nil
	v.inbox = append(v.inbox, gateway.JobStateRequested{Query: 1})
	v.tick(now)
	return v.states[0].State
}

// adopt lets a VM take the state of another one, and read from the offset at which that ends.
func adopt(c *qt.C, v, from *vm, now cs.Instant) {
	state := stateOf(from, now)
	c.Assert(state, qt.IsNotNil)
	c.Assert(state.Validate(), qt.IsNil)
	v.inbox = append(v.inbox, gateway.JobStateRead{Peer: from.Self.ID, State: *state, AsOf: now.Add(-state.Age)})
	v.nextOffset = state.End
	v.tick(now)
}

// requireSameJobs checks that two VMs know the same of all jobs.
func requireSameJobs(c *qt.C, got, want *vm) {
	c.Assert(got.Jobs.Len(), qt.Equals, want.Jobs.Len())
	c.Assert(got.JobLog.End, qt.Equals, want.JobLog.End)
	for id, w := range want.Jobs.All() {
		g := got.Jobs.Get(id)
		c.Assert(g, qt.IsNotNil, qt.Commentf("job %s", id))
		c.Assert(g.Spec, qt.DeepEquals, w.Spec)
		c.Assert(g.Opened, qt.Equals, w.Opened)
		c.Assert(g.Results, qt.DeepEquals, w.Results, qt.Commentf("job %s", id))
		c.Assert(g.ResultKeys, qt.DeepEquals, w.ResultKeys, qt.Commentf("job %s", id))
		c.Assert(g.Ended, qt.Equals, w.Ended)
		for i := range w.ItemWork {
			c.Assert(g.ItemWork[i].SavedEvent, qt.Equals, w.ItemWork[i].SavedEvent)
			c.Assert(g.ItemWork[i].LastEvent, qt.Equals, w.ItemWork[i].LastEvent)
			c.Assert(string(g.ItemWork[i].Text), qt.Equals, string(w.ItemWork[i].Text))
			c.Assert(g.ItemWork[i].Phase, qt.Equals, w.ItemWork[i].Phase)
		}
	}
}

// appendRandom appends n random changes of a few jobs.
func appendRandom(l *jobLog, rng *rand.Rand, n int) {
	add := func(change gateway.JobChange) {
		id := gateway.AppendID{Writer: 1, Number: uint64(len(l.records))}
		if r, ok := change.(gateway.JobResultAppended); ok {
			r.AppendID = id
			change = r
		}
		l.records = append(l.records, gateway.JobRecord{Offset: cs.Offset(len(l.records)), AppendID: id, Change: change})
	}
	for range n {
		spec := newJob(cs.JobID(fmt.Sprint("j", rng.IntN(12))), 6)
		i := rng.IntN(len(spec.Items))
		switch rng.IntN(12) {
		case 0, 1:
			add(gateway.JobOpened{Spec: spec})
		case 2:
			if rng.IntN(3) == 0 {
				add(gateway.JobEnded{Job: spec.ID})
			}
		case 3:
			if rng.IntN(3) == 0 {
				add(gateway.JobRemoved{Job: spec.ID})
			}
		case 4, 5:
			event := cs.EventID(1 + rng.IntN(9))
			add(gateway.ProgressSaved{Job: spec.ID, Item: spec.Items[i].ID, Index: i, Progress: gateway.Progress{Text: []byte(fmt.Sprint(event)), LastEvent: event}})
		default:
			add(gateway.JobResultAppended{Job: spec.ID, Index: i, Result: gateway.Result{Item: spec.Items[i].ID, Done: true, Text: fmt.Sprint(len(l.records))}})
		}
	}
}

// Guards against a job, a result or a position that differs at a VM that has taken the state from a peer: it must be what
// applying the records makes, after its start and after the loss of its history, and go on with the records that follow.
func TestAdoptedStateIsThatOfTheLog(t *testing.T) {
	for seed := range uint64(200) {
		c := qt.New(t)
		rng := rand.New(rand.NewPCG(seed, 3))
		l := &jobLog{}
		reader, started, late := newVM("a"), newVM("b"), newVM("c")
		started.inbox = nil // it has not read a snapshot
		now := startTime
		appendRandom(l, rng, rng.IntN(60))
		late.readLog(l, now)
		late.tick(now)
		appendRandom(l, rng, rng.IntN(60))
		reader.readLog(l, now)
		reader.tick(now)
		adopt(c, started, reader, now)
		adopt(c, late, reader, now)
		for _, v := range []*vm{started, late} {
			requireSameJobs(c, v, reader)
			c.Assert(v.Feeds[gateway.FeedJobs].AsOf, qt.Equals, now)
		}
		appendRandom(l, rng, 40)
		for _, v := range []*vm{reader, started, late} {
			v.readLog(l, now)
			v.tick(now)
		}
		requireSameJobs(c, started, reader)
		requireSameJobs(c, late, reader)
	}
}

// Guards against results that disappear, since a VM takes a state that is older than its own, and against 404 for a job that
// such a state lacks.
func TestOlderStateChangesNothing(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	old, v := newVM("a"), newVM("b")
	submit(old, l, newJob("j", 3), 1, startTime)
	now := startTime.Add(cs.Second)
	appendResults(l, "j", 2, 0)
	l.records = append(l.records, gateway.JobRecord{Offset: cs.Offset(len(l.records)), Change: gateway.JobOpened{Spec: newJob("k", 1)}})
	v.readLog(l, now)
	v.tick(now)
	state := stateOf(old, now)
	v.inbox = append(v.inbox, gateway.JobStateRead{Peer: "a", State: *state, AsOf: startTime})
	v.tick(now)
	c.Assert(v.JobLog.End, qt.Equals, cs.Offset(len(l.records)))
	c.Assert(v.Jobs.Get("j").Results, qt.HasLen, 2)
	c.Assert(v.Jobs.Get("k"), qt.IsNotNil)
	c.Assert(v.Feeds[gateway.FeedJobs].AsOf, qt.Equals, now)
	started := newVM("c")
	started.inbox = nil
	started.inbox = append(started.inbox, gateway.JobStateRead{Peer: "a", State: *state, AsOf: startTime}, gateway.ResultsRequested{Query: 1, Job: "k"})
	started.tick(now)
	c.Assert(started.answers, qt.HasLen, 0)
	started.tick(now.Add(cs.Second))
	c.Assert(started.answers[1].(gateway.AnswerResults).Refusal.Reason, qt.Equals, cs.ReasonUnavailable)
}

// Guards against a job that a VM never learns of, since the state that it took ends between two chunks of the specification.
func TestStateEndsBeforeIncompleteSpecification(t *testing.T) {
	c := qt.New(t)
	v := newVM("a")
	records := []gateway.JobRecord{
		{Offset: 0, Change: gateway.JobOpened{Spec: newJob("j", 1)}}, {Offset: 1, Partial: true}, {Offset: 2, Partial: true},
	}
	v.inbox = append(v.inbox, gateway.JobsRead{From: 0, End: 3, Records: records})
	v.tick(startTime)
	c.Assert(stateOf(v, startTime).End, qt.Equals, cs.Offset(1))
	v.inbox = append(v.inbox, gateway.JobsRead{From: 3, End: 4, Records: []gateway.JobRecord{{Offset: 3, Change: gateway.JobOpened{Spec: newJob("k", 1)}}}})
	v.tick(startTime)
	c.Assert(stateOf(v, startTime).End, qt.Equals, cs.Offset(4))
}

// Guards against a conditional append of unknown outcome that is sent for ever, since the records that would tell its outcome
// are part of a state.
func TestAdoptedStateResolvesConditionalAppend(t *testing.T) {
	for name, effective := range map[string]bool{"took effect": true, "had no effect": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := &jobLog{}
			peer, v := newVM("a"), newVM("b")
			v.inbox = append(v.inbox, gateway.JobSubmitted{Query: 1, Spec: newJob("j", 60)}) // near the quota
			v.tick(startTime)
			c.Assert(v.appends, qt.HasLen, 1)
			c.Assert(v.appends[0].ExpectedEnd, qt.Equals, cs.Offset(0))
			if effective {
				l.append(v.appends[0])
			}
			v.inbox = append(v.inbox, gateway.JobsAppended{Number: v.appends[0].AppendID.Number, Outcome: gateway.AppendUnknown{}})
			v.appends = nil
			submit(peer, &jobLog{}, newJob("other", 1), 9, startTime) // has no effect on the log
			appendRandom(l, rand.New(rand.NewPCG(1, 1)), 3)
			reader := newVM("c")
			reader.readLog(l, startTime)
			reader.tick(startTime)
			now := startTime.Add(100)
			adopt(c, v, reader, now)
			for range 5 {
				now = now.Add(200)
				v.readLog(l, now)
				v.tick(now)
				v.completeAppends(l)
			}
			v.tick(now)
			c.Assert(accepted(v, 1), qt.IsTrue)
			opened := slices.DeleteFunc(slices.Clone(l.records), func(r gateway.JobRecord) bool {
				o, ok := r.Change.(gateway.JobOpened)
				return !ok || o.Spec.ID != "j"
			})
			c.Assert(opened, qt.HasLen, 1)
		})
	}
}

// Guards against a state taken from a peer that has none, cannot read the store, is leaving or far away, and against VMs that
// all ask the same peer.
func TestStatePeerIsChosen(t *testing.T) {
	c := qt.New(t)
	v := newVM("a")
	v.inbox = nil
	age := func(s cs.Span) *cs.Span { return &s }
	report := func(r gateway.Report) {
		r.Seq, r.Incarnation = 1, 1
		v.inbox = append(v.inbox, gateway.PeerReported{Address: cs.Address(r.From) + ":1", Report: r})
	}
	report(gateway.Report{From: "good1", DataCentre: "a", JobLogAge: age(100)})
	report(gateway.Report{From: "good2", DataCentre: "a", JobLogAge: age(900)})
	report(gateway.Report{From: "old", DataCentre: "a", JobLogAge: age(20_000)})
	report(gateway.Report{From: "none", DataCentre: "a"})
	report(gateway.Report{From: "far", DataCentre: "b", JobLogAge: age(0)})
	report(gateway.Report{From: "leaving", DataCentre: "a", JobLogAge: age(0), Leaving: true})
	v.tick(startTime)
	ask := func(tried ...cs.VMID) cs.VMID {
		v.statePeers = nil
		v.inbox = append(v.inbox, gateway.StatePeerRequested{Query: 1, Tried: tried})
		v.tick(startTime)
		c.Assert(v.statePeers[0].Address == "", qt.Equals, v.statePeers[0].Peer == "")
		return v.statePeers[0].Peer
	}
	chosen := make(map[cs.VMID]int)
	for range 100 {
		chosen[ask()]++
	}
	c.Assert(chosen, qt.HasLen, 2, qt.Commentf("%v", chosen))
	c.Assert(chosen["good1"] > 20 && chosen["good2"] > 20, qt.IsTrue, qt.Commentf("%v", chosen))
	c.Assert(ask("good1"), qt.Equals, cs.VMID("good2"))
	c.Assert(ask("good1", "good2"), qt.Equals, cs.VMID(""))
	v.inbox = append(v.inbox, gateway.FeedFailed{Feed: gateway.FeedJobs, Error: "no data"})
	c.Assert(ask("good1", "good2"), qt.Equals, cs.VMID("old"))
	c.Assert(ask("good1", "good2", "old"), qt.Equals, cs.VMID(""))
}

// Guards against a result without its beginning (MIXED): the output of an item whose result waits to be appended is with the
// proposal, and only the number of its last event with the item. A VM that takes over the item went on after that event.
func TestProgressOfProposedResultIsNotHandedOver(t *testing.T) {
	c := qt.New(t)
	l := &jobLog{}
	a := newVM("a", 0, 1, 2, 3)
	submit(a, l, newJob("j", 1), 1, startTime)
	l.append(gateway.AppendJobs{AppendID: gateway.AppendID{Writer: 9, Number: 1}, ExpectedEnd: cs.NoOffset, Changes: []gateway.JobChange{
		gateway.ProgressSaved{Job: "j", Item: "j-0", Index: 0, Progress: gateway.Progress{Text: []byte("a\nb"), LastEvent: 2}},
	}})
	now := startTime.Add(2 * cs.Second)
	a.readLog(l, now)
	a.inbox = append(a.inbox, gateway.PartitionsAssigned{Partitions: []int{0, 1, 2, 3}})
	a.tick(now)
	c.Assert(a.started, qt.HasLen, 1)
	run := a.started[0]
	a.inbox = append(a.inbox, gateway.ItemRunEnded{
		Key: run.Key, Attempt: run.Attempt, Outcome: gateway.ItemCompleted{}, Text: []byte("c"), LastEvent: run.LastEvent + 1,
	})
	a.tick(now)
	c.Assert(a.appends, qt.HasLen, 1) // with the result, and without an outcome

	b := newVM("b")
	b.JobLog.Synced = false
	adopt(c, b, a, now)
	work := b.Jobs.Get("j").ItemWork[0]
	c.Check(work.SavedEvent, qt.Equals, cs.EventID(2))
	c.Check(work.LastEvent, qt.Equals, cs.EventID(0), qt.Commentf("output %q", work.Text))
}
