package forward

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

// Limits of admission and dispatch.
const (
	// maxQueuedPerRunner is the number of requests beyond its slots that a runner may be sent.
	maxQueuedPerRunner = gateway.QueuedPerRunner
	// emptiedTimeout is how long requests wait for a service after its last runner was removed.
	// Runners restart some seconds after a crash, and the registration of a crashed runner expires
	// after about 4 s.
	emptiedTimeout = 3 * cs.Second
	// maxWaitingRequests limits the requests that wait for a runner on one VM.
	maxWaitingRequests = 2000
)

// Admit inserts newly arrived requests into the forward table, or refuses them if their key is unknown, their content has
// crashed runners, this VM is late in its drain or too many requests wait.
func Admit(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		arrived, ok := e.(gateway.ForwardArrived)
		if !ok {
			continue
		}
		f := arrived.Forward
		if refusal := authorize(t, &f, now); refusal != nil {
			refuseAfter(now, &f, *refusal, accessRetryAfter(refusal), out)
			continue
		}
		f.Service = pickService(t, &f)
		if t.ContentQuarantined(f.Content) {
			refuse(now, &f, cs.Refusal{Reason: cs.ReasonQuarantined, Ran: cs.RanFailed, Message: "the request has crashed runners"}, out)
			continue
		}
		if part, ok := t.QuarantinedPart(f.Parts); ok {
			if f.Probe = t.ClaimProbe(part, now); !f.Probe {
				refuse(now, &f, quarantineRefusal(&f), out)
				continue
			}
			f.NotBefore = t.ProbeSettledAt(now)
		}
		if t.Drain.Phase >= fleet.DrainFinishing {
			refuse(now, &f, leavingRefusal(), out)
			continue
		}
		if t.Forwards.Len() >= maxWaitingRequests {
			refuse(now, &f, cs.Refusal{Reason: cs.ReasonOverloaded, Message: "too many requests wait"}, out)
			continue
		}
		t.Forwards.Insert(f.ID, f)
	}
}

// pickService picks one of the route's services at random, in proportion to their weights.
func pickService(t *gateway.Tables, f *gateway.Forward) cs.ServiceID {
	total := 0.0
	for _, s := range f.Route.Shares {
		total += s.Weight
	}
	draw := t.Rand.Float64() * total
	for _, s := range f.Route.Shares {
		if draw -= s.Weight; draw < 0 {
			return s.Service
		}
	}
	if n := len(f.Route.Shares); n > 0 {
		return f.Route.Shares[n-1].Service
	}
	return ""
}

// Dispatch sends waiting requests to runners in order of rank and refuses requests that cannot be
// served.
func Dispatch(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	expireSlotRequests(t, now)
	updateHeld(t)
	updateDemand(t, now) // mayDispatch divides the free capacity by this demand
	estimates := make(map[cs.ServiceID]*waitEstimate)
	var done []gateway.ForwardID
	for _, id := range waitingByRank(t, now) {
		f := t.Forwards.Get(id)
		if refusal := drainRefusal(t, f, now); refusal != nil {
			refuse(now, f, *refusal, out)
			done = append(done, id)
			continue
		}
		if refusal := withdrawnRefusal(t, f, now, out); refusal != nil {
			refuse(now, f, *refusal, out)
			done = append(done, id)
			continue
		}
		if refusal := terminalRefusal(t, f, now); refusal != nil {
			refuse(now, f, *refusal, out)
			done = append(done, id)
			continue
		}
		if now < f.NotBefore {
			out.WakeAt(f.NotBefore)
			continue
		}
		estimate := estimateWait(t, f.Service, now, estimates, out)
		switch {
		case t.HasPermit(f, now):
			if sendOrRequest(t, f, now, out) {
				continue
			}
		case f.PermitUntil == 0:
			continue // package allowance bounds the wait for the first permit
		default:
			wantPermit(t, f, now, out)
		}
		if !estimate.servable {
			refuse(now, f, unavailableRefusal(f, estimate), out)
			done = append(done, id)
			continue
		}
		estimate.waiting++
		if shouldShed(f, now, estimate) || estimate.limitExceeded(now, f.Deadline) {
			refuse(now, f, cs.Refusal{Reason: cs.ReasonOverloaded, Ran: ranSoFar(f), Message: "the wait for a runner is too long"}, out)
			done = append(done, id)
			continue
		}
		out.WakeAt(f.Deadline)
	}
	for _, id := range done {
		t.Forwards.Delete(id)
	}
	updateDemand(t, now) // peers are sent the demand of the requests that still wait
}

