package standin

import cs "github.com/crocusstile/crocusstile"

// ProxyMode selects what a Proxy does with connections.
type ProxyMode interface{ isProxyMode() }

type (
	// Pass forwards all data.
	Pass struct{}
	// Cut simulates a network partition: it closes existing connections and resets new ones.
	Cut struct{}
	// Delay forwards data with added latency in each direction.
	Delay struct{ Latency cs.Span }
	// Freeze stops all data on existing connections, which stay open. They never forward data again,
	// even after a change of mode. New connections freeze too, unless PassNewConnections is set.
	Freeze struct{ PassNewConnections bool }
	// HalfClose closes the response direction of existing connections, in which the client reads.
	// Their request direction and new connections still pass.
	HalfClose struct{}
	// DropResponses forwards requests, discards the first data of a response and then closes the
	// connection.
	DropResponses struct{}
)

func (Pass) isProxyMode()          {}
func (Cut) isProxyMode()           {}
func (Delay) isProxyMode()         {}
func (Freeze) isProxyMode()        {}
func (HalfClose) isProxyMode()     {}
func (DropResponses) isProxyMode() {}

// ProxyFaults are the fault settings of a Proxy; POST /standin/faults changes them at run time. Each
// change applies the mode anew, also to connections opened since the last change.
type ProxyFaults struct {
	// Mode is "pass", "cut", "delay", "freeze", "halfClose" or "dropAnswers".
	Mode ModeName `json:"mode"`
	// Delay is the latency that the mode "delay" adds in each direction.
	Delay cs.Span `json:"delay"`
	// PassNewConnections lets new connections pass while the mode is "freeze".
	PassNewConnections bool `json:"newWork"`
}

//go:generate enumer -type ModeName -json -text -transform title-lower -trimprefix Mode

// ModeName is the name of a ProxyMode in the fault settings.
type ModeName int

// The names of the proxy modes.
const (
	ModePass ModeName = iota
	ModeCut
	ModeDelay
	ModeFreeze
	ModeHalfClose
	ModeDropAnswers
)

// mode returns the mode selected by the settings.
func (f ProxyFaults) mode() ProxyMode {
	switch f.Mode {
	case ModeCut:
		return Cut{}
	case ModeDelay:
		return Delay{Latency: f.Delay}
	case ModeFreeze:
		return Freeze{PassNewConnections: f.PassNewConnections}
	case ModeHalfClose:
		return HalfClose{}
	case ModeDropAnswers:
		return DropResponses{}
	case ModePass:
	}
	return Pass{}
}

// modeForNewConns returns the mode of the connections that are opened while m is set.
func modeForNewConns(m ProxyMode) ProxyMode {
	switch m := m.(type) {
	case Freeze:
		if m.PassNewConnections {
			return Pass{}
		}
	case HalfClose:
		return Pass{}
	case Pass, Cut, Delay, DropResponses:
	}
	return m
}
