package cli

import cs "github.com/crocusstile/crocusstile"

// Names of errors in the interface for callers (design/design.go) that decide what the tool does.
const (
	nameInvalid     = "invalid"
	nameUnavailable = "unavailable"
	nameOverloaded  = "overloaded"
	nameExpired     = "expired"
	nameLeaving     = "leaving"
)

// ranOf reads the field "ran" of an error; a request with a value that it does not know may have run.
func ranOf(text string) cs.Ran {
	switch text {
	case "notRun":
		return cs.RanNotRun
	case "failed":
		return cs.RanFailed
	}
	return cs.RanUnknown
}
