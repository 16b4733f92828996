package fleet

import cs "github.com/crocusstile/crocusstile"

// Request is the row of an online request that this VM took.
type Request struct {
	cs.Request
	Arrived cs.Instant
	Phase   Phase
	// Attempt counts dispatches.
	Attempt cs.Attempt
	// Runs are the dispatches in flight: one, or two with a hedge.
	Runs []RequestRun
	// Tried are the runners of earlier attempts.
	Tried []cs.RunnerID
	// StuckSince is when the request began to wait for its first or next dispatch.
	StuckSince cs.Instant
	// RetryAt is when a request in PhaseBackoff is queued again.
	RetryAt cs.Instant
	// FirstTokenAt is when the first byte of the answer was passed on; 0 before.
	FirstTokenAt cs.Instant
	// Last is why the last attempt ended without an answer.
	Last *cs.Refusal
	// Unsure means that an earlier attempt may have run, without a definite outcome.
	Unsure bool
	// Failed means that an earlier attempt ran and failed.
	Failed bool
	// Free means that the next attempt does not draw on the retry budget.
	Free bool
	// HedgeAt is when a second dispatch may start; 0 if none may.
	HedgeAt cs.Instant
	// Order is the request's place in the fair queue; the lowest is served first.
	Order float64
}

// RequestRun is one dispatch of a request.
type RequestRun struct {
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
	PhaseQueued Phase = iota
	PhaseRunning
	// PhaseBackoff waits before a retry.
	PhaseBackoff
)
