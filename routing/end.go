package routing

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/limit"
	"github.com/crocusstile/crocusstile/quarantine"
)

// knownEffect returns what is known about the execution of a request that ends without an answer.
func knownEffect(q *fleet.Request) cs.Ran {
	switch {
	case q.MayHaveRun || len(q.Runs) > 0:
		return cs.RanUnknown
	case q.Failed:
		return cs.RanFailed
	}
	return cs.RanNotRun
}

// refuse ends a request without an answer. The refusal states what is known about its execution.
func refuse(t *fleet.Tables, q *fleet.Request, reason cs.Reason, message string, now cs.Instant, out *fleet.Actions) {
	refusal := &cs.Refusal{Reason: reason, Ran: knownEffect(q), Message: message}
	if reason == cs.ReasonQuarantined && !q.NonIdempotent {
		refusal = quarantine.Refusal()
	}
	counter := fleet.CountRefusedNotRun
	switch refusal.Ran {
	case cs.RanFailed:
		counter = fleet.CountFailed
	case cs.RanUnknown:
		counter = fleet.CountUnknown
	case cs.RanNotRun:
	}
	out.Count(counter, q.Tenant, 1)
	out.Add(fleet.Finish{ID: q.ID, Refusal: refusal})
	removeRequest(t, q.ID, now, out)
}

// removeRequest cancels a request's runs in flight and deletes its row.
func removeRequest(t *fleet.Tables, id cs.RequestID, now cs.Instant, out *fleet.Actions) {
	q := t.Requests.Get(id)
	if q == nil {
		return
	}
	cancelOthers(t, q, 0, now, out)
	tenant := t.Tenants.Get(q.Tenant)
	tenantID := q.Tenant
	t.Requests.Delete(id)
	if tenant == nil {
		return
	}
	tenant.Online = max(tenant.Online-1, 0)
	if tenant.Online == 0 && tenant.Deficit == 0 {
		t.Tenants.Delete(tenantID)
	}
}

// cancelOthers cancels all runs of a request except the attempt keep; 0 cancels all.
func cancelOthers(t *fleet.Tables, q *fleet.Request, keep cs.Attempt, now cs.Instant, out *fleet.Actions) {
	for _, run := range q.Runs {
		if run.Attempt == keep {
			continue
		}
		out.Add(fleet.CancelRun{ID: q.ID, Attempt: run.Attempt})
		releaseSlot(t, run.Runner, now)
	}
	q.Runs = slices.DeleteFunc(q.Runs, func(run fleet.RequestAttempt) bool { return run.Attempt != keep })
}

// takeRun removes a run from a request and returns it; ok is false if the attempt is not in flight.
func takeRun(t *fleet.Tables, q *fleet.Request, a cs.Attempt, now cs.Instant) (run fleet.RequestAttempt, ok bool) {
	i := slices.IndexFunc(q.Runs, func(run fleet.RequestAttempt) bool { return run.Attempt == a })
	if i < 0 {
		return run, false
	}
	run = q.Runs[i]
	q.Runs = slices.Delete(q.Runs, i, i+1)
	releaseSlot(t, run.Runner, now)
	return run, true
}

// releaseSlot releases an online slot of a runner.
func releaseSlot(t *fleet.Tables, id cs.RunnerID, now cs.Instant) {
	if r := t.Runners.Get(id); r != nil {
		limit.AddInFlight(r, cs.Online, -1, now)
	}
}