// wantPermit requests another permit for a request whose permit has ended, if there is a runner for it. Otherwise the requests that
// wait in an overload would use up the limit of their workspace.
func wantPermit(t *gateway.Tables, f *gateway.Forward, now cs.Instant, out *gateway.Actions) {
	if !f.WantsPermit && (f.GrantedBy != "" || pickRunner(t, f, now, false) != nil) {
		f.WantsPermit = true
		out.WakeAt(now)
	}
}

// quarantineRefusal returns the refusal of a request with a part that crashes runners.
func quarantineRefusal(f *gateway.Forward) cs.Refusal {
	return cs.Refusal{Reason: cs.ReasonQuarantined, Ran: ranSoFar(f), Message: "a part of the prompt has crashed runners"}
}

// ranSoFar returns whether a request that waits for a runner may have run in an earlier attempt.
func ranSoFar(f *gateway.Forward) cs.Ran {
	if f.MayHaveRun {
		return cs.RanUnknown
	}
	return cs.RanNotRun
}

// terminalRefusal returns the refusal of a request that must not be sent again, because its
// deadline has passed, its attempts are used up or a part of its prompt was quarantined, or nil if
// it may still be sent.
func terminalRefusal(t *gateway.Tables, f *gateway.Forward, now cs.Instant) *cs.Refusal {
	ran := ranSoFar(f)
	if part, quarantined := t.QuarantinedPart(f.Parts); quarantined && (!f.Probe || f.Attempt > 0 || !t.HoldsProbeClaim(part, now)) {
		refusal := quarantineRefusal(f)
		return &refusal
	}
	switch {
	case now >= f.Deadline:
		return &cs.Refusal{Reason: cs.ReasonExpired, Ran: ran, Message: "no answer within the time limit"}
	case !hasAttemptsLeft(f) && f.MayHaveRun:
		return &cs.Refusal{Reason: cs.ReasonBroken, Ran: ran, Message: "the runner's answer is not whole"}
	case !hasAttemptsLeft(f):
		return &cs.Refusal{Reason: cs.ReasonOverloaded, Ran: ran, Message: "all runners are full"}
	}
	return nil
}

// waitingByRank returns the IDs of the requests that wait for a runner, sorted by rank.
func waitingByRank(t *gateway.Tables, now cs.Instant) []gateway.ForwardID {
	var ids []gateway.ForwardID
	for id, f := range t.Forwards.All() {
		if f.Phase == gateway.ForwardWaiting {
			ids = append(ids, id)
		}
	}
	sortByRank(t, ids, now)
	return ids
}

// unavailableRefusal returns the refusal of a request whose service has no runner that can be
// reached and to which this VM may send. Such a request is refused without waiting, because the
// caller may reach a runner through another VM.
func unavailableRefusal(f *gateway.Forward, estimate *waitEstimate) cs.Refusal {
	refusal := cs.Refusal{Reason: cs.ReasonUnavailable, Ran: ranSoFar(f), Message: "no runner of the service can be reached"}
	if estimate.limited {
		refusal.Message = "all runners of the service name limits, by which only other VMs may send to them"
	}
	return refusal
}

// dispatchTo sends a request to a runner and counts it as in flight there.
func dispatchTo(t *gateway.Tables, f *gateway.Forward, r *gateway.Runner, now cs.Instant, out *gateway.Actions) {
	if part, quarantined := t.QuarantinedPart(f.Parts); quarantined {
		t.RecordProbe(part, now, out)
	}
	t.RecordSend(r.Spec.DataCentre, now)
	load := r.Load()
	r.Online++
	r.TakeToken(now)
	f.Phase, f.Runner, f.SentAt = gateway.ForwardRunning, r.Spec.ID, now
	estimateAttempt(t, f, r, load, now)
	f.Attempt++
	sentBefore := slices.Contains(f.SentTo, r.Spec.ID)
	if !sentBefore {
		f.SentTo = append(f.SentTo, r.Spec.ID)
	}
	firstByte, betweenEvents := idleTimeouts(f, load < r.Spec.Slots)
	out.Add(gateway.Dispatch{
		ID: f.ID, Attempt: f.Attempt, Runner: r.Spec.ID, Incarnation: r.Spec.Incarnation, Address: r.Spec.Address, LastEvent: f.LastEvent,
		NewConnection: !f.Route.Repeatable() || sentBefore, Access: t.RunnerAccess(f.Workspace), FirstByteTimeout: firstByte, EventTimeout: betweenEvents,
	})
	out.Note(gateway.Note{
		Kind: gateway.NoteRequestSent, Request: f.Request, Route: f.Route.Name, Runner: r.Spec.ID, Attempt: f.Attempt,
		Version: f.Version, Load: load, Peer: f.Allocator, Duration: now.Sub(f.Arrived), Age: t.Feeds[gateway.FeedRunners].Age(now),
	})
}

