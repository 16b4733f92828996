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

// decisionCounts holds, for each decision, the number of times it was made minus the number of its log lines.
type decisionCounts map[string]int

// countAction adds an action to the count of its decision, or subtracts it if the action is a log line.
func (c decisionCounts) countAction(a gateway.Action) {
	switch a := a.(type) {
	case gateway.Dispatch:
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
		c.countNote(a)
	default:
	}
}

// countNote subtracts a log line from the count of its decision.
func (c decisionCounts) countNote(n gateway.Note) {
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
// it is counted twice in the metrics. The decisions are the dispatches and ends of requests, refusals, runs
// and results of items, answers to queries, catalog versions and changes of runners.
func TestEachDecisionWritesOneLine(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			s := newSimulation(seed)
			for range 2000 {
				s.step(true)
			}
			c.Assert(s.finish(), qt.IsTrue, qt.Commentf("requests, runs of items or appends are still in flight"))
			decided := 0
			for decision, n := range s.counts {
				c.Check(n, qt.Equals, 0, qt.Commentf("%s: decisions without a line, or lines without a decision", decision))
				decided++
			}
			c.Assert(decided > 500, qt.IsTrue)
		})
	}
}

// simulation drives the systems of a VM with random events.
type simulation struct {
	*gateway.Tables
	rng         *rand.Rand
	now         cs.Instant
	counts      decisionCounts
	pending     []gateway.Event
	lastForward gateway.ForwardID
	lastQuery   gateway.QueryID
	logEnd      cs.Offset
	// inFlight holds the attempt of each request in flight, and itemRuns the runs of items in progress.
	inFlight map[gateway.ForwardID]cs.Attempt
	itemRuns []gateway.RunItem
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		Tables: gateway.New(gateway.Config{PartitionCount: 1, MaxAppend: 1 << 20, ResultRetention: cs.Second}, cs.VM{ID: "a", DataCentre: "a"}, 1, seed),
		rng:    rand.New(rand.NewPCG(seed, 9)), now: 1_000_000, counts: make(decisionCounts), inFlight: make(map[gateway.ForwardID]cs.Attempt),
	}
	s.pending = append(s.pending, gateway.JobsRead{Snapshot: true}, gateway.PartitionsAssigned{Partitions: []int{0}})
	s.addCatalog(1)
	s.pending = append(s.pending, gateway.FeedRead{Feed: gateway.FeedRunners, Loaded: true}, gateway.FeedRead{Feed: gateway.FeedJobs, Loaded: true})
	return s
}

func (s *simulation) addCatalog(v cs.CatalogVersion) {
	shares := []cs.ServiceShare{{Service: "s", Weight: 1}}
	s.counts["catalog"]++
	s.pending = append(s.pending, gateway.CatalogRead{Catalog: cs.NewCatalog(v, []cs.Route{
		{Name: "ask", Kind: cs.RouteStreaming, Resumable: true, MaxAttempts: 2, Target: 300, GapTarget: 300, Timeout: 5000, Shares: shares},
		{Name: "mark", Kind: cs.RouteBatch, MaxAttempts: 2, Completion: 18 * cs.Second, MaxWaiting: 1000, Shares: shares},
	}, nil, cs.CallerLimits{})})
}

// step adds random events, runs one tick and counts its decisions. Without arrivals, only what is in
// flight goes on.
func (s *simulation) step(arrivals bool) {
	s.now = s.now.Add(cs.Span(5 + s.rng.IntN(30)))
	s.pending = append(s.pending, gateway.PartitionsAssigned{Partitions: []int{0}}, gateway.FeedRead{Feed: gateway.FeedRunners, Loaded: true})
	if arrivals {
		s.addArrivals()
	}
	s.endSomeRequests()
	s.endItemRuns()
	if arrivals {
		s.changeRunner()
	}
	var out gateway.Actions
	s.Events, s.pending = s.pending, nil
	for _, system := range entry.Systems() {
		system(s.Tables, s.now, &out)
	}
	for _, a := range out.List {
		s.counts.countAction(a)
		s.execute(a)
	}
}

// finish runs ticks without arrivals until nothing is in flight, and returns false if that takes too many.
// The log line of a decision may come a tick later: that of an item's result comes with the
// acknowledgement of its append.
func (s *simulation) finish() bool {
	for range 2000 {
		if s.idle() {
			return true
		}
		s.step(false)
	}
	return false
}

// idle reports whether no event is pending and no request, run of an item or append is in flight.
func (s *simulation) idle() bool {
	return len(s.pending)+len(s.inFlight)+len(s.itemRuns)+s.Forwards.Len()+len(s.Proposals) == 0 && s.JobLog.InFlight == nil
}

