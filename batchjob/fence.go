package batchjob

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// An append whose outcome is unknown may have taken effect, or may do so later. It is not sent again, since the store may refuse
// it for as long as it exists: a fence makes sure that it can no longer take effect. The fence of a sequenced append sets a later
// epoch of this process, that of a conditional one puts a record at the offset at which the append expected the end. Once the
// log was read to its end as of the fence, either the records of the append have been found in it (resolveInFlight), or the append
// has never happened.

// settleInFlight sends a fence of the append in flight if its outcome is unknown, and returns its proposals to the queue once
// the log shows that it has not taken effect.
func settleInFlight(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	l := &t.JobLog
	switch l.Phase {
	case gateway.AppendSent, gateway.AppendFencing:
	case gateway.AppendUnsettled:
		l.Phase = gateway.AppendFencing
		l.Fences++
		l.Epoch, l.Seq = l.Epoch+1, 0
		out.Add(gateway.FenceJobs{
			AppendID: l.InFlight.AppendID, ExpectedEnd: l.InFlight.ExpectedEnd, Epoch: l.Epoch, Timeout: timeoutAfter(l.Failures),
		})
	case gateway.AppendFenced:
		if t.Feeds[gateway.FeedJobs].AsOf >= l.FencedAt && l.End >= l.RequiredEnd {
			noteSettled(t, now, out)
			setInFlightAside(t, now, true, out)
		}
	}
}

// handleFenceOutcome continues to settle the append in flight.
func handleFenceOutcome(t *gateway.Tables, now cs.Instant, f gateway.JobsFenced, out *gateway.Actions) {
	l := &t.JobLog
	if l.InFlight == nil || l.InFlight.AppendID.Number != f.Number {
		return // resolveInFlight found its records in the log before this outcome arrived
	}
	switch o := f.Outcome.(type) {
	case gateway.AppendDone:
		l.Phase, l.FencedAt = gateway.AppendFenced, now
		endFailures(l)
		out.Add(gateway.ReadJobs{})
	case gateway.AppendConflict:
		l.Phase, l.FencedAt, l.RequiredEnd = gateway.AppendFenced, now, max(l.RequiredEnd, o.End)
		out.Add(gateway.ReadJobs{})
	case gateway.AppendOutOfSequence:
		fenceAgain(t, now, o.Reason, out)
	case gateway.AppendRejected:
		fenceAgain(t, now, o.Reason, out)
	case gateway.AppendInvalid:
		fenceAgain(t, now, o.Reason, out)
	case gateway.AppendUnknown:
		fenceAgain(t, now, o.Error, out)
	}
}

// fenceAgain plans another fence, which has a later epoch, since the store may still carry out one without a response.
func fenceAgain(t *gateway.Tables, now cs.Instant, reason string, out *gateway.Actions) {
	noteAppendFailed(t, now, "notFenced", reason, out)
	backOff(t, now, unknownRetryDelay, maxFenceDelay)
	t.JobLog.Phase = gateway.AppendUnsettled
}

// noteSettled logs that the append in flight has not taken effect and no longer can.
func noteSettled(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	l := &t.JobLog
	out.Note(gateway.Note{
		Kind: gateway.NoteAppendFenced, Outcome: "notAppended", Count: len(l.InFlight.Changes), Attempt: cs.Attempt(l.Fences),
		Duration: now.Sub(l.SentAt), Offset: l.End,
	})
}