// Timeouts after which a request is taken from a runner that sends nothing and is sent to another
// one.
const (
	// firstByteTargetRatio is the timeout for the first byte as a multiple of the route's target
	// latency. After one target the response is already late; two allow for a queue of normal
	// length at the runner.
	firstByteTargetRatio = 2.0
	// freeSlotTargetRatio replaces firstByteTargetRatio for streams sent to a runner with a free
	// slot, which starts them at once. Being below one, it leaves time to start the stream on
	// another runner within its target.
	freeSlotTargetRatio = 0.6
	// gapTargetRatio is the timeout between two events as a share of the route's gap target, so
	// that the stream can resume on another runner before the gap target has passed. Events usually
	// follow each other within a tenth of the gap target.
	gapTargetRatio = 0.5
	// minIdleTimeout is the lower bound of both timeouts, so that routes with short targets do
	// not treat every slow response as a failed runner.
	minIdleTimeout = 120 * cs.Millisecond
)

// idleTimeouts returns how long the runner of a request may send nothing before its first byte
// and between two events. Zero disables a timeout; both are zero if no further attempt is allowed,
// because cancelling would gain nothing.
func idleTimeouts(f *gateway.Forward, hasFreeSlot bool) (firstByte, betweenEvents cs.Span) {
	if !f.Route.Repeatable() || cs.Attempt(len(f.Tried))+1 >= f.Route.MaxAttempts {
		return 0, 0
	}
	ratio := firstByteTargetRatio
	if hasFreeSlot && f.Route.Kind == cs.RouteStreaming {
		ratio = freeSlotTargetRatio
	}
	firstByte = max(cs.Span(ratio*float64(f.Route.Target)), minIdleTimeout)
	if f.Route.GapTarget > 0 {
		betweenEvents = max(cs.Span(gapTargetRatio*float64(f.Route.GapTarget)), minIdleTimeout)
	}
	return firstByte, betweenEvents
}

// refuse answers a request with a refusal in place of a runner's response.
func refuse(now cs.Instant, f *gateway.Forward, refusal cs.Refusal, out *gateway.Actions) {
	refuseAfter(now, f, refusal, retryAfter(refusal), out)
}

// refuseAfter answers a request with a refusal and a retry delay.
func refuseAfter(now cs.Instant, f *gateway.Forward, refusal cs.Refusal, delay cs.Span, out *gateway.Actions) {
	out.Add(gateway.Refuse{ID: f.ID, Refusal: refusal, RetryAfter: delay})
	out.Note(gateway.Note{
		Kind: gateway.NoteRequestRefused, Request: f.Request, Route: f.Route.Name, Runner: f.Runner, Attempt: f.Attempt,
		Version: f.Version, Duration: now.Sub(f.Arrived), Outcome: refusal.Ran.String(), Reason: refusal.Message,
	})
}

const (
	// leavingRetryAfter is the retry delay given to callers when this VM leaves: another VM can serve the request at once.
	leavingRetryAfter = 20 * cs.Millisecond
	// unavailableRetryAfter is the retry delay given to callers when this VM reaches no runner of
	// the service.
	unavailableRetryAfter = 400 * cs.Millisecond
	// overloadedRetryAfter is the retry delay given to callers in an overload. Bursts last some
	// seconds, and callers wait for at most a third of their time limit of about 5 s.
	overloadedRetryAfter = 1500 * cs.Millisecond
)

// retryAfter returns the retry delay to give to the caller of a refused request, or 0 for none.
func retryAfter(refusal cs.Refusal) cs.Span {
	switch {
	case refusal.Ran != cs.RanNotRun:
		return 0
	case refusal.Reason == cs.ReasonLeaving:
		return leavingRetryAfter
	case refusal.Reason == cs.ReasonUnavailable:
		return unavailableRetryAfter
	case refusal.Reason == cs.ReasonOverloaded:
		return overloadedRetryAfter
	default:
		return 0
	}
}
