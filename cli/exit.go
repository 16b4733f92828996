package cli

import (
	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
)

// Exit is the exit code of the process.
type Exit int

// The exit codes.
const (
	// ExitDone means that the command did what it was asked.
	ExitDone Exit = 0
	// ExitFailed means that the request ran and failed.
	ExitFailed Exit = 1
	// ExitMisuse means that the arguments or the input are wrong.
	ExitMisuse Exit = 2
	// ExitNotRun means that the request did not run and may be sent again.
	ExitNotRun Exit = 3
	// ExitUnknown means that the request may have run.
	ExitUnknown Exit = 4
)

// exitCodes is the part of each usage that documents the exit codes.
const exitCodes = `Exit codes:
  0  done
  1  failed: it ran and failed
  2  wrong usage or invalid input
  3  not run: it may be sent again
  4  unknown: it may have run; without a key, do not resend what must not run twice
`

// exitOf maps the outcome of a command to the exit code.
func exitOf(err error) Exit {
	if err == nil {
		return ExitDone
	}
	var f Failure
	if !errors.As(err, &f) {
		return ExitFailed
	}
	switch f := f.(type) {
	case Misuse:
		return ExitMisuse
	case Refused:
		return exitOfRefusal(f)
	case NotSent:
		return ExitNotRun
	case Lost:
		return ExitUnknown
	case NotWhole:
		return ExitFailed
	case Incomplete:
		if f.Unknown > 0 {
			return ExitUnknown
		}
	}
	return ExitFailed
}

func exitOfRefusal(r Refused) Exit {
	if r.Name == nameInvalid {
		return ExitMisuse
	}
	switch r.Ran {
	case cs.RanNotRun:
		return ExitNotRun
	case cs.RanFailed:
		return ExitFailed
	}
	return ExitUnknown
}
