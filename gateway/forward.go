package gateway

import cs "github.com/crocusstile/crocusstile"

// ForwardID numbers the online requests of a process.
type ForwardID uint64

//go:generate enumer -type ForwardPhase -text -transform lower -trimprefix Forward

// ForwardPhase is where an online request stands.
type ForwardPhase int

// The phases.
const (
	// ForwardWaiting means that the request waits for a runner.
	ForwardWaiting ForwardPhase = iota
	// ForwardRunning means that it was sent to a runner.
	ForwardRunning
)

// Forward is an online request that is passed to a runner as it came.
type Forward struct {
	ID       ForwardID
	Request  cs.RequestID // the caller's id
	Route    cs.Route
	Version  cs.CatalogVersion
	Service  cs.ServiceID
	Content  cs.ContentHash
	Arrived  cs.Instant
	Deadline cs.Instant
	Phase    ForwardPhase
	Attempt  cs.Attempt
	// Refusals counts the sends that runners refused without running the request.
	Refusals int
	Runner   cs.RunnerID
	// SentAt is when the request was last sent.
	SentAt cs.Instant
	Tried  []cs.RunnerID
	// Executed means that a runner may have begun to run the request.
	Executed bool
	// NotBefore is when the request may be sent again after a failure.
	NotBefore cs.Instant
	// LastEvent is the id of the last event that was passed to the caller.
	LastEvent cs.EventID
}

// Outcome is how one send to a runner ended.
type Outcome interface{ isOutcome() }

// The outcomes.
type (
	// OutcomeNotRun means that the runner did not run the request, nor will it.
	OutcomeNotRun struct {
		Reason string
		// Gone means that another runner has the address.
		Gone bool
		// Unreachable means that no connection could be opened, and Refused that nothing listens at
		// the address.
		Unreachable, Refused bool
	}
	// OutcomeAnswered means that the caller got the runner's whole answer.
	OutcomeAnswered struct{ Status int }
	// OutcomeFailed means that the runner answered with an error of its own that was not passed on.
	OutcomeFailed struct{ Status int }
	// OutcomeBroken means that the answer is not whole; the request may have run.
	OutcomeBroken struct {
		Error string
		// Disconnected means that the connection broke, as when the runner crashes.
		Disconnected bool
		// Silent means that nothing came for too long.
		Silent    bool
		LastEvent cs.EventID
	}
)

func (OutcomeNotRun) isOutcome()   {}
func (OutcomeAnswered) isOutcome() {}
func (OutcomeFailed) isOutcome()   {}
func (OutcomeBroken) isOutcome()   {}
