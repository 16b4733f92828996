package setting

import (
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Settings holds all settings of a daemon.
type Settings struct {
	// VM holds the identity of this VM.
	VM VM `json:"vm"`
	// Listen is the address for callers, operators, metrics, health checks and peer links.
	Listen cs.Address `json:"listen"`
	// Advertise is the address that peers dial; it defaults to Listen.
	Advertise cs.Address `json:"advertise"`
	// Log locates the platform's log service.
	Log Log `json:"log"`
	// List locates the service with the platform's list of VMs and runners.
	List List `json:"list"`
	// Weights locates the store of model weights.
	Weights Weights `json:"weights"`
	// Parameters holds the parameters of the control loop; see Control.
	Parameters fleet.Config `json:"control"`
	// Limits bounds the size of requests and responses.
	Limits Limits `json:"limits"`
	// Runners holds the timeouts of connections to runners.
	Runners Runners `json:"runners"`
	// Logging configures the log on standard error.
	Logging Logging `json:"logging"`
}

// VM holds the identity of this VM.
type VM struct {
	// ID is the id of this VM in the platform's list.
	ID cs.VMID `json:"id"`
	// DataCentre is the id of the data centre that this VM runs in.
	DataCentre cs.DataCentreID `json:"dataCentre"`
}

// Log locates the platform's log service.
type Log struct {
	// Address is the IP address and port of the log service.
	Address cs.Address `json:"address"`
}

// List locates the service with the platform's list of VMs and runners.
type List struct {
	// Address is the IP address and port of the list service.
	Address cs.Address `json:"address"`
	// Poll is the time between two reads of the list.
	Poll cs.Span `json:"poll"`
}

// Weights locates the store of model weights and states its limit.
type Weights struct {
	// Address is the IP address and port of the weight store; empty if there is none.
	Address cs.Address `json:"address"`
	// LoadsPerMinute is the number of loads per minute that the store allows in total.
	LoadsPerMinute int `json:"loadsPerMinute"`
}

// Limits bounds the size of requests and responses.
type Limits struct {
	// MaxBody bounds the body of a request.
	MaxBody cs.Bytes `json:"maxBody"`
	// MaxItems bounds the number of items of a job.
	MaxItems int `json:"maxItems"`
	// MaxResponse bounds the response of a runner or service to one request.
	MaxResponse cs.Bytes `json:"maxAnswer"`
}

// Runners holds the timeouts of connections to runners.
type Runners struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout cs.Span `json:"dialTimeout"`
	// FirstByteTimeout bounds the time until the first byte of a response.
	FirstByteTimeout cs.Span `json:"firstByte"`
	// IdleTimeout is the time without a byte within a response after which the response counts as broken.
	IdleTimeout cs.Span `json:"progress"`
	// LoadPoll is the time between two requests for the load report of a runner.
	LoadPoll cs.Span `json:"loadPoll"`
}

// Logging configures the log on standard error.
type Logging struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string `json:"level"`
}

// Default returns the settings that apply to fields missing from a file. The required fields are empty.
func Default() Settings {
	return Settings{
		List:       List{Poll: cs.Second},
		Weights:    Weights{LoadsPerMinute: 60},
		Parameters: fleet.DefaultConfig(),
		Limits:     Limits{MaxBody: 64 << 20, MaxItems: 130_000, MaxResponse: 16 << 20},
		Runners: Runners{
			DialTimeout: cs.Second, FirstByteTimeout: 8 * cs.Second,
			IdleTimeout: 5 * cs.Second, LoadPoll: 300 * cs.Millisecond,
		},
		Logging: Logging{Level: "info"},
	}
}

// Control returns the parameters of the control loop: those of fleet.DefaultConfig, overridden by the
// "control" object of the file.
func (s Settings) Control() fleet.Config { return s.Parameters }

// Self returns the description of this VM that is sent to peers.
func (s Settings) Self(n cs.Incarnation) cs.VM {
	return cs.VM{ID: s.VM.ID, Incarnation: n, DataCentre: s.VM.DataCentre, Address: s.Advertise}
}
