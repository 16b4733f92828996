package standin

import cs "github.com/crocusstile/crocusstile"

//go:generate enumer -type EntryKind -json -text -transform lower -trimprefix Kind
//go:generate enumer -type EntryState -json -text -transform lower -trimprefix State

// EntryKind is the kind of an entry of the list.
type EntryKind int

// The kinds of entry.
const (
	// KindEntry is an entry VM of crocusstile.
	KindEntry EntryKind = iota
	// KindRunner is a model runner.
	KindRunner
	// KindService is an instance of a plain service.
	KindService
)

// EntryState is the state of an entry of the list.
type EntryState int

// The states of an entry.
const (
	StateLive EntryState = iota
	StateLeaving
)

// Entry is a VM as the list shows it.
type Entry struct {
	ID          string          `json:"id"`
	Kind        EntryKind       `json:"kind"`
	Service     cs.ServiceID    `json:"service"`
	Address     cs.Address      `json:"address"`
	DataCentre  cs.DataCentreID `json:"dataCentre"`
	State       EntryState      `json:"state"`
	Incarnation cs.Incarnation  `json:"incarnation"`
	// ChecksFencingToken tells whether a runner refuses orders with an old fencing token.
	ChecksFencingToken bool     `json:"fencing"`
	Slots              cs.Slots `json:"slots"`
}
