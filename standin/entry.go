package standin

import cs "github.com/crocusstile/crocusstile"

//go:generate enumer -type EntryKind -json -text -transform lower -trimprefix Kind
//go:generate enumer -type EntryState -json -text -transform lower -trimprefix State

// EntryKind tells what a registered VM runs.
type EntryKind int

// The kinds of registered VMs.
const (
	// KindEntry is an entry VM, which runs the crocusstile daemon.
	KindEntry EntryKind = iota
	// KindRunner is a model runner.
	KindRunner
	// KindService is an instance of a plain service.
	KindService
)

// EntryState tells whether a registered VM accepts new work.
type EntryState int

// The states of a registered VM.
const (
	// StateLive is a VM that accepts new work.
	StateLive EntryState = iota
	// StateLeaving is a VM that finishes its work and accepts none.
	StateLeaving
)

// Entry is the registration of a VM, in the JSON format of the platform's list.
type Entry struct {
	ID          string          `json:"id"`
	Kind        EntryKind       `json:"kind"`
	Service     cs.ServiceID    `json:"service"`
	Address     cs.Address      `json:"address"`
	DataCentre  cs.DataCentreID `json:"dataCentre"`
	State       EntryState      `json:"state"`
	Incarnation cs.Incarnation  `json:"incarnation"`
	// ChecksFence tells whether a runner rejects orders whose fencing token is lower than the highest it
	// has received.
	ChecksFence bool     `json:"fencing"`
	Slots       cs.Slots `json:"slots"`
}