func (s *simulation) addArrivals() {
	if s.rng.IntN(3) == 0 {
		s.lastForward++
		route := *s.route("ask")
		s.pending = append(s.pending, gateway.ForwardArrived{Forward: gateway.Forward{
			ID: s.lastForward, Request: cs.RequestID(fmt.Sprint(s.lastForward)), Route: route, Content: cs.ContentHash(s.lastForward),
			Arrived: s.now, Deadline: s.now.Add(2 * cs.Second),
		}})
		if s.rng.IntN(20) == 0 {
			s.counts["ended "+fmt.Sprint(s.lastForward)]++
			s.pending = append(s.pending, gateway.CallerDisconnected{ID: s.lastForward})
		}
	}
	if s.rng.IntN(40) == 0 {
		s.lastQuery++
		spec := gateway.JobSpec{ID: cs.JobID(fmt.Sprint("j", s.rng.IntN(40))), Route: "mark", Accepted: s.now}
		for i := range 1 + s.rng.IntN(3) {
			spec.Items = append(spec.Items, gateway.Item{ID: cs.ItemID(fmt.Sprint(spec.ID, "-", i)), Tokens: 50})
		}
		s.pending = append(s.pending, gateway.JobSubmitted{Query: s.lastQuery, Spec: spec})
	}
	if s.rng.IntN(80) == 0 {
		s.lastQuery++
		s.pending = append(s.pending, gateway.JobEndRequested{Query: s.lastQuery, Job: cs.JobID(fmt.Sprint("j", s.rng.IntN(60)))})
	}
	if s.rng.IntN(50) == 0 {
		s.lastQuery += 2
		job := cs.JobID(fmt.Sprint("j", s.rng.IntN(60)))
		s.pending = append(s.pending, gateway.ResultsRequested{Query: s.lastQuery - 1, Job: job, Until: s.now.Add(100)},
			gateway.ItemBodyRequested{Query: s.lastQuery, Job: job, Item: cs.ItemID(job) + "-1"})
	}
	if s.rng.IntN(200) == 0 {
		s.addCatalog(s.Catalog.Version + 1)
	}
}

func (s *simulation) route(name cs.RouteName) *cs.Route {
	if s.Catalog == nil {
		return &cs.Route{}
	}
	return s.Catalog.Route(name)
}

func (s *simulation) endSomeRequests() {
	for id, attempt := range s.inFlight {
		if s.rng.IntN(10) > 0 {
			continue
		}
		delete(s.inFlight, id)
		s.counts["ended "+fmt.Sprint(id)]++
		if s.rng.IntN(10) == 0 {
			s.pending = append(s.pending, gateway.CallerDisconnected{ID: id})
			continue
		}
		outcomes := []gateway.Outcome{
			gateway.OutcomeAnswered{Status: 200},
			gateway.OutcomeNotRun{Reason: "503"},
			gateway.OutcomeNotRun{Unreachable: true},
			gateway.OutcomeInterrupted{Disconnected: true},
			gateway.OutcomeInterrupted{TimedOut: true},
			gateway.OutcomeFailed{Status: 500},
		}
		s.pending = append(s.pending, gateway.ForwardEnded{ID: id, Attempt: attempt, Outcome: outcomes[s.rng.IntN(len(outcomes))]})
	}
}

func (s *simulation) endItemRuns() {
	for _, r := range s.itemRuns {
		outcomes := []gateway.ItemOutcome{
			gateway.ItemCompleted{}, gateway.ItemCompleted{}, gateway.ItemNotRun{}, gateway.ItemError{Status: 500}, gateway.ItemInterrupted{Disconnected: true},
		}
		o := outcomes[s.rng.IntN(len(outcomes))]
		key := string(r.Item.ID)
		if s.Jobs.Get(r.Key.Job) != nil && s.Jobs.Get(r.Key.Job).ItemWork[r.Key.Index].Phase == gateway.ItemRunning {
			if _, completed := o.(gateway.ItemCompleted); !completed {
				s.counts["returned "+key]++
			}
		}
		s.pending = append(s.pending, gateway.ItemRunEnded{Key: r.Key, Attempt: r.Attempt, Outcome: o, Text: []byte("x"), LastEvent: r.LastEvent + 1})
	}
	s.itemRuns = nil
}

func (s *simulation) changeRunner() {
	if s.rng.IntN(60) > 0 && s.Runners.Len() > 0 {
		return
	}
	id := cs.RunnerID(fmt.Sprint("r", s.rng.IntN(4)))
	change := gateway.RunnerChange{ID: id, Runner: &cs.Runner{ID: id, Service: "s", DataCentre: "a", Slots: 8, Address: "1:1"}}
	switch r := s.Runners.Get(id); {
	case r == nil:
		s.counts["runner "+string(id)]++
	case s.rng.IntN(3) == 0 && !r.Spec.Leaving:
		change.Runner.Leaving = true
		s.counts["runner "+string(id)]++
	default:
		change.Runner = nil
		s.counts["runner "+string(id)]++
	}
	s.pending = append(s.pending, gateway.RunnersRead{Changes: []gateway.RunnerChange{change}})
}

// execute stands in for what lies outside the control loop: runners and the store.
func (s *simulation) execute(a gateway.Action) {
	switch a := a.(type) {
	case gateway.Dispatch:
		s.inFlight[a.ID] = a.Attempt
	case gateway.RunItem:
		s.itemRuns = append(s.itemRuns, a)
	case gateway.AppendJobs:
		s.logEnd += cs.Offset(len(a.Changes))
		s.pending = append(s.pending, gateway.JobsAppended{Number: a.AppendID.Number, Outcome: gateway.AppendDone{End: s.logEnd}})
		for _, change := range a.Changes {
			if appended, ok := change.(gateway.JobResultAppended); ok {
				s.counts["listed "+string(appended.Result.Item)]++
			}
		}
	default:
	}
}
