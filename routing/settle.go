package routing

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
	"github.com/crocusstile/crocusstile/quarantine"
)

const (
	// maxAttempts bounds the dispatches of a request, hedges included.
	maxAttempts cs.Attempt = 6
	// backoffFirst and backoffLongest bound the wait before a retry, which doubles each time.
	backoffFirst   = 20 * cs.Millisecond
	backoffLongest = cs.Second
	// longestStuck bounds the wait for a runner that can be reached, or for the retry budget.
	longestStuck = 5 * cs.Second
)

// Settle takes first tokens and ended runs, and retries or ends their requests.
func Settle(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.RequestFirstToken:
			firstToken(t, e, now, out)
		case fleet.RequestEnded:
			settle(t, e, now, out)
		default:
		}
	}
}

// firstToken cancels the other run of a hedged request: the first to answer wins.
func firstToken(t *fleet.Tables, e fleet.RequestFirstToken, now cs.Instant, out *fleet.Actions) {
	q := t.Requests.Get(e.ID)
	if q == nil || !slices.ContainsFunc(q.Runs, func(run fleet.RequestRun) bool { return run.Attempt == e.Attempt }) {
		return
	}
	if q.FirstTokenAt == 0 {
		q.FirstTokenAt = now
	}
	q.HedgeAt = 0
	for _, run := range q.Runs {
		if r := t.Runners.Get(run.Runner); run.Attempt != e.Attempt && !run.Hedge && r != nil {
			limit.Outrun(t, r, now, out)
		}
	}
	cancelOthers(t, q, e.Attempt, now, out)
}

func settle(t *fleet.Tables, e fleet.RequestEnded, now cs.Instant, out *fleet.Actions) {
	q := t.Requests.Get(e.ID)
	if q == nil {
		return
	}
	run, ok := takeRun(t, q, e.Attempt, now)
	if !ok {
		return
	}
	q.Tried = append(q.Tried, run.Runner)
	switch x := e.Result.(type) {
	case fleet.RunWhole:
		out.Count(fleet.CountAnswered, q.Tenant, 1)
		drop(t, q.ID, now, out)
	case fleet.RunBroken:
		broken(t, q, x, now, out)
	case fleet.RunRejected:
		rejected(t, q, x, now, out)
	case fleet.RunCancelled:
		q.Unsure = true
		retry(t, q, now, out)
	}
}

func broken(t *fleet.Tables, q *fleet.Request, x fleet.RunBroken, now cs.Instant, out *fleet.Actions) {
	q.Last = &cs.Refusal{Reason: cs.ReasonBroken, Message: x.Message}
	if x.Sent || x.Passed {
		q.Unsure = true
	}
	// A connection that was not opened adds no load to the fleet, so that the retry needs no budget.
	q.Free = !x.Sent
	retry(t, q, now, out)
}

func rejected(t *fleet.Tables, q *fleet.Request, x fleet.RunRejected, now cs.Instant, out *fleet.Actions) {
	q.Last = &cs.Refusal{Reason: cs.ReasonRejected, Message: x.Message}
	q.Failed = q.Failed || !x.NotRun
	if x.Invalid {
		refuse(t, q, cs.ReasonInvalid, x.Message, now, out)
		return
	}
	// A runner that leaves gets no more work, so that this retry adds no load to the fleet.
	q.Free = x.NotRun && x.Leaving
	retry(t, q, now, out)
}

// retry queues a request again after a backoff, or ends it if it must not run again.
func retry(t *fleet.Tables, q *fleet.Request, now cs.Instant, out *fleet.Actions) {
	if len(q.Runs) > 0 {
		return // the hedge goes on
	}
	if quarantine.Blocked(t, q.Hash, now) {
		refuse(t, q, cs.ReasonQuarantined, quarantined, now, out)
		return
	}
	if q.NonIdempotent && (q.Unsure || q.Failed) || q.Attempt >= maxAttempts {
		reason, message := cs.ReasonBroken, "the run was cancelled"
		if q.Last != nil {
			reason, message = q.Last.Reason, q.Last.Message
		}
		refuse(t, q, reason, message, now, out)
		return
	}
	q.Phase, q.HedgeAt = fleet.PhaseBackoff, 0
	q.RetryAt, q.StuckSince = now.Add(backoff(t, q.Attempt)), now
	tenant := t.Tenants.Get(q.Tenant)
	if tenant != nil && !slices.Contains(tenant.Pending, q.ID) {
		tenant.Pending = append(tenant.Pending, q.ID)
	}
}

// backoff returns the wait before the next attempt: half of it is fixed and half random.
func backoff(t *fleet.Tables, made cs.Attempt) cs.Span {
	full := min(backoffFirst<<max(made-1, 0), backoffLongest)
	return full/2 + cs.Span(t.Rand.Int64N(int64(full/2)+1))
}
