package crocusstile

// VM is the registration of an entry VM in the platform's list.
type VM struct {
	ID          VMID         `cbor:"i" json:"id"`
	Incarnation Incarnation  `cbor:"n" json:"incarnation"`
	DataCentre  DataCentreID `cbor:"d" json:"dataCentre"`
	Address     Address      `cbor:"a" json:"address"`
	Leaving     bool         `cbor:"l" json:"leaving"`
	// JobLogFormat is the newest format of job log records that the VM reads.
	JobLogFormat JobLogFormat `cbor:"f,omitempty" json:"jobLogFormat,omitempty"`
	// Memory is the memory of the VM.
	Memory Bytes `cbor:"m,omitempty" json:"memory,omitempty"`
}

// JobLogFormat is a version of the records of the job log. A VM reads all versions up to its own.
type JobLogFormat int

// The versions of the job log's records.
const (
	// JobLogPlain has outputs of items as they are.
	JobLogPlain JobLogFormat = iota
	// JobLogCompressed has outputs of items compressed.
	JobLogCompressed
)

// Runner is the registration of a runner in the platform's list.
type Runner struct {
	ID          RunnerID     `json:"id"`
	Kind        RunnerKind   `json:"kind"`
	Service     ServiceID    `json:"service"`
	DataCentre  DataCentreID `json:"dataCentre"`
	Address     Address      `json:"address"`
	Incarnation Incarnation  `json:"incarnation"`
	Leaving     bool         `json:"leaving"`
	// ChecksFencingToken means that the runner rejects orders with an outdated fencing token.
	ChecksFencingToken bool  `json:"checksFence"`
	Slots              Slots `json:"slots"`
}

// LoadedModel is a version of a model that a runner has loaded.
type LoadedModel struct {
	Model   ModelID   `json:"model"`
	Version VersionID `json:"version"`
}

// LoadReport is a runner's report of its load, its state and its loaded models.
type LoadReport struct {
	Load
	Batch   Slots         `json:"batch"`
	Leaving bool          `json:"leaving"`
	Loaded  []LoadedModel `json:"loaded"`
	At      Instant       `json:"at"` // time of the measurement by the runner's clock
}

// Order tells a runner to load or unload a model or to change its role.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Fence   Offset    `json:"fence"`
	Model   ModelID   `json:"model"`
	Adapter AdapterID `json:"adapter"`
	Version VersionID `json:"version"`
	Role    string    `json:"role"`
}

//go:generate enumer -type OrderKind -json -text -transform lower -trimprefix Order

// OrderKind is the operation that an order requests.
type OrderKind int

// The order kinds.
const (
	OrderLoad OrderKind = iota
	OrderUnload
	OrderRole
)
