package standin

import cs "github.com/crocusstile/crocusstile"

//go:generate enumer -type RegistrationKind -json -text -transform lower -trimprefix Kind
//go:generate enumer -type RegistrationState -json -text -transform lower -trimprefix State

// RegistrationKind tells what a registered VM runs.
type RegistrationKind int

// The kinds of registered VMs.
const (
	// KindEntry is an entry VM, which runs the crocusstile daemon.
	KindEntry RegistrationKind = iota
	// KindRunner is a model runner.
	KindRunner
	// KindService is an instance of a plain service.
	KindService
)

// RegistrationState tells whether a registered VM accepts new work.
type RegistrationState int

// The states of a registered VM.
const (
	// StateLive is a VM that accepts new work.
	StateLive RegistrationState = iota
	// StateLeaving is a VM that finishes its work and accepts none.
	StateLeaving
)

// Registration describes a VM in the JSON format of the platform's list.
type Registration struct {
	ID          string            `json:"id"`
	Kind        RegistrationKind  `json:"kind"`
	Service     cs.ServiceID      `json:"service"`
	Address     cs.Address        `json:"address"`
	DataCentre  cs.DataCentreID   `json:"dataCentre"`
	State       RegistrationState `json:"state"`
	Incarnation cs.Incarnation    `json:"incarnation"`
	// ChecksFencingToken tells whether a runner rejects orders whose fencing token is lower than the highest it
	// has received.
	ChecksFencingToken bool     `json:"fencing"`
	Slots              cs.Slots `json:"slots"`
}
