package crocusstile

import "fmt"

//go:generate enumer -type Reason -json -text -transform title-lower -trimprefix Reason

// Reason is the cause of a request's failure.
type Reason int

// The failure reasons.
const (
	// ReasonInvalid means that a field of the request is not valid.
	ReasonInvalid Reason = iota
	// ReasonNotFound means that the requested resource does not exist.
	ReasonNotFound
	// ReasonConflict means that the key or ticket number has already been used with other content.
	ReasonConflict
	// ReasonStale means that a ticket with a higher number is in force.
	ReasonStale
	// ReasonOverloaded means that the queue is full or the tenant has reached its limit.
	ReasonOverloaded
	// ReasonExpired means that the request's deadline has passed.
	ReasonExpired
	// ReasonUnavailable means that no runner is available or that the log cannot be reached.
	ReasonUnavailable
	// ReasonQuarantined means that the request's content has crashed runners and is blocked.
	ReasonQuarantined
	// ReasonBroken means that the runner's response was interrupted, incomplete or malformed.
	ReasonBroken
	// ReasonRejected means that the runner responded with an error.
	ReasonRejected
	// ReasonLeaving means that this VM is shutting down and accepts no new requests.
	ReasonLeaving
	// ReasonUnauthorized means that the request has no key of a workspace.
	ReasonUnauthorized
	// ReasonRateLimited means that the workspace has reached its limit of requests.
	ReasonRateLimited
)

// Refusal is the error of a request that did not get a complete response.
type Refusal struct {
	Reason  Reason `cbor:"r" json:"reason"`
	Ran     Ran    `cbor:"n" json:"ran"`
	Field   string `cbor:"f,omitempty" json:"field,omitempty"`
	Message string `cbor:"m" json:"message"`
}

// Error formats the reason, the field if there is one, the message and the execution outcome.
func (r *Refusal) Error() string {
	if r.Field != "" {
		return fmt.Sprintf("%s: %s: %s (%s)", r.Reason, r.Field, r.Message, r.Ran)
	}
	return fmt.Sprintf("%s: %s (%s)", r.Reason, r.Message, r.Ran)
}

// Refuse returns a refusal of a request that was not executed.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Ran: RanNotRun, Message: fmt.Sprintf(format, args...)}
}

// Invalid returns a refusal with ReasonInvalid that names the offending field.
func Invalid(field, format string, args ...any) *Refusal {
	return &Refusal{Reason: ReasonInvalid, Ran: RanNotRun, Field: field, Message: fmt.Sprintf(format, args...)}
}
