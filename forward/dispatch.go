package forward

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/gateway"
)

// Limits of what is sent and refused.
const (
	// queueDepth is the number of requests beyond its slots that a runner may be given. At full load a
	// slot of an engine frees about every tenth of a second, so that a second one waiting still
	// begins within a target of 300 ms.
	queueDepth = 2
	// returnWait is how long requests wait for a service whose last runner has gone: crashed runners
	// start again after some seconds, and their entries lapse about 4 s after a crash.
	returnWait = 3 * cs.Second
	// maxCrashes is the number of runners that a content may have crashed before it is refused.
	maxCrashes = 2
	// maxWaiting bounds the requests that wait for a runner at one VM.
	maxWaiting = 2000
)

// Admit takes arriving requests into the table or refuses them.
func Admit(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	for _, e := range t.Events {
		arrived, ok := e.(gateway.ForwardArrived)
		if !ok {
			continue
		}
		f := arrived.Forward
		f.Service = pickService(t, &f)
		if s := t.Suspects.Get(f.Content); s != nil && s.Crashes >= maxCrashes {
			refuse(now, &f, cs.Refusal{Reason: cs.ReasonQuarantined, Ran: cs.RanFailed, Message: "the request has crashed runners"}, out)
			continue
		}
		if t.Drain.Phase >= fleet.DrainFinishing {
			refuse(now, &f, cs.Refusal{Reason: cs.ReasonLeaving, Message: "this VM is leaving"}, out)
			continue
		}
		if t.Forwards.Len() >= maxWaiting {
			refuse(now, &f, cs.Refusal{Reason: cs.ReasonOverloaded, Message: "too many requests wait"}, out)
			continue
		}
		t.Forwards.Insert(f.ID, f)
	}
}

// pickService draws one of the route's services by weight.
func pickService(t *gateway.Tables, f *gateway.Forward) cs.ServiceID {
	sum := 0.0
	for _, s := range f.Route.Shares {
		sum += s.Weight
	}
	x := t.Rand.Float64() * sum
	for _, s := range f.Route.Shares {
		if x -= s.Weight; x < 0 {
			return s.Service
		}
	}
	if n := len(f.Route.Shares); n > 0 {
		return f.Route.Shares[n-1].Service
	}
	return ""
}

// Dispatch sends waiting requests to runners, in the order of their rank, and refuses those that get none.
func Dispatch(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	claim(t, now) // for the division of free places
	outlooks := make(map[cs.ServiceID]outlook)
	var done []gateway.ForwardID
	for _, id := range waiting(t, now) {
		f := t.Forwards.Get(id)
		if refusal := hopeless(f, now); refusal != nil {
			refuse(now, f, *refusal, out)
			done = append(done, id)
			continue
		}
		if now < f.NotBefore {
			out.WakeAt(f.NotBefore)
			continue
		}
		o := look(t, f.Service, now, outlooks, out)
		if !o.prospects {
			refuse(now, f, noRunner(f), out)
			done = append(done, id)
			continue
		}
		if mayTake(t, f.Service, now, out) {
			if r := choose(t, f, now); r != nil {
				send(t, f, r, now, out)
				take(t, f.Service)
				continue
			}
		}
		if overloaded(f, now, o.wait) {
			refuse(now, f, cs.Refusal{Reason: cs.ReasonOverloaded, Ran: cs.RanNotRun, Message: "the wait for a runner is too long"}, out)
			done = append(done, id)
			continue
		}
		out.WakeAt(f.Deadline)
	}
	for _, id := range done {
		t.Forwards.Delete(id)
	}
	claim(t, now) // for peers: what still waits
}

// hopeless returns why a request can no longer be answered, or nil.
func hopeless(f *gateway.Forward, now cs.Instant) *cs.Refusal {
	ran := cs.RanNotRun
	if f.Executed {
		ran = cs.RanUnknown
	}
	switch {
	case now >= f.Deadline:
		return &cs.Refusal{Reason: cs.ReasonExpired, Ran: ran, Message: "no answer within the time limit"}
	case !attemptsLeft(f) && f.Executed:
		return &cs.Refusal{Reason: cs.ReasonBroken, Ran: ran, Message: "the runner's answer is not whole"}
	case !attemptsLeft(f):
		return &cs.Refusal{Reason: cs.ReasonOverloaded, Ran: ran, Message: "all runners are full"}
	}
	return nil
}

