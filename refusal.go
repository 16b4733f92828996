package crocusstile

import "fmt"

//go:generate enumer -type Reason -json -text -transform title-lower -trimprefix Reason

// Reason tells why a request got no whole answer.
type Reason int

// The reasons.
const (
	// ReasonInvalid means that a field of the request is wrong.
	ReasonInvalid Reason = iota
	// ReasonNotFound means that what the request names does not exist.
	ReasonNotFound
	// ReasonConflict means that the key or ticket number is taken by other content.
	ReasonConflict
	// ReasonStale means that a higher ticket is in force.
	ReasonStale
	// ReasonOverloaded means that the queue is full or the tenant's limit is reached.
	ReasonOverloaded
	// ReasonExpired means that the deadline passed.
	ReasonExpired
	// ReasonUnavailable means that no runner or no log can serve the request now.
	ReasonUnavailable
	// ReasonQuarantined means that the request has crashed runners.
	ReasonQuarantined
	// ReasonBroken means that the runner's answer broke off or was not whole.
	ReasonBroken
	// ReasonRejected means that the runner or service answered with an error.
	ReasonRejected
	// ReasonLeaving means that this VM is leaving.
	ReasonLeaving
)

// Refusal is the error of a request that got no whole answer.
type Refusal struct {
	Reason  Reason `cbor:"r" json:"reason"`
	Ran     Ran    `cbor:"n" json:"ran"`
	Field   string `cbor:"f,omitempty" json:"field,omitempty"`
	Message string `cbor:"m" json:"message"`
}

// Error returns the reason, the field and the message.
func (r *Refusal) Error() string {
	if r.Field != "" {
		return fmt.Sprintf("%s: %s: %s (%s)", r.Reason, r.Field, r.Message, r.Ran)
	}
	return fmt.Sprintf("%s: %s (%s)", r.Reason, r.Message, r.Ran)
}

// Refuse returns a refusal of a request that did not run.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Ran: RanNotRun, Message: fmt.Sprintf(format, args...)}
}

// Invalid returns a refusal that names the field that is wrong.
func Invalid(field, format string, args ...any) *Refusal {
	return &Refusal{Reason: ReasonInvalid, Ran: RanNotRun, Field: field, Message: fmt.Sprintf(format, args...)}
}
