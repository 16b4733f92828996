package cli

import (
	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
)

// Exit is the exit code of the process. Scripts decide by it whether to send a request again.
type Exit int

// The exit codes, which docs/operators.md documents for scripts.
const (
	// ExitDone means that the command succeeded.
	ExitDone Exit = 0
	// ExitFailed means that the request ran and failed.
	ExitFailed Exit = 1
	// ExitMisuse means that the arguments or the input are invalid.
	ExitMisuse Exit = 2
	// ExitNotRun means that the request did not run, so that it may be sent again.
	ExitNotRun Exit = 3
	// ExitUnknown means that the request may or may not have run.
	ExitUnknown Exit = 4
)

// exitCodesHelp is the section on exit codes in the usage and in the help of each command.
const exitCodesHelp = `Exit codes:
  0  done
  1  failed: the request ran and failed
  2  wrong usage or invalid input
  3  not run: the request may be sent again
  4  unknown: the request may have run; without a key, do not resend one that must not run twice
`

// exitCodeOf maps the outcome of a command to the exit code.
func exitCodeOf(err error) Exit {
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
		return refusalExitCode(f)
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

// refusalExitCode maps an error response of the VM to the exit code.
func refusalExitCode(r Refused) Exit {
	if r.Name == refusalInvalid {
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
