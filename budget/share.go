package budget

import cs "github.com/crocusstile/crocusstile"

//go:generate enumer -type Share -text -transform snake
//go:generate enumer -type Pool -text -transform snake
//go:generate enumer -type Phase -text -transform snake -trimprefix Phase

// Share is a part of the memory that clients may make a VM hold.
type Share int

// The shares.
const (
	// Bodies are the bodies of requests until the requests end.
	Bodies Share = iota
	// Headers are the header fields of requests beyond those that an ordinary request has.
	Headers
	// Responses are the responses that are held until they are complete or read.
	Responses
)

const shareCount = int(Responses) + 1

// Pool is a part of the connections that a VM accepts.
type Pool int

// The pools.
const (
	// Callers are the connections at the address for callers.
	Callers Pool = iota
	// Checks are the connections at the address for readiness checks.
	Checks
)

const poolCount = int(Checks) + 1

// Phase is what a connection is doing.
type Phase int32

// The phases.
const (
	// PhaseHeader means that the header of a request is awaited or being received.
	PhaseHeader Phase = iota
	// PhaseBody means that the body of a request is being received.
	PhaseBody
	// PhaseServing means that the VM does something for the client or makes it wait.
	PhaseServing
	// PhaseResponse means that the client must read before more of its response can be sent.
	PhaseResponse
	// PhaseIdle means that a kept connection has no request.
	PhaseIdle
)

// Limits are the sizes of the shares and of the pools, and what counts as progress.
type Limits struct {
	Shares      [shareCount]cs.Bytes
	Connections [poolCount]int
	// Window is the time within which a body or a reader must move ProgressBytes.
	Window        cs.Span
	ProgressBytes cs.Bytes
}

// Parts of the memory and of the descriptors of a VM that its clients may take.
const (
	bodyPercent, headerPercent, responsePercent = 15, 6, 9
	// connectionPercent is the part of the memory for connections, of which each takes about connectionBytes.
	connectionPercent          = 15
	connectionBytes   cs.Bytes = 16 << 10
	// callerPercent leaves descriptors for a connection to a runner for each caller, for peers and for the store.
	callerPercent = 40
	checkPercent  = 4
	minChecks     = 16
	maxChecks     = 128
)

// Defaults of what counts as progress: a client that moves less is of no use to anyone within the time limits of requests.
const (
	DefaultWindow                 = 10 * cs.Second
	DefaultProgressBytes cs.Bytes = 1 << 10
)

// DefaultLimits returns the limits for a VM with so much memory and so many descriptors.
func DefaultLimits(memory cs.Bytes, descriptors int) Limits {
	l := Limits{Window: DefaultWindow, ProgressBytes: DefaultProgressBytes}
	l.Shares[Bodies] = memory * bodyPercent / 100
	l.Shares[Headers] = memory * headerPercent / 100
	l.Shares[Responses] = memory * responsePercent / 100
	l.Connections[Callers] = min(descriptors*callerPercent/100, int(memory*connectionPercent/100/connectionBytes))
	l.Connections[Checks] = min(max(descriptors*checkPercent/100, minChecks), maxChecks)
	return l
}
