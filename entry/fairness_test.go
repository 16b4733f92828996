package entry_test

import (
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// The load of many workspaces: about as many requests a second at each VM as at the users' site with workspaces.
const (
	fairVMs        = 48
	fairRunners    = 6
	fairWorkspaces = 88
	fairWarmUp     = 8 * cs.Second
	fairLength     = 8 * cs.Second
	fairSeeds      = 4
	floodFactor    = 7.5
	largeShare     = 0.1 // of the load without a flood
	// minKept is the share of their answers in time that the other workspaces keep while one floods the fleet.
	minKept = 0.95
	// maxRetryAfterRatio is the share of its time limit for which a caller waits before it sends a request again.
	maxRetryAfterRatio = 1.0 / 3
)

// fairLoad is a load of many workspaces on a fleet.
type fairLoad struct {
	// room is the load, without a flood, as a multiple of what the runners can serve.
	room float64
	// share is the share of the first workspace in the load without a flood; the others have the same share each.
	share float64
	// flood is the factor by which the first workspace exceeds its usual load.
	flood float64
	// keyed means that the catalog has workspaces.
	keyed bool
	// factor returns the factor of the whole load at a time since the start of the measurement, or is nil.
	factor func(cs.Span) float64
	// prepare is called when the measurement begins, if it is set.
	prepare func(*simFleet)
	length  cs.Span
	seed    uint64
}

// fairCall is a call of a caller, which may be sent several times.
type fairCall struct {
	workspace int
	sent      cs.Instant // first time
	counted   bool
}

// fairCount counts the calls of a workspace: those sent, those taken by a runner, and those taken in time for their target.
type fairCount struct{ sent, taken, inTime int }

func (c fairCount) plus(d fairCount) fairCount {
	return fairCount{sent: c.sent + d.sent, taken: c.taken + d.taken, inTime: c.inTime + d.inTime}
}

// fairPlay plays a load of many workspaces.
type fairPlay struct {
	*simFleet
	load   fairLoad
	calls  map[gateway.ForwardID]*fairCall
	counts [fairWorkspaces]fairCount
}

// playFair plays a load and returns the counts of the calls that were sent after the warm-up.
func playFair(load fairLoad) *fairPlay {
	f := newSimFleetWith(simFleetConfig{dataCentres: []cs.DataCentreID{"a", "b", "c"}, seed: load.seed, vms: fairVMs, runners: fairRunners})
	f.full = fullRunnerLoad
	p := &fairPlay{simFleet: f, load: load, calls: make(map[gateway.ForwardID]*fairCall)}
	catalog := cs.NewCatalog(1, []cs.Route{f.route}, nil, cs.CallerLimits{})
	if load.keyed {
		workspaces := make([]cs.Workspace, fairWorkspaces)
		for w := range workspaces {
			id := workspaceName(w)
			workspaces[w] = cs.Workspace{ID: id, Keys: []cs.KeyDigest{cs.DigestKey(string(id))}}
		}
		catalog = catalog.WithWorkspaces(workspaces)
	}
	for _, v := range f.vms {
		v.tables.Catalog = catalog
	}
	f.observeTaken, f.observeRefused = p.taken, p.refused
	p.run(fairWarmUp, func(cs.Span) float64 { return 1 }, 1, false)
	if load.prepare != nil {
		load.prepare(f)
	}
	if load.length == 0 {
		p.load.length = fairLength
	}
	p.run(p.load.length, load.factor, load.flood, true)
	p.run(cs.Second, load.factor, load.flood, false) // the last calls that count end
	return p
}

// run plays a time of the load.
func (p *fairPlay) run(length cs.Span, factor func(cs.Span) float64, flood float64, counted bool) {
	perStep := p.load.room * 8 * fairRunners / float64(p.service) * float64(simStep)
	for begin := p.now; p.now < begin.Add(length); p.step() {
		now := 1.0
		if factor != nil {
			now = factor(p.now.Sub(begin))
		}
		for w := range fairWorkspaces {
			rate := perStep * now * (1 - p.load.share) / (fairWorkspaces - 1)
			if w == 0 {
				rate = perStep * now * p.load.share * flood
			}
			for ; rate > 0; rate-- {
				if p.rand.Float64() < rate {
					p.call(&fairCall{workspace: w, sent: p.now, counted: counted})
				}
			}
		}
	}
}

func workspaceName(w int) cs.WorkspaceID { return cs.WorkspaceID(fmt.Sprint("w", w)) }

// call sends a call to one of the VMs, with the time that is left.
func (p *fairPlay) call(c *fairCall) {
	if c.counted && c.sent == p.now {
		p.counts[c.workspace].sent++
	}
	v := p.anyVM()
	p.send(v)
	p.calls[p.lastID] = c
	arrived := v.inbox[len(v.inbox)-1].(gateway.ForwardArrived)
	arrived.Forward.Deadline = c.sent.Add(p.route.Timeout)
	if p.load.keyed {
		arrived.Forward.Key = cs.DigestKey(string(workspaceName(c.workspace)))
	}
	v.inbox[len(v.inbox)-1] = arrived
}

// taken counts a call that a runner has taken.
func (p *fairPlay) taken(id gateway.ForwardID, waited cs.Span) {
	c := p.calls[id]
	if !c.counted {
		return
	}
	delete(p.calls, id)
	count := &p.counts[c.workspace]
	count.taken++
	if p.now.Sub(c.sent) <= p.route.Target && waited+runnerPrefill <= p.route.Target {
		count.inTime++
	}
}

// refused sends a refused call again as its caller does.
func (p *fairPlay) refused(a gateway.Refuse) {
	c := p.calls[a.ID]
	delete(p.calls, a.ID)
	if c == nil || a.RetryAfter == 0 || float64(a.RetryAfter) > maxRetryAfterRatio*float64(p.route.Timeout) {
		return
	}
	p.at(a.RetryAfter, func() {
		if p.now < c.sent.Add(p.route.Timeout) {
			p.call(c)
		}
	})
}

// others returns the sum of the counts of all workspaces but the first one.
func (p *fairPlay) others() fairCount {
	var sum fairCount
	for _, c := range p.counts[1:] {
		sum = sum.plus(c)
	}
	return sum
}

// floodCase is a load in which a workspace sends floodFactor times its usual load.
type floodCase struct {
	name    string
	room    float64
	share   float64
	prepare func(*simFleet)
	// before and during are the calls of the others without a flood and in it.
	before, during fairCount
	flooding       fairCount
}

// loseDataCentre stops a third of the VMs and runners.
func loseDataCentre(f *simFleet) {
	for _, v := range f.vms {
		v.stopped = v.tables.Self.DataCentre == "a"
	}
	for _, r := range f.runners {
		if r.spec.DataCentre == "a" {
			f.crash(r)
			r.downUntil = f.now.Add(cs.Minute)
		}
	}
}

// playFloods plays the floods once for all tests: a workspace that is as large as the others and one with a tenth of the load, at several
// loads, and a data centre lost at a peak.
var playFloods = sync.OnceValue(func() []floodCase {
	var cases []floodCase
	for _, share := range []float64{1.0 / fairWorkspaces, largeShare} {
		for _, room := range []float64{0.9, 1.2, 2} {
			cases = append(cases, floodCase{name: fmt.Sprintf("share %.2f, %.1f times the room", share, room), room: room, share: share})
		}
	}
	cases = append(cases, floodCase{name: "data centre lost", room: 0.9, share: largeShare, prepare: loseDataCentre})
	for i := range cases {
		f := &cases[i]
		for seed := range uint64(fairSeeds) {
			load := fairLoad{room: f.room, share: f.share, flood: 1, keyed: true, prepare: f.prepare, seed: seed}
			f.before = f.before.plus(playFair(load).others())
			load.flood = floodFactor
			p := playFair(load)
			f.during, f.flooding = f.during.plus(p.others()), f.flooding.plus(p.counts[0])
		}
	}
	return cases
})

// Guards against a workspace that takes the answers of others: it sends 7.5 times its usual load beside 87 others. The calls of two plays
// differ, so that answers are compared as shares of the calls.
func TestOthersKeepTheirAnswersInAFlood(t *testing.T) {
	for _, f := range playFloods() {
		t.Run(f.name, func(t *testing.T) {
			c := qt.New(t)
			kept := ratio(f.during.taken, f.during.sent) / ratio(f.before.taken, f.before.sent)
			c.Logf("others before %+v, during %+v; flooding workspace %+v: %.3f kept", f.before, f.during, f.flooding, kept)
			c.Check(kept >= minKept, qt.IsTrue, qt.Commentf("the others keep %.3f of their answers", kept))
		})
	}
}

// checkInTime checks that the others keep their answers in time in the floods that are chosen.
func checkInTime(t *testing.T, chosen func(floodCase) bool) {
	for _, f := range playFloods() {
		if !chosen(f) {
			continue
		}
		t.Run(f.name, func(t *testing.T) {
			c := qt.New(t)
			kept := ratio(f.during.inTime, f.during.sent) / ratio(f.before.inTime, f.before.sent)
			c.Logf("others before %+v, during %+v: %.3f kept", f.before, f.during, kept)
			c.Check(kept >= minKept, qt.IsTrue, qt.Commentf("the others keep %.3f of their answers in time", kept))
		})
	}
}

// Guards against a large workspace that lengthens the waits of others beyond their target.
func TestOthersKeepTheirAnswersInTimeInALargeFlood(t *testing.T) {
	checkInTime(t, func(f floodCase) bool { return f.share == largeShare && f.prepare == nil })
}

// Guards against a workspace as small as the others that lengthens their waits beyond their target.
func TestOthersKeepTheirAnswersInTimeInASmallFlood(t *testing.T) {
	checkInTime(t, func(f floodCase) bool { return f.share != largeShare })
}

// Guards against a large workspace that lengthens the waits of others when a data centre is lost at a peak.
func TestOthersKeepTheirAnswersInTimeWithoutADataCentre(t *testing.T) {
	checkInTime(t, func(f floodCase) bool { return f.prepare != nil })
}

// Guards against a workspace that gets nothing in a long overload, be it the one that floods the fleet or a small one.
func TestNoWorkspaceStarvesInOverload(t *testing.T) {
	c := qt.New(t)
	p := playFair(fairLoad{room: 2, share: largeShare, flood: floodFactor, keyed: true, length: 30 * cs.Second})
	mean := float64(p.others().taken) / (fairWorkspaces - 1)
	least := p.counts[0].taken
	for _, count := range p.counts {
		least = min(least, count.taken)
	}
	c.Logf("%.1f answers on average for each of the others, %d for the flooding workspace, %d at least", mean, p.counts[0].taken, least)
	c.Check(float64(p.counts[0].taken) >= 0.3*mean, qt.IsTrue, qt.Commentf("flooding workspace: %d answers, the others %.1f", p.counts[0].taken, mean))
	c.Check(float64(least) >= 0.25*mean, qt.IsTrue, qt.Commentf("%d answers, the mean is %.1f", least, mean))
}

// steps is the load pattern of the users: valleys of 3.4 s at 0.38 of the mean, then peaks of 2.4 s at 1.87 of it.
func steps(since cs.Span) float64 {
	if since%(5800*cs.Millisecond) < 3400*cs.Millisecond {
		return 0.38
	}
	return 1.87
}

// Guards against fairness that costs answers where no workspace floods the fleet, with the load pattern of the users, and against a flood
// that takes the room of others in its peaks.
func TestFairnessInSteps(t *testing.T) {
	c := qt.New(t)
	var plain, before, during, flooded fairCount
	for seed := range uint64(fairSeeds) {
		load := fairLoad{room: 0.8, share: largeShare, flood: 1, factor: steps, length: 11600, seed: seed}
		p := playFair(load)
		plain = plain.plus(p.others()).plus(p.counts[0])
		load.keyed = true
		p = playFair(load)
		before, during = before.plus(p.others()), during.plus(p.others()).plus(p.counts[0])
		load.flood = floodFactor
		flooded = flooded.plus(playFair(load).others())
	}
	c.Logf("all without workspaces %+v, with workspaces %+v; others before a flood %+v, in it %+v", plain, during, before, flooded)
	c.Check(ratio(during.inTime, during.sent) >= minKept*ratio(plain.inTime, plain.sent), qt.IsTrue)
	c.Check(ratio(during.taken, during.sent) >= minKept*ratio(plain.taken, plain.sent), qt.IsTrue)
	c.Check(ratio(flooded.inTime, flooded.sent) >= minKept*ratio(before.inTime, before.sent), qt.IsTrue)
	c.Check(ratio(flooded.taken, flooded.sent) >= minKept*ratio(before.taken, before.sent), qt.IsTrue)
}

func ratio(n, of int) float64 { return float64(n) / float64(of) }
