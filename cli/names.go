package cli

import cs "github.com/crocusstile/crocusstile"

// Names of error responses that the tool acts on; design/design.go defines them.
const (
	refusalInvalid     = "invalid"
	refusalUnavailable = "unavailable"
	refusalOverloaded  = "overloaded"
	refusalExpired     = "expired"
	refusalLeaving     = "leaving"
)

// parseRan parses the field "ran" of an error response. An unknown value is taken as "may have
// run", which is the safe assumption for requests that must not run twice.
func parseRan(text string) cs.Ran {
	switch text {
	case "notRun":
		return cs.RanNotRun
	case "failed":
		return cs.RanFailed
	}
	return cs.RanUnknown
}
