package fleet

import cs "github.com/crocusstile/crocusstile"

// Request is the row of an online request that this VM accepted from a caller.
type Request struct {
	cs.Request
	Arrived cs.Instant
	Phase   Phase
	// Attempt is the number of the latest attempt; hedges count as attempts.
	Attempt cs.Attempt
	// Runs are the attempts in flight: one, or two with a hedge.
	Runs []RequestAttempt
	// TriedRunners are the runners of earlier attempts.
	TriedRunners []cs.RunnerID
	// WaitingSince is when the request began to wait for its first or next dispatch. A request without
	// a usable runner, or whose retries the budget denies, fails some time after it.
	WaitingSince cs.Instant
	// RetryAt is when a request in PhaseBackoff is queued again.
	RetryAt cs.Instant
	// FirstTokenAt is when the first byte of the answer was forwarded to the caller; 0 before.
	FirstTokenAt cs.Instant
	// LastRefusal is the reason why the last attempt ended without an answer.
	LastRefusal *cs.Refusal
	// MayHaveRun tells whether an earlier attempt may have run, with an unknown outcome.
	MayHaveRun bool
	// Failed tells whether an earlier attempt ran and failed.
	Failed bool
	// BudgetExempt tells whether the next attempt does not count against the retry budget.
	BudgetExempt bool
	// HedgeAt is when a hedge may be dispatched; 0 if none is allowed.
	HedgeAt cs.Instant
	// VirtualFinish is the request's virtual finish time in the fair queue; the lowest is served
	// first.
	VirtualFinish float64
}

// RequestAttempt is one attempt of a request that is in flight.
type RequestAttempt struct {
	Runner  cs.RunnerID
	Attempt cs.Attempt
	Since   cs.Instant
	Hedge   bool
}

//go:generate enumer -type Phase -text -transform lower -trimprefix Phase

// Phase is the state of an online request.
type Phase int

// The phases of a request.
const (
	// PhaseQueued means that the request waits for a runner.
	PhaseQueued Phase = iota
	// PhaseRunning means that an attempt is in flight.
	PhaseRunning
	// PhaseBackoff means that the request waits before a retry.
	PhaseBackoff
)
