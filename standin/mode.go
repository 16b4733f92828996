package standin

import cs "github.com/crocusstile/crocusstile"

// ProxyMode is what a Proxy does to connections.
type ProxyMode interface{ isProxyMode() }

type (
	// Pass forwards all bytes.
	Pass struct{}
	// Cut closes existing connections and resets new ones.
	Cut struct{}
	// Delay forwards bytes after a time, in each direction.
	Delay struct{ Each cs.Span }
	// Freeze makes existing connections silent for good: they stay open, but no byte passes any
	// more, in later modes neither. New connections are held in the same way, or pass with NewWork.
	Freeze struct{ NewWork bool }
	// HalfClose ends the answer direction of existing connections; requests still pass, and new
	// connections pass.
	HalfClose struct{}
	// DropAnswers lets requests pass, discards the first bytes of an answer and closes the
	// connection then.
	DropAnswers struct{}
)

func (Pass) isProxyMode()        {}
func (Cut) isProxyMode()         {}
func (Delay) isProxyMode()       {}
func (Freeze) isProxyMode()      {}
func (HalfClose) isProxyMode()   {}
func (DropAnswers) isProxyMode() {}

// ProxyFaults are the settings of a Proxy that POST /standin/faults changes. Setting them applies
// the mode again, to the connections that exist by then too.
type ProxyFaults struct {
	// Mode is "pass", "cut", "delay", "freeze", "halfClose" or "dropAnswers".
	Mode ModeName `json:"mode"`
	// Delay is the time for which the mode "delay" holds bytes, in each direction.
	Delay cs.Span `json:"delay"`
	// NewWork lets new connections pass in the mode "freeze".
	NewWork bool `json:"newWork"`
}

//go:generate enumer -type ModeName -json -text -transform title-lower -trimprefix Mode

// ModeName names a mode of a Proxy.
type ModeName int

// The names of the modes.
const (
	ModePass ModeName = iota
	ModeCut
	ModeDelay
	ModeFreeze
	ModeHalfClose
	ModeDropAnswers
)

// mode returns the mode that the settings name.
func (f ProxyFaults) mode() ProxyMode {
	switch f.Mode {
	case ModeCut:
		return Cut{}
	case ModeDelay:
		return Delay{Each: f.Delay}
	case ModeFreeze:
		return Freeze{NewWork: f.NewWork}
	case ModeHalfClose:
		return HalfClose{}
	case ModeDropAnswers:
		return DropAnswers{}
	case ModePass:
	}
	return Pass{}
}

// forNew returns what a mode does to connections that open while it is set.
func modeForNewConns(m ProxyMode) ProxyMode {
	switch m := m.(type) {
	case Freeze:
		if m.NewWork {
			return Pass{}
		}
	case HalfClose:
		return Pass{}
	case Pass, Cut, Delay, DropAnswers:
	}
	return m
}
