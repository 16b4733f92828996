package entry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/entry"
	"github.com/crocusstile/crocusstile/gateway"
)

// decisionCounts holds, for each decision, the number of times it was made less the number of its log lines.
type tally map[string]int

// countAction adds an action to the count of its decision, or subtracts it if the action is a log line.
func (c tally) decide(a gateway.Action) {
	switch a := a.(type) {
	case gateway.Send:
		c["sent "+fmt.Sprint(a.ID)]++
	case gateway.Refuse:
		c["refused "+fmt.Sprint(a.ID)]++
	case gateway.RunItem:
		c["started "+string(a.Item.ID)]++
	case gateway.AnswerJob:
		if a.Refusal != nil {
			c["job refused"]++
		} else {
			c["job answered"]++
		}
	case gateway.AnswerResults:
		if a.Refusal != nil {
			c["query refused"]++
		}
	case gateway.AnswerBody:
		if a.Refusal != nil {
			c["query refused"]++
		}
	case gateway.Note:
		c.note(a)
	default:
	}
}

// countNote subtracts a log line from the count of its decision.
func (c tally) note(n gateway.Note) {
	switch n.Kind {
	case gateway.NoteRequestSent:
		c["sent "+string(n.Request)]--
	case gateway.NoteRequestRefused:
		c["refused "+string(n.Request)]--
	case gateway.NoteRequestRetried, gateway.NoteRequestAnswered, gateway.NoteRequestAbandoned:
		c["ended "+string(n.Request)]--
	case gateway.NoteItemStarted:
		c["started "+string(n.Item)]--
	case gateway.NoteItemReturned:
		c["returned "+string(n.Item)]--
	case gateway.NoteItemListed, gateway.NoteItemGivenUp:
		c["listed "+string(n.Item)]--
	case gateway.NoteJobAccepted, gateway.NoteJobEnded:
		c["job answered"]--
	case gateway.NoteJobRefused:
		c["job refused"]--
	case gateway.NoteQueryRefused:
		c["query refused"]--
	case gateway.NoteCatalogInForce:
		c["catalog"]--
	case gateway.NoteRunnerAdded, gateway.NoteRunnerLeaving, gateway.NoteRunnerRemoved:
		c["runner "+string(n.Runner)]--
	default:
	}
}

// Each decision must write exactly one log line: without one it cannot be explained afterwards, and with two
// it is counted twice in the metrics. The decisions are the sends and ends of requests, refusals, runs and
// results of items, answers to queries, catalog versions and changes of runners.
func TestEachDecisionWritesOneLine(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			w := newDecisionWorld(seed)
			for range 2000 {
				w.step()
			}
			decided := 0
			for what, n := range w.counts {
				c.Check(n, qt.Equals, 0, qt.Commentf("%s: decisions without a line, or lines without a decision", what))
				decided++
			}
			c.Assert(decided > 500, qt.IsTrue)
		})
	}
}

// simulation drives the systems of a VM with random events.
type decisionWorld struct {
	*gateway.Tables
	rng    *rand.Rand
	now    cs.Instant
	counts tally
	inbox  []gateway.Event
	last   gateway.ForwardID
	query  gateway.QueryID
	end    cs.Offset
	// running holds the requests in flight, and runs the items in progress.
	running map[gateway.ForwardID]cs.Attempt
	runs    []gateway.RunItem
}

func newDecisionWorld(seed uint64) *decisionWorld {
	w := &decisionWorld{
		Tables: gateway.New(gateway.Config{Partitions: 1, MaxAppend: 1 << 20, ResultLife: cs.Second}, cs.VM{ID: "a", DataCentre: "a"}, 1, seed),
		rng:    rand.New(rand.NewPCG(seed, 9)), now: 1_000_000, counts: make(tally), running: make(map[gateway.ForwardID]cs.Attempt),
	}
	w.inbox = append(w.inbox, gateway.JobsRead{Whole: true}, gateway.PartsAssigned{Parts: []int{0}})
	w.catalog(1)
	w.inbox = append(w.inbox, gateway.FeedRead{Feed: gateway.FeedRunners, Loaded: true}, gateway.FeedRead{Feed: gateway.FeedJobs, Loaded: true})
	return w
}

func (w *decisionWorld) catalog(v cs.CatalogVersion) {
	shares := []cs.ServiceShare{{Service: "s", Weight: 1}}
	w.counts["catalog"]++
	w.inbox = append(w.inbox, gateway.CatalogRead{Catalog: cs.NewCatalog(v, []cs.Route{
		{Name: "ask", Kind: cs.RouteStreaming, Resumable: true, MaxAttempts: 2, Target: 300, GapTarget: 300, Timeout: 5000, Shares: shares},
		{Name: "mark", Kind: cs.RouteBatch, MaxAttempts: 2, Completion: 18 * cs.Second, MaxWaiting: 1000, Shares: shares},
	}, nil, cs.CallerLimits{})})
}

// step adds random events, runs one tick and counts its decisions.
func (w *decisionWorld) step() {
	w.now = w.now.Add(cs.Span(5 + w.rng.IntN(30)))
	w.inbox = append(w.inbox, gateway.PartsAssigned{Parts: []int{0}}, gateway.FeedRead{Feed: gateway.FeedRunners, Loaded: true})
	w.arrive()
	w.endSends()
	w.endRuns()
	w.changeRunners()
	var out gateway.Actions
	w.Events, w.inbox = w.inbox, nil
	for _, system := range entry.Systems() {
		system(w.Tables, w.now, &out)
	}
	for _, a := range out.List {
		w.counts.decide(a)
		w.carryOut(a)
	}
}

