package crocusstile

// VM is one entry VM as the platform's list shows it.
type VM struct {
	ID          VMID         `cbor:"i" json:"id"`
	Incarnation Incarnation  `cbor:"n" json:"incarnation"`
	DataCentre  DataCentreID `cbor:"d" json:"dataCentre"`
	Address     Address      `cbor:"a" json:"address"`
	Leaving     bool         `cbor:"l" json:"leaving"`
}

// Runner is one back end as the platform's list shows it.
type Runner struct {
	ID          RunnerID     `json:"id"`
	Kind        RunnerKind   `json:"kind"`
	Service     ServiceID    `json:"service"`
	DataCentre  DataCentreID `json:"dataCentre"`
	Address     Address      `json:"address"`
	Incarnation Incarnation  `json:"incarnation"`
	Leaving     bool         `json:"leaving"`
	// ChecksFence tells whether the runner refuses orders with an old fencing number.
	ChecksFence bool  `json:"checksFence"`
	Slots       Slots `json:"slots"`
}

// LoadedModel is a model and version that a runner holds.
type LoadedModel struct {
	Model   ModelID   `json:"model"`
	Version VersionID `json:"version"`
}

// LoadReport is what a runner says of itself.
type LoadReport struct {
	Load
	Batch   Slots         `json:"batch"`
	Leaving bool          `json:"leaving"`
	Loaded  []LoadedModel `json:"loaded"`
	At      Instant       `json:"at"` // the runner's time of the reading
}

// Order tells a runner to change what it holds or its role.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Fence   Offset    `json:"fence"`
	Model   ModelID   `json:"model"`
	Adapter AdapterID `json:"adapter"`
	Version VersionID `json:"version"`
	Role    string    `json:"role"`
}

//go:generate enumer -type OrderKind -json -text -transform lower -trimprefix Order

// OrderKind is the kind of an order.
type OrderKind int

// The kinds of order.
const (
	OrderLoad OrderKind = iota
	OrderUnload
	OrderRole
)
