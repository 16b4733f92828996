package batchjob_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// storeResponse is what a store does with the appends of one job, from one attempt on.
type storeResponse struct {
	first, later gateway.AppendOutcome
}

// event is an event that reaches a VM at an instant.
type event struct {
	at cs.Instant
	gateway.Event
}

// delayedStore carries out appends, and answers after the time that an unanswered one waits.
type delayedStore struct {
	log      jobLog
	response storeResponse
	attempts int
	// refusedResult is the item whose result gets the response as well, or empty.
	refusedResult cs.ItemID
	pending       []event
}

// refuses reports whether the store refuses appends with a change.
func (s *delayedStore) refuses(change gateway.JobChange) bool {
	switch change := change.(type) {
	case gateway.JobOpened:
		return change.Spec.ID == "bad"
	case gateway.JobResultAppended:
		return s.refusedResult != "" && change.Result.Item == s.refusedResult
	default:
		return false
	}
}

// take carries out the appends and fences of a VM.
func (s *delayedStore) take(v *vm, now cs.Instant) {
	const answerTime = 5 * cs.Millisecond
	for _, a := range v.appends {
		outcome := gateway.AppendOutcome(nil)
		for _, change := range a.Changes {
			if s.refuses(change) {
				if outcome = s.response.later; s.attempts == 0 {
					outcome = s.response.first
				}
				s.attempts++
			}
		}
		if outcome == nil {
			outcome = s.log.append(a)
		}
		at := now.Add(answerTime)
		if _, unknown := outcome.(gateway.AppendUnknown); unknown {
			at = now.Add(a.Timeout)
		}
		s.pending = append(s.pending, event{at, gateway.JobsAppended{Number: a.AppendID.Number, Outcome: outcome}})
	}
	for _, a := range v.fences {
		s.pending = append(s.pending, event{now.Add(answerTime), gateway.JobsFenced{Number: a.AppendID.Number, Outcome: s.log.fence(a)}})
	}
	v.appends, v.fences = nil, nil
	var rest []event
	for _, e := range s.pending {
		if e.at <= now {
			v.inbox = append(v.inbox, e.Event)
		} else {
			rest = append(rest, e)
		}
	}
	s.pending = rest
}

// step runs the VM and the store at an instant of a test; the VM reads the log every 200 ms.
func (s *delayedStore) step(v *vm, now cs.Instant) {
	v.tick(now)
	s.take(v, now)
	if now.Sub(startTime)%(200*cs.Millisecond) == 0 {
		v.readLog(&s.log, now)
	}
}

// submitLater submits a job of its own and records when.
func submitLater(v *vm, submitted map[gateway.QueryID]cs.Instant, now cs.Instant) {
	q := gateway.QueryID(10 + len(submitted))
	v.inbox = append(v.inbox, gateway.JobSubmitted{Query: q, Spec: newJob(cs.JobID(fmt.Sprint("later", q)), 1)})
	submitted[q] = now
}

