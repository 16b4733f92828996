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
	// quietPeriod is the time without a new request after which a VM may exit. Until then requests are refused, which
	// tells their callers that they have not run; a closed connection does not.
	quietPeriod = 250 * cs.Millisecond
	// The following are times before the end of the grace period: when the work that is still in flight is stopped, when
	// the process exits even if some has not ended, and when the answers must be written.
	stopMargin  = 600 * cs.Millisecond
	exitMargin  = 350 * cs.Millisecond
	writeMargin = 200 * cs.Millisecond
)

// Drain takes this VM out of service: the VM stops reporting ready, keeps serving until the
// platform has noticed, and exits once nothing is in flight or the grace period is almost over.
func Drain(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	d := &t.Drain
	for _, e := range t.Events {
		switch e.(type) {
		case gateway.DrainRequested:
			if d.Phase == fleet.DrainNone {
				enterPhase(d, fleet.DrainWaiting, now, out)
				d.StopAt = now.Add(t.Config.Grace - stopMargin)
			}
		case gateway.ForwardArrived, gateway.JobSubmitted, gateway.JobEndRequested, gateway.ResultsRequested, gateway.ItemBodyRequested:
			d.ArrivedAt = now
		default:
		}
	}
	switch d.Phase {
	case fleet.DrainNone, fleet.DrainDone:
	case fleet.DrainWaiting:
		end := d.Since.Add(unreadyNoticePeriod)
		if d.StopAt != 0 {
			end = min(end, d.StopAt)
		}
		if now >= end {
			since := d.Since
			enterPhase(d, fleet.DrainFinishing, now, out)
			d.Since = since // the grace period counts from the request to drain
		}
		out.WakeAt(end)
	case fleet.DrainFinishing:
		d.Stopping = now >= d.StopAt
		start, quietAt := d.Since, d.ArrivedAt.Add(quietPeriod)
		if exitAt := start.Add(t.Config.Grace - exitMargin); now >= exitAt || (now >= quietAt || d.Stopping) && isIdle(t) {
			enterPhase(d, fleet.DrainDone, now, out)
			out.Add(gateway.Exit{By: start.Add(t.Config.Grace - writeMargin)})
			return
		}
		if now < quietAt {
			out.WakeAt(quietAt)
		}
		if !d.Stopping {
			out.WakeAt(d.StopAt)
		}
		out.WakeAt(start.Add(t.Config.Grace - exitMargin))
	}
}

// enterPhase starts a phase of the drain and logs it.
func enterPhase(d *gateway.Drain, p fleet.DrainPhase, now cs.Instant, out *gateway.Actions) {
	d.Phase, d.Since = p, now
	out.Note(gateway.Note{Kind: gateway.NoteDrainChanged, Outcome: p.String()})
}

// isIdle reports whether no caller waits for an answer, no batch item is running and no change of the job log is pending.
func isIdle(t *gateway.Tables) bool {
	if t.Forwards.Len() > 0 || t.ResultsQueries.Len() > 0 || t.BodyQueries.Len() > 0 || t.HasPendingChanges() {
		return false
	}
	for _, r := range t.Runners.All() {
		if r.Batch > 0 {
			return false
		}
	}
	return true
}
