package routing

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
	"github.com/crocusstile/crocusstile/quarantine"
)

const (
	// maxAttempts bounds the dispatches of a request, including hedges.
	maxAttempts cs.Attempt = 6
	// minBackoff is the delay before the first retry, which doubles for each further one up to
	// maxBackoff.
	minBackoff = 20 * cs.Millisecond
	maxBackoff = cs.Second
	// maxWaitingTime bounds how long a request waits for a usable runner, or for the retry budget.
	maxWaitingTime = 5 * cs.Second
)

// Settle handles first tokens and ended runs, and retries or ends their requests.
func Settle(t *fleet.Tables, now cs.Instant, out *fleet.Actions) {
	for _, e := range t.Events {
		switch e := e.(type) {
		case fleet.RequestFirstToken:
			handleFirstToken(t, e, now, out)
		case fleet.RequestEnded:
			handleRunEnd(t, e, now, out)
		default:
		}
	}
}

// handleFirstToken cancels the other run of a hedged request, since the first to answer wins.
func handleFirstToken(t *fleet.Tables, e fleet.RequestFirstToken, now cs.Instant, out *fleet.Actions) {
	q := t.Requests.Get(e.ID)
	if q == nil || !slices.ContainsFunc(q.Runs, func(run fleet.RequestAttempt) bool { return run.Attempt == e.Attempt }) {
		return
	}
	if q.FirstTokenAt == 0 {
		q.FirstTokenAt = now
	}
	q.HedgeAt = 0
	for _, run := range q.Runs {
		if r := t.Runners.Get(run.Runner); run.Attempt != e.Attempt && !run.Hedge && r != nil {
			limit.EjectIfOutpaced(t, r, now, out)
		}
	}
	cancelOthers(t, q, e.Attempt, now, out)
}

// handleRunEnd ends or retries a request after one of its runs has ended.
func handleRunEnd(t *fleet.Tables, e fleet.RequestEnded, now cs.Instant, out *fleet.Actions) {
	q := t.Requests.Get(e.ID)
	if q == nil {
		return
	}
	run, ok := takeRun(t, q, e.Attempt, now)
	if !ok {
		return
	}
	q.TriedRunners = append(q.TriedRunners, run.Runner)
	switch x := e.Result.(type) {
	case fleet.RunCompleted:
		out.Count(fleet.CountAnswered, q.Tenant, 1)
		removeRequest(t, q.ID, now, out)
	case fleet.RunInterrupted:
		handleInterrupted(t, q, x, now, out)
	case fleet.RunRejected:
		handleRejected(t, q, x, now, out)
	case fleet.RunCancelled:
		q.MayHaveRun = true
		retryOrRefuse(t, q, now, out)
	}
}

// handleInterrupted retries a request whose connection to the runner broke.
func handleInterrupted(t *fleet.Tables, q *fleet.Request, x fleet.RunInterrupted, now cs.Instant, out *fleet.Actions) {
	q.LastRefusal = &cs.Refusal{Reason: cs.ReasonBroken, Message: x.Message}
	if x.Sent || x.Forwarded {
		q.MayHaveRun = true
	}
	// A connection that was never established put no load on the runner, so the retry is not
	// charged to the retry budget.
	q.BudgetExempt = !x.Sent
	retryOrRefuse(t, q, now, out)
}

// handleRejected retries a request that the runner answered with an error, or refuses an invalid
// one.
func handleRejected(t *fleet.Tables, q *fleet.Request, x fleet.RunRejected, now cs.Instant, out *fleet.Actions) {
	q.LastRefusal = &cs.Refusal{Reason: cs.ReasonRejected, Message: x.Message}
	q.Failed = q.Failed || !x.NotRun
	if x.Invalid {
		refuse(t, q, cs.ReasonInvalid, x.Message, now, out)
		return
	}
	// A leaving runner gets no more work, so this retry adds no load and is not charged to the
	// retry budget.
	q.BudgetExempt = x.NotRun && x.Leaving
	retryOrRefuse(t, q, now, out)
}

// retryOrRefuse queues a request again after a backoff, or refuses it if it must not run again.
func retryOrRefuse(t *fleet.Tables, q *fleet.Request, now cs.Instant, out *fleet.Actions) {
	if len(q.Runs) > 0 {
		return // the other run continues
	}
	if quarantine.Refused(t, q.Hash, now) {
		refuse(t, q, cs.ReasonQuarantined, quarantinedMessage, now, out)
		return
	}
	if q.NonIdempotent && (q.MayHaveRun || q.Failed) || q.Attempt >= maxAttempts {
		reason, message := cs.ReasonBroken, "the run was cancelled"
		if q.LastRefusal != nil {
			reason, message = q.LastRefusal.Reason, q.LastRefusal.Message
		}
		refuse(t, q, reason, message, now, out)
		return
	}
	q.Phase, q.HedgeAt = fleet.PhaseBackoff, 0
	q.RetryAt, q.WaitingSince = now.Add(backoffDelay(t, q.Attempt)), now
	tenant := t.Tenants.Get(q.Tenant)
	if tenant != nil && !slices.Contains(tenant.Pending, q.ID) {
		tenant.Pending = append(tenant.Pending, q.ID)
	}
}

// backoffDelay returns the delay before the next attempt: half of it fixed, half random.
func backoffDelay(t *fleet.Tables, attempts cs.Attempt) cs.Span {
	full := min(minBackoff<<max(attempts-1, 0), maxBackoff)
	return full/2 + cs.Span(t.Rand.Int64N(int64(full/2)+1))
}
