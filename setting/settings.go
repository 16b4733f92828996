package setting

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Settings is everything that a daemon is told at its start.
type Settings struct {
	// VM names this VM and its data centre.
	VM VM `json:"vm"`
	// Listen is the address for callers, operators, metrics, health checks and peer links.
	Listen cs.Address `json:"listen"`
	// Advertise is the address that peers dial; it defaults to Listen.
	Advertise cs.Address `json:"advertise"`
	// Log is the platform's log service.
	Log Log `json:"log"`
	// List is the platform's list of VMs and runners.
	List List `json:"list"`
	// Weights is the weight store.
	Weights Weights `json:"weights"`
	// Parameters are those of the control loop; see Control.
	Parameters fleet.Config `json:"control"`
	// Limits bounds what callers and runners may send.
	Limits Limits `json:"limits"`
	// Runners holds the time limits on connections to runners.
	Runners Runners `json:"runners"`
	// Logging configures the log lines.
	Logging Logging `json:"logging"`
}

// VM identifies this VM.
type VM struct {
	// ID is the name of this VM in the platform's list.
	ID cs.VMID `json:"id"`
	// DataCentre is the data centre of this VM.
	DataCentre cs.DataCentreID `json:"dataCentre"`
}

// Log says where the platform's log is.
type Log struct {
	// Address is that of the log service.
	Address cs.Address `json:"address"`
}

// List says where the platform's list is.
type List struct {
	// Address is that of the list service.
	Address cs.Address `json:"address"`
	// Poll is the time between two reads of the list.
	Poll cs.Span `json:"poll"`
}

// Weights says where the weight store is and what it allows.
type Weights struct {
	// Address is that of the weight store; empty means that there is none.
	Address cs.Address `json:"address"`
	// LoadsPerMinute is the number of loads a minute that the store allows in total.
	LoadsPerMinute int `json:"loadsPerMinute"`
}

// Limits bounds what callers and runners may send.
type Limits struct {
	// MaxBody bounds a request body.
	MaxBody cs.Bytes `json:"maxBody"`
	// MaxItems bounds the items of one job.
	MaxItems int `json:"maxItems"`
	// MaxAnswer bounds one answer of a runner or service.
	MaxAnswer cs.Bytes `json:"maxAnswer"`
}

// Runners holds the time limits on connections to runners.
type Runners struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout cs.Span `json:"dialTimeout"`
	// FirstByte bounds the time until the first byte of an answer.
	FirstByte cs.Span `json:"firstByte"`
	// Progress is the silence within an answer after which it counts as broken.
	Progress cs.Span `json:"progress"`
	// LoadPoll is the time between two reads of a runner's load.
	LoadPoll cs.Span `json:"loadPoll"`
}

// Logging configures the log lines.
type Logging struct {
	// Level is the lowest level that is written: debug, info, warn or error.
	Level string `json:"level"`
}

// Default returns the settings that apply where a file is silent; it lacks the required fields.
func Default() Settings {
	return Settings{
		List:       List{Poll: cs.Second},
		Weights:    Weights{LoadsPerMinute: 60},
		Parameters: fleet.DefaultConfig(),
		Limits:     Limits{MaxBody: 64 << 20, MaxItems: 130_000, MaxAnswer: 16 << 20},
		Runners: Runners{
			DialTimeout: cs.Second, FirstByte: 8 * cs.Second,
			Progress: 5 * cs.Second, LoadPoll: 300 * cs.Millisecond,
		},
		Logging: Logging{Level: "info"},
	}
}

// Control returns the parameters of the control loop: fleet.DefaultConfig with the values of the
// file's "control" object.
func (s Settings) Control() fleet.Config { return s.Parameters }

// Self returns this VM as its peers see it.
func (s Settings) Self(n cs.Incarnation) cs.VM {
	return cs.VM{ID: s.VM.ID, Incarnation: n, DataCentre: s.VM.DataCentre, Address: s.Advertise}
}
