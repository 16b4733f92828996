package roster

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

// Timing of a drain.
const (
	// unreadyNoticePeriod is how long a VM keeps admitting requests after it has stopped reporting
	// ready. The platform checks readiness once a second and removes a VM after two failed checks,
	// and connections opened until then carry new requests for a little longer.
	unreadyNoticePeriod = 4 * cs.Second
	// graceMargin is how long before the end of the grace period the process exits even if work is
	// still in flight.
	graceMargin = 700 * cs.Millisecond
)

// Drain takes this VM out of service: the VM stops reporting ready, keeps serving until the
// platform has noticed, and exits once nothing is in flight or the grace period is almost over.
func Drain(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	d := &t.Drain
	for _, e := range t.Events {
		if _, ok := e.(gateway.DrainRequested); ok && d.Phase == fleet.DrainNone {
			enterPhase(d, fleet.DrainWaiting, now, out)
			d.StopAt = now.Add(t.Config.Grace - graceMargin)
		}
	}
	switch d.Phase {
	case fleet.DrainNone, fleet.DrainDone:
	case fleet.DrainWaiting:
		if now.Sub(d.Since) >= unreadyNoticePeriod {
			since := d.Since
			enterPhase(d, fleet.DrainFinishing, now, out)
			d.Since = since // the grace period counts from the request to drain
		}
		out.WakeAt(d.Since.Add(unreadyNoticePeriod))
	case fleet.DrainFinishing:
		end := d.Since.Add(t.Config.Grace - graceMargin)
		if now >= end || t.Forwards.Len() == 0 && batchIdle(t) {
			enterPhase(d, fleet.DrainDone, now, out)
			out.Add(gateway.Exit{})
		}
		out.WakeAt(end)
	}
}

// enterPhase starts a phase of the drain and logs it.
func enterPhase(d *gateway.Drain, p fleet.DrainPhase, now cs.Instant, out *gateway.Actions) {
	d.Phase, d.Since = p, now
	out.Note(gateway.Note{Kind: gateway.NoteDrainChanged, Outcome: p.String()})
}

// batchIdle reports whether no batch item is running and no change of the job log is pending.
func batchIdle(t *gateway.Tables) bool {
	if len(t.Proposals) > 0 || t.JobLog.InFlight != nil {
		return false
	}
	for _, r := range t.Runners.All() {
		if r.Batch > 0 {
			return false
		}
	}
	return true
}
