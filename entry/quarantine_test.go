package entry_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
)

// Bounds that the users' platform sets for parts that crash runners.
const (
	// contactTime is the time after which knowledge of a VM counts as known to all.
	contactTime = 3 * cs.Second
	// knownCrashes is the number of crashes after which the part counts as known.
	knownCrashes = 5
	// maxLateRequests is the number of requests with a known part that may still reach runners.
	maxLateRequests = 3
)

// deadlyDay is a simulated day on which some requests carry a part that crashes runners.
type deadlyDay struct {
	vms, runners int
	seed         uint64
	// perSecond is the number of sound requests a second, each of which begins with one of eight parts.
	perSecond float64
	// deadly are the shared parts of the requests that crash runners, deadlyPerSecond their number a second.
	deadly          []cs.PromptPart
	deadlyPerSecond float64
	// disturb is called in each step with the time since the beginning.
	disturb func(f *simFleet, at cs.Span)
}

const (
	deadlyPart cs.PromptPart = 0xdead
	firstPart  cs.PromptPart = 1
	laterPart  cs.PromptPart = 0x99
)

// play plays a day of 20 s on which the deadly requests begin after 4 s.
func (d deadlyDay) play() *simFleet {
	f := newSimFleet(d.seed, d.vms, d.runners)
	f.deadly = deadlyPart
	begin := f.now
	for f.now < begin.Add(20*cs.Second) {
		at := f.now.Sub(begin)
		if d.disturb != nil {
			d.disturb(f, at)
		}
		if f.rand.Float64() < d.perSecond*float64(simStep)/1000 {
			f.send(f.vms[f.rand.IntN(len(f.vms))], firstPart+cs.PromptPart(f.rand.IntN(8)))
		}
		if at >= 4*cs.Second && f.rand.Float64() < d.deadlyPerSecond*float64(simStep)/1000 {
			f.send(f.vms[f.rand.IntN(len(f.vms))], d.deadly...)
		}
		f.step()
	}
	return f
}

// lateRequests returns the requests with the deadly part that reached runners too late, but for those of VMs that are
// excused at the time.
func lateRequests(f *simFleet, excused func(simDispatch) bool) []simDispatch {
	if len(f.crashes) < knownCrashes {
		return nil
	}
	known := f.crashes[knownCrashes-1].Add(contactTime)
	var late []simDispatch
	for _, d := range f.dispatches {
		if d.at > known && slices.Contains(d.parts, deadlyPart) && !excused(d) {
			late = append(late, d)
		}
	}
	return late
}

// unjustRefusals counts the requests without the deadly part that were refused as quarantined.
func unjustRefusals(f *simFleet) int {
	n := 0
	for _, r := range f.refusals {
		if r.refuse.Refusal.Reason == cs.ReasonQuarantined && !slices.Contains(r.parts, deadlyPart) {
			n++
		}
	}
	return n
}

// Guards against runners that crash one after the other under requests that have one part of their prompts in common
// and nothing else, and against refusing the sound requests that share other parts with them.
func TestPartThatCrashesRunnersIsQuarantined(t *testing.T) {
	for name, d := range map[string]deadlyDay{
		"first part":              {vms: 21, runners: 12, perSecond: 48, deadly: []cs.PromptPart{deadlyPart}, deadlyPerSecond: 2.4},
		"first part before sound": {vms: 21, runners: 12, perSecond: 48, deadly: []cs.PromptPart{deadlyPart, laterPart}, deadlyPerSecond: 2.4},
		"later part":              {vms: 21, runners: 12, perSecond: 48, deadly: []cs.PromptPart{firstPart, deadlyPart}, deadlyPerSecond: 2.4},
		"between sound parts":     {vms: 21, runners: 12, perSecond: 48, deadly: []cs.PromptPart{firstPart, deadlyPart, laterPart}, deadlyPerSecond: 2.4},
		"many VMs":                {vms: 121, runners: 90, perSecond: 325, deadly: []cs.PromptPart{firstPart, deadlyPart}, deadlyPerSecond: 16},
	} {
		seeds := uint64(3)
		if d.vms > 21 {
			seeds = 1 // a day of many VMs takes seconds
		}
		for seed := range seeds {
			d.seed = seed
			t.Run(name, func(t *testing.T) {
				c := qt.New(t)
				f := d.play()
				late := lateRequests(f, func(simDispatch) bool { return false })
				c.Check(len(late) <= maxLateRequests, qt.IsTrue, qt.Commentf("%d requests reached runners too late, %d crashes", len(late), len(f.crashes)))
				c.Check(unjustRefusals(f), qt.Equals, 0)
			})
		}
	}
}

// Guards against a VM that does not know of a part that crashes runners, because it has started or was cut off from
// its peers when they learned of it.
func TestQuarantineReachesVMsThatReturn(t *testing.T) {
	const returned = 12 * cs.Second
	d := deadlyDay{
		vms: 21, runners: 12, perSecond: 48, deadly: []cs.PromptPart{firstPart, deadlyPart}, deadlyPerSecond: 2.4,
		disturb: func(f *simFleet, at cs.Span) {
			switch at {
			case 4 * cs.Second:
				for _, v := range f.vms[:4] {
					v.cutUntil = f.now.Add(returned - 4*cs.Second)
				}
			case returned:
				for i := 4; i < 8; i++ {
					f.restart(i)
				}
			}
		},
	}
	for seed := range uint64(3) {
		d.seed = seed
		c := qt.New(t)
		f := d.play()
		affected := make(map[cs.VMID]bool)
		for _, v := range f.vms[:8] {
			affected[v.tables.Self.ID] = true
		}
		inTouchAgain := f.now.Add(returned + contactTime - 20*cs.Second)
		late := lateRequests(f, func(s simDispatch) bool { return affected[s.vm] && s.at < inTouchAgain })
		c.Check(len(late) <= maxLateRequests, qt.IsTrue, qt.Commentf("%d requests reached runners too late, %d crashes", len(late), len(f.crashes)))
		c.Check(unjustRefusals(f), qt.Equals, 0)
	}
}
