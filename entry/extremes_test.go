package entry_test

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/entry"
	"github.com/crocusstile/crocusstile/gateway"
)

// extremes draws numbers, most of them at the ends of their types.
type extremes struct{ *rand.Rand }

func (x extremes) int64() int64 {
	values := []int64{0, 1, -1, 7, 1000, math.MinInt64, math.MinInt64 + 1, math.MaxInt64, math.MaxInt64 - 1, math.MinInt32, math.MaxInt32, 1 << 53}
	return values[x.IntN(len(values))]
}

func (x extremes) runner() cs.RunnerID { return []cs.RunnerID{"r0", "r1", "none", ""}[x.IntN(4)] }

func (x extremes) age() cs.Span { return cs.Span(x.int64()) }

// load and demand return counts that Report.Validate accepts.
func (x extremes) load() cs.Slots { return []cs.Slots{0, 1, 7, 2 * cs.MaxSlots}[x.IntN(4)] }

func (x extremes) demand() int { return []int{0, 1, 7, 1 << 24}[x.IntN(4)] }

// report returns a report that Report.Validate accepts, with other numbers of any size.
func (x extremes) report() gateway.Report {
	suspect := gateway.SuspectReport{
		Key:   gateway.SuspectKey{Kind: gateway.SuspectKind(x.IntN(3)), Hash: uint64(x.IntN(3))},
		Begun: x.IntN(4) == 0, BegunAge: x.age(), FirstCrashAge: x.age(), LastCrashAge: x.age(), Probed: x.IntN(2) == 0, ProbeAge: x.age(),
	}
	for range x.IntN(6) {
		suspect.Crashes = append(suspect.Crashes, gateway.CrashReport{ID: gateway.CrashID(x.int64()), Age: x.age()})
	}
	return gateway.Report{
		From: []cs.VMID{"vm000", "vm001", "other"}[x.IntN(3)], Incarnation: cs.Incarnation(x.int64()),
		DataCentre: []cs.DataCentreID{"a", "b", ""}[x.IntN(3)], Seq: uint64(x.int64()),
		Loads: []gateway.RunnerLoad{{Runner: x.runner(), Online: x.load(), Batch: x.load()}}, Memory: cs.Bytes(x.int64()),
		Allocated: []gateway.RunnerLoad{{Runner: x.runner(), Online: x.load(), Batch: x.load()}},
		Leaving:   x.IntN(2) == 0, StoreUnreadable: x.IntN(2) == 0, BatchDemand: x.demand(),
		Demands: []gateway.DemandReport{{Service: "s", Demand: x.demand()}}, Ejected: []cs.RunnerID{x.runner()},
		Refusing: []gateway.RefusingRunner{{Runner: x.runner(), Age: x.age()}},
		Limits: []gateway.LimitReport{{
			Runner: x.runner(), Named: x.IntN(2) == 0, Rate: []cs.PerSecond{0, 0.5, 1e300}[x.IntN(3)], Age: x.age(), Sent: uint32(x.int64()),
		}},
		Suspects: []gateway.SuspectReport{suspect},
	}
}

// slots returns a slot message that SlotMessage.Validate accepts, with other numbers of any size.
func (x extremes) slots() gateway.SlotMessage {
	return gateway.SlotMessage{
		From: []cs.VMID{"vm000", "vm001", "other"}[x.IntN(3)], Incarnation: cs.Incarnation(x.int64()), Seq: uint64(x.int64()),
		HasHoldings: x.IntN(4) > 0, Outstanding: gateway.SlotRequestID(x.int64()),
		Holdings:    []gateway.SlotHolding{{Runner: x.runner(), Online: x.load(), Batch: x.load(), DueIn: max(x.age(), 0)}},
		Requests:    []gateway.SlotRequest{{Runner: x.runner(), ID: gateway.SlotRequestID(x.int64()), Use: gateway.SlotUse(x.IntN(4))}},
		Replies:     []gateway.SlotReply{{Runner: x.runner(), ID: gateway.SlotRequestID(x.IntN(50)), Granted: x.IntN(2) == 0}},
		Preemptions: []gateway.SlotPreemption{{Runner: x.runner(), Runs: x.load()}},
	}
}

// Guards against numbers in the reports of peers that end a VM, or make its control loop run without a pause.
func TestExtremeNumbersInReportsEndNoVM(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		x := extremes{rand.New(rand.NewPCG(seed, 1))}
		f := newSimFleet(seed, 1, 2)
		f.vms = append(f.vms, f.newVM(5, 1))
		tables := f.vms[1].tables
		batch := cs.Route{Name: "mark", Kind: cs.RouteBatch, MaxAttempts: 2, Timeout: cs.Minute, Shares: f.route.Shares}
		tables.Catalog = cs.NewCatalog(1, []cs.Route{f.route, batch}, nil, cs.CallerLimits{})
		items := []gateway.Item{{ID: "i0", Parts: []cs.PromptPart{1}}, {ID: "i1"}}
		events := append(f.vms[1].inbox,
			gateway.PartitionsAssigned{Partitions: []int{0}},
			gateway.FeedRead{Feed: gateway.FeedJobs, Loaded: true, AsOf: f.now},
			gateway.JobsRead{Snapshot: true, End: 1, Records: []gateway.JobRecord{{Change: gateway.JobOpened{Spec: gateway.JobSpec{ID: "j", Route: "mark", Items: items}}}}},
		)
		now := f.now
		for i := range 400 {
			route := f.route
			events = append(events, gateway.ForwardArrived{Forward: gateway.Forward{
				ID: gateway.ForwardID(i + 1), Route: route, Content: cs.ContentHash(x.IntN(3)), Parts: []cs.PromptPart{cs.PromptPart(x.IntN(3))},
				Arrived: now, Deadline: now.Add(cs.Second),
			}})
			for range 3 {
				report := x.report()
				c.Assert(report.Validate(), qt.IsNil)
				events = append(events, gateway.PeerReported{Address: "10.0.0.9:1", Report: report})
				message := x.slots()
				c.Assert(message.Validate(), qt.IsNil)
				events = append(events, gateway.SlotsReceived{Message: message})
			}
			var out gateway.Actions
			tables.Events, events = events, nil
			for _, system := range entry.Systems() {
				system(tables, now, &out)
			}
			for _, a := range out.List {
				switch a := a.(type) {
				case gateway.Dispatch:
					events = append(events, gateway.ForwardEnded{ID: a.ID, Attempt: a.Attempt, Outcome: gateway.OutcomeInterrupted{Disconnected: true, Error: "reset"}})
				default:
				}
			}
			now = now.Add(50 * cs.Millisecond)
		}
		// Without events the loop must come to rest.
		idle := 0
		for range 200 {
			var out gateway.Actions
			tables.Events = nil
			for _, system := range entry.Systems() {
				system(tables, now, &out)
			}
			next := now.Add(500 * cs.Millisecond)
			if due := out.NextWake(); due != 0 && due < next {
				next = max(due, now.Add(2*cs.Millisecond))
			}
			if next.Sub(now) > 2*cs.Millisecond {
				idle++
			}
			now = next
		}
		c.Check(idle >= 100, qt.IsTrue, qt.Commentf("seed %d: %d of 200 ticks follow a pause", seed, idle))
	}
}
