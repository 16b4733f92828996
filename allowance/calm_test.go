package allowance_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// warmUp is the time in which the simulated VMs get their partitions and learn of each other, and buckets fill.
const warmUp = 10 * cs.Second

// offer lets requests of a workspace arrive at VMs at a constant rate, most of them at the first ones.
func (s *sim) offer(w cs.WorkspaceID, perSecond float64, length cs.Span) {
	for n := range int(perSecond * float64(length) / 1000) {
		at := cs.Span(float64(n) * 1000 / perSecond)
		vm := min(s.rand.IntN(len(s.vms)), s.rand.IntN(len(s.vms)), s.rand.IntN(len(s.vms)))
		s.after(at, func() { s.request(vm, w) })
	}
}

// Guards against allowance that is lost while nothing disturbs the VMs: with callers that send three times the limit, 0.97 of it
// must be served, and with callers below the limit nothing may be refused.
func TestLimitIsServedOnCalmLinks(t *testing.T) {
	const length = 20 * cs.Second
	for _, w := range []cs.Workspace{{ID: "slow", Rate: 3, Burst: 2}, {ID: "usual", Rate: 30, Burst: 10}, {ID: "fast", Rate: 300, Burst: 100}} {
		limit := float64(w.Rate) * float64(length) / 1000
		t.Run(string(w.ID)+"/beyond the limit", func(t *testing.T) {
			c := qt.New(t)
			s := newSim(1, 8, testConfig(), []cs.Workspace{w})
			s.runUntil(simStart.Add(warmUp))
			s.offer(w.ID, 3*float64(w.Rate), length)
			s.runUntil(s.now.Add(length))
			served := float64(len(s.sends[w.ID]))
			c.Check(served >= 0.97*limit, qt.IsTrue, qt.Commentf("%g of %g requests served", served, limit))
			c.Check(served <= limit+w.Burst+1, qt.IsTrue, qt.Commentf("%g of %g requests served", served, limit))
			c.Check(s.noOwner, qt.Equals, 0)
		})
		t.Run(string(w.ID)+"/below the limit", func(t *testing.T) {
			c := qt.New(t)
			s := newSim(2, 8, testConfig(), []cs.Workspace{w})
			s.runUntil(simStart.Add(warmUp))
			s.offer(w.ID, 0.97*float64(w.Rate), length)
			s.runUntil(s.now.Add(length + cs.Second))
			c.Check(s.limited+s.noOwner, qt.Equals, 0)
			c.Check(s.sends[w.ID], qt.HasLen, s.arrived)
		})
	}
}

// Guards against callers that all come back at the same time, and against retry times at which there is no allowance.
func TestRetryTimesAreSpread(t *testing.T) {
	c := qt.New(t)
	s := newSim(3, 4, testConfig(), []cs.Workspace{{ID: "w", Rate: 20, Burst: 5}})
	s.runUntil(simStart.Add(warmUp))
	for i := range 60 {
		s.request(i%4, "w")
	}
	s.runUntil(s.now.Add(100))
	c.Assert(len(s.retries) >= 50, qt.IsTrue)
	begin := s.now.Add(-100)
	perHalfSecond := make(map[cs.Span]int)
	for _, at := range s.retries {
		c.Check(at > begin, qt.IsTrue)
		perHalfSecond[at.Sub(begin)/500]++
	}
	for half, n := range perHalfSecond {
		c.Check(n <= 20, qt.IsTrue, qt.Commentf("%d of %d come back in half second %d, with 10 permits", n, len(s.retries), half))
	}
}

// BenchmarkLimitTraffic measures what VMs send for limits, in bytes of datagrams a second and VM, without the headers of UDP and
// IP: at the rate of requests of the users' site, at that of its peaks, and at the target scale. Idle workspaces must cost nothing.
func BenchmarkLimitTraffic(b *testing.B) {
	for _, test := range []struct {
		name              string
		vms, active, idle int
		// perVM is the number of requests a second and VM.
		perVM  float64
		length cs.Span
	}{
		{"300 VMs, 88 workspaces", 300, 88, 0, 3.2, 5 * cs.Second},
		{"300 VMs, 88 workspaces and 10,912 idle", 300, 88, 10_912, 3.2, 5 * cs.Second},
		{"300 VMs, 88 workspaces, peak", 300, 88, 0, 6, 5 * cs.Second},
		{"390 VMs, 11,000 workspaces, target scale", 390, 11_000, 0, 82, cs.Second},
	} {
		b.Run(test.name, func(b *testing.B) {
			var workspaces []cs.Workspace
			for i := range test.active + test.idle {
				workspaces = append(workspaces, cs.Workspace{ID: cs.WorkspaceID(fmt.Sprint("workspace-", i)), Rate: 60, Burst: 60})
			}
			for b.Loop() {
				s := newSim(1, test.vms, testConfig(), workspaces)
				s.runUntil(simStart.Add(3 * cs.Second))
				sent, messages := 0, 0
				s.observeMessage = func(m gateway.AllowanceMessage) {
					data, err := cbor.Marshal(m)
					if err != nil {
						b.Fatal(err)
					}
					sent += len(data) + 3 // the tag
					messages++
				}
				for n := range int(test.perVM * float64(test.vms) * float64(test.length) / 1000) {
					w := workspaces[s.rand.IntN(test.active)].ID
					s.after(cs.Span(s.rand.IntN(int(test.length))), func() { s.request(n%test.vms, w) })
				}
				s.runUntil(s.now.Add(test.length))
				seconds := float64(test.length) / 1000 * float64(test.vms)
				b.ReportMetric(float64(sent)/seconds, "B/s/VM")
				b.ReportMetric(float64(messages)/seconds, "datagrams/s/VM")
				b.ReportMetric(float64(s.limited+s.noOwner), "refused")
			}
		})
	}
}
