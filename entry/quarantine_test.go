package entry_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
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
	// stopDeadlyAt is when the deadly requests end; 0 means never.
	stopDeadlyAt cs.Span
	// length is how long the day lasts; 0 means 20 s.
	length cs.Span
	// disturb is called in each step with the time since the beginning.
	disturb func(f *simFleet, at cs.Span)
}

const (
	deadlyPart cs.PromptPart = 0xdead
	firstPart  cs.PromptPart = 1
	laterPart  cs.PromptPart = 0x99
)

// play plays a day on which the deadly requests begin after 4 s.
func (d deadlyDay) play() *simFleet {
	length := d.length
	if length == 0 {
		length = 20 * cs.Second
	}
	f := newSimFleet(d.seed, d.vms, d.runners)
	f.deadly = deadlyPart
	begin := f.now
	for f.now < begin.Add(length) {
		at := f.now.Sub(begin)
		if d.disturb != nil {
			d.disturb(f, at)
		}
		if f.rand.Float64() < d.perSecond*float64(simStep)/1000 {
			f.send(f.anyVM(), firstPart+cs.PromptPart(f.rand.IntN(8)))
		}
		if stopped := d.stopDeadlyAt > 0 && at >= d.stopDeadlyAt; at >= 4*cs.Second && !stopped && f.rand.Float64() < d.deadlyPerSecond*float64(simStep)/1000 {
			f.send(f.anyVM(), d.deadly...)
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
	for _, test := range []struct {
		day      deadlyDay
		seeds    uint64
		affected int
	}{
		{deadlyDay{vms: 21, runners: 12, perSecond: 48, deadlyPerSecond: 2.4}, 3, 4},
		{deadlyDay{vms: 121, runners: 90, perSecond: 48, deadlyPerSecond: 16}, 1, 30},
	} {
		d := test.day
		d.deadly = []cs.PromptPart{firstPart, deadlyPart}
		d.disturb = func(f *simFleet, at cs.Span) {
			switch at {
			case 4 * cs.Second:
				for _, v := range f.vms[:test.affected] {
					v.cutUntil = f.now.Add(returned - 4*cs.Second)
				}
			case returned:
				for i := test.affected; i < 2*test.affected; i++ {
					f.restart(i)
				}
			}
		}
		for seed := range test.seeds {
			d.seed = seed
			c := qt.New(t)
			f := d.play()
			affected := make(map[cs.VMID]bool)
			for _, v := range f.vms[:2*test.affected] {
				affected[v.tables.Self.ID] = true
			}
			inTouchAgain := f.now.Add(returned + contactTime - 20*cs.Second)
			late := lateRequests(f, func(s simDispatch) bool { return affected[s.vm] && s.at < inTouchAgain })
			c.Check(len(late) <= maxLateRequests, qt.IsTrue, qt.Commentf("%d VMs: %d requests reached runners too late, %d crashes", d.vms, len(late), len(f.crashes)))
			c.Check(unjustRefusals(f), qt.Equals, 0)
		}
	}
}

// Guards against a VM that learns of a part that crashes runners only when its own requests crash some: it must know the
// part from its peers soon after it has started or its cut has healed, also if no such request comes meanwhile.
func TestPeersTellOfQuarantinedParts(t *testing.T) {
	const (
		lastCause = 8 * cs.Second
		returned  = 12 * cs.Second
	)
	d := deadlyDay{
		vms: 21, runners: 12, perSecond: 48, deadly: []cs.PromptPart{firstPart, deadlyPart}, deadlyPerSecond: 2.4, length: returned + contactTime, stopDeadlyAt: lastCause,
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
	c := qt.New(t)
	f := d.play()
	for _, v := range f.vms {
		c.Check(v.tables.Quarantine.Parts, qt.DeepEquals, []cs.PromptPart{deadlyPart}, qt.Commentf("%s", v.tables.Self.ID))
	}
}

// Guards against refusing requests for a sound part that was in flight at the same crashes as the part that caused them,
// since only requests that crashed runners had it until then.
func TestPartBesideTheCauseIsServed(t *testing.T) {
	for seed := range uint64(3) {
		d := deadlyDay{
			vms: 21, runners: 12, perSecond: 48, deadly: []cs.PromptPart{firstPart, laterPart, deadlyPart}, deadlyPerSecond: 2.4, seed: seed,
			disturb: func(f *simFleet, at cs.Span) {
				if at >= 8*cs.Second && f.rand.Float64() < 2*float64(simStep)/1000 {
					f.send(f.anyVM(), firstPart+1, laterPart)
				}
			},
		}
		c := qt.New(t)
		f := d.play()
		c.Check(unjustRefusals(f), qt.Equals, 0)
	}
}

// Guards against requests that reach runners with the part that is the cause, since until then all requests that crashed
// runners had another part too, which might as well have been it.
func TestCauseIsToldFromPartThatWasAlwaysBesideIt(t *testing.T) {
	for seed := range uint64(3) {
		d := deadlyDay{
			vms: 21, runners: 12, perSecond: 48, deadly: []cs.PromptPart{firstPart, laterPart, deadlyPart}, deadlyPerSecond: 2.4, seed: seed,
			stopDeadlyAt: 8 * cs.Second,
			disturb: func(f *simFleet, at cs.Span) {
				if at >= 8*cs.Second && f.rand.Float64() < 2.4*float64(simStep)/1000 {
					f.send(f.anyVM(), firstPart, deadlyPart)
				}
			},
		}
		c := qt.New(t)
		f := d.play()
		late := lateRequests(f, func(simDispatch) bool { return false })
		c.Check(len(late) <= maxLateRequests, qt.IsTrue, qt.Commentf("%d requests reached runners too late", len(late)))
	}
}

// Guards against a part that stays quarantined after its cause is gone, and against finding that out at the cost of many
// runners: at most three requests with the part may reach runners while it goes on.
func TestQuarantineEndsWhenCauseIsGone(t *testing.T) {
	const (
		quarantined = 8 * cs.Second
		causeGone   = 90 * cs.Second
		end         = 180 * cs.Second
	)
	for seed := range uint64(3) {
		c := qt.New(t)
		d := deadlyDay{
			vms: 21, runners: 12, perSecond: 48, deadly: []cs.PromptPart{firstPart, deadlyPart}, deadlyPerSecond: 2.4, seed: seed, length: end,
			disturb: func(f *simFleet, at cs.Span) {
				if at == causeGone {
					f.deadly = 0
				}
			},
		}
		f := d.play()
		since, gone := f.now.Add(quarantined-end), f.now.Add(causeGone-end)
		reached := 0
		for _, s := range f.dispatches {
			if slices.Contains(s.parts, deadlyPart) && s.at > since && s.at < gone {
				reached++
			}
		}
		c.Check(reached > 0 && reached <= maxLateRequests, qt.IsTrue, qt.Commentf("%d requests reached runners", reached))
		var last cs.Instant
		for _, r := range f.refusals {
			if r.refuse.Refusal.Reason == cs.ReasonQuarantined {
				last = r.at
			}
		}
		// The time without a probe doubles with each of them, so that it is at most as long as the outage was.
		c.Check(last < gone.Add(causeGone), qt.IsTrue, qt.Commentf("refused until %s after the cause was gone", last.Sub(gone)))
		for _, v := range f.vms {
			c.Check(v.tables.Quarantine.Parts, qt.HasLen, 0)
		}
	}
}

// Guards against callers that make up parts: they must neither make the reports of a VM larger than a datagram, nor keep
// VMs from learning which part crashes runners.
func TestMadeUpPartsDoNotHideTheCause(t *testing.T) {
	const maxDatagram = 1500
	for _, d := range []deadlyDay{
		{vms: 21, runners: 12, perSecond: 48, deadlyPerSecond: 2.4},
		{vms: 121, runners: 90, perSecond: 48, deadlyPerSecond: 16, length: 12 * cs.Second},
	} {
		largest := 0
		made := cs.PromptPart(1 << 32)
		d.deadly = []cs.PromptPart{firstPart, deadlyPart}
		d.disturb = func(f *simFleet, _ cs.Span) {
			f.observeReport = func(r gateway.Report) {
				data, err := cbor.Marshal(r)
				qt.Assert(t, err, qt.IsNil)
				largest = max(largest, len(data))
			}
			if f.rand.Float64() < 40*float64(simStep)/1000 {
				parts := []cs.PromptPart{firstPart}
				for range 15 {
					made++
					parts = append(parts, made)
				}
				f.send(f.anyVM(), parts...)
			}
		}
		c := qt.New(t)
		f := d.play()
		late := lateRequests(f, func(simDispatch) bool { return false })
		c.Check(len(late) <= maxLateRequests, qt.IsTrue, qt.Commentf("%d VMs: %d requests reached runners too late, %d crashes", d.vms, len(late), len(f.crashes)))
		c.Check(unjustRefusals(f), qt.Equals, 0)
		c.Check(largest <= maxDatagram, qt.IsTrue, qt.Commentf("%d VMs: a report of %d bytes", d.vms, largest))
	}
}

// lateProbes counts the requests with the deadly part that reached runners after the given time of a day.
func lateProbes(f *simFleet, length, after cs.Span) int {
	n := 0
	for _, s := range f.dispatches {
		if s.at > f.now.Add(after-length) && slices.Contains(s.parts, deadlyPart) {
			n++
		}
	}
	return n
}

// Guards against several VMs that let a request with a quarantined part pass at the same time: each crashes a runner, and
// one would have shown that the cause is still there.
func TestOneVMProbesQuarantinedPart(t *testing.T) {
	for seed := range uint64(3) {
		d := deadlyDay{
			vms: 60, runners: 45, perSecond: 20, deadly: []cs.PromptPart{firstPart, deadlyPart}, deadlyPerSecond: 8, seed: seed, length: 24 * cs.Second,
			disturb: func(f *simFleet, at cs.Span) {
				if at >= 15*cs.Second && at%(400*cs.Millisecond) == 0 {
					for range 8 {
						f.send(f.anyVM(), firstPart, deadlyPart)
					}
				}
			},
		}
		c := qt.New(t)
		f := d.play()
		c.Check(lateProbes(f, d.length, 15*cs.Second), qt.Equals, 1)
	}
}

// Guards against VMs that are cut off from the others and let a request with a quarantined part pass each for itself.
func TestVMsThatAreCutOffDoNotProbe(t *testing.T) {
	for seed := range uint64(3) {
		d := deadlyDay{
			vms: 21, runners: 12, perSecond: 48, deadly: []cs.PromptPart{firstPart, deadlyPart}, deadlyPerSecond: 6, seed: seed, length: 30 * cs.Second,
			disturb: func(f *simFleet, at cs.Span) {
				if at == 12*cs.Second {
					for _, v := range f.vms[:6] {
						v.cutUntil = f.now.Add(14 * cs.Second)
					}
				}
			},
		}
		c := qt.New(t)
		f := d.play()
		c.Check(lateProbes(f, d.length, 12*cs.Second), qt.Equals, 1)
	}
}

// Guards against probes that follow each other while no crash of them can be proved: each reaches a runner.
func TestProbeWithoutOutcomeIsNotRepeatedSoon(t *testing.T) {
	c := qt.New(t)
	f := newSimFleet(1, 1, 1)
	vm, crashed := f.vms[0].tables, f.now
	var out gateway.Actions
	for id := range gateway.CrashID(3) {
		vm.RecordCrash(gateway.PartKey(7), gateway.Crash{ID: id, At: crashed, LearnedAt: crashed})
	}
	vm.UpdateQuarantine(crashed.Add(cs.Second), &out)
	probes := 0
	for now := crashed; now < crashed.Add(59*cs.Second); now = now.Add(100) {
		if vm.MayProbe(7, now) {
			vm.RecordProbe(7, now, &out)
			probes++
		}
		vm.ClaimProbe(7, now)
	}
	c.Assert(probes, qt.Equals, 2) // 15 and 30 s after the crashes
}

// Guards against a VM that has started and lets requests with a part pass that all others have quarantined long ago,
// since it waits for news that can no longer come.
func TestStartedVMTakesOverQuarantine(t *testing.T) {
	const (
		// heard is after which time nearly all VMs have got a report that lists all suspects: each peer sends one a second.
		heard = 350 * cs.Millisecond
		// maxUnheard is how often the 21 requests may reach runners: one VM may not have heard, and sends its request twice.
		maxUnheard = 2
	)
	for _, vms := range []int{21, 60} {
		c := qt.New(t)
		d := deadlyDay{
			vms: vms, runners: 45, perSecond: 20, deadly: []cs.PromptPart{firstPart, deadlyPart}, deadlyPerSecond: 8, length: 18 * cs.Second, stopDeadlyAt: 8 * cs.Second,
			disturb: func(f *simFleet, at cs.Span) {
				if at < 13*cs.Second || at > 17*cs.Second || at%(200*cs.Millisecond) != 0 {
					return
				}
				i := int(at/(200*cs.Millisecond)) % vms
				f.restart(i)
				f.at(heard, func() { f.send(f.vms[i], firstPart, deadlyPart) })
			},
		}
		f := d.play()
		late := lateProbes(f, d.length, 13*cs.Second)
		c.Check(late <= maxUnheard, qt.IsTrue, qt.Commentf("%d VMs: %d requests reached runners", vms, late))
	}
}

// Guards against refusing sound requests, and against learning too late of the part that crashes runners, while the
// reports of VMs are slow and some of them are lost.
func TestQuarantineWithSlowReports(t *testing.T) {
	for _, d := range []deadlyDay{
		{vms: 21, runners: 12, perSecond: 48, deadlyPerSecond: 2.4, length: 24 * cs.Second},
		{vms: 121, runners: 90, perSecond: 48, deadlyPerSecond: 16, length: 24 * cs.Second},
	} {
		d.deadly = []cs.PromptPart{firstPart, deadlyPart}
		d.disturb = func(f *simFleet, _ cs.Span) { f.maxTransit, f.lost = 100*cs.Millisecond, 0.1 }
		c := qt.New(t)
		f := d.play()
		late := lateRequests(f, func(simDispatch) bool { return false })
		c.Check(len(late) <= maxLateRequests, qt.IsTrue, qt.Commentf("%d VMs: %d requests reached runners too late, %d crashes", d.vms, len(late), len(f.crashes)))
		c.Check(lateProbes(f, d.length, 15*cs.Second) <= 1, qt.IsTrue)
		c.Check(unjustRefusals(f), qt.Equals, 0, qt.Commentf("%d VMs", d.vms))
	}
}

// Guards against refusing requests for a sound part that was in flight at some of the crashes, and at no others, when there
// were more crashes than are kept for each part.
func TestPartBesideTheCauseOfManyCrashesIsServed(t *testing.T) {
	for seed := range uint64(2) {
		d := deadlyDay{
			vms: 121, runners: 90, perSecond: 20, deadly: []cs.PromptPart{laterPart, deadlyPart}, deadlyPerSecond: 8, seed: seed, length: 12 * cs.Second,
			disturb: func(f *simFleet, at cs.Span) {
				if at >= 4*cs.Second && f.rand.Float64() < 16*float64(simStep)/1000 {
					f.send(f.anyVM(), laterPart+cs.PromptPart(1+f.rand.IntN(2)), deadlyPart)
				}
				if at >= 8*cs.Second && f.rand.Float64() < 8*float64(simStep)/1000 {
					f.send(f.anyVM(), laterPart+cs.PromptPart(f.rand.IntN(3)))
				}
			},
		}
		c := qt.New(t)
		f := d.play()
		c.Check(unjustRefusals(f), qt.Equals, 0, qt.Commentf("%d crashes", len(f.crashes)))
	}
}