// waiting returns the requests that wait for a runner, in the order of their rank.
func waiting(t *gateway.Tables, now cs.Instant) []gateway.ForwardID {
	var ids []gateway.ForwardID
	for id, f := range t.Forwards.All() {
		if f.Phase == gateway.ForwardWaiting {
			ids = append(ids, id)
		}
	}
	sortByRank(t, ids, now)
	return ids
}

// noRunner refuses a request that no runner can take. It is refused at once, since the caller may
// reach a VM that is better placed.
func noRunner(f *gateway.Forward) cs.Refusal {
	why := cs.Refusal{Reason: cs.ReasonUnavailable, Ran: cs.RanNotRun, Message: "no runner of the service can be reached"}
	if f.Executed {
		why.Ran = cs.RanUnknown
	}
	return why
}

// send gives a request to a runner.
func send(t *gateway.Tables, f *gateway.Forward, r *gateway.Runner, now cs.Instant, out *gateway.Actions) {
	load := r.Load()
	r.Online++
	f.Phase, f.Runner, f.SentAt = gateway.ForwardRunning, r.Spec.ID, now
	f.Attempt++
	first, gap := patience(f, load < r.Spec.Slots)
	out.Add(gateway.Send{
		ID: f.ID, Attempt: f.Attempt, Runner: r.Spec.ID, Address: r.Spec.Address, LastEvent: f.LastEvent,
		Fresh: !f.Route.Repeatable(), FirstByte: first, Gap: gap,
	})
	out.Note(gateway.Note{
		Kind: gateway.NoteRequestSent, Request: f.Request, Route: f.Route.Name, Runner: r.Spec.ID, Attempt: f.Attempt,
		Version: f.Version, Load: load, Took: now.Sub(f.Arrived), Age: t.Feeds[gateway.FeedRunners].Age(now),
	})
}

// How long a runner may be silent before a request goes to another one.
const (
	// firstByteTargets is the wait for the first byte in units of the route's target: beyond one the
	// answer is late already, and a queue of normal length has passed after two.
	firstByteTargets = 2.0
	// freeTargets is the same for the first event of a stream at a runner with a free slot, which begins
	// at once: the stream can then begin elsewhere within its target.
	freeTargets = 0.6
	// gapShare is the pause between two events as a share of the longest that is on time, so that the
	// stream can go on elsewhere before that has passed. Events usually follow each other within a
	// tenth of it.
	gapShare = 0.5
	// minPatience keeps short targets from making every slow answer a silent one.
	minPatience = 120 * cs.Millisecond
)

// patience returns how long the runner of a request may be silent, which had a free slot or not; 0 means
// that no other attempt may follow, so that there is nothing to gain from giving up.
func patience(f *gateway.Forward, free bool) (first, gap cs.Span) {
	if !f.Route.Repeatable() || cs.Attempt(len(f.Tried))+1 >= f.Route.MaxAttempts {
		return 0, 0
	}
	targets := firstByteTargets
	if free && f.Route.Kind == cs.RouteStreaming {
		targets = freeTargets
	}
	first = max(cs.Span(targets*float64(f.Route.Target)), minPatience)
	if f.Route.GapTarget > 0 {
		gap = max(cs.Span(gapShare*float64(f.Route.GapTarget)), minPatience)
	}
	return first, gap
}

// refuse ends a request without a runner's answer.
func refuse(now cs.Instant, f *gateway.Forward, why cs.Refusal, out *gateway.Actions) {
	out.Add(gateway.Refuse{ID: f.ID, Refusal: why, RetryAfter: retryAfter(why)})
	out.Note(gateway.Note{
		Kind: gateway.NoteRequestRefused, Request: f.Request, Route: f.Route.Name, Runner: f.Runner, Attempt: f.Attempt,
		Version: f.Version, Took: now.Sub(f.Arrived), Outcome: why.Ran.String(), Reason: why.Message,
	})
}

const (
	// unavailableRetry is when a caller should come back to a VM that reached no runner.
	unavailableRetry = 400 * cs.Millisecond
	// overloadedRetry is when a caller should come back in an overload: bursts last for seconds, and
	// callers honour at most a third of their time of about five.
	overloadedRetry = 1500 * cs.Millisecond
)

// retryAfter returns when the caller of a refused request should try again; 0 says nothing.
func retryAfter(why cs.Refusal) cs.Span {
	switch {
	case why.Ran != cs.RanNotRun:
		return 0
	case why.Reason == cs.ReasonUnavailable:
		return unavailableRetry
	case why.Reason == cs.ReasonOverloaded:
		return overloadedRetry
	default:
		return 0
	}
}