func (w *decisionWorld) arrive() {
	if w.rng.IntN(3) == 0 {
		w.last++
		route := *w.route("ask")
		w.inbox = append(w.inbox, gateway.ForwardArrived{Forward: gateway.Forward{
			ID: w.last, Request: cs.RequestID(fmt.Sprint(w.last)), Route: route, Content: cs.ContentHash(w.last),
			Arrived: w.now, Deadline: w.now.Add(2 * cs.Second),
		}})
		if w.rng.IntN(20) == 0 {
			w.counts["ended "+fmt.Sprint(w.last)]++
			w.inbox = append(w.inbox, gateway.CallerLeft{ID: w.last})
		}
	}
	if w.rng.IntN(40) == 0 {
		w.query++
		spec := gateway.JobSpec{ID: cs.JobID(fmt.Sprint("j", w.rng.IntN(40))), Route: "mark", Accepted: w.now}
		for i := range 1 + w.rng.IntN(3) {
			spec.Items = append(spec.Items, gateway.Item{ID: cs.ItemID(fmt.Sprint(spec.ID, "-", i)), Tokens: 50})
		}
		w.inbox = append(w.inbox, gateway.JobSubmitted{Query: w.query, Spec: spec})
	}
	if w.rng.IntN(80) == 0 {
		w.query++
		w.inbox = append(w.inbox, gateway.JobEndAsked{Query: w.query, Job: cs.JobID(fmt.Sprint("j", w.rng.IntN(60)))})
	}
	if w.rng.IntN(50) == 0 {
		w.query += 2
		job := cs.JobID(fmt.Sprint("j", w.rng.IntN(60)))
		w.inbox = append(w.inbox, gateway.ResultsAsked{Query: w.query - 1, Job: job, Until: w.now.Add(100)},
			gateway.BodyAsked{Query: w.query, Job: job, Item: cs.ItemID(job) + "-1"})
	}
	if w.rng.IntN(200) == 0 {
		w.catalog(w.Catalog.Version + 1)
	}
}

func (w *decisionWorld) route(name cs.RouteName) *cs.Route {
	if w.Catalog == nil {
		return &cs.Route{}
	}
	return w.Catalog.Route(name)
}

func (w *decisionWorld) endSends() {
	for id, attempt := range w.running {
		if w.rng.IntN(10) > 0 {
			continue
		}
		delete(w.running, id)
		w.counts["ended "+fmt.Sprint(id)]++
		if w.rng.IntN(10) == 0 {
			w.inbox = append(w.inbox, gateway.CallerLeft{ID: id})
			continue
		}
		outcomes := []gateway.Outcome{
			gateway.OutcomeAnswered{Status: 200},
			gateway.OutcomeNotRun{Reason: "503"},
			gateway.OutcomeNotRun{Unreachable: true},
			gateway.OutcomeBroken{Disconnected: true},
			gateway.OutcomeBroken{Silent: true},
			gateway.OutcomeFailed{Status: 500},
		}
		w.inbox = append(w.inbox, gateway.ForwardEnded{ID: id, Attempt: attempt, Outcome: outcomes[w.rng.IntN(len(outcomes))]})
	}
}

func (w *decisionWorld) endRuns() {
	for _, r := range w.runs {
		outcomes := []gateway.ItemOutcome{
			gateway.ItemWhole{}, gateway.ItemWhole{}, gateway.ItemNotRun{}, gateway.ItemError{Status: 500}, gateway.ItemBroken{Disconnected: true},
		}
		o := outcomes[w.rng.IntN(len(outcomes))]
		key := string(r.Item.ID)
		if w.Jobs.Get(r.Key.Job) != nil && w.Jobs.Get(r.Key.Job).Work[r.Key.Index].Phase == gateway.ItemRunning {
			if _, whole := o.(gateway.ItemWhole); !whole {
				w.counts["returned "+key]++
			}
		}
		w.inbox = append(w.inbox, gateway.ItemRunEnded{Key: r.Key, Attempt: r.Attempt, Outcome: o, Text: []byte("x"), LastEvent: r.LastEvent + 1})
	}
	w.runs = nil
}

func (w *decisionWorld) changeRunners() {
	if w.rng.IntN(60) > 0 && w.Runners.Len() > 0 {
		return
	}
	id := cs.RunnerID(fmt.Sprint("r", w.rng.IntN(4)))
	change := gateway.RunnerChange{ID: id, Runner: &cs.Runner{ID: id, Service: "s", DataCentre: "a", Slots: 8, Address: "1:1"}}
	switch r := w.Runners.Get(id); {
	case r == nil:
		w.counts["runner "+string(id)]++
	case w.rng.IntN(3) == 0 && !r.Spec.Leaving:
		change.Runner.Leaving = true
		w.counts["runner "+string(id)]++
	default:
		change.Runner = nil
		w.counts["runner "+string(id)]++
	}
	w.inbox = append(w.inbox, gateway.RunnersRead{Changes: []gateway.RunnerChange{change}})
}

// execute stands in for what lies outside the control loop: runners and the store.
func (w *decisionWorld) carryOut(a gateway.Action) {
	switch a := a.(type) {
	case gateway.Send:
		w.running[a.ID] = a.Attempt
	case gateway.RunItem:
		w.runs = append(w.runs, a)
	case gateway.AppendJobs:
		w.end += cs.Offset(len(a.Changes))
		w.inbox = append(w.inbox, gateway.JobsAppended{Number: a.Mark.Number, Outcome: gateway.AppendDone{End: w.end}})
		for _, change := range a.Changes {
			if listed, ok := change.(gateway.JobListed); ok {
				w.counts["listed "+string(listed.Result.Item)]++
			}
		}
	default:
	}
}
