package gateway

import cs "github.com/crocusstile/crocusstile"

// ForwardID identifies an online request within the process.
type ForwardID uint64

//go:generate enumer -type ForwardPhase -text -transform lower -trimprefix Forward

// ForwardPhase is the state of an online request in the table.
type ForwardPhase int

// The phases of an online request.
const (
	// ForwardWaiting means that the request waits for a runner.
	ForwardWaiting ForwardPhase = iota
	// ForwardRequesting means that a slot of a runner was requested for the request.
	ForwardRequesting
	// ForwardRunning means that the request was sent to a runner and the attempt has not ended.
	ForwardRunning
)

// Forward is an online request that this VM proxies to a runner unchanged.
type Forward struct {
	ID      ForwardID
	Request cs.RequestID // assigned by the caller
	Route   cs.Route
	Version cs.CatalogVersion
	Service cs.ServiceID
	Content cs.ContentHash
	// Workspace is the workspace of the request, or empty, and Key the digest of the key by which the caller has shown it.
	Workspace cs.WorkspaceID
	Key       cs.KeyDigest
	// Priority ranks the request against others; 0 is the highest priority.
	Priority int
	// ArrivedBoot is Arrived on the clock that counts the time for which the machine was suspended.
	ArrivedBoot cs.BootInstant
	// Parts are the parts of the prompt that other requests may share.
	Parts []cs.PromptPart
	// Size is the size that the request states, and Estimate what the attempt in progress is expected to cost.
	Size     cs.RequestSize
	Estimate ForwardEstimate
	Arrived  cs.Instant
	Deadline cs.Instant
	Phase    ForwardPhase
	Attempt  cs.Attempt
	// Refusals counts the attempts that runners refused without running the request.
	Refusals int
	Runner   cs.RunnerID
	// SlotRequest is the request for a slot of Runner, and RequestedAt when it was sent.
	SlotRequest SlotRequestID
	RequestedAt cs.Instant
	// GrantedBy is the runner of which the request has a slot that it has not used yet, or empty.
	GrantedBy cs.RunnerID
	// PermitUntil is when the permit by which the request may be sent within the limit of its workspace ends, or 0 if it had none.
	// WantsPermit means that the request waits for one, since PermitWantedAt.
	PermitUntil    cs.BootInstant
	WantsPermit    bool
	PermitWantedAt cs.Instant
	// Allocator is the VM that granted the slot of the current attempt, or empty.
	Allocator cs.VMID
	// DeniedBy lists the runners of which a slot was denied since the last pause.
	DeniedBy []cs.RunnerID
	// SentAt is when the request was last sent.
	SentAt cs.Instant
	// SentTo lists the runners that the request was sent to.
	SentTo []cs.RunnerID
	// Tried lists the runners that may have run the request in an attempt that failed or was interrupted.
	Tried []cs.RunnerID
	// MayHaveRun means that a runner may have started to run the request, so that it is only sent again if
	// its route allows a repetition.
	MayHaveRun bool
	// Begun means that a runner has generated the first output of a response.
	Begun bool
	// Stopped means that the attempt in progress has been cancelled, since this VM is about to exit.
	Stopped bool
	// Probe means that the request may be sent once although a part of its prompt is quarantined.
	Probe bool
	// NotBefore is the earliest time of the next attempt after a failure.
	NotBefore cs.Instant
	// LastEvent is the id of the last event that was passed to the caller.
	LastEvent cs.EventID
	// EndUnconfirmed means that a run ended with its connection after LastEvent, and that no later run has continued the stream.
	EndUnconfirmed bool
}

// ForwardEstimate is what an attempt is expected to cost at its runner. It is zero for a service whose requests are placed by their
// number.
type ForwardEstimate struct {
	// Known means that the service has estimates.
	Known bool
	// Read is the number of prompt tokens that the runner is expected to read.
	Read cs.Tokens
	// Time is the expected time of the response, or 0 if it is not known, and Excess what the figure of the runner's machine
	// stated; see cost.Response.
	Time   cs.Span
	Excess float64
	// Unqueued means that the runner had a free slot.
	Unqueued bool
	// From is the event after which the attempt began, and StartedAt when its first event arrived, or 0.
	From      cs.EventID
	StartedAt cs.Instant
}

// Outcome is the result of one attempt at a runner; a sealed type.
type Outcome interface{ isOutcome() }

// The outcomes of an attempt.
type (
	// OutcomeNotRun means that the runner has not run the request and will not run it.
	OutcomeNotRun struct {
		Reason string
		// Replaced means that another runner now has the address.
		Replaced bool
		// Unreachable means that no connection could be opened in time, and Refused that nothing
		// listens at the address.
		Unreachable, Refused bool
	}
	// OutcomeAnswered means that the runner's complete response was passed to the caller.
	// LastEvent is the id of the last event, or 0 if the response is no stream.
	OutcomeAnswered struct {
		Status    int
		LastEvent cs.EventID
	}
	// OutcomeEndedWithConnection means that a stream ended between two events because its runner closed the connection, as the
	// system of a runner that crashes does. Another attempt shows whether there are more events.
	OutcomeEndedWithConnection struct{ LastEvent cs.EventID }
	// OutcomeFailed means that the runner responded with a server error, which has not been passed to the
	// caller, since another attempt may follow.
	OutcomeFailed struct{ Status int }
	// OutcomeInterrupted means that the response is missing or incomplete; the request may have run.
	OutcomeInterrupted struct {
		Error string
		// Disconnected means that the connection was lost, as when the runner crashes.
		Disconnected bool
		// TimedOut means that the runner sent nothing within the time limits of the attempt.
		TimedOut bool
		// LastEvent is the id of the last event that was passed to the caller, or 0.
		LastEvent cs.EventID
	}
)

func (OutcomeNotRun) isOutcome()              {}
func (OutcomeAnswered) isOutcome()            {}
func (OutcomeEndedWithConnection) isOutcome() {}
func (OutcomeFailed) isOutcome()              {}
func (OutcomeInterrupted) isOutcome()         {}