// Guards against an append that the store goes on to refuse, or never answers, and that holds back all later appends of its VM
// for good (review/2 with 503 in place of 413). All other changes must reach the log within 2 s of their proposal, and the
// caller must get a true answer.
func TestEveryAppendEnds(t *testing.T) {
	rejected, unknown := gateway.AppendRejected{Reason: "status 503"}, gateway.AppendUnknown{Error: "no answer"}
	for name, response := range map[string]storeResponse{
		"rejected":                        {rejected, rejected},
		"rejected after no answer":        {unknown, rejected},
		"never answered":                  {unknown, unknown},
		"unanswered after a rejection":    {rejected, unknown},
		"invalid after no answer":         {unknown, gateway.AppendInvalid{Reason: "status 413"}},
		"out of sequence after no answer": {unknown, gateway.AppendOutOfSequence{Reason: "status 409"}},
	} {
		for condition, limit := range map[string]cs.Tokens{"sequenced": 1_000_000, "conditional": 75} {
			t.Run(name+", "+condition, func(t *testing.T) {
				const step, span = 10 * cs.Millisecond, 20 * cs.Second
				c := qt.New(t)
				s := &delayedStore{response: response}
				v := newVM("a")
				limited := route
				limited.MaxWaiting = limit
				v.Catalog = cs.NewCatalog(1, []cs.Route{limited}, nil, cs.CallerLimits{})
				for i, id := range []cs.JobID{"j1", "bad", "j2"} {
					v.inbox = append(v.inbox, gateway.JobSubmitted{Query: gateway.QueryID(i + 1), Spec: newJob(id, 1)})
				}
				submitted := map[gateway.QueryID]cs.Instant{1: startTime, 3: startTime}
				refusedAt := cs.Instant(0)
				for now := startTime; now < startTime.Add(span); now = now.Add(step) {
					if elapsed := now.Sub(startTime); elapsed%(5*cs.Second) == 2500*cs.Millisecond && len(submitted) < 5 {
						submitLater(v, submitted, now)
					}
					s.step(v, now)
					for q, at := range submitted {
						if at != startTime && !accepted(v, q) && now.Sub(at) > 2*cs.Second {
							c.Fatalf("query %d has no 202 after 2 s", q)
						}
						// Those that were sent together with the one at fault have to be told from it first.
						if _, answered := v.answers[q]; !answered && now.Sub(at) > 8*cs.Second {
							c.Fatalf("query %d has no answer after 8 s", q)
						}
					}
					if a, ok := v.answers[2].(gateway.AnswerJob); ok && refusedAt == 0 {
						refusedAt = now
						c.Assert(a.Refusal, qt.IsNotNil)
						c.Assert(a.Refusal.Ran, qt.Equals, cs.RanNotRun)
					}
				}
				c.Check(refusedAt != 0, qt.IsTrue, qt.Commentf("the caller of the refused job has no answer after %s", span))
				c.Check(v.JobLog.Aside, qt.HasLen, 0)
				inLog := make(map[cs.JobID]bool)
				for _, r := range s.log.records {
					if opened, ok := r.Change.(gateway.JobOpened); ok {
						inLog[opened.Spec.ID] = true
					}
				}
				for q, id := range map[gateway.QueryID]cs.JobID{1: "j1", 2: "bad", 3: "j2"} {
					c.Check(accepted(v, q), qt.Equals, inLog[id], qt.Commentf("%s", id))
				}
			})
		}
	}
}

// Guards against the result of an item that the store refuses for good, and that holds back all other changes of its VM: a result is
// not given up after a while, as a submission is.
func TestRefusedResultHoldsBackNothing(t *testing.T) {
	for name, outcome := range map[string]gateway.AppendOutcome{
		"rejected": gateway.AppendRejected{Reason: "status 503"}, "never answered": gateway.AppendUnknown{Error: "no answer"},
	} {
		t.Run(name, func(t *testing.T) {
			const step, span = 10 * cs.Millisecond, 60 * cs.Second
			c := qt.New(t)
			s := &delayedStore{response: storeResponse{outcome, outcome}, refusedResult: "bad-0"}
			v := newVM("a")
			for _, id := range []cs.JobID{"bad", "good"} {
				spec := newJob(id, 1)
				v.Jobs.Insert(id, gateway.Job{Spec: spec, FirstReadAt: startTime, ItemWork: []gateway.ItemWork{{Phase: gateway.ItemProposed}}})
				v.Proposals = append(v.Proposals, gateway.ProposeResult{Key: gateway.ItemKey{Job: id}, Result: gateway.Result{Item: spec.Items[0].ID, Done: true}})
			}
			submitted := make(map[gateway.QueryID]cs.Instant)
			for now := startTime; now < startTime.Add(span); now = now.Add(step) {
				if elapsed := now.Sub(startTime); elapsed > 0 && elapsed%(7*cs.Second) == 0 {
					submitLater(v, submitted, now)
				}
				s.step(v, now)
				for q, at := range submitted {
					if !accepted(v, q) && now.Sub(at) > 2*cs.Second {
						c.Fatalf("query %d has no 202 after 2 s", q)
					}
				}
			}
			c.Check(v.Jobs.Get("good").Results, qt.HasLen, 1)
			c.Check(v.Jobs.Get("bad").Results, qt.HasLen, 0)
			c.Check(s.attempts > 3 && s.attempts <= 90, qt.IsTrue, qt.Commentf("the refused result was sent %d times in %s", s.attempts, span))
			s.refusedResult = "" // the store accepts it from now on
			for now := startTime.Add(span); now < startTime.Add(span+12*cs.Second); now = now.Add(step) {
				v.tick(now)
				s.take(v, now)
				v.readLog(&s.log, now)
			}
			c.Check(v.Jobs.Get("bad").Results, qt.HasLen, 1)
		})
	}
}
